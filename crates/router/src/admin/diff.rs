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

/// Who made a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Author {
    /// Name of the operator's key.
    pub(super) operator: String,
    /// Version.
    pub(super) version: Version,
}

/// A value that others touched, with who did; it may have its earlier value again.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Touched {
    #[serde(flatten)]
    pub(super) line: Line,
    /// In the order of the versions.
    pub(super) by: Vec<Author>,
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
    /// Values that others touched.
    pub(super) differences: Vec<Touched>,
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
            differences: gather(made).into_iter().map(Touched::from).collect(),
        })
    }
}

type Place = (Arc<str>, Option<Setting>);

/// What successive versions did to one place.
#[derive(Default)]
struct Merged {
    before: Option<Value>,
    after: Option<Value>,
    by: Vec<Author>,
}

fn gather(made: Vec<Made>) -> BTreeMap<Place, Merged> {
    let mut places: BTreeMap<Place, Merged> = BTreeMap::new();
    for made in made {
        for difference in made.differences {
            let place = (difference.path, difference.setting);
            let merged = places.entry(place).or_insert_with(|| Merged {
                before: difference.before,
                ..Merged::default()
            });
            merged.after = difference.after;
            merged.by.push(Author {
                operator: made.operator.clone(),
                version: made.version,
            });
        }
    }
    places
}

impl From<(Place, Merged)> for Touched {
    fn from(((path, setting), merged): (Place, Merged)) -> Self {
        let difference = Difference {
            path,
            setting,
            before: merged.before,
            after: merged.after,
        };
        Self {
            line: difference.into(),
            by: merged.by,
        }
    }
}

/// Merges the differences of successive versions into one list.
pub(super) fn merge(made: Vec<Made>) -> Vec<Line> {
    let changed = gather(made)
        .into_iter()
        .filter(|((_, setting), merged)| setting.is_none() || merged.before != merged.after);
    changed.map(|entry| Touched::from(entry).line).collect()
}
