//! Protection of engines from the orders of an earlier lease holder.

use {
    super::{Engine, Settings},
    std::time::Duration,
};

/// The placement lease, as its holder sees it.
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
    /// An engine that refuses old fencing numbers protects itself. For one that ignores them, no
    /// order of the previous holder may still be in flight: that holder may have renewed its lease
    /// just before this one was acquired, so the lease time and the pause bound must have passed.
    pub fn permits(&self, settings: &Settings, now: Duration, engine: &Engine) -> bool {
        let safe_from = self.acquired + settings.lease_time + settings.pause_bound;
        now < self.until && (engine.is_fencing || now >= safe_from)
    }
}
