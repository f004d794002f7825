//! Slow start of upstreams that have just come into service.

use std::time::Duration;

/// Settings of a [`Ramp`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time until an upstream gets its full limit.
    pub length: Duration,
    /// Share of the limit at the start, from 0 to 1.
    pub floor: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(20),
            floor: 0.1,
        }
    }
}

/// Share of its limit that an upstream gets, which rises linearly from the floor to 1.
#[derive(Clone, Debug)]
pub struct Ramp {
    settings: Settings,
    since: Duration,
}

impl Ramp {
    /// Starts the ramp at `now`.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            since: now,
        }
    }

    /// Returns the share, between the floor and 1.
    pub fn share(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.since).as_secs_f64();
        let length = self.settings.length.as_secs_f64();
        let progress = if length > 0.0 { elapsed / length } else { 1.0 };
        let floor = self.settings.floor.clamp(0.0, 1.0);
        (floor + (1.0 - floor) * progress).min(1.0)
    }
}
