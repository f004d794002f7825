//! Limit on the requests in flight at an upstream, adapted to its latency.

use std::time::Duration;

/// Minimum number of measurements per adjustment.
const MIN_WINDOW: u32 = 4;

/// Settings of a [`Concurrency`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Limit before the first adjustment.
    pub initial: u32,
    /// Minimum of the limit; at least 1, so that a recovery can be detected.
    pub min: u32,
    /// Maximum of the limit.
    pub max: u32,
    /// Maximum ratio of the recent latency to the unloaded latency at which the limit may grow.
    pub tolerance: f64,
    /// Maximum number of measurements per adjustment; fewer are needed when the limit is lower.
    pub window: u32,
    /// Factor on the limit when a window contains a failure.
    pub backoff: f64,
    /// Share by which the estimate of the unloaded latency rises per window, so that it follows a
    /// lasting change of the requests.
    pub drift: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial: 32,
            min: 1,
            max: 512,
            tolerance: 2.0,
            window: 20,
            backoff: 0.8,
            drift: 0.01,
        }
    }
}

/// Measurements since the last adjustment.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum: Duration,
    count: u32,
    failures: u32,
    /// Maximum number of requests in flight.
    peak: u32,
}

/// Adaptive limit on the requests in flight at one upstream.
#[derive(Clone, Debug)]
pub struct Concurrency {
    settings: Settings,
    /// Between `min` and `max` of the settings.
    limit: f64,
    in_flight: u32,
    /// Lowest mean latency of a window, raised by `drift` per window; zero before the first window.
    unloaded: Duration,
    window: Window,
}

impl Concurrency {
    /// Creates the limit of an upstream without requests.
    pub fn new(mut settings: Settings) -> Self {
        settings.min = settings.min.max(1);
        settings.max = settings.max.max(settings.min);
        Self {
            limit: f64::from(settings.initial.clamp(settings.min, settings.max)),
            settings,
            in_flight: 0,
            unloaded: Duration::ZERO,
            window: Window::default(),
        }
    }

    /// Returns the current limit times `share`, but at least 1.
    pub fn limit(&self, share: f64) -> u32 {
        ((self.limit * share) as u32).max(1)
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether another request may be sent.
    pub fn has_capacity(&self, share: f64) -> bool {
        self.in_flight < self.limit(share)
    }

    /// Counts a request as in flight if the limit allows it. It must end with [`Self::succeed`],
    /// [`Self::fail`] or [`Self::release`].
    #[must_use]
    pub fn acquire(&mut self, share: f64) -> bool {
        if !self.has_capacity(share) {
            return false;
        }
        self.in_flight += 1;
        self.window.peak = self.window.peak.max(self.in_flight);
        true
    }

    /// Ends a request with a response of this latency.
    pub fn succeed(&mut self, latency: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.window.sum += latency;
        self.window.count += 1;
        self.adjust();
    }

    /// Ends a request with a failure that overload may have caused.
    pub fn fail(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.window.failures += 1;
        self.window.count += 1;
        self.adjust();
    }

    /// Ends a request without a measurement.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adjusts the limit when the window has enough measurements.
    fn adjust(&mut self) {
        // At a low limit, a full window would take many round trips and delay the recovery.
        let max_window = self.settings.window.max(MIN_WINDOW);
        let needed = (self.limit as u32).clamp(MIN_WINDOW, max_window);
        if self.window.count < needed {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.peak = self.in_flight;
        let answered = window.count - window.failures;
        let limit = if window.failures > 0 {
            self.limit * self.settings.backoff
        } else {
            let latency = window.sum / answered.max(1);
            self.adapt(latency, window.peak)
        };
        let (min, max) = (self.settings.min, self.settings.max);
        self.limit = limit.clamp(f64::from(min), f64::from(max));
    }

    /// Returns the limit that follows from the mean latency and the peak of a window without
    /// failures.
    fn adapt(&mut self, latency: Duration, peak: u32) -> f64 {
        let drifted = self.unloaded.mul_f64(1.0 + self.settings.drift);
        self.unloaded = if self.unloaded.is_zero() {
            latency
        } else {
            drifted.min(latency)
        };
        let allowed = self.unloaded.as_secs_f64() * self.settings.tolerance;
        let gradient = (allowed / latency.as_secs_f64().max(1e-6)).clamp(0.5, 1.0);
        // A limit that was not reached gives no information on the latency above it.
        let is_reached = f64::from(peak) >= self.limit * 0.8;
        let headroom = if gradient >= 1.0 && is_reached {
            self.limit.sqrt()
        } else {
            0.0
        };
        self.limit * gradient + headroom
    }
}
