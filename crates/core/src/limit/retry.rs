//! Retry budget, as a share of the traffic.

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Allowed retries per request.
    pub share: f64,
    /// Maximum number of unused retries that accumulate; also allowed before any traffic.
    pub reserve: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 0.1,
            reserve: 10.0,
        }
    }
}

/// Bounds retries as a share of the traffic, so that retries cannot multiply an overload.
///
/// Over any period, retries are at most `share` times the requests plus `reserve`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    /// Unused retries; between 0 and `reserve`.
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            balance: settings.reserve,
            settings,
        }
    }

    /// Replaces the settings; unused retries above the new reserve are lost.
    pub fn update_settings(&mut self, settings: Settings) {
        self.balance = self.balance.min(settings.reserve);
        self.settings = settings;
    }

    /// Records a first attempt, which adds `share` to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.share).min(self.settings.reserve);
    }

    /// Takes a retry from the budget; `false` when the request must fail instead.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
