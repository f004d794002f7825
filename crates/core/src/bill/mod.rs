//! Bills of finished requests.

use {
    crate::id::{BudgetId, ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    serde::{Deserialize, Serialize},
};

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
