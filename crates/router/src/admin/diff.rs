//! Differences between versions of the settings tree.
//!
//! Each accepted change keeps what it changed in a row `admin/version/{version}`. These rows stay
//! when the log rows are removed after a snapshot, so that older versions can still be compared.

use {
    super::{
        Admin,
        answer::Result,
        settings::{self, Json},
    },
    marigoldroute_core::{
        config::{Difference, Setting, Value},
        id::Version,
        retention::VERSION_PREFIX as PREFIX,
    },
    poem_openapi::Object,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Versions that are read to compare two of them; a larger distance is cut.
const COMPARED_VERSIONS: usize = 10_000;
/// Rows read per call.
const PAGE_ROWS: usize = 500;
/// Row `admin/version/{version, 12 digits}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Made {
    pub(super) version: Version,
    /// Version that the operator saw.
    pub(super) base: Version,
    pub(super) operator: String,
    pub(super) request: String,
    pub(super) time_ms: u64,
    pub(super) differences: Vec<Difference>,
}

/// A changed value.
#[derive(Clone, Debug, Object, Serialize, Deserialize)]
#[oai(rename = "Difference")]
pub(super) struct Line {
    /// Node.
    pub(super) path: String,
    /// Setting; absent when the node itself was added or removed.
    #[oai(skip_serializing_if_is_none)]
    pub(super) setting: Option<String>,
    /// Earlier value.
    #[oai(skip_serializing_if_is_none)]
    pub(super) before: Option<Json>,
    /// Later value.
    #[oai(skip_serializing_if_is_none)]
    pub(super) after: Option<Json>,
}

/// What others changed since an operator looked.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Unseen {
    /// Version that the operator saw.
    pub(super) base: Version,
    /// Newest version.
    pub(super) current: Version,
    /// Operators who made the versions in between.
    pub(super) operators: Vec<String>,
    /// Values that differ.
    pub(super) differences: Vec<Line>,
}

impl From<Difference> for Line {
    fn from(difference: Difference) -> Self {
        Self {
            path: difference.path.to_string(),
            setting: difference.setting.map(|setting| setting.to_string()),
            before: difference.before.as_ref().map(settings::json),
            after: difference.after.as_ref().map(settings::json),
        }
    }
}

/// Returns the key of the row of a version.
pub(super) fn key(version: Version) -> String {
    format!("{PREFIX}{version:012}")
}

impl Admin {
    /// Returns what the versions after `from` up to `to` changed.
    pub(super) async fn made(&self, from: Version, to: Version) -> Result<Vec<Made>> {
        let mut made: Vec<Made> = Vec::new();
        let mut after = key(from);
        while made.len() < COMPARED_VERSIONS {
            let rows = self.platform.scan(PREFIX, &after, PAGE_ROWS).await?;
            let is_last = rows.len() < PAGE_ROWS;
            let Some(last) = rows.last() else { break };
            after = last.key.to_string();
            let read = rows
                .iter()
                .filter_map(|row| serde_json::from_str(&row.value).ok());
            made.extend(read.filter(|made: &Made| made.version <= to));
            if is_last || *after >= *key(to) {
                break;
            }
        }
        Ok(made)
    }

    /// Returns what others changed since an operator looked.
    pub(super) async fn unseen(&self, base: Version, current: Version) -> Result<Unseen> {
        let made = self.made(base, current).await?;
        let mut operators: Vec<_> = made.iter().map(|made| made.operator.clone()).collect();
        operators.sort();
        operators.dedup();
        Ok(Unseen {
            base,
            current,
            operators,
            differences: merge(made),
        })
    }
}

type Place = (Arc<str>, Option<Setting>);

/// Merges the differences of successive versions into one list.
pub(super) fn merge(made: Vec<Made>) -> Vec<Line> {
    let mut merged: BTreeMap<Place, (Option<Value>, Option<Value>)> = BTreeMap::new();
    for difference in made.into_iter().flat_map(|made| made.differences) {
        let place = (difference.path, difference.setting);
        let (before, after) = (difference.before, difference.after);
        merged
            .entry(place)
            .and_modify(|values| values.1.clone_from(&after))
            .or_insert((before, after));
    }
    let changed = merged
        .into_iter()
        .filter(|((_, setting), (before, after))| setting.is_none() || before != after);
    changed
        .map(|((path, setting), (before, after))| {
            Difference {
                path,
                setting,
                before,
                after,
            }
            .into()
        })
        .collect()
}
