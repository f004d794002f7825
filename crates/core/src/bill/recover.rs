//! Bills that a lost holder or entry did not write to the journal.

use {
    super::Bill,
    crate::{
        budget::Journal,
        id::{BudgetId, ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    },
    std::collections::{BTreeMap, HashSet},
};

/// Source of a usage figure, in ascending order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// The reserved amount, or a router's own count of a stream that broke.
    Estimate,
    /// The usage record that an engine keeps per request id.
    Record,
    /// A settlement that the entry sent or the holder kept.
    Settlement,
}

/// Usage of a request as one source reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Request id.
    pub request: RequestId,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Model or service that answered.
    pub model: ModelId,
    /// Upstream that answered.
    pub upstream: UpstreamId,
    /// Sum of prompt and answer tokens.
    pub tokens: Tokens,
    /// Tokens reserved for the request, the most that is charged.
    pub reserved: Tokens,
    /// Source of `tokens`.
    pub basis: Basis,
}

impl Usage {
    /// Returns the sort key of the preference among the usages of one request.
    ///
    /// Among usages of the same source the larger one is preferred, because a request that was
    /// repeated on another engine has a record on both.
    fn preference(&self) -> (Basis, Tokens, &UpstreamId) {
        (self.basis, self.tokens, &self.upstream)
    }

    fn bill(&self) -> Bill {
        let charged = self.tokens.min(self.reserved);
        Bill {
            request: self.request.clone(),
            workspace: self.workspace.clone(),
            budget: self.budget.clone(),
            model: self.model.clone(),
            upstream: self.upstream.clone(),
            charged,
            uncovered: self.tokens - charged,
        }
    }
}

/// Returns the bills that the journal of a lost holder lacks: one for each request with a usage
/// above 0 and no bill in the journal, in the order of the request ids.
///
/// The ledger drops the bill if another holder billed the request as well.
pub fn missing_bills<'a>(
    journal: impl IntoIterator<Item = &'a Journal>,
    usages: &[Usage],
) -> Vec<Bill> {
    let journal = journal.into_iter();
    let known = journal.flat_map(|row| row.entry.bills());
    let known: HashSet<_> = known.map(|bill| &bill.request).collect();
    let mut best: BTreeMap<&RequestId, &Usage> = BTreeMap::new();
    let usages = usages
        .iter()
        .filter(|usage| !known.contains(&usage.request));
    for usage in usages {
        let entry = best.entry(&usage.request).or_insert(usage);
        if usage.preference() > entry.preference() {
            *entry = usage;
        }
    }
    let used = best.into_values().filter(|usage| usage.tokens > 0);
    used.map(Usage::bill).collect()
}
