//! Load of a host's network link.
//!
//! Callers are spread over hosts by a hash, and hosts differ in size, so some get more than their
//! link carries. Everything that passes such a host then waits for seconds. The host reports that
//! it takes no new callers before that, and the balancer gives them to others.

use std::time::Duration;

/// Settings of a [`Link`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Bytes per second that the link carries in each direction; `None` when it is not known.
    pub capacity: Option<f64>,
    /// Share of the capacity from which the link is busy. What is left is for headers, for messages
    /// between hosts and for the variation within a second.
    pub high: f64,
    /// Share of the capacity below which a busy link may become calm.
    pub low: f64,
    /// How long the load must be below `low` at first. It doubles each time the link is busy again
    /// within `memory`: the same callers come back to the host when it takes callers again.
    pub cooldown: Duration,
    /// Most that it is doubled to.
    pub cooldown_limit: Duration,
    /// Time without load after which the cooldown is as at first.
    pub memory: Duration,
    /// Time constant of the average.
    pub smoothing: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: None,
            high: 0.6,
            low: 0.35,
            cooldown: Duration::from_secs(4),
            cooldown_limit: Duration::from_secs(64),
            memory: Duration::from_secs(120),
            smoothing: Duration::from_secs(1),
        }
    }
}

/// Decides whether a link is busy, from the bytes that pass it.
#[derive(Clone, Debug)]
pub struct Link {
    settings: Settings,
    /// Bytes per second, averaged.
    rate: f64,
    /// Time of the average.
    at: Duration,
    is_busy: bool,
    /// Since when the load has been below the low share.
    low_since: Option<Duration>,
    /// Present time below the low share until the link is calm.
    cooldown: Duration,
    /// When the link was last calm again.
    calm_at: Option<Duration>,
}

impl Link {
    /// Creates the link of a host without traffic.
    pub fn new(settings: Settings) -> Self {
        Self {
            cooldown: settings.cooldown,
            settings,
            rate: 0.0,
            at: Duration::ZERO,
            is_busy: false,
            low_since: None,
            calm_at: None,
        }
    }

    /// Counts bytes in the direction that carries more.
    pub fn record_bytes(&mut self, now: Duration, bytes: usize) {
        self.decay(now);
        self.rate += bytes as f64 / self.settings.smoothing.as_secs_f64();
    }

    /// Returns whether the host should take no new callers.
    pub fn is_busy(&mut self, now: Duration) -> bool {
        self.decay(now);
        let Some(capacity) = self.settings.capacity else {
            return false;
        };
        if self.rate >= capacity * self.settings.high && !self.is_busy {
            self.is_busy = true;
            let is_again = |calm: Duration| now.saturating_sub(calm) < self.settings.memory;
            self.cooldown = match self.calm_at.is_some_and(is_again) {
                true => (self.cooldown * 2).min(self.settings.cooldown_limit),
                false => self.settings.cooldown,
            };
        }
        if self.rate >= capacity * self.settings.low {
            self.low_since = None;
        } else {
            let since = *self.low_since.get_or_insert(now);
            if self.is_busy && now.saturating_sub(since) >= self.cooldown {
                self.is_busy = false;
                self.calm_at = Some(now);
            }
        }
        self.is_busy
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-elapsed / self.settings.smoothing.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }
}
