//! Objects that the ledger writes to the object store.

use {
    super::Bill,
    crate::{
        fault::{Fault, Kind},
        id::{HolderId, Sequence},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An object to write to the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Key in the object store.
    pub key: Arc<str>,
    /// Encoded content.
    pub value: Vec<u8>,
}

/// Object `bills/{budget}/{at, 12 digits}-{holder}-{first, 12 digits}`: the bills of one budget in
/// one batch. The keys of a budget sort by time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Holder whose journal the bills come from.
    pub holder: HolderId,
    /// Sequence of the first journal row of the batch.
    pub first: Sequence,
    /// Sequence of the last journal row of the batch.
    pub last: Sequence,
    /// Time at which the batch was decided, in seconds since the Unix epoch.
    pub at: u64,
    /// Bills in journal order; no request id is in two segments.
    pub bills: Vec<Bill>,
}

impl Segment {
    /// Returns the key of the segment object of a budget.
    pub fn key(&self, budget: &str) -> Arc<str> {
        let Self {
            holder, first, at, ..
        } = self;
        format!("bills/{budget}/{at:012}-{holder}-{first:012}").into()
    }

    /// Decodes a segment object; `key` is only used in the error.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the content is not a segment.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, Fault> {
        serde_json::from_slice(value).map_err(|error| {
            let message = format!("object {key} is not a segment of bills: {error}");
            Fault::new(Kind::Internal, message)
        })
    }

    /// Encodes the segment as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
