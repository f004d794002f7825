//! Bills of finished requests.
//!
//! Holders append bills to their journals. The [`Ledger`] duty reads the journals, drops a second
//! bill of a request and returns its tokens, writes [`Segment`]s per budget to the object store
//! and deletes consumed rows. [`Spend`] and [`page`] read the segments; [`missing`] computes the
//! bills that a lost holder or entry left behind.

mod cursor;
mod lease;
mod ledger;
mod read;
mod recover;
mod refund;
mod removal;
mod segment;
mod stamp;
mod window;

#[cfg(test)]
mod tests;

pub use {
    cursor::{Batch, Cursor, Page, cursor_key},
    lease::Lease,
    ledger::{Decided, Ledger, Settings},
    read::{Position, Spend, Total, page},
    recover::{Basis, Record, missing},
    removal::REMOVAL_LIMIT_ROWS,
    segment::{Object, Segment},
    stamp::new_request_id,
    window::{INDEX_PREFIX, index_prefix},
};

use {
    crate::id::{BudgetId, ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    serde::{Deserialize, Serialize},
};

/// Returns the request of an attempt.
///
/// The id of an attempt is `{request}.{attempt}`: a request that a caller repeats with the same
/// idempotency key keeps its id, while each attempt has its own reservation and its own record at
/// the engine.
pub fn request_of(attempt: &str) -> RequestId {
    let request = attempt
        .split_once('.')
        .map_or(attempt, |(request, _)| request);
    request.into()
}

/// The bill of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// At most one bill counts per request id.
    pub request: RequestId,
    /// The workspace that asked.
    pub workspace: WorkspaceId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The model or service that answered.
    pub model: ModelId,
    /// The upstream that answered.
    pub upstream: UpstreamId,
    /// Tokens charged; at most the tokens that were reserved for the request.
    pub charged: Tokens,
    /// Tokens that the upstream used above the reservation; not charged.
    pub uncovered: Tokens,
}

/// Bytes of a bill in a row beside its texts: names, quotes and numbers.
const BILL_BYTES: usize = 160;

impl Bill {
    /// Returns a bound on the bytes that the bill takes in a row, for texts without escapes.
    pub fn size_bound(&self) -> usize {
        let texts = [
            &self.request,
            &self.workspace,
            &self.budget,
            &self.model,
            &self.upstream,
        ];
        BILL_BYTES + texts.iter().map(|text| text.len()).sum::<usize>()
    }
}
