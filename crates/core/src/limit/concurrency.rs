//! Limit on the requests in flight at an upstream, from measured latency.

use std::time::Duration;

/// Measurements per adjustment at the lowest limits.
const WINDOW_LEAST: u32 = 4;

/// Settings of a [`Concurrency`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Limit before anything was measured.
    pub initial: u32,
    /// Lowest limit; at least 1, so that recovery can be noticed.
    pub least: u32,
    /// Highest limit.
    pub most: u32,
    /// Ratio of the recent latency to the unloaded latency up to which the limit may grow.
    pub tolerance: f64,
    /// Measurements per adjustment, at most; fewer when the limit is lower.
    pub window: u32,
    /// Factor on the limit when a window contains a failure.
    pub backoff: f64,
    /// Share by which the unloaded latency rises per window, so that a lasting change of the
    /// requests is learned.
    pub drift: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial: 32,
            least: 1,
            most: 512,
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
    /// Highest number of requests in flight.
    peak: u32,
}

/// Adaptive limit on the requests in flight at one upstream.
#[derive(Clone, Debug)]
pub struct Concurrency {
    settings: Settings,
    /// Between `least` and `most`.
    limit: f64,
    in_flight: u32,
    /// Lowest mean latency of a window, raised slowly; zero before the first window.
    unloaded: Duration,
    window: Window,
}

impl Concurrency {
    /// Creates the limit of an upstream without requests.
    pub fn new(mut settings: Settings) -> Self {
        settings.least = settings.least.max(1);
        settings.most = settings.most.max(settings.least);
        Self {
            limit: f64::from(settings.initial.clamp(settings.least, settings.most)),
            settings,
            in_flight: 0,
            unloaded: Duration::ZERO,
            window: Window::default(),
        }
    }

    /// Returns the present limit, lowered to `share` of it but at least 1.
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

    /// Takes a place when there is one; the place is given back by one of the other methods.
    #[must_use]
    pub fn acquire(&mut self, share: f64) -> bool {
        if !self.has_capacity(share) {
            return false;
        }
        self.in_flight += 1;
        self.window.peak = self.window.peak.max(self.in_flight);
        true
    }

    /// Gives a place back after a response with this latency.
    pub fn succeed(&mut self, latency: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.window.sum += latency;
        self.window.count += 1;
        self.adjust();
    }

    /// Gives a place back after a failure that can be due to overload.
    pub fn fail(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.window.failures += 1;
        self.window.count += 1;
        self.adjust();
    }

    /// Gives a place back without a measurement.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn adjust(&mut self) {
        // At a low limit, a full window would take many round trips and delay the recovery.
        let longest = self.settings.window.max(WINDOW_LEAST);
        let needed = (self.limit as u32).clamp(WINDOW_LEAST, longest);
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
            self.follow(latency, window.peak)
        };
        let (least, most) = (self.settings.least, self.settings.most);
        self.limit = limit.clamp(f64::from(least), f64::from(most));
    }

    fn follow(&mut self, latency: Duration, peak: u32) -> f64 {
        let drifted = self.unloaded.mul_f64(1.0 + self.settings.drift);
        self.unloaded = if self.unloaded.is_zero() {
            latency
        } else {
            drifted.min(latency)
        };
        let allowed = self.unloaded.as_secs_f64() * self.settings.tolerance;
        let gradient = (allowed / latency.as_secs_f64().max(1e-6)).clamp(0.5, 1.0);
        // A limit that was not reached says nothing about the latency above it.
        let is_reached = f64::from(peak) >= self.limit * 0.8;
        let room = if gradient >= 1.0 && is_reached {
            self.limit.sqrt()
        } else {
            0.0
        };
        self.limit * gradient + room
    }
}
