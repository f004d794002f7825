//! Which host schedules the requests of a service.

use {
    crate::{
        fleet::{WeightedHost, rank},
        id::{HostId, ServiceId},
    },
    std::collections::HashMap,
};

/// Hosts that are asked for one choice at most: the scheduler, and the one that takes over.
const CANDIDATES: usize = 2;
/// Schedulers are among the hosts that have at least this part of the weight of the largest one. A
/// scheduler handles several datagrams for each request of the fleet, too many for a small host.
const MIN_WEIGHT_SHARE: f64 = 0.5;

/// Sizes of a fleet and a service for which one host schedules the requests of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Smallest number of live hosts.
    pub min_hosts: usize,
    /// Largest number of engines of a service.
    pub max_engines: usize,
}

impl Default for Scope {
    fn default() -> Self {
        Self {
            // Up to 17 hosts tell one another their pending prompts.
            min_hosts: 18,
            // At this size a scheduler handles about 500 requests a second, 2% of a core.
            max_engines: 96,
        }
    }
}

/// The schedulers as one host computes them from the live hosts that it knows.
#[derive(Clone, Debug, Default)]
pub struct Election {
    scope: Scope,
    /// Number of live hosts, including this one.
    count: usize,
    /// Live hosts of sufficient size.
    hosts: Vec<WeightedHost>,
    /// Hosts to ask by service, computed once for each list of hosts.
    candidates: HashMap<ServiceId, Vec<HostId>>,
}

impl Election {
    /// Creates an election without hosts.
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            ..Self::default()
        }
    }

    /// Replaces the live hosts.
    pub fn update_hosts(&mut self, hosts: &[WeightedHost]) {
        self.count = hosts.len();
        let largest = hosts.iter().map(|host| host.weight).max().unwrap_or(0);
        let least = f64::from(largest) * MIN_WEIGHT_SHARE;
        let hosts = hosts.iter().filter(|host| f64::from(host.weight) >= least);
        let hosts: Vec<_> = hosts.cloned().collect();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.candidates.clear();
        }
    }

    /// Returns whether a service with this many engines has a scheduler.
    pub fn covers(&self, engines: usize) -> bool {
        self.count >= self.scope.min_hosts && engines <= self.scope.max_engines
    }

    /// Returns the hosts to ask for a choice, in this order: the scheduler of the service, and the
    /// host that takes over when it does not answer.
    pub fn candidates(&mut self, service: &ServiceId) -> &[HostId] {
        let hosts = &self.hosts;
        self.candidates.entry(service.clone()).or_insert_with(|| {
            let ranked = rank(service, hosts);
            ranked.into_iter().take(CANDIDATES).cloned().collect()
        })
    }
}
