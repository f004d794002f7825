//! How long to wait for a service that usually answers within milliseconds.
//!
//! Answered calls and calls without an answer alternate when the service loses some answers: waiting
//! for each lost one as long as for the slowest answer would delay every request behind it.

use std::time::Duration;

/// Settings of an [`AdaptiveTimeout`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Multiple of the usual time of an answer after which a call counts as unanswered.
    pub factor: f64,
    /// Shortest wait; a host whose share of a core is used up stands still for up to 100 ms.
    pub min: Duration,
    /// Longest wait.
    pub max: Duration,
    /// Time without an answer after which the service counts as out of reach.
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

/// Weight of the newest answer in the usual time.
const WEIGHT: f64 = 0.2;

/// What a caller knows of a service.
#[derive(Clone, Debug)]
pub struct AdaptiveTimeout {
    settings: Settings,
    /// Smoothed time of an answer, in seconds; absent before the first.
    usual: Option<f64>,
    /// Unanswered calls since the last answer.
    unanswered: u32,
    /// When the service was first not reached since its last answer.
    lost_at: Option<Duration>,
}

impl AdaptiveTimeout {
    /// Creates the state before the first call.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            usual: None,
            unanswered: 0,
            lost_at: None,
        }
    }

    /// Returns how long to wait for the next answer: it doubles with each one that did not come.
    pub fn current(&self) -> Duration {
        let Settings {
            factor, min, max, ..
        } = self.settings;
        let Some(usual) = self.usual else {
            return max;
        };
        let wait = Duration::from_secs_f64(usual * factor).max(min);
        let doubled = wait.mul_f64(f64::from(1_u32 << self.unanswered.min(8)));
        doubled.min(max)
    }

    /// Notes that a call was answered after `time`.
    pub fn record_answer(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let usual = self.usual.unwrap_or(time);
        self.usual = Some(usual + (time - usual) * WEIGHT);
        self.unanswered = 0;
        self.lost_at = None;
    }

    /// Notes that a call failed at `now`.
    pub fn record_failure(&mut self, now: Duration) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.lost_at.get_or_insert(now);
    }

    /// Returns whether the service is out of reach: it has not answered for the time of silence.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        let outage_after = self.settings.outage_after;
        let lost = self.lost_at;
        lost.is_some_and(|lost_at| now.saturating_sub(lost_at) >= outage_after)
    }
}
