//! Bound on the retries of the fleet, divided between its hosts.

use {
    crate::limit::{RetryBudget, RetrySettings},
    std::time::Duration,
};

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
/// Over any period, the host makes at most its part of the slack plus a share of its own requests.
#[derive(Clone, Debug)]
pub struct Allowance {
    settings: Settings,
    budget: RetryBudget,
    hosts: usize,
}

impl Allowance {
    /// Creates the budget of one of many hosts; [`Self::set_hosts`] corrects their number.
    pub fn new(settings: Settings) -> Self {
        Self {
            budget: RetryBudget::new(budget_settings(settings, ASSUMED_HOSTS)),
            settings,
            hosts: ASSUMED_HOSTS,
        }
    }

    /// Sets the number of hosts that the slack is divided between; 0 counts as 1.
    pub fn set_hosts(&mut self, hosts: usize) {
        let hosts = hosts.max(1);
        if hosts != self.hosts {
            self.hosts = hosts;
            self.budget
                .update_settings(budget_settings(self.settings, hosts));
        }
    }

    /// Records a request, which adds to the budget.
    pub fn deposit(&mut self) {
        self.budget.deposit();
    }

    /// Takes a retry from the budget; `false` when the request must end instead.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        self.budget.withdraw()
    }
}

fn budget_settings(settings: Settings, hosts: usize) -> RetrySettings {
    RetrySettings {
        share: settings.share * SHARE_FACTOR,
        reserve: (settings.slack / hosts as f64).max(1.0),
    }
}
