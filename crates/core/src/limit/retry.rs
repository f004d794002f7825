//! Retry budget.

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retries per request.
    pub share: f64,
    /// Retries that can be saved up; also those allowed before any traffic.
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
    /// Between 0 and `reserve`.
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            saved: settings.reserve,
            settings,
        }
    }

    /// Replaces the settings; what is saved above the new reserve is lost.
    pub fn update_settings(&mut self, settings: Settings) {
        self.saved = self.saved.min(settings.reserve);
        self.settings = settings;
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.settings.share).min(self.settings.reserve);
    }

    /// Takes a retry from the budget; `false` when the request must fail instead.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
