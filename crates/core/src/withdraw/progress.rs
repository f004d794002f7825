//! Progress of a withdrawal.

use {
    crate::{
        config::{Catalog, Running},
        fleet,
        id::HostId,
    },
    serde::Serialize,
    std::collections::BTreeMap,
};

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It is idempotent.
    Allowed,
    /// It must run at most once.
    Never,
}

/// What happens to a request that runs on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It goes on.
    Finish,
    /// It is cancelled and moved to another upstream.
    Move,
}

impl Disposition {
    /// Returns what happens to a request under a configuration.
    pub fn of(catalog: &Catalog, upstream: &str, serves: &str, repeat: Repeat) -> Self {
        let hosting = catalog.hosting.get(upstream);
        let is_moving = hosting.is_some_and(|hosting| hosting.running == Running::Move);
        let is_serving = catalog.candidates(serves).any(|(id, _)| **id == *upstream);
        if is_moving && !is_serving && repeat == Repeat::Allowed {
            Self::Move
        } else {
            Self::Finish
        }
    }
}

/// How far a withdrawal has come.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Progress {
    /// On which hosts it is in effect.
    pub hosts: fleet::Progress,
    /// Requests that still run on the batch, by the hosts that have answered.
    pub running: BTreeMap<HostId, u64>,
}

impl Progress {
    /// Returns whether it is in effect on every host that can be reached.
    pub fn is_in_effect(&self) -> bool {
        self.hosts.behind.is_empty()
    }

    /// Returns whether no work runs on the batch any more, as far as hosts can be reached.
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
