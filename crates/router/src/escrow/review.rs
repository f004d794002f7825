//! Requests to other holders of a budget to return tokens that they do not need.

use {
    crate::{control::Control, peer::Links},
    marigoldroute_core::{
        id::{BudgetId, HostId, Region},
        wire::{Body, Review},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// Minimum time between two requests for one budget.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Requests to other holders, limited in rate for each budget.
pub(super) struct Reviews {
    pub(super) own: HostId,
    pub(super) region: Region,
    pub(super) holders_per_region: usize,
    pub(super) links: Arc<Links>,
    pub(super) control: Control,
    /// Time of the next allowed request, by budget.
    pub(super) next: HashMap<BudgetId, Duration>,
    pub(super) calls: JoinSet<()>,
}

impl Reviews {
    /// Requests that the other holders of a budget review it because this one lacks tokens, at most
    /// once per [`REVIEW_INTERVAL`]. A lost message costs a refused request, not tokens.
    pub(super) fn request(&mut self, now: Duration, budget: &BudgetId) {
        self.next.retain(|_, next| *next > now);
        if self.next.contains_key(budget) {
            return;
        }
        self.next.insert(budget.clone(), now + REVIEW_INTERVAL);
        while self.calls.try_join_next().is_some() {}
        let snapshot = self.control.snapshot();
        let count = snapshot.holders_per_region(self.holders_per_region);
        for holder in snapshot.holders(budget, &self.region, count) {
            if *holder.host == self.own {
                continue;
            }
            let (links, host, address) = (self.links.clone(), holder.host.clone(), holder.address);
            let budget = budget.to_string();
            let body = Body::Review(Review { budget });
            self.calls
                .spawn(async move { drop(links.call(&host, address, body).await) });
        }
    }
}
