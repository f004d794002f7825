//! Concurrency limit and slow start of one upstream.

use {
    marigoldroute_core::limit::{Concurrency, ConcurrencySettings, Ramp, RampSettings},
    std::time::Duration,
};

/// Concurrency limit of an upstream before any response was observed.
///
/// Long streams end rarely, so the limit adapts slowly; a low initial value would delay a burst of
/// streams for seconds.
const INITIAL_CONCURRENCY: u32 = 128;

/// Time after a request for which an upstream counts as in use.
const IN_USE_TIME: Duration = Duration::from_secs(60);

/// State of one upstream on this host.
#[derive(Debug)]
pub(super) struct UpstreamState {
    /// Bound on the requests of this host in flight.
    pub(super) limit: Concurrency,
    /// Slow start; absent when the upstream has been in service since the process started.
    ramp: Option<Ramp>,
    /// Time of the last request that was sent to it.
    pub(super) last_used: Option<Duration>,
    /// Sequence number of the last prefix cache event; 0 before the first.
    pub(super) last_cache_sequence: u64,
}

/// Bound on upstreams in their slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RampMode {
    /// Each gets at most its share of what the busiest other upstream has in flight on this host.
    /// A share of the concurrency limit alone would not bound them: the limit applies to one host,
    /// and with many hosts each one sends far less than it allows.
    Slow {
        /// Requests in flight at the busiest upstream that is not in its slow start.
        busiest: u32,
    },
    /// No bound beyond the concurrency limit.
    Full,
}

impl Default for UpstreamState {
    fn default() -> Self {
        let settings = ConcurrencySettings {
            initial: INITIAL_CONCURRENCY,
            ..ConcurrencySettings::default()
        };
        Self {
            limit: Concurrency::new(settings),
            ramp: None,
            last_used: None,
            last_cache_sequence: 0,
        }
    }
}

impl UpstreamState {
    /// Begins a slow start; returns the time at which it ends.
    pub(super) fn begin_slow_start(&mut self, now: Duration) -> Duration {
        let settings = RampSettings::default();
        let end = now + settings.length;
        self.ramp = Some(Ramp::new(settings, now));
        end
    }

    /// Returns the share of the full load that the upstream may get; 1 after the slow start.
    pub(super) fn share(&self, now: Duration) -> f64 {
        self.ramp.as_ref().map_or(1.0, |ramp| ramp.share(now))
    }

    /// Returns whether a request was sent within [`IN_USE_TIME`].
    pub(super) fn is_in_use(&self, now: Duration) -> bool {
        self.last_used.is_some_and(|used| now < used + IN_USE_TIME)
    }

    /// Returns whether another request may be sent under `ramp_mode`.
    pub(super) fn has_capacity(&self, now: Duration, ramp_mode: RampMode) -> bool {
        let share = self.share(now);
        let is_within = match ramp_mode {
            RampMode::Slow { busiest } if share < 1.0 => {
                let bound = (f64::from(busiest) * share) as u32;
                self.limit.has_capacity(share) && self.limit.in_flight() < bound.max(1)
            }
            RampMode::Slow { .. } | RampMode::Full => true,
        };
        is_within && self.limit.has_capacity(1.0)
    }
}
