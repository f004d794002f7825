//! Assignment of budgets to the hosts that hold their tokens.
//!
//! In a small fleet every host holds tokens of every budget. In a larger one, this would split a
//! budget into parts smaller than a request. There, a budget has a few holders, spread over the
//! availability zones, and the other hosts make their reservations at these.

use crate::{
    fleet::{ZonedHost, rank_across_zones},
    id::{HostId, Zone},
};

/// Minimum number of holders of a budget in a large fleet; each availability zone has at least one.
const MIN_HOLDERS: usize = 4;
/// Hosts that are asked after the holders, in case these are unreachable.
const SPARE_CANDIDATES: usize = 2;
/// Limit of hosts that are asked for a reservation, so that a refusal does not take long.
const CANDIDATE_LIMIT: usize = 5;

/// Assignment of budgets to hosts, computed from the fleet as one host knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// This host.
    own: HostId,
    /// Its availability zone.
    zone: Zone,
    /// Live hosts, including this one.
    hosts: Vec<ZonedHost>,
    /// Whether `hosts` includes those that started together with this one. Until then, this
    /// host is assigned too many budgets.
    is_settled: bool,
}

impl Assignment {
    /// Largest number of hosts at which every host holds every budget.
    pub const SMALL_FLEET_LIMIT: usize = 8;

    /// Creates the assignment as the host `own` computes it; `hosts` are the live hosts.
    pub fn new(own: HostId, zone: Zone, hosts: Vec<ZonedHost>) -> Self {
        Self {
            own,
            zone,
            hosts,
            is_settled: false,
        }
    }

    /// Marks the list of hosts as complete: those that started together with this one are in it.
    pub fn mark_settled(self) -> Self {
        Self {
            is_settled: true,
            ..self
        }
    }

    /// Returns whether the list of hosts is complete, so that holders may prefetch tokens.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns whether this host should hold tokens of a budget.
    pub fn is_holder(&self, budget: &str) -> bool {
        let mut holders = self
            .ranked_hosts(budget)
            .into_iter()
            .take(self.holder_count());
        self.hosts.len() <= Self::SMALL_FLEET_LIMIT
            || holders.any(|host| host.weighted.host == self.own)
    }

    /// Returns the hosts to ask for a reservation, in this order: this host if it is a holder, the
    /// holders in its zone, the other holders, and then the spare hosts, each group by rank.
    /// Without known hosts, returns this host.
    pub fn candidates(&self, budget: &str) -> Vec<HostId> {
        let holders = self.holder_count();
        let ranked = self
            .ranked_hosts(budget)
            .into_iter()
            .take(holders + SPARE_CANDIDATES);
        let mut candidates: Vec<_> = ranked.enumerate().collect();
        // The sort is stable and keeps the ranking within each group.
        candidates.sort_by_key(|(rank, host)| {
            let is_own = host.weighted.host == self.own;
            (*rank >= holders, !is_own, host.zone != self.zone)
        });
        let candidates = candidates.into_iter().take(CANDIDATE_LIMIT);
        let mut order: Vec<_> = candidates
            .map(|(_, host)| host.weighted.host.clone())
            .collect();
        if order.is_empty() {
            order.push(self.own.clone());
        }
        order
    }

    fn ranked_hosts(&self, budget: &str) -> Vec<&ZonedHost> {
        rank_across_zones(budget, &self.hosts)
    }

    fn holder_count(&self) -> usize {
        if self.hosts.len() <= Self::SMALL_FLEET_LIMIT {
            return self.hosts.len();
        }
        let mut zones: Vec<_> = self.hosts.iter().map(|host| &host.zone).collect();
        zones.sort();
        zones.dedup();
        zones.len().max(MIN_HOLDERS)
    }
}
