//! Bills that a lost holder or entry did not write.

use {
    super::Bill,
    crate::{
        budget::Journal,
        id::{BudgetId, ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    },
    std::collections::{BTreeMap, HashSet},
};

/// How the usage of a request is known; a later variant is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// The reservation, or a router's own count of a stream that broke.
    Estimate,
    /// An engine's record by request id.
    Record,
    /// The settlement that the entry sent or the holder kept.
    Settlement,
}

/// What is known about the usage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The workspace that asked.
    pub workspace: WorkspaceId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The model or service that answered.
    pub model: ModelId,
    /// The upstream that answered.
    pub upstream: UpstreamId,
    /// Prompt and answer tokens together.
    pub tokens: Tokens,
    /// The reservation: at most this much is charged.
    pub reserved: Tokens,
    /// How the usage is known.
    pub basis: Basis,
}

impl Record {
    /// Order of preference. Among equals the larger usage counts, because a request that was
    /// repeated on another engine left a record on both.
    fn rank(&self) -> (Basis, Tokens, &UpstreamId) {
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

/// Returns the bills that the journal of a lost holder lacks: one per request that has a record
/// with usage and no bill, in the order of the request ids.
///
/// A request that another holder billed as well is dropped by the ledger.
pub fn missing<'a>(
    journal: impl IntoIterator<Item = &'a Journal>,
    records: &[Record],
) -> Vec<Bill> {
    let journal = journal.into_iter();
    let known = journal.flat_map(|row| row.entry.bills());
    let known: HashSet<_> = known.map(|bill| &bill.request).collect();
    let mut best: BTreeMap<&RequestId, &Record> = BTreeMap::new();
    let records = records
        .iter()
        .filter(|record| !known.contains(&record.request));
    for record in records {
        let entry = best.entry(&record.request).or_insert(record);
        if record.rank() > entry.rank() {
            *entry = record;
        }
    }
    let used = best.into_values().filter(|record| record.tokens > 0);
    used.map(Record::bill).collect()
}
