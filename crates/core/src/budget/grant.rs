//! Sizes of grants and marks.

use {super::bound, crate::id::Tokens, derive_more::Display, std::time::Duration};

/// Row writes per second of all holders together; the table service takes several hundred.
const FLEET_WRITES: f64 = 600.0;
/// Row writes per second of one holder, so that refills are possible in any fleet.
const LEAST_PACE: f64 = 1.0;
/// Time for which a holder saves up writes.
const SAVED: Duration = Duration::from_secs(2);
/// Writes that every holder may save up: a journal row and three budget rows.
const LEAST_SAVED: f64 = 4.0;

/// Unreserved tokens below this fraction of the smallest grant are not worth frequent reads.
const SCRAP: Tokens = 8;

/// Settings of a [`super::Holder`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// For how long a holder should be able to serve its demand without the store, while the
    /// budget has ample tokens left.
    pub endurance: Duration,
    /// The same when the budget is nearly exhausted.
    pub min_endurance: Duration,
    /// Time constant of the average that follows a rise of demand.
    pub rise_time: Duration,
    /// Time constant of the average that keeps grants through a lull.
    pub fall_time: Duration,
    /// For how long a grant should cover demand. At `endurance / low_water`, the mark can be raised
    /// to its full lead until the next refill.
    pub horizon: Duration,
    /// Share of its target below which a holder refills its tokens and raises its mark, from 0
    /// (only on shortage) to 1.
    pub low_water: f64,
    /// Part of a budget's unspent tokens that a holder aims for until it knows the demand, from 0
    /// (only `min_grant`) to 1. Without it, a store that goes away early finds holders without tokens.
    pub initial_share: f64,
    /// Smallest grant in tokens, so that the first request of a budget does not need several.
    pub min_grant: Tokens,
    /// A holder aims for at most this fraction of a budget's unspent tokens, so that the last
    /// tokens are neither spread over all holders nor held by one. A lower
    /// number lets a region that is cut off go on for longer, and strands more tokens.
    pub divisor: Tokens,
    /// How long an exhausted budget is reported as such before the row is read again.
    pub exhausted_ttl: Duration,
    /// How long a holder that lacks tokens waits for other holders to return theirs before it
    /// reports the budget as exhausted.
    pub exhaustion_delay: Duration,
    /// How often a holder reads the row of a budget of which it has unreserved tokens.
    pub review_interval: Duration,
    /// The same when the budget is nearly exhausted. Holders that are asked for tokens which they
    /// lack read the row in any case, so a long time delays only the return by idle holders.
    pub short_review_interval: Duration,
    /// Rows that the holder writes per second outside its regular flushes, and in budget rows with
    /// them; see [`Settings::for_fleet`].
    pub writes_per_second: f64,
    /// Bounds on what a holder uses between its rows; without them, the tokens up to the mark of a
    /// process that has ended stay stranded.
    pub bound: Option<bound::Settings>,
    /// Largest number of open reservations and of bills that no row holds yet, taken together.
    pub reservation_limit: usize,
    /// Largest number of budgets of one holder.
    pub budget_limit: usize,
    /// Number of the latest billed requests that are recognised when they are repeated.
    pub dedup_limit: usize,
    /// Largest number of bills in a row, and of budget rows in a transaction.
    pub batch_limit: usize,
    /// Bytes that the bills of a row may take; the rest of what a row of the table service holds is
    /// for the shares.
    pub bill_bytes_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            endurance: Duration::from_secs(3_600),
            rise_time: Duration::from_secs(300),
            fall_time: Duration::from_secs(1_800),
            min_endurance: Duration::from_secs(10),
            horizon: Duration::from_secs(7_200),
            low_water: 0.5,
            initial_share: 0.0,
            min_grant: 4_096,
            divisor: 4,
            exhausted_ttl: Duration::from_secs(5),
            exhaustion_delay: Duration::from_secs(2),
            review_interval: Duration::from_secs(300),
            short_review_interval: Duration::from_secs(30),
            writes_per_second: f64::INFINITY,
            bound: None,
            reservation_limit: 65_536,
            budget_limit: 16_384,
            dedup_limit: 16_384,
            batch_limit: 1_024,
            bill_bytes_limit: 512 << 10,
        }
    }
}

/// What a user weighs more; overspend is not part of the choice.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Preset {
    /// Neither.
    #[default]
    #[display("balanced")]
    Balanced,
    /// False refusals, see [`Settings::few_refusals`].
    #[display("few-refusals")]
    FewRefusals,
    /// Tokens stranded by lost holders, see [`Settings::few_stranded`].
    #[display("few-stranded")]
    FewStranded,
}

impl Preset {
    /// Every preset.
    pub const ALL: [Self; 3] = [Self::Balanced, Self::FewRefusals, Self::FewStranded];

    /// Returns the preset of a name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|preset| preset.to_string() == name)
    }

    /// Returns the settings.
    pub fn settings(self) -> Settings {
        match self {
            Self::Balanced => Settings::default(),
            Self::FewRefusals => Settings::few_refusals(),
            Self::FewStranded => Settings::few_stranded(),
        }
    }
}

impl Settings {
    /// Preset for a user who gives more weight to false refusals.
    pub fn few_refusals() -> Self {
        Self {
            low_water: 0.7,
            min_grant: 16_384,
            ..Self::default()
        }
    }

    /// Preset for a user who gives more weight to tokens stranded by lost holders.
    pub fn few_stranded() -> Self {
        Self {
            endurance: Duration::from_secs(600),
            min_endurance: Duration::from_secs(4),
            horizon: Duration::from_secs(3_600),
            low_water: 0.3,
            min_grant: 2_048,
            ..Self::default()
        }
    }

