//! The clock that drives the decision logic.

use std::time::{Duration, Instant};

/// Time since the process's clock origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn new() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// Returns the instant of a time since the origin, for timers.
    pub(crate) fn instant(&self, at: Duration) -> tokio::time::Instant {
        (self.0 + at).into()
    }
}
