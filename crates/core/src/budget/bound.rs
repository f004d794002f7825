//! Bound on the tokens that a holder can have used since its last row.
//!
//! A mark that outlasts an outage of the store is far above what a holder uses while the store
//! answers, and the tokens up to the mark would be lost with the process of the holder. Therefore a
//! row also states a bound on use, and the holder enforces it: while the store answers, a request
//! waits for the row that states its reservation. Only when no row has taken effect for some time
//! are tokens reserved without one: a part of the demand at first, and a multiple of it after the
//! hold time. From the bound and the age of the last row, the successor of a process that has
//! certainly ended knows how many tokens can have been used, and returns the others.

use {
    super::grant::Demand,
    crate::id::Tokens,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Upper bound on the tokens of a budget that a holder has used, as a function of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// Time of the store's clock in milliseconds, read before the row was made.
    pub at_ms: u64,
    /// Spent and reserved tokens when the row was made.
    pub used: Tokens,
    /// Tokens that may be reserved at any time after the row was made: those of the requests that
    /// waited for it, and an allowance for further ones.
    pub burst: Tokens,
    /// Further tokens that may be reserved per second since the row was made, once `hold_ms` have
    /// passed.
    pub rate: Tokens,
    /// Further tokens that may be reserved per second from `early_ms` until `hold_ms` after the row
    /// was made.
    #[serde(default)]
    pub early_rate: Tokens,
    /// Time in milliseconds after which tokens beyond the burst may be reserved at `early_rate`.
    #[serde(default)]
    pub early_ms: u64,
    /// Time in milliseconds after which tokens may be reserved at `rate`. A process that dies while
    /// the store answers is replaced by another one before that.
    pub hold_ms: u64,
}

impl Bound {
    /// Returns the tokens that may be reserved within `elapsed` after the row was made.
    fn allowed(&self, elapsed: Duration) -> Tokens {
        let early = elapsed
            .min(self.hold_time())
            .saturating_sub(self.early_delay());
        let early = (self.early_rate as f64 * early.as_secs_f64()) as Tokens;
        let late = match elapsed < self.hold_time() {
            true => 0,
            false => (self.rate as f64 * elapsed.as_secs_f64()) as Tokens,
        };
        self.burst.saturating_add(early.max(late))
    }

    fn early_delay(&self) -> Duration {
        Duration::from_millis(self.early_ms)
    }

    fn hold_time(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Returns the time after the row at which a total of `tokens` may be reserved; `None` for
    /// never.
    fn delay(&self, tokens: Tokens) -> Option<Duration> {
        if tokens <= self.burst {
            return Some(Duration::ZERO);
        }
        let excess = (tokens - self.burst) as f64;
        let after = |rate: Tokens| Duration::try_from_secs_f64(excess / rate as f64).ok();
        let early = after(self.early_rate).map(|delay| self.early_delay().saturating_add(delay));
        let late = after(self.rate).map(|delay| delay.max(self.hold_time()));
        early.filter(|early| *early < self.hold_time()).or(late)
    }

    /// Returns the tokens that can have been used by the time `now_ms` of the store's clock.
    pub fn max_used(&self, now_ms: u64) -> Tokens {
        let elapsed = Duration::from_millis(now_ms.saturating_sub(self.at_ms));
        // One more token makes up for what the holder or its successor loses by rounding down.
        self.used
            .saturating_add(self.allowed(elapsed))
            .saturating_add(1)
    }
}

/// Settings from which a holder computes the [`Bound`] of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// [`Bound::rate`] as a multiple of the demand, so that a rising demand is served while the
    /// store does not answer.
    pub rate_factor: f64,
    /// Time whose demand may be reserved without waiting for a row. These tokens are lost when the
    /// process dies; at zero, each request waits for a row.
    pub burst_time: Duration,
    /// Time after a row during which only the burst may be reserved.
    pub early_delay: Duration,
    /// Part of the demand that is served between `early_delay` and `hold_time`, from 0 to 1. The
    /// unused tokens of this part are lost when the process dies and is replaced within that time.
    pub early_factor: f64,
    /// Time after a row from which `rate_factor` applies.
    pub hold_time: Duration,
    /// Age at which a row is renewed although it has nothing new to state, so that the successor of
    /// an idle holder does not have to assume that it reserved tokens without rows.
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
    /// Returns the bound of a new row. `waiting` is the number of tokens of the requests that wait
    /// for it, and `even_rate` the tokens per second at which the mark lasts for the endurance.
    pub(super) fn bound(
        &self,
        at_ms: u64,
        used: Tokens,
        demand: &Demand,
        waiting: Tokens,
        even_rate: Tokens,
    ) -> Bound {
        Bound {
            at_ms,
            used,
            burst: waiting + demand.during(self.burst_time),
            rate: demand
                .during(Duration::from_secs(1).mul_f64(self.rate_factor))
                .max(even_rate),
            early_rate: demand.during(Duration::from_secs(1).mul_f64(self.early_factor)),
            early_ms: self.early_delay.as_millis() as u64,
            hold_ms: self.hold_time.as_millis() as u64,
        }
    }
}

/// Counts the reservations made since a row against its bound.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    bound: Bound,
    /// When the row was made, by the holder's clock.
    made_at: Duration,
    /// Tokens reserved since the row was made, whether they were used or not.
    reserved: Tokens,
    /// Part of the burst beyond the requests that waited for the row.
    spare_burst: Tokens,
}

impl Meter {
    /// Creates a meter of a row made at `made_at`; `waiting` is the number of tokens of the
    /// requests that waited for it.
    pub fn new(bound: Bound, made_at: Duration, waiting: Tokens) -> Self {
        Self {
            bound,
            made_at,
            reserved: 0,
            spare_burst: bound.burst.saturating_sub(waiting),
        }
    }

    /// Returns whether more than half of the spare burst is used.
    pub fn is_low(&self) -> bool {
        let left = self.bound.burst.saturating_sub(self.reserved);
        self.spare_burst > 0 && left < self.spare_burst / 2
    }

    /// Returns the tokens that the bound allows to reserve now.
    pub fn free(&self, now: Duration) -> Tokens {
        let allowed = self.bound.allowed(self.age(now));
        allowed.saturating_sub(self.reserved)
    }

    /// Returns the time until `tokens` may be reserved if nothing else is reserved before; `None`
    /// if the bound never allows them.
    pub fn wait_time(&self, now: Duration, tokens: Tokens) -> Option<Duration> {
        let delay = self.bound.delay(self.reserved.saturating_add(tokens))?;
        Some((self.made_at + delay).saturating_sub(now))
    }

    /// Counts a reservation.
    pub fn record(&mut self, tokens: Tokens) {
        self.reserved = self.reserved.saturating_add(tokens);
    }

    /// Returns whether tokens beyond the burst may be reserved without a new row at some time.
    pub fn can_reserve_ahead(&self) -> bool {
        self.bound.rate > 0 || self.bound.early_rate > 0
    }

    /// Returns the time since the row was made.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.made_at)
    }
}
