//! Sizes of grants and marks, and the rate at which a holder writes rows.

use {super::bound, crate::id::Tokens, derive_more::Display, std::time::Duration};

/// Row writes per second of all holders together; the table service sustains several hundred.
const FLEET_WRITES_PER_SECOND: f64 = 600.0;
/// Minimum rate of row writes of a holder, so that refills are possible in a fleet of any size.
const MIN_WRITES_PER_SECOND: f64 = 1.0;
/// Time for which unused writes accumulate.
const BUCKET_TIME: Duration = Duration::from_secs(2);
/// Writes that any holder may accumulate: a journal row and three budget rows.
const MIN_BUCKET_WRITES: f64 = 4.0;

/// Unreserved tokens below this fraction of the smallest grant do not justify frequent reads of the
/// budget row.
const USEFUL_GRANT_DIVISOR: Tokens = 8;

/// Settings of a [`super::Holder`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time for which a holder can serve its demand without the store, while the budget has plenty
    /// of unallocated tokens.
    pub endurance: Duration,
    /// Time for which a holder can serve its demand without the store when the budget is nearly
    /// exhausted.
    pub min_endurance: Duration,
    /// Time constant of the moving average that follows a rise of demand.
    pub rise_time: Duration,
    /// Time constant of the moving average that keeps grants while demand is low for a while.
    pub fall_time: Duration,
    /// Time for which a grant covers the demand. At `endurance / low_water` or more, the mark can
    /// be raised to its full lead until the next refill.
    pub horizon: Duration,
    /// Share of the target below which a holder refills its tokens and raises its mark, from 0
    /// (only when a reservation lacks tokens) to 1.
    pub low_water: f64,
    /// Share of the pool that a holder requests until it has measured the demand for `rise_time`,
    /// from 0 (only `min_grant`) to 1. The pool is the sum of the holder's unreserved tokens and
    /// the unallocated tokens of the budget. At 0, holders are nearly without tokens when the store
    /// fails soon after their start.
    pub initial_share: f64,
    /// Smallest grant in tokens, so that the first request of a budget does not need several
    /// grants.
    pub min_grant: Tokens,
    /// Divisor of the pool (see `initial_share`): the target of a holder is at most the quotient,
    /// or its demand during `min_endurance` if that is more, so that the last tokens are neither
    /// spread over all holders nor held by one. A smaller divisor lets a region that has lost the
    /// store serve requests for longer, and strands more tokens.
    pub divisor: Tokens,
    /// Time for which a budget is reported as exhausted before its row is read again.
    pub exhausted_ttl: Duration,
    /// Time that a holder which lacks tokens gives other holders to return theirs before it reports
    /// the budget as exhausted.
    pub exhaustion_delay: Duration,
    /// Time between two reads of the row of a budget of which the holder has unreserved tokens.
    pub review_interval: Duration,
    /// Time between two such reads when the budget is nearly exhausted. A holder that lacks tokens
    /// for a request reads the row in any case, so a long interval only delays the return of tokens
    /// by idle holders.
    pub short_review_interval: Duration,
    /// Limit of rows that the holder writes per second: journal rows outside its regular flushes,
    /// and budget rows in any flush; see [`Settings::for_fleet`].
    pub writes_per_second: f64,
    /// Bounds on the tokens that a holder uses between its rows. Without them, the tokens up to the
    /// mark of a process that has ended stay stranded.
    pub bound: Option<bound::Settings>,
    /// Limit of open reservations and unwritten bills together.
    pub reservation_limit: usize,
    /// Limit of budgets with state at one holder.
    pub budget_limit: usize,
    /// Number of the latest ended requests that are kept to detect repeated messages.
    pub dedup_limit: usize,
    /// Limit of bills in a journal row, and of budget rows in a transaction.
    pub batch_limit: usize,
    /// Limit of the bytes that the bills take in a journal row; the shares need the remainder of
    /// the row size of the table service.
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

/// Which of two costs the sizes of grants reduce. No preset allows overspend.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Preset {
    /// Weighs both costs alike, see [`Settings::default`].
    #[default]
    #[display("balanced")]
    Balanced,
    /// Reduces false refusals, see [`Settings::few_refusals`].
    #[display("few-refusals")]
    FewRefusals,
    /// Reduces the tokens stranded by lost holders, see [`Settings::few_stranded`].
    #[display("few-stranded")]
    FewStranded,
}

impl Preset {
    /// All presets, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Balanced, Self::FewRefusals, Self::FewStranded];

    /// Returns the preset with the given name, or `None` when there is none.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|preset| preset.to_string() == name)
    }

    /// Returns the holder settings of the preset.
    pub fn settings(self) -> Settings {
        match self {
            Self::Balanced => Settings::default(),
            Self::FewRefusals => Settings::few_refusals(),
            Self::FewStranded => Settings::few_stranded(),
        }
    }
}

impl Settings {
    /// Returns settings with larger grants that are refilled earlier, for fewer false refusals.
    pub fn few_refusals() -> Self {
        Self {
            low_water: 0.7,
            min_grant: 16_384,
            ..Self::default()
        }
    }

    /// Returns settings with smaller grants, so that a lost holder strands fewer tokens.
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

    /// Returns the settings of one of `hosts` holders that share `FLEET_WRITES_PER_SECOND`; the
    /// limit also holds when the whole fleet starts at once.
    pub fn for_fleet(self, hosts: usize) -> Self {
        Self {
            writes_per_second: (FLEET_WRITES_PER_SECOND / hosts.max(1) as f64)
                .max(MIN_WRITES_PER_SECOND),
            ..self
        }
    }

