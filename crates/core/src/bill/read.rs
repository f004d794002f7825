//! Sums and listings of the bills in segments.

use {
    super::{Bill, segment::Segment},
    crate::id::{BudgetId, ModelId, Tokens, WorkspaceId},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, str::FromStr, sync::Arc},
};

/// Sums over a set of bills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of bills.
    pub bills: u64,
    /// Tokens charged.
    pub charged: Tokens,
    /// Tokens that upstreams used above the reservations; not charged.
    pub uncovered: Tokens,
}

impl Total {
    fn add(&mut self, bill: &Bill) {
        self.bills += 1;
        self.charged += bill.charged;
        self.uncovered += bill.uncovered;
    }
}

/// Totals of bills by workspace, budget and model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Totals by workspace.
    pub workspaces: BTreeMap<WorkspaceId, Total>,
    /// Totals by budget.
    pub budgets: BTreeMap<BudgetId, Total>,
    /// Totals by model or service.
    pub models: BTreeMap<ModelId, Total>,
}

impl Spend {
    /// Adds the bills of a segment. Add each segment only once; no request is in two segments.
    pub fn add(&mut self, segment: &Segment) {
        for bill in &segment.bills {
            self.workspaces
                .entry(bill.workspace.clone())
                .or_default()
                .add(bill);
            self.budgets
                .entry(bill.budget.clone())
                .or_default()
                .add(bill);
            self.models.entry(bill.model.clone()).or_default().add(bill);
        }
    }
}

/// Position in a listing of bills. Its text form, `{segment}#{bill}`, is the continuation token.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{segment}#{bill}")]
pub struct Position {
    /// Key of the segment object with which the next page starts.
    pub segment: Arc<str>,
    /// Number of bills of the segment that earlier pages returned.
    pub bill: usize,
}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (segment, bill) = text.rsplit_once('#').ok_or(ParsePositionError)?;
        let bill = bill.parse().map_err(|_| ParsePositionError)?;
        let segment = segment.into();
        Ok(Self { segment, bill })
    }
}

/// Error for a text that is not a [`Position`].
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("not a position in a list of bills")]
pub struct ParsePositionError;

/// Returns up to `limit` bills from the position `after` on, and the position of the next page or
/// `None` when no bills are left.
///
/// `segments` must be in the order of their keys. The listing starts with the segment of `after`;
/// earlier segments are skipped.
pub fn list_bills<'a>(
    segments: impl IntoIterator<Item = (&'a str, &'a Segment)>,
    after: Option<&Position>,
    limit: usize,
) -> (Vec<Bill>, Option<Position>) {
    let mut bills: Vec<Bill> = Vec::new();
    for (key, segment) in segments {
        let skip = match after {
            Some(after) if *after.segment == *key => after.bill,
            Some(after) if *key < *after.segment => continue,
            Some(_) | None => 0,
        };
        let rest = segment.bills.get(skip..).unwrap_or_default();
        let taken = rest.len().min(limit - bills.len());
        bills.extend_from_slice(&rest[..taken]);
        if taken < rest.len() {
            let bill = skip + taken;
            let segment = key.into();
            return (bills, Some(Position { segment, bill }));
        }
    }
    (bills, None)
}
