//! Compilation of the settings tree into a [`Catalog`].

use {
    super::{
        Access, Catalog, Effective, Hosting, Kind, Limits, Node, Path, Placement, RunningPolicy,
        Service, Setting, State, Tree, Upstream, Value, Workspace, tree,
    },
    crate::id::{ModelId, UpstreamId, Version},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const DEFAULT_OUTPUT_TOKENS: u64 = 1024;
/// Answers below this are rarely of use.
const DEFAULT_LEAST_OUTPUT_TOKENS: u64 = 64;
const DEFAULT_PRIORITY: u64 = 3;
const DEFAULT_SHARE: u64 = 1;
const DEFAULT_RETRY_PERCENT: u64 = 10;

impl Catalog {
    /// Compiles the effective configuration of a version.
    pub fn compile(version: Version, tree: &Tree) -> Self {
        let mut catalog = Self {
            version,
            ..Self::default()
        };
        tree.walk(|path, node, effective| match node.kind {
            Kind::Organisation => catalog.limits = limits(effective),
            Kind::Workspace => catalog.add_workspace(path, node, effective),
            Kind::Service => {
                let id = tree::name(path).into();
                catalog.services.insert(id, service(effective));
            }
            Kind::Upstream => {
                let id: UpstreamId = tree::name(path).into();
                let hosting = hosting(effective);
                catalog
                    .upstreams
                    .insert(id.clone(), upstream(path, effective));
                catalog.hosting.insert(id, hosting);
            }
            Kind::Model => {
                let placement = placement(effective);
                let placed = placement.map(|placement| (tree::name(path).into(), placement));
                catalog.placement.extend(placed);
            }
        });
        catalog
    }

    /// Compiles only the upstreams, for a check of a change.
    pub(super) fn upstreams(tree: &Tree) -> BTreeMap<UpstreamId, Upstream> {
        let nodes = tree.nodes().filter(|(_, node)| node.kind == Kind::Upstream);
        let compiled = nodes.filter_map(|(path, _)| {
            let effective = tree.effective(path)?;
            Some((tree::name(path).into(), upstream(path, &effective)))
        });
        compiled.collect()
    }

    fn add_workspace(&mut self, path: &Path, node: &Node, effective: &Effective<'_>) {
        let Some(keys) = node.settings.get(&Setting::ApiKeys) else {
            return;
        };
        let access = access(path, effective);
        for hash in keys.members() {
            self.keys.insert(hash.clone(), access.clone());
        }
        self.workspaces.insert(path.clone(), workspace(effective));
    }
}

fn number(effective: &Effective<'_>, setting: Setting) -> Option<u64> {
    effective.get(setting).and_then(Value::number)
}

fn text(effective: &Effective<'_>, setting: Setting) -> Arc<str> {
    let text = effective.get(setting).and_then(Value::text);
    text.cloned().unwrap_or_default()
}

fn is_on(effective: &Effective<'_>, setting: Setting) -> bool {
    effective.get(setting).is_some_and(Value::is_on)
}

fn limits(effective: &Effective<'_>) -> Limits {
    let seconds = |setting| number(effective, setting).map(Duration::from_secs);
    Limits {
        holders: number(effective, Setting::Holders),
        endurance: seconds(Setting::Endurance),
        stale: seconds(Setting::StaleLimit),
        drain: seconds(Setting::DrainLimit),
        concurrent_loads: number(effective, Setting::ConcurrentLoads),
        load_interval: seconds(Setting::LoadInterval),
        history: seconds(Setting::HistoryRetention),
    }
}

fn access(path: &Path, effective: &Effective<'_>) -> Access {
    let priority = number(effective, Setting::Priority).unwrap_or(DEFAULT_PRIORITY);
    let least_output =
        number(effective, Setting::LeastOutput).unwrap_or(DEFAULT_LEAST_OUTPUT_TOKENS);
    let can_shorten = &*text(effective, Setting::BudgetEnd) == "shorten";
    Access {
        workspace: path.clone(),
        budget: text(effective, Setting::Budget),
        output_limit: number(effective, Setting::OutputLimit).unwrap_or(DEFAULT_OUTPUT_TOKENS),
        least_output: can_shorten.then_some(least_output.max(1)),
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
    }
}

fn workspace(effective: &Effective<'_>) -> Workspace {
    let allowed = effective.get(Setting::Allowed);
    Workspace {
        share: number(effective, Setting::Share).unwrap_or(DEFAULT_SHARE),
        retry_percent: number(effective, Setting::RetryShare).unwrap_or(DEFAULT_RETRY_PERCENT),
        allowed: allowed.map(|names| names.members().to_vec()),
    }
}

fn service(effective: &Effective<'_>) -> Service {
    Service {
        idempotent: is_on(effective, Setting::Idempotent),
        price: number(effective, Setting::Price).unwrap_or_default(),
    }
}

/// Returns the placement of a model, if it is enabled and complete.
fn placement(effective: &Effective<'_>) -> Option<Placement> {
    if !is_on(effective, Setting::Placement) {
        return None;
    }
    Some(Placement {
        version: number(effective, Setting::ModelVersion)?,
        demand: number(effective, Setting::Demand)?,
        replica_rate: number(effective, Setting::ReplicaRate)?,
    })
}

fn upstream(path: &Path, effective: &Effective<'_>) -> Upstream {
    let withdrawn = effective.get(Setting::Withdrawn);
    let withdrawn = withdrawn.map_or(&[][..], Value::members);
    let mut serves = served_names(path, effective);
    serves.retain(|name| !withdrawn.contains(name));
    let labels = effective.get(Setting::Labels).and_then(Value::labels);
    Upstream {
        url: text(effective, Setting::Url),
        serves,
        region: text(effective, Setting::Region),
        zone: text(effective, Setting::Zone),
        labels: labels.cloned().unwrap_or_default(),
        state: state(effective),
    }
}

/// Returns the models and services that an upstream is configured to serve, including those that
/// are withdrawn.
pub(crate) fn served_names(path: &str, effective: &Effective<'_>) -> Vec<ModelId> {
    match effective.get(Setting::Serves) {
        Some(names) => names.members().to_vec(),
        None => tree::parent(path)
            .filter(|parent| *parent != tree::ROOT)
            .map(|parent| tree::name(parent).into())
            .into_iter()
            .collect(),
    }
}

fn state(effective: &Effective<'_>) -> State {
    match &*text(effective, Setting::State) {
        "withdrawn" => State::Withdrawn,
        _ => State::InService,
    }
}

fn hosting(effective: &Effective<'_>) -> Hosting {
    let versions = effective.get(Setting::Versions).and_then(Value::labels);
    let withdrawn = effective.get(Setting::Withdrawn);
    Hosting {
        versions: versions.cloned().unwrap_or_default(),
        withdrawn: withdrawn.map_or(&[][..], Value::members).to_vec(),
        running: match &*text(effective, Setting::Running) {
            "move" => RunningPolicy::Move,
            _ => RunningPolicy::Finish,
        },
        is_fencing: is_on(effective, Setting::Fencing),
        is_verifying: is_on(effective, Setting::Verifies),
    }
}