    /// Returns the settings with another endurance. A longer one also enlarges the grants, because
    /// a mark cannot exceed the allocated tokens.
    pub fn with_endurance(self, endurance: Duration) -> Self {
        let needed = endurance.as_secs_f64() / self.low_water.clamp(0.1, 1.0);
        Self {
            endurance,
            min_endurance: self.min_endurance.min(endurance),
            horizon: self.horizon.max(Duration::from_secs_f64(needed)),
            ..self
        }
    }

    /// Returns how many unreserved tokens a holder should have. `pool` is the sum of its unreserved
    /// tokens and the unallocated tokens of the budget.
    pub fn target(&self, pool: Tokens, demand: &Demand) -> Tokens {
        let desired = demand
            .during(self.horizon)
            .max(self.initial_grant(pool, demand));
        let limit = pool / self.divisor.max(1);
        desired.min(limit.max(self.min_headroom(demand))).min(pool)
    }

    /// Returns the lead of the mark: how far it should be above the spent and reserved tokens.
    /// `pool` is as for [`Self::target`].
    pub fn lead(&self, pool: Tokens, demand: &Demand) -> Tokens {
        let limit = pool / self.divisor.max(1);
        let desired = demand
            .during(self.endurance)
            .max(self.initial_grant(pool, demand));
        desired.min(limit.max(self.min_headroom(demand)))
    }

    /// Returns the minimum size of a grant, which is larger while the demand is not measured.
    fn initial_grant(&self, pool: Tokens, demand: &Demand) -> Tokens {
        if demand.observed >= self.rise_time {
            return self.min_grant;
        }
        let share = pool as f64 * self.initial_share.clamp(0.0, 1.0);
        self.min_grant.max(share as Tokens)
    }

    /// Returns how many unreserved tokens a holder keeps while another holder lacks tokens.
    pub fn min_headroom(&self, demand: &Demand) -> Tokens {
        demand.during(self.min_endurance)
    }

    /// Returns the number of tokens below which a holder with this target refills.
    pub fn low_water_level(&self, target: Tokens) -> Tokens {
        (target as f64 * self.low_water.clamp(0.0, 1.0)) as Tokens
    }

    /// Returns the time until the next read of a budget row that had `unallocated` tokens left.
    ///
    /// Other holders can run out of tokens soon only when that number is small compared with the
    /// demand or with what this holder could return.
    pub fn review_delay(&self, unallocated: Tokens, headroom: Tokens, demand: &Demand) -> Duration {
        let fleet_demand = demand
            .during(self.review_interval)
            .saturating_mul(self.divisor);
        let is_useful = headroom >= self.min_grant / USEFUL_GRANT_DIVISOR;
        if is_useful && unallocated < fleet_demand.max(headroom) {
            self.short_review_interval
        } else {
            self.review_interval
        }
    }
}

/// Moving averages of the demand for one budget at one holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Tokens per second, averaged over [`Settings::rise_time`].
    fast_rate: f64,
    /// Tokens per second, averaged over [`Settings::fall_time`].
    slow_rate: f64,
    /// Total time of the samples.
    observed: Duration,
}

impl Demand {
    /// Adds a sample: `tokens` were reserved during `elapsed`.
    pub fn record(&mut self, settings: &Settings, tokens: Tokens, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        // Time before the first reservation is not a sample.
        if seconds <= 0.0 || (tokens == 0 && self.observed.is_zero()) {
            return;
        }
        self.observed += elapsed;
        let rate = tokens as f64 / seconds;
        self.fast_rate += (rate - self.fast_rate) * self.sample_weight(seconds, settings.rise_time);
        self.slow_rate += (rate - self.slow_rate) * self.sample_weight(seconds, settings.fall_time);
    }

    /// Returns the weight of the newest sample. Until the samples cover the time constant, their
    /// total time takes its place, so that the first ones are not averaged with an assumed demand
    /// of 0.
    fn sample_weight(&self, seconds: f64, time_constant: Duration) -> f64 {
        let time_constant = time_constant.min(self.observed).as_secs_f64();
        1.0 - (-seconds / time_constant).exp()
    }

    /// Returns whether the demand has been measured.
    pub fn is_known(&self) -> bool {
        !self.observed.is_zero()
    }

    /// Returns the tokens expected to be reserved during `time`. The estimate follows a rise of the
    /// demand quickly and a fall slowly.
    pub fn during(&self, time: Duration) -> Tokens {
        (self.fast_rate.max(self.slow_rate) * time.as_secs_f64()) as Tokens
    }
}

/// Token bucket of the row writes that a holder may make.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Writes left at `updated_at`; negative after a regular flush that exceeded the limit.
    writes: f64,
    updated_at: Duration,
}

impl Allowance {
    /// Creates a bucket with the writes that any holder may accumulate.
    pub fn new() -> Self {
        Self {
            writes: MIN_BUCKET_WRITES,
            updated_at: Duration::ZERO,
        }
    }

    /// Returns the number of budget rows that a transaction may write in addition to its journal
    /// row.
    pub fn budget_rows(&self, now: Duration, settings: &Settings) -> usize {
        (self.available(now, settings) - 1.0).max(0.0) as usize
    }

    /// Subtracts the writes of a transaction.
    pub fn spend(&mut self, now: Duration, settings: &Settings, writes: usize) {
        let writes = self.available(now, settings) - writes as f64;
        // The lower limit keeps a long series of regular flushes from delaying refills further.
        self.writes = writes.max(-MIN_BUCKET_WRITES);
        self.updated_at = now;
    }

    fn available(&self, now: Duration, settings: &Settings) -> f64 {
        if settings.writes_per_second.is_infinite() {
            return settings.batch_limit as f64 + 1.0;
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let capacity =
            (settings.writes_per_second * BUCKET_TIME.as_secs_f64()).max(MIN_BUCKET_WRITES);
        (self.writes + elapsed * settings.writes_per_second).min(capacity)
    }
}
