//! Sizes of grants and marks.

use {crate::id::Tokens, std::time::Duration};

/// Time constant of the average that follows a rise of demand.
const RISE: Duration = Duration::from_secs(60);
/// Time constant of the average that keeps grants through a lull.
const LULL: Duration = Duration::from_secs(600);

/// Settings of a [`super::Holder`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// For how long a holder should be able to serve its demand without the store, while the
    /// budget has ample tokens left.
    pub endurance: Duration,
    /// The same when the budget is nearly exhausted.
    pub shortest: Duration,
    /// For how long a grant should cover demand; from `endurance` on, a longer time saves writes
    /// of budget rows without raising what a lost holder strands.
    pub horizon: Duration,
    /// Share of its target below which a holder refills its tokens and raises its mark, from 0
    /// (only on shortage) to 1.
    pub low_water: f64,
    /// Smallest grant in tokens, so that the first request of a budget does not need several.
    pub smallest: Tokens,
    /// A holder aims for at most this fraction of a budget's unspent tokens, so that the last
    /// tokens are neither spread over all holders nor held by one; about the number of holders.
    pub divisor: Tokens,
    /// How long an exhausted budget is reported as such before the row is read again.
    pub dry_pause: Duration,
    /// How long a holder that lacks tokens waits for other holders to return theirs before it
    /// reports the budget as exhausted.
    pub patience: Duration,
    /// How often a holder reads the row of a budget of which it has unreserved tokens.
    pub review: Duration,
    /// The same when the budget is nearly exhausted.
    pub review_soon: Duration,
    /// Largest number of open reservations and of bills that no row holds yet, taken together.
    pub limit: usize,
    /// Largest number of budgets of one holder.
    pub budgets: usize,
    /// Number of the latest billed requests that are recognised when they are repeated.
    pub remembered: usize,
    /// Largest number of bills in a row, and of budget rows in a transaction.
    pub batch: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            endurance: Duration::from_secs(3_600),
            shortest: Duration::from_secs(10),
            horizon: Duration::from_secs(3_600),
            low_water: 0.5,
            smallest: 4_096,
            divisor: 4,
            dry_pause: Duration::from_secs(1),
            patience: Duration::from_secs(2),
            review: Duration::from_secs(60),
            review_soon: Duration::from_secs(4),
            limit: 65_536,
            budgets: 16_384,
            remembered: 16_384,
            batch: 1_024,
        }
    }
}

impl Settings {
    /// Preset for a user who gives more weight to false refusals.
    pub fn few_refusals() -> Self {
        Self {
            low_water: 0.7,
            smallest: 16_384,
            ..Self::default()
        }
    }

    /// Preset for a user who gives more weight to tokens stranded by lost holders.
    pub fn few_stranded() -> Self {
        Self {
            endurance: Duration::from_secs(600),
            shortest: Duration::from_secs(4),
            low_water: 0.3,
            smallest: 2_048,
            ..Self::default()
        }
    }

    /// Returns how many unreserved tokens a holder should have when `pool` tokens are left for it
    /// and in the budget row.
    pub fn target(&self, pool: Tokens, demand: &Demand) -> Tokens {
        let wish = demand.during(self.horizon).max(self.smallest);
        let fair = pool / self.divisor.max(1);
        wish.min(fair.max(self.least(demand))).min(pool)
    }

    /// Returns how far the mark should be above spent and reserved tokens.
    pub fn lead(&self, pool: Tokens, demand: &Demand) -> Tokens {
        let fair = pool / self.divisor.max(1);
        let wish = demand.during(self.endurance).max(self.smallest);
        wish.min(fair.max(self.least(demand)))
    }

    /// Returns how many unreserved tokens a holder keeps when others lack tokens.
    pub fn least(&self, demand: &Demand) -> Tokens {
        demand.during(self.shortest)
    }

    /// Returns the low-water level of a target.
    pub fn low(&self, target: Tokens) -> Tokens {
        (target as f64 * self.low_water.clamp(0.0, 1.0)) as Tokens
    }

    /// Returns when to read a row again that had `rest` tokens left.
    pub fn next_review(&self, rest: Tokens, demand: &Demand) -> Duration {
        let all = demand.during(self.review).saturating_mul(self.divisor);
        if rest < all.max(self.smallest) {
            self.review_soon
        } else {
            self.review
        }
    }
}

/// Smoothed demand of one budget at one holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Tokens per second, averaged over [`RISE`].
    rise: f64,
    /// Tokens per second, averaged over [`LULL`].
    lull: f64,
}

impl Demand {
    /// Adds `tokens` spent during `elapsed`.
    pub fn add(&mut self, tokens: Tokens, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let rate = tokens as f64 / seconds;
        self.rise += (rate - self.rise) * weight(seconds, RISE);
        self.lull += (rate - self.lull) * weight(seconds, LULL);
    }

    /// Returns the tokens to expect during `time`: it follows a rise quickly and a fall slowly.
    pub fn during(&self, time: Duration) -> Tokens {
        (self.rise.max(self.lull) * time.as_secs_f64()) as Tokens
    }
}

fn weight(seconds: f64, constant: Duration) -> f64 {
    1.0 - (-seconds / constant.as_secs_f64()).exp()
}