    /// Returns the settings of one of `hosts` holders that together write at most
    /// [`FLEET_WRITES`] rows per second, also when the whole fleet starts at once.
    pub fn for_fleet(self, hosts: usize) -> Self {
        Self {
            writes_per_second: (FLEET_WRITES / hosts.max(1) as f64).max(LEAST_PACE),
            ..self
        }
    }

    /// Returns the settings with another endurance. A longer one lengthens the grants too, because a
    /// mark cannot be above the tokens allocated.
    pub fn with_endurance(self, endurance: Duration) -> Self {
        let needed = endurance.as_secs_f64() / self.low_water.clamp(0.1, 1.0);
        Self {
            endurance,
            min_endurance: self.min_endurance.min(endurance),
            horizon: self.horizon.max(Duration::from_secs_f64(needed)),
            ..self
        }
    }

    /// Returns how many unreserved tokens a holder should have when `pool` tokens are left for it
    /// and in the budget row.
    pub fn target(&self, pool: Tokens, demand: &Demand) -> Tokens {
        let wish = demand.during(self.horizon).max(self.first(pool, demand));
        let fair = pool / self.divisor.max(1);
        wish.min(fair.max(self.least(demand))).min(pool)
    }

    /// Returns how far the mark should be above spent and reserved tokens.
    pub fn lead(&self, pool: Tokens, demand: &Demand) -> Tokens {
        let fair = pool / self.divisor.max(1);
        let wish = demand.during(self.endurance).max(self.first(pool, demand));
        wish.min(fair.max(self.least(demand)))
    }

    /// Returns the least grant: more than `min_grant` while the demand is not known.
    fn first(&self, pool: Tokens, demand: &Demand) -> Tokens {
        if demand.seen >= self.rise_time {
            return self.min_grant;
        }
        let share = pool as f64 * self.initial_share.clamp(0.0, 1.0);
        self.min_grant.max(share as Tokens)
    }

    /// Returns how many unreserved tokens a holder keeps when others lack tokens.
    pub fn least(&self, demand: &Demand) -> Tokens {
        demand.during(self.min_endurance)
    }

    /// Returns the low-water level of a target.
    pub fn low(&self, target: Tokens) -> Tokens {
        (target as f64 * self.low_water.clamp(0.0, 1.0)) as Tokens
    }

    /// Returns after what time to read a row again that had `rest` tokens left.
    ///
    /// Other holders can only starve soon when the rest is small compared with the demand or with
    /// what this holder could return.
    pub fn next_review(&self, rest: Tokens, headroom: Tokens, demand: &Demand) -> Duration {
        let all = demand
            .during(self.review_interval)
            .saturating_mul(self.divisor);
        let useful = headroom >= self.min_grant / SCRAP;
        if useful && rest < all.max(headroom) {
            self.short_review_interval
        } else {
            self.review_interval
        }
    }
}

/// Smoothed demand of one budget at one holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Tokens per second, averaged over [`Settings::rise_time`].
    rise: f64,
    /// Tokens per second, averaged over [`Settings::fall_time`].
    lull: f64,
    /// Time over which it was measured.
    seen: Duration,
}

impl Demand {
    /// Adds `tokens` spent during `elapsed`.
    pub fn add(&mut self, settings: &Settings, tokens: Tokens, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        // The time before the first use says nothing about the demand.
        if seconds <= 0.0 || (tokens == 0 && self.seen.is_zero()) {
            return;
        }
        self.seen += elapsed;
        let rate = tokens as f64 / seconds;
        self.rise += (rate - self.rise) * self.weight(seconds, settings.rise_time);
        self.lull += (rate - self.lull) * self.weight(seconds, settings.fall_time);
    }

    /// Returns the weight of the newest sample: that of a plain mean until it was measured for the
    /// time constant, so that the first samples are not averaged with an assumed demand of 0.
    fn weight(&self, seconds: f64, constant: Duration) -> f64 {
        let constant = constant.min(self.seen).as_secs_f64();
        1.0 - (-seconds / constant).exp()
    }

    /// Returns whether tokens were used for long enough to be measured.
    pub fn is_known(&self) -> bool {
        !self.seen.is_zero()
    }

    /// Returns the tokens to expect during `time`: it follows a rise quickly and a fall slowly.
    pub fn during(&self, time: Duration) -> Tokens {
        (self.rise.max(self.lull) * time.as_secs_f64()) as Tokens
    }
}

/// The row writes that a holder may make now.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Below 0 after a regular flush that was not covered.
    writes: f64,
    since: Duration,
}

impl Allowance {
    /// Starts with what every holder may save up, as before the first request.
    pub fn new() -> Self {
        Self {
            writes: LEAST_SAVED,
            since: Duration::ZERO,
        }
    }

    /// Returns the number of budget rows that a transaction may write beside its journal row.
    pub fn budgets(&self, now: Duration, settings: &Settings) -> usize {
        (self.at(now, settings) - 1.0).max(0.0) as usize
    }

    /// Takes the writes of a transaction.
    pub fn spend(&mut self, now: Duration, settings: &Settings, writes: usize) {
        let writes = self.at(now, settings) - writes as f64;
        // A long series of regular flushes does not keep a holder from refills for longer.
        self.writes = writes.max(-LEAST_SAVED);
        self.since = now;
    }

    fn at(&self, now: Duration, settings: &Settings) -> f64 {
        if settings.writes_per_second.is_infinite() {
            return settings.batch_limit as f64 + 1.0;
        }
        let elapsed = now.saturating_sub(self.since).as_secs_f64();
        let most = (settings.writes_per_second * SAVED.as_secs_f64()).max(LEAST_SAVED);
        (self.writes + elapsed * settings.writes_per_second).min(most)
    }
}
