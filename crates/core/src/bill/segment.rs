//! Objects that the ledger writes.

use {
    super::Bill,
    crate::{
        fault::{Fault, Kind},
        id::{HolderId, Sequence},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An object to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Key in the object store.
    pub key: Arc<str>,
    /// Content.
    pub value: Vec<u8>,
}

/// Object `bills/{budget}/{time, 12 digits}-{holder}-{first, 12 digits}`: the bills of one
/// budget in one batch. Keys of a budget sort by time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Whose journal the bills come from.
    pub holder: HolderId,
    /// First journal row of the batch.
    pub first: Sequence,
    /// Last journal row of the batch.
    pub last: Sequence,
    /// Time of the decision in seconds since the Unix epoch.
    pub at: u64,
    /// Bills in the order of the journal; no request id is in two segments.
    pub bills: Vec<Bill>,
}

impl Segment {
    /// Returns the key of the segment.
    pub fn key(&self, budget: &str) -> Arc<str> {
        let Self {
            holder, first, at, ..
        } = self;
        format!("bills/{budget}/{at:012}-{holder}-{first:012}").into()
    }

    /// Decodes an object.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the content is not a segment.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, Fault> {
        serde_json::from_slice(value).map_err(|error| {
            let message = format!("object {key} is not a segment of bills: {error}");
            Fault::new(Kind::Internal, message)
        })
    }

    /// Encodes the content.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
