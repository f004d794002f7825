//! Share of one host in the retries that the fleet may make.

use {
    crate::limit::{RetryBudget, RetrySettings},
    std::time::Duration,
};

/// Part of the allowed share that is used. Requests of the last window may end with it, so the
/// share is kept below the bound.
const USED: f64 = 0.5;
/// Hosts that are assumed until the size of the fleet is known.
const ASSUMED_HOSTS: usize = 64;

/// Bound on the retries at one service by all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries per request.
    pub share: f64,
    /// Retries beyond the share.
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

/// Retries of one host at one service.
///
/// Over any window, the host makes at most its part of the slack and a share of its own requests.
#[derive(Clone, Debug)]
pub struct Allowance {
    settings: Settings,
    budget: RetryBudget,
    hosts: usize,
}

impl Allowance {
    /// Starts with the part of one of many hosts.
    pub fn new(settings: Settings) -> Self {
        Self {
            budget: RetryBudget::new(retry(settings, ASSUMED_HOSTS)),
            settings,
            hosts: ASSUMED_HOSTS,
        }
    }

    /// Sets the number of hosts that share the slack.
    pub fn set_hosts(&mut self, hosts: usize) {
        let hosts = hosts.max(1);
        if hosts != self.hosts {
            self.hosts = hosts;
            self.budget.update_settings(retry(self.settings, hosts));
        }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.budget.deposit();
    }

    /// Takes a retry; `false` when the request must end instead.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        self.budget.withdraw()
    }
}

fn retry(settings: Settings, hosts: usize) -> RetrySettings {
    RetrySettings {
        share: settings.share * USED,
        reserve: (settings.slack / hosts as f64).max(1.0),
    }
}
