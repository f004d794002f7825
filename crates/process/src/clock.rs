//! The monotonic clock whose readings are passed to the decision logic.

use std::time::{Duration, Instant};

/// Monotonic clock that reads as the time since its creation.
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

    /// Converts a time since the origin to an [`Instant`], for timers.
    pub fn instant(&self, at: Duration) -> Instant {
        self.0 + at
    }
}
