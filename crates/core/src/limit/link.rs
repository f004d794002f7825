//! Load of a host's network link.
//!
//! Callers are distributed over hosts by a hash, and hosts differ in size, so some hosts receive
//! more traffic than their link carries. Everything that passes such a host is then delayed by
//! seconds. Before that happens, the host reports that it takes no new callers, and the load
//! balancer sends them to other hosts.

use std::time::Duration;

/// Settings of a [`Link`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Capacity of the link in bytes per second, in each direction; `None` when it is unknown.
    pub capacity: Option<f64>,
    /// Share of the capacity from which the link is busy. The rest is for headers, for messages
    /// between hosts and for variation within a second.
    pub high: f64,
    /// Share of the capacity below which a busy link can recover.
    pub low: f64,
    /// Initial time that the load must stay below `low` to recover. It doubles each time the link
    /// is busy again within `memory`, because the same callers return to a host that takes callers
    /// again.
    pub cooldown: Duration,
    /// Maximum that `cooldown` is doubled to.
    pub cooldown_limit: Duration,
    /// Time after a recovery from which `cooldown` has its initial value again.
    pub memory: Duration,
    /// Time constant of the average load.
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

/// Determines from the bytes that pass a link whether it is busy.
#[derive(Clone, Debug)]
pub struct Link {
    settings: Settings,
    /// Average load in bytes per second.
    rate: f64,
    /// Time at which `rate` was last updated.
    at: Duration,
    is_busy: bool,
    /// Since when the load has been below `low`, without interruption.
    low_since: Option<Duration>,
    /// Time below `low` that the current or next recovery takes.
    cooldown: Duration,
    /// Time of the last recovery.
    recovered_at: Option<Duration>,
}

impl Link {
    /// Creates the state of a link without traffic.
    pub fn new(settings: Settings) -> Self {
        Self {
            cooldown: settings.cooldown,
            settings,
            rate: 0.0,
            at: Duration::ZERO,
            is_busy: false,
            low_since: None,
            recovered_at: None,
        }
    }

    /// Records bytes in the direction with more traffic.
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
            let is_recent =
                |recovered_at: Duration| now.saturating_sub(recovered_at) < self.settings.memory;
            self.cooldown = match self.recovered_at.is_some_and(is_recent) {
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
                self.recovered_at = Some(now);
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
