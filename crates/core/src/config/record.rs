//! Rows of the configuration log in the table service.

use {
    super::Change,
    crate::{id::Version, table::Row},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Key of the row with the newest version.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of the rows with accepted versions.
pub const LOG_PREFIX: &str = "config/log/";

/// One accepted version, row `config/log/{version, 12 digits}`; never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version that the change created.
    pub version: Version,
    /// Version that the operator saw; at most `version - 1`, less when the change was rebased.
    pub base: Version,
    /// Name of the operator.
    pub author: Arc<str>,
    /// Time of submission in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The operator's request id.
    pub request: Arc<str>,
    /// Edits from the previous version.
    pub change: Change,
}

/// Row `config/head`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: Version,
}

/// Row `config/request/{request id}`, created with the version. It tells an operator whose
/// answer was lost that the change was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Version that the change created.
    pub version: Version,
    /// Hash of the change; another change under the same request id is refused.
    pub digest: u64,
}

impl Change {
    /// Returns a hash that tells changes apart.
    pub fn digest(&self) -> u64 {
        xxh3_64(encode(self).as_bytes())
    }
}

/// Returns the key of a version's row; keys sort by version.
pub fn log_key(version: Version) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

/// Returns the key of a request's row.
pub fn request_key(request: &str) -> String {
    format!("config/request/{request}")
}

/// Returns the content of a row, or `None` when it is absent or malformed.
pub(super) fn decode<'a, T: Deserialize<'a>>(row: Option<&'a Row>) -> Option<T> {
    serde_json::from_str(&row?.value).ok()
}

/// Returns the JSON text of a row's content. Serialisation of the types of this module never fails.
pub(super) fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
