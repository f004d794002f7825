//! Bound on what a holder can have used since its last row.
//!
//! A mark that outlasts an outage of the store is far above what a holder uses while the store
//! answers. When the process of a holder has ended, the tokens up to the mark would be lost. So a
//! row also states how fast the holder uses tokens at most, and the holder keeps to it: the
//! successor of a process that has certainly ended knows from the time since the row what may have
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
    /// Tokens that may be reserved until `hold_ms` have passed.
    pub burst: Tokens,
    /// Tokens that may be reserved per second since the row was made, once `hold_ms` have passed.
    pub rate: Tokens,
    /// Time after which the holder may go on without a new row, in milliseconds. A process that
    /// dies while the store answers is followed by another one earlier than that.
    pub hold_ms: u64,
}

impl Bound {
    /// Returns the tokens that may be reserved within `elapsed` after the row was made.
    fn allowed(&self, elapsed: Duration) -> Tokens {
        if elapsed < self.hold() {
            return self.burst;
        }
        let over_time = (self.rate as f64 * elapsed.as_secs_f64()) as Tokens;
        self.burst.max(over_time)
    }

    fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Returns how long after the row `tokens` may have been reserved; `None` for never.
    fn delay(&self, tokens: Tokens) -> Option<Duration> {
        if tokens <= self.burst {
            return Some(Duration::ZERO);
        }
        let seconds = tokens as f64 / self.rate as f64;
        let delay = Duration::try_from_secs_f64(seconds).ok()?;
        Some(delay.max(self.hold()))
    }

    /// Returns the tokens that can have been used when the store's clock shows `now_ms`.
    pub fn most(&self, now_ms: u64) -> Tokens {
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
    pub rate: f64,
    /// Time of demand that may be reserved at once.
    pub burst: Duration,
    /// Time after a row in which the holder keeps to the burst.
    pub hold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 1.2,
            burst: Duration::from_millis(800),
            hold: Duration::from_millis(2_200),
        }
    }
}

impl Settings {
    /// Returns the bound of a new row; `lacked` is what a reservation was refused for, and `even`
    /// the tokens per second at which the mark lasts for the holder's endurance.
    pub(super) fn bound(
        &self,
        at_ms: u64,
        used: Tokens,
        demand: &Demand,
        lacked: Tokens,
        even: Tokens,
    ) -> Bound {
        Bound {
            at_ms,
            used,
            burst: demand.during(self.burst).max(lacked),
            rate: demand
                .during(Duration::from_secs(1).mul_f64(self.rate))
                .max(even),
            hold_ms: self.hold.as_millis() as u64,
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
}

impl Meter {
    pub fn new(bound: Bound, made: Duration) -> Self {
        let reserved = 0;
        Self {
            bound,
            made,
            reserved,
        }
    }

    /// Returns the tokens that may be reserved now.
    pub fn free(&self, now: Duration) -> Tokens {
        let allowed = self.bound.allowed(now.saturating_sub(self.made));
        allowed.saturating_sub(self.reserved)
    }

    /// Returns how long to wait until `tokens` may be reserved, if nothing else is reserved
    /// meanwhile; `None` for ever.
    pub fn wait(&self, now: Duration, tokens: Tokens) -> Option<Duration> {
        let delay = self.bound.delay(self.reserved.saturating_add(tokens))?;
        Some((self.made + delay).saturating_sub(now))
    }

    pub fn take(&mut self, tokens: Tokens) {
        self.reserved = self.reserved.saturating_add(tokens);
    }

    /// Returns whether more than half of the burst is taken.
    pub fn is_low(&self, now: Duration) -> bool {
        self.free(now) < self.bound.burst / 2
    }
}
