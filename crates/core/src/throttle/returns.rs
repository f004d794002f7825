//! When refused callers should return.

use {
    crate::id::ServiceId,
    std::{collections::HashMap, time::Duration},
};

/// Longest time after which a caller is told to return.
const RETURN_LIMIT: Duration = Duration::from_secs(30);

/// Gives the callers that are refused at the rate of a service's upstreams a turn each, so that as
/// many return in a second as can be served.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    /// Turn of the next caller, by service.
    turns: HashMap<ServiceId, Duration>,
}

impl Returns {
    /// Returns the time after which the next refused caller should return: not before `opens_at`,
    /// and `interval` after the one before.
    pub(super) fn schedule(
        &mut self,
        now: Duration,
        service: &ServiceId,
        opens_at: Duration,
        interval: Duration,
    ) -> Duration {
        let limit = now + RETURN_LIMIT;
        let turn = self.turns.entry(service.clone()).or_default();
        let own = opens_at.max(*turn).min(limit);
        *turn = (own + interval).min(limit);
        own.saturating_sub(now)
    }
}
