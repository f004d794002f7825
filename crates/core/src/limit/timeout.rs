//! Timeout for calls to a service that usually answers within milliseconds.
//!
//! When the service loses some answers, answered and unanswered calls alternate. Waiting for each
//! lost answer as long as for the slowest one would delay every request behind it.

use std::time::Duration;

/// Settings of an [`AdaptiveTimeout`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Timeout as a multiple of the smoothed latency.
    pub factor: f64,
    /// Minimum timeout; a host that has used up its CPU quota is suspended for up to 100 ms.
    pub min: Duration,
    /// Maximum timeout, also used before the first answer.
    pub max: Duration,
    /// Time since the first of the calls that failed in a row after which the service counts as
    /// unreachable.
    pub outage_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            factor: 8.0,
            min: Duration::from_millis(150),
            max: Duration::from_millis(1_100),
            outage_after: Duration::from_millis(500),
        }
    }
}

/// Weight of a new answer in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Adapts the timeout to the latency of a service and detects that it is unreachable.
#[derive(Clone, Debug)]
pub struct AdaptiveTimeout {
    settings: Settings,
    /// Smoothed latency in seconds; absent before the first answer.
    latency: Option<f64>,
    /// Failed calls since the last answer.
    failures: u32,
    /// Time of the first failure since the last answer.
    failing_since: Option<Duration>,
}

impl AdaptiveTimeout {
    /// Creates the state before the first call.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            latency: None,
            failures: 0,
            failing_since: None,
        }
    }

    /// Returns the timeout of the next call; it doubles with each failure in a row.
    pub fn current(&self) -> Duration {
        let Settings {
            factor, min, max, ..
        } = self.settings;
        let Some(latency) = self.latency else {
            return max;
        };
        let wait = Duration::from_secs_f64(latency * factor).max(min);
        let doubled = wait.mul_f64(f64::from(1_u32 << self.failures.min(8)));
        doubled.min(max)
    }

    /// Records that a call was answered after `time`.
    pub fn record_answer(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let latency = self.latency.unwrap_or(time);
        self.latency = Some(latency + (time - latency) * LATENCY_WEIGHT);
        self.failures = 0;
        self.failing_since = None;
    }

    /// Records that a call failed at `now`.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether the service is unreachable: all calls have failed for the time
    /// [`Settings::outage_after`].
    pub fn is_unreachable(&self, now: Duration) -> bool {
        let outage_after = self.settings.outage_after;
        let failing_since = self.failing_since;
        failing_since.is_some_and(|since| now.saturating_sub(since) >= outage_after)
    }
}
