//! Decides when a second copy of a slow request is due, and whether the operator's share of extra
//! work allows it.
//!
//! The load that this addresses: a service whose upstreams differ in speed and are slowed down for
//! short periods, called by many hosts each of which sees less than one request per second of a
//! route. Samples therefore count for minutes, and each host keeps its own share.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, time::Duration};

/// Latencies that are kept; more change the quantile little.
const SAMPLE_LIMIT: usize = 128;
/// Latencies from which on the delay follows them: with fewer, the quantile is the maximum.
const MIN_SAMPLES: usize = 20;
/// Part of the objective after which a copy is due while fewer are known.
const OBJECTIVE_DIVISOR: u32 = 2;
/// Age at which a latency no longer counts. At 0.4 requests per second, [`MIN_SAMPLES`] come within
/// a minute.
const RETENTION: Duration = Duration::from_secs(300);
/// Share of the requests that are answered before a copy of them is due.
const QUANTILE: f64 = 0.95;
/// A copy is not due before this multiple of the median. The slowest upstreams work at 0.6 of the
/// usual speed, which alone must not cause copies.
const MEDIAN_FACTOR: u32 = 2;
/// A copy is not due earlier than this: differences below it come from the scheduling of a host with
/// a tenth of a core.
const MIN_DELAY: Duration = Duration::from_millis(10);
/// Copies that may be sent at once after a quiet time.
const BURST: f64 = 2.0;

/// The copies of one route on one host.
///
/// Since its creation it allows at most the share of the recorded requests and a part of one copy.
/// The mean over hosts is the share.
#[derive(Clone, Debug)]
pub struct Hedge {
    /// Copies per request, from 0 to 1.
    share: f64,
    /// Copies that the share allows now, at most [`BURST`].
    copies: f64,
    /// Time and latency of the last answers, the oldest first.
    samples: VecDeque<(Duration, Duration)>,
}

impl Hedge {
    /// Creates the state of a route without latencies. `credit` is uniform in [0, 1): the part of a
    /// copy that is saved already. A host with few requests would need minutes for a whole one; with
    /// random parts, the copies of a fleet match the share from the start.
    pub fn new(share: f64, credit: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        Self {
            share,
            copies: if share > 0.0 { credit } else { 0.0 },
            samples: VecDeque::new(),
        }
    }

    /// Records a request, which adds to the share.
    pub fn record_request(&mut self) {
        self.copies = (self.copies + self.share).min(BURST);
    }

    /// Records the time that an upstream took to answer, or had taken when its answer was no longer
    /// needed.
    pub fn record_latency(&mut self, now: Duration, latency: Duration) {
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back((now, latency));
    }

    /// Returns the time after which a copy of an unanswered request is due: half of the objective
    /// while few latencies are known.
    ///
    /// Most requests are answered before it. A copy is due early enough that a usual answer still
    /// meets the objective, unless usual answers take so long that it would mean to send every
    /// request twice.
    pub fn delay(&mut self, now: Duration, objective: Duration) -> Duration {
        self.samples
            .retain(|(at, _)| now.saturating_sub(*at) <= RETENTION);
        if self.samples.len() < MIN_SAMPLES {
            return (objective / OBJECTIVE_DIVISOR).max(MIN_DELAY);
        }
        let mut latencies: Vec<_> = self.samples.iter().map(|(_, latency)| *latency).collect();
        latencies.sort_unstable();
        let rank = |share: f64| (latencies.len() as f64 * share) as usize;
        let (median, most) = (latencies[rank(0.5)], latencies[rank(QUANTILE)]);
        let latest = objective.saturating_sub(median);
        let earliest = (median * MEDIAN_FACTOR).max(MIN_DELAY);
        most.min(latest).max(earliest)
    }

    /// Returns whether [`Self::take_copy`] would allow a copy now.
    pub fn has_copy(&self) -> bool {
        self.copies >= 1.0
    }

    /// Takes a copy from the share; `false` when none is left.
    #[must_use]
    pub fn take_copy(&mut self) -> bool {
        let has_copy = self.has_copy();
        if has_copy {
            self.copies -= 1.0;
        }
        has_copy
    }
}
