//! Protection of engines from the orders of an earlier lease holder.

use {
    super::{Engine, Settings},
    std::time::Duration,
};

/// The placement lease as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Fencing number; greater than that of every earlier holder.
    pub fencing: u64,
    /// Time at which this holder acquired the lease.
    pub acquired: Duration,
    /// Time until which the lease is known to be held.
    pub until: Duration,
}

impl Lease {
    /// Returns whether an order may be sent to an engine.
    ///
    /// An engine that refuses old fencing numbers protects itself. For one that ignores them, all
    /// orders of the previous holder must have arrived: its lease time, which may have been
    /// extended until just before this one was acquired, and the pause bound must have passed.
    pub fn permits(&self, settings: &Settings, now: Duration, engine: &Engine) -> bool {
        let quiet = self.acquired + settings.lease_time + settings.pause_bound;
        now < self.until && (engine.is_fencing || now >= quiet)
    }
}
