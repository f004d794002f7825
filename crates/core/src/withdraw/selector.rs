//! Selection of a batch of upstreams, models and versions.

use {
    crate::{
        config::{Effective, Kind, Path, Setting, Tree, Value, name, served_names},
        id::{ModelId, UpstreamId},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Criteria by which a batch is selected.
///
/// An upstream must meet every criterion that is given; of a criterion with several members, except
/// labels, it must meet one. Without any criterion, nothing is selected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selector {
    /// Names of upstreams.
    pub upstreams: BTreeSet<UpstreamId>,
    /// Models or services. With this criterion or with `versions`, only the models that match are
    /// selected on an upstream that also serves others.
    pub models: BTreeSet<ModelId>,
    /// Versions of the models that an upstream serves.
    pub versions: BTreeSet<Arc<str>>,
    /// Labels, all of which the upstream must have. A label may for example name the purchase lot.
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
}

/// An upstream that a [`Selector`] selects, as a whole or some of its models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Hit {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Path of its node in the settings tree.
    pub path: Path,
    /// Selected models or services; the whole upstream when absent.
    pub serves: Option<Vec<ModelId>>,
}

impl Selector {
    /// Returns whether no criterion is given.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the selected upstreams, in the order of their paths.
    pub fn select(&self, tree: &Tree) -> Vec<Hit> {
        if self.is_empty() {
            return Vec::new();
        }
        let upstreams = tree.nodes().filter(|(_, node)| node.kind == Kind::Upstream);
        upstreams
            .filter_map(|(path, _)| self.hit(path, &tree.effective(path)?))
            .collect()
    }

    fn hit(&self, path: &Path, effective: &Effective<'_>) -> Option<Hit> {
        let upstream: UpstreamId = name(path).into();
        let is_named = self.upstreams.is_empty() || self.upstreams.contains(&upstream);
        if !is_named || !self.has_labels(effective) {
            return None;
        }
        let hit = |serves| Hit {
            upstream,
            path: path.clone(),
            serves,
        };
        if self.models.is_empty() && self.versions.is_empty() {
            return Some(hit(None));
        }
        let mut selected = served_names(path, effective);
        selected.retain(|model| self.has_model(model, effective));
        (!selected.is_empty()).then(|| hit(Some(selected)))
    }

    fn has_labels(&self, effective: &Effective<'_>) -> bool {
        let labels = effective.get(Setting::Labels).and_then(Value::labels);
        let has = |(name, value)| labels.is_some_and(|labels| labels.get(name) == Some(value));
        self.labels.iter().all(has)
    }

    fn has_model(&self, model: &ModelId, effective: &Effective<'_>) -> bool {
        let versions = effective.get(Setting::Versions).and_then(Value::labels);
        let version = versions.and_then(|versions| versions.get(model));
        let is_model = self.models.is_empty() || self.models.contains(model);
        let is_version =
            self.versions.is_empty() || version.is_some_and(|v| self.versions.contains(v));
        is_model && is_version
    }
}
