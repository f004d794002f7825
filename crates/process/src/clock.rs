//! The clock that drives the decision logic.

use std::time::{Duration, Instant};

/// Time since the process's clock origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts a clock; its origin is now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// Returns the instant of a time since the origin, for timers.
    pub fn instant(&self, at: Duration) -> Instant {
        self.0 + at
    }
}
