//! Progress of a withdrawal, and the treatment of running requests.

use {
    crate::{
        config::{Catalog, RunningPolicy},
        fleet,
        id::HostId,
    },
    serde::Serialize,
    std::collections::BTreeMap,
};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent.
    Allowed,
    /// The request must be executed at most once.
    Never,
}

/// What happens to a running request when its upstream is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It continues on its upstream.
    Finish,
    /// It is cancelled and moved to another upstream.
    Move,
}

impl Disposition {
    /// Returns what happens to a request for the model or service `serves` that runs on `upstream`.
    ///
    /// A request moves if its upstream gets no new work of that kind, running work is set to move,
    /// and the request may be repeated.
    pub fn of(catalog: &Catalog, upstream: &str, serves: &str, repeat: Repeat) -> Self {
        let hosting = catalog.hosting.get(upstream);
        let is_moving = hosting.is_some_and(|hosting| hosting.running == RunningPolicy::Move);
        let is_serving = catalog.candidates(serves).any(|(id, _)| **id == *upstream);
        if is_moving && !is_serving && repeat == Repeat::Allowed {
            Self::Move
        } else {
            Self::Finish
        }
    }
}

/// Progress of a withdrawal on the hosts of the fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Progress {
    /// Hosts on which the configuration version of the withdrawal is in effect.
    pub hosts: fleet::Progress,
    /// Number of requests that still run on withdrawn upstreams, by host. Hosts that did not answer
    /// are absent.
    pub running: BTreeMap<HostId, u64>,
}

impl Progress {
    /// Returns whether the withdrawal is in effect on every reachable host.
    pub fn is_in_effect(&self) -> bool {
        self.hosts.behind.is_empty()
    }

    /// Returns whether the withdrawal is in effect on every reachable host and each of them has
    /// answered that no requests run on withdrawn upstreams.
    pub fn is_done(&self) -> bool {
        let running = |host| self.running.get(host).copied();
        self.is_in_effect()
            && self
                .hosts
                .applied
                .iter()
                .all(|host| running(host) == Some(0))
    }
}
