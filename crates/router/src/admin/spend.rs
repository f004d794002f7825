//! Spend by workspace, budget or model.

use {
    super::{Admin, answer::Result, key::Operator, ring::Role},
    marigoldroute_core::id::Tokens,
    poem_openapi::{Enum, Object, OpenApi, param::Query, payload::Json},
    std::{collections::BTreeMap, sync::Arc},
};

/// Operations on spend.
pub(super) struct Api(pub(super) Arc<Admin>);

/// What spend is grouped by.
#[derive(Clone, Copy, Debug, Enum, PartialEq, Eq)]
#[oai(rename_all = "snake_case")]
enum By {
    Workspace,
    Budget,
    Model,
    Upstream,
}

/// Sums of bills.
#[derive(Clone, Debug, Default, Object)]
#[oai(rename = "SpendTotal")]
struct Total {
    /// Workspace, budget, model or upstream.
    name: String,
    /// Number of bills.
    bills: u64,
    /// Tokens charged.
    charged: Tokens,
    /// Tokens that upstreams used above the reservations; not charged.
    uncovered: Tokens,
}

/// A report of spend.
#[derive(Clone, Debug, Object)]
#[oai(rename = "Spend")]
struct Report {
    /// Sums, sorted by name.
    totals: Vec<Total>,
    /// Whether every bill was counted; name a budget to read less.
    complete: bool,
}

#[OpenApi]
impl Api {
    /// Adds up the bills.
    #[oai(path = "/spend", method = "get")]
    async fn report(
        &self,
        operator: Operator,
        /// What to group by.
        by: Query<By>,
        /// Only bills of this budget.
        budget: Query<Option<String>>,
    ) -> Result<Json<Report>> {
        operator.0.require(Role::Read)?;
        let found = self.0.bills(budget.0.as_deref(), "", usize::MAX).await?;
        let mut totals: BTreeMap<Arc<str>, Total> = BTreeMap::new();
        for bill in found.groups.iter().flat_map(|group| &group.bills) {
            let name = match by.0 {
                By::Workspace => &bill.workspace,
                By::Budget => &bill.budget,
                By::Model => &bill.model,
                By::Upstream => &bill.upstream,
            };
            let total = totals.entry(name.clone()).or_default();
            total.bills += 1;
            total.charged += bill.charged;
            total.uncovered += bill.uncovered;
        }
        let named = totals.into_iter().map(|(name, total)| Total {
            name: name.to_string(),
            ..total
        });
        Ok(Json(Report {
            totals: named.collect(),
            complete: found.is_complete,
        }))
    }
}
