//! Bound on what a holder can have used since its last row.
//!
//! A mark that outlasts an outage of the store is far above what a holder uses while the store
//! answers. When the process of a holder has ended, the tokens up to the mark would be lost. So a
//! row also states what the holder uses at most, and the holder keeps to it: while the store
//! answers, a request waits for the row that states its reservation. Only when no row has taken effect
//! for some time, reservations go on without one: a part of the demand at first, a multiple of it
//! after the hold time. The successor of a process that has certainly ended knows from the time since the row what may have
//! been used, and returns the rest.

use {
    super::grant::Demand,
    crate::id::Tokens,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Tokens that a holder can have used of a budget, as a function of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// Clock of the store in milliseconds, read before the row was made.
    pub at_ms: u64,
    /// Spent and reserved tokens when the row was made.
    pub used: Tokens,
    /// Tokens of the requests that waited for the row, and those that may be reserved at once besides.
    pub burst: Tokens,
    /// Tokens that may be reserved besides per second since the row was made, once `hold_ms` have
    /// passed.
    pub rate: Tokens,
    /// The same per second since `early_ms`, until `hold_ms` have passed.
    #[serde(default)]
    pub early_rate: Tokens,
    /// Time after which the first tokens may be reserved without a new row, in milliseconds.
    #[serde(default)]
    pub early_ms: u64,
    /// Time after which the holder may go on without a new row, in milliseconds. A process that
    /// dies while the store answers is followed by another one earlier than that.
    pub hold_ms: u64,
}

impl Bound {
    /// Returns the tokens that may be reserved within `elapsed` after the row was made.
    fn allowed(&self, elapsed: Duration) -> Tokens {
        let early = elapsed.min(self.hold()).saturating_sub(self.early());
        let early = (self.early_rate as f64 * early.as_secs_f64()) as Tokens;
        let late = match elapsed < self.hold() {
            true => 0,
            false => (self.rate as f64 * elapsed.as_secs_f64()) as Tokens,
        };
        self.burst.saturating_add(early.max(late))
    }

    fn early(&self) -> Duration {
        Duration::from_millis(self.early_ms)
    }

    fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Returns how long after the row `tokens` may have been reserved; `None` for never.
    fn delay(&self, tokens: Tokens) -> Option<Duration> {
        if tokens <= self.burst {
            return Some(Duration::ZERO);
        }
        let beyond = (tokens - self.burst) as f64;
        let after = |rate: Tokens| Duration::try_from_secs_f64(beyond / rate as f64).ok();
        let early = after(self.early_rate).map(|delay| self.early().saturating_add(delay));
        let late = after(self.rate).map(|delay| delay.max(self.hold()));
        early.filter(|early| *early < self.hold()).or(late)
    }

    /// Returns the tokens that can have been used when the store's clock shows `now_ms`.
    pub fn max_used(&self, now_ms: u64) -> Tokens {
        let elapsed = Duration::from_millis(now_ms.saturating_sub(self.at_ms));
        // One token covers what the other side lost by rounding down.
        self.used
            .saturating_add(self.allowed(elapsed))
            .saturating_add(1)
    }
}

/// Settings of the bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Tokens per second as a multiple of the demand, so that a rising demand is served while the
    /// store does not answer.
    pub rate_factor: f64,
    /// Time of demand that may be reserved without waiting for a row. It is lost when a process dies;
    /// without it, each request waits for a row.
    pub burst_time: Duration,
    /// Time after a row in which only that and requests that the row states are served.
    pub early_delay: Duration,
    /// Part of the demand that is served between `early_delay` and `hold_time`, from 0 to 1. What is not used
    /// of it is lost when a process dies and is followed by another one within that time.
    pub early_factor: f64,
    /// Time after a row from which `rate_factor` applies.
    pub hold_time: Duration,
    /// Age at which a row is followed by another one although there is nothing new to state, so that
    /// a holder at rest that dies is not taken for one that went on without rows.
    pub renewal_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate_factor: 1.2,
            burst_time: Duration::ZERO,
            early_delay: Duration::from_millis(900),
            early_factor: 0.6,
            hold_time: Duration::from_millis(2_200),
            renewal_age: Duration::from_millis(700),
        }
    }
}

impl Settings {
    /// Returns the bound of a new row; `waiting` are the tokens of the requests that wait for it, and
    /// `even` the tokens per second at which the mark lasts for the holder's endurance.
    pub(super) fn bound(
        &self,
        at_ms: u64,
        used: Tokens,
        demand: &Demand,
        waiting: Tokens,
        even: Tokens,
    ) -> Bound {
        Bound {
            at_ms,
            used,
            burst: waiting + demand.during(self.burst_time),
            rate: demand
                .during(Duration::from_secs(1).mul_f64(self.rate_factor))
                .max(even),
            early_rate: demand.during(Duration::from_secs(1).mul_f64(self.early_factor)),
            early_ms: self.early_delay.as_millis() as u64,
            hold_ms: self.hold_time.as_millis() as u64,
        }
    }
}

/// Counts reservations against a bound.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    bound: Bound,
    /// When the row was made, by the holder's clock.
    made: Duration,
    /// Tokens reserved since, whether they were used or not.
    reserved: Tokens,
    /// Part of the burst that was not for requests that waited.
    spare: Tokens,
}

impl Meter {
    /// Starts to count; `waiting` are the tokens of the requests that waited for the row.
    pub fn new(bound: Bound, made: Duration, waiting: Tokens) -> Self {
        Self {
            bound,
            made,
            reserved: 0,
            spare: bound.burst.saturating_sub(waiting),
        }
    }

    /// Returns whether more than half of what may be reserved without waiting is taken.
    pub fn is_low(&self) -> bool {
        let left = self.bound.burst.saturating_sub(self.reserved);
        self.spare > 0 && left < self.spare / 2
    }

    /// Returns the tokens that may be reserved now.
    pub fn free(&self, now: Duration) -> Tokens {
        let allowed = self.bound.allowed(self.age(now));
        allowed.saturating_sub(self.reserved)
    }

    /// Returns how long to wait until `tokens` may be reserved, if nothing else is reserved
    /// meanwhile; `None` for ever.
    pub fn wait_time(&self, now: Duration, tokens: Tokens) -> Option<Duration> {
        let delay = self.bound.delay(self.reserved.saturating_add(tokens))?;
        Some((self.made + delay).saturating_sub(now))
    }

    pub fn take(&mut self, tokens: Tokens) {
        self.reserved = self.reserved.saturating_add(tokens);
    }

    /// Returns whether tokens may be reserved without a new row at some time.
    pub fn has_lead(&self) -> bool {
        self.bound.rate > 0 || self.bound.early_rate > 0
    }

    /// Returns the time since the row was made.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.made)
    }
}
