//! Bound on the retries of the fleet, divided between its hosts.

use std::time::Duration;

/// Factor on the allowed share of retries. A request may have left the sliding window when the
/// retry that it allows is made, so the share is kept below the bound.
const SHARE_FACTOR: f64 = 0.5;
/// Number of hosts assumed until the size of the fleet is known.
const ASSUMED_HOSTS: usize = 64;

/// Bound on the retries at one service by all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Allowed retries per request.
    pub share: f64,
    /// Allowed retries beyond the share, of all hosts together.
    pub slack: f64,
    /// Length of the sliding window over which the bound holds.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Retry budget of one host for one service.
///
/// In any window, the host makes at most its part of the slack plus a share of its own requests in
/// that window and the one before it. A part below one retry only adds to the share.
#[derive(Clone, Debug)]
pub struct Allowance {
    settings: Settings,
    hosts: usize,
    /// Unused part of the slack.
    slack: f64,
    /// When a retry last used the slack.
    slack_used_at: Option<Duration>,
    /// Unused share of the requests in the current and in the previous half of a window.
    earned: [f64; 2],
    /// Number of the current half of a window.
    half: u128,
}

impl Allowance {
    /// Creates the budget of one of many hosts; [`Self::set_hosts`] corrects their number.
    pub fn new(settings: Settings) -> Self {
        Self {
            slack: settings.slack / ASSUMED_HOSTS as f64,
            settings,
            hosts: ASSUMED_HOSTS,
            slack_used_at: None,
            earned: [0.0; 2],
            half: 0,
        }
    }

    /// Sets the number of hosts that the slack is divided between; 0 counts as 1.
    pub fn set_hosts(&mut self, hosts: usize) {
        let hosts = hosts.max(1);
        if hosts != self.hosts {
            let used = self.part() - self.slack;
            self.hosts = hosts;
            self.slack = (self.part() - used).max(0.0);
        }
    }

    /// Records a request, which adds to the budget.
    pub fn deposit(&mut self, now: Duration) {
        self.advance(now);
        let limit = self.part().max(1.0);
        let [current, previous] = &mut self.earned;
        let added = self.settings.share * SHARE_FACTOR;
        *current = (*current + added).min((limit - *previous).max(0.0));
    }

    /// Returns whether [`Self::withdraw`] would take a retry now.
    pub fn has_retry(&mut self, now: Duration) -> bool {
        self.advance(now);
        let [current, previous] = self.earned;
        current + previous + self.slack >= 1.0
    }

    /// Takes a retry from the budget; `false` when the request must end instead.
    #[must_use]
    pub fn withdraw(&mut self, now: Duration) -> bool {
        if !self.has_retry(now) {
            return false;
        }
        let [current, previous] = self.earned;
        // What expires first is used first.
        let from_previous = previous.min(1.0);
        let from_current = current.min(1.0 - from_previous);
        self.earned = [current - from_current, previous - from_previous];
        let from_slack = 1.0 - from_previous - from_current;
        if from_slack > 0.0 {
            self.slack -= from_slack;
            self.slack_used_at = Some(now);
        }
        true
    }

    /// Takes a retry for a request that has not failed. It must leave enough for retries after
    /// failures: one, and half of this host's part of the slack.
    #[must_use]
    pub fn withdraw_spare(&mut self, now: Duration) -> bool {
        self.advance(now);
        let [current, previous] = self.earned;
        let reserve = (self.part() / 2.0).max(1.0);
        current + previous + self.slack >= 1.0 + reserve && self.withdraw(now)
    }

    /// Returns this host's part of the slack.
    fn part(&self) -> f64 {
        self.settings.slack / self.hosts as f64
    }

    /// Drops what has expired, and restores the slack that was not used for a window.
    fn advance(&mut self, now: Duration) {
        let half = now.as_nanos() / (self.settings.window / 2).as_nanos().max(1);
        match half.saturating_sub(self.half) {
            0 => {}
            1 => self.earned = [0.0, self.earned[0]],
            _ => self.earned = [0.0; 2],
        }
        self.half = self.half.max(half);
        if let Some(used_at) = self.slack_used_at
            && now.saturating_sub(used_at) > self.settings.window
        {
            self.slack = self.part();
            self.slack_used_at = None;
        }
    }
}
