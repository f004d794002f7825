//! Stepwise rollout of a model version.

use {super::Settings, std::time::Duration};

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Proceeds through the steps.
    Running,
    /// Errors exceeded the limit; no further engine loads the version.
    Halted,
    /// Every replica may have the version.
    Done,
}

/// Rollout of one version.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Version that the replicas had before.
    pub from: u64,
    /// Version that is rolled out.
    pub to: u64,
    phase: Phase,
    /// Index of the current step in [`Settings::steps`].
    step: usize,
    /// When all replicas of the current step had loaded the version; `None` before that.
    since: Option<Duration>,
    requests: u64,
    errors: u64,
}

impl Rollout {
    /// Starts a rollout.
    pub fn new(from: u64, to: u64) -> Self {
        Self {
            from,
            to,
            phase: Phase::Running,
            step: 0,
            since: None,
            requests: 0,
            errors: 0,
        }
    }

    /// Creates a rollout that was halted before.
    pub fn halted(from: u64, to: u64) -> Self {
        Self {
            phase: Phase::Halted,
            ..Self::new(from, to)
        }
    }

    /// Creates the rollback to the version that the replicas had before. That version was already
    /// observed and needs no steps.
    pub fn rollback(from: u64, to: u64) -> Self {
        Self {
            phase: Phase::Done,
            ..Self::new(from, to)
        }
    }

    /// Returns whether errors exceeded the limit.
    pub fn is_halted(&self) -> bool {
        self.phase == Phase::Halted
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns how many of `count` replicas may have the new version: at least one, so that a
    /// first step of 0 is a single replica.
    pub fn allowed_replicas(&self, settings: &Settings, count: usize) -> usize {
        let share = match self.phase {
            Phase::Halted => return 0,
            Phase::Done => 1.0,
            Phase::Running => settings.steps.get(self.step).copied().unwrap_or(1.0),
        };
        ((count as f64 * share).ceil() as usize).clamp(1, count.max(1))
    }

    /// Counts responses of the new version, and halts the rollout when too many are errors. A
    /// rollout that is done no longer halts, since no replica may be left with the old version.
    pub fn record_responses(&mut self, settings: &Settings, requests: u64, errors: u64) {
        if self.phase != Phase::Running {
            return;
        }
        self.requests += requests;
        self.errors += errors;
        let share = self.errors as f64 / self.requests.max(1) as f64;
        if self.requests >= settings.min_requests && share > settings.error_share {
            self.phase = Phase::Halted;
        }
    }

    /// Moves to the next step when `updated` of `count` replicas complete the current one and it
    /// was observed for long enough with enough requests.
    pub fn advance(&mut self, settings: &Settings, now: Duration, updated: usize, count: usize) {
        if self.phase != Phase::Running || updated < self.allowed_replicas(settings, count) {
            return;
        }
        let since = *self.since.get_or_insert(now);
        if now.saturating_sub(since) < settings.observation_time
            || self.requests < settings.min_requests
        {
            return;
        }
        self.step += 1;
        self.since = None;
        self.requests = 0;
        self.errors = 0;
        if self.step >= settings.steps.len() {
            self.phase = Phase::Done;
        }
    }
}
