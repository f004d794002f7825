//! Which hosts hold the tokens of a budget, and in which order they are asked.
//!
//! In a small fleet every host holds every budget. In a larger one that would split a budget into
//! parts that are smaller than a request, so a budget has few holders, spread over availability
//! zones, and the other hosts reserve there.

use crate::{
    fleet::{ZonedHost, rank_across_zones},
    id::{HostId, Zone},
};

/// Fewest holders of a budget in a larger fleet; there is at least one in each availability zone.
const LEAST_HOLDERS: usize = 4;
/// Hosts that are asked after the holders, in case these are not reached.
const SPARE_HOLDERS: usize = 2;
/// Hosts that are asked for one reservation, so that a refusal comes soon.
const MOST_ASKED: usize = 5;

/// The fleet as one host knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// This host.
    own: HostId,
    /// Its availability zone.
    zone: Zone,
    /// Live hosts, with this one.
    hosts: Vec<ZonedHost>,
    /// Whether hosts that started together with this one are counted. Before, this host takes itself
    /// as the holder of too many budgets.
    is_settled: bool,
}

impl Assignment {
    /// Hosts up to which every host holds every budget.
    pub const SMALL_FLEET_LIMIT: usize = 8;

    /// Creates the places of the host `own`; `hosts` are the live ones.
    pub fn new(own: HostId, zone: Zone, hosts: Vec<ZonedHost>) -> Self {
        Self {
            own,
            zone,
            hosts,
            is_settled: false,
        }
    }

    /// Notes that hosts which started together with this one are counted.
    pub fn mark_settled(self) -> Self {
        Self {
            is_settled: true,
            ..self
        }
    }

    /// Returns whether tokens should be fetched before they are asked for.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns whether this host should hold tokens of a budget.
    pub fn is_holder(&self, budget: &str) -> bool {
        let mut holders = self.ranked(budget).into_iter().take(self.holders());
        self.hosts.len() <= Self::SMALL_FLEET_LIMIT
            || holders.any(|host| host.weighted.host == self.own)
    }

    /// Returns the hosts to ask for a reservation, the first one first: this host if it is a
    /// holder, then the holders of its zone, then the others by rank.
    pub fn candidates(&self, budget: &str) -> Vec<HostId> {
        let holders = self.holders();
        let ranked = self
            .ranked(budget)
            .into_iter()
            .take(holders + SPARE_HOLDERS);
        let mut asked: Vec<_> = ranked.enumerate().collect();
        // The sort is stable, so it keeps the ranking among hosts that are equally near.
        asked.sort_by_key(|(rank, host)| {
            let is_own = host.weighted.host == self.own;
            (*rank >= holders, !is_own, host.zone != self.zone)
        });
        let asked = asked.into_iter().take(MOST_ASKED);
        let mut order: Vec<_> = asked.map(|(_, host)| host.weighted.host.clone()).collect();
        if order.is_empty() {
            order.push(self.own.clone());
        }
        order
    }

    fn ranked(&self, budget: &str) -> Vec<&ZonedHost> {
        rank_across_zones(budget, &self.hosts)
    }

    fn holders(&self) -> usize {
        if self.hosts.len() <= Self::SMALL_FLEET_LIMIT {
            return self.hosts.len();
        }
        let mut zones: Vec<_> = self.hosts.iter().map(|host| &host.zone).collect();
        zones.sort();
        zones.dedup();
        zones.len().max(LEAST_HOLDERS)
    }
}
