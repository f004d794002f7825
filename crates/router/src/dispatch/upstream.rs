//! The places of one upstream.

use {
    marigoldroute_core::limit::{Concurrency, ConcurrencySettings, Ramp, RampSettings},
    std::time::Duration,
};

/// Places before anything is known of an upstream.
///
/// Long streams end rarely, so the limit adapts slowly; a low first value would hold back a burst
/// of streams for seconds.
const INITIAL_CONCURRENCY: u32 = 128;

/// An upstream counts as used for this time after a request.
const IN_USE_TIME: Duration = Duration::from_secs(60);

/// The limit of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) limit: Concurrency,
    /// Absent when the upstream was in service all along.
    ramp: Option<Ramp>,
    /// Time of the last request.
    pub(super) last_used: Option<Duration>,
    /// Sequence number of the last cache event.
    pub(super) last_cache_sequence: u64,
}

/// How upstreams in their slow start are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RampMode {
    /// To their share of what the busiest other upstream has in flight on this host. A share of
    /// the limit alone would not bound them: the limit is that of one host, and with many hosts
    /// each one sends far less than it allows.
    Slow {
        /// Requests in flight there.
        busiest: u32,
    },
    /// Not at all.
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
    /// Begins a slow start; returns its end.
    pub(super) fn begin_slow_start(&mut self, now: Duration) -> Duration {
        let settings = RampSettings::default();
        let end = now + settings.length;
        self.ramp = Some(Ramp::new(settings, now));
        end
    }

    /// Returns the share of the load that the upstream gets, 1 after the slow start.
    pub(super) fn share(&self, now: Duration) -> f64 {
        self.ramp.as_ref().map_or(1.0, |ramp| ramp.share(now))
    }

    /// Returns whether a request was sent lately.
    pub(super) fn is_in_use(&self, now: Duration) -> bool {
        self.last_used.is_some_and(|used| now < used + IN_USE_TIME)
    }

    /// Returns whether another request may be sent.
    pub(super) fn has_capacity(&self, now: Duration, start: RampMode) -> bool {
        let share = self.share(now);
        let is_within = match start {
            RampMode::Slow { busiest } if share < 1.0 => {
                let bound = (f64::from(busiest) * share) as u32;
                self.limit.has_capacity(share) && self.limit.in_flight() < bound.max(1)
            }
            RampMode::Slow { .. } | RampMode::Full => true,
        };
        is_within && self.limit.has_capacity(1.0)
    }
}
