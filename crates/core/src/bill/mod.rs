//! Bills of finished requests.
//!
//! Holders append bills to their journals. The [`Ledger`], a background duty, reads the journals,
//! drops repeated bills of a request and returns their tokens to the budget, writes the other bills
//! as one [`Segment`] per batch and budget to the object store, and deletes the journal rows that
//! it has consumed. [`Spend`] and [`list_bills`] read the segments; [`missing_bills`] computes the
//! bills that a lost holder or entry did not write.

mod cursor;
mod index;
mod lease;
mod ledger;
mod read;
mod recover;
mod refund;
mod removal;
mod request_id;
mod segment;

#[cfg(test)]
mod tests;

pub use {
    cursor::{Batch, Cursor, Page, cursor_key},
    index::{INDEX_PREFIX, index_prefix},
    lease::Lease,
    ledger::{Decision, Ledger, Settings},
    read::{Position, Spend, Total, list_bills},
    recover::{Basis, Usage, missing_bills},
    removal::REMOVAL_LIMIT_ROWS,
    request_id::new_request_id,
    segment::{Object, Segment},
};

use {
    crate::id::{BudgetId, ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    serde::{Deserialize, Serialize},
};

/// Returns the request id that an attempt id contains.
///
/// The id of an attempt is `{request}.{attempt}`. A request that a caller repeats with the same
/// idempotency key keeps its request id, while each attempt has its own reservation and its own
/// record at the engine.
pub fn request_of(attempt: &str) -> RequestId {
    let request = attempt
        .split_once('.')
        .map_or(attempt, |(request, _)| request);
    request.into()
}

/// Bill of one request, as holders append it to their journals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request id. At most one bill per request id is charged.
    pub request: RequestId,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Model or service that answered.
    pub model: ModelId,
    /// Upstream that answered.
    pub upstream: UpstreamId,
    /// Tokens charged, at most those reserved for the request.
    pub charged: Tokens,
    /// Tokens that the upstream used above the reservation; not charged.
    pub uncovered: Tokens,
}

/// Upper bound on the bytes of an encoded bill without its texts: field names, quotes and numbers.
const BILL_OVERHEAD_BYTES: usize = 160;

impl Bill {
    /// Returns an upper bound on the bytes of the bill in a journal row. Texts that need JSON
    /// escapes can exceed it.
    pub fn size_bound(&self) -> usize {
        let texts = [
            &self.request,
            &self.workspace,
            &self.budget,
            &self.model,
            &self.upstream,
        ];
        BILL_OVERHEAD_BYTES + texts.iter().map(|text| text.len()).sum::<usize>()
    }
}
