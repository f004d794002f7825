//! Demand of the simulated callers.

use {
    marigoldroute_core::id::Tokens,
    rand::{Rng, rngs::SmallRng},
    std::f64::consts::TAU,
};

/// Share of long drafting jobs; the others are short queries.
const LONG: f64 = 0.15;
/// How far the share of a region swings around one half.
const SWING: f64 = 0.45;
/// The least useful reservation as a fraction of the whole.
const LEAST_PART: Tokens = 4;
/// Period of the shift between regions in seconds.
const PERIOD: f64 = 3_600.0;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the budget.
    pub budget: usize,
    /// Region of the entry host.
    pub region: usize,
    /// Tokens to reserve.
    pub amount: Tokens,
    /// Tokens to reserve with the least useful answer limit, when the budget has fewer.
    pub least: Tokens,
    /// Tokens that it will use.
    pub used: Tokens,
    /// Seconds until it finishes.
    pub seconds: u64,
}

/// Source of requests: budgets by Zipf's law, regions by a shift with a phase per budget.
#[derive(Debug)]
pub struct Demand {
    /// Cumulative probability per active budget.
    budgets: Vec<f64>,
    phases: Vec<f64>,
}

impl Demand {
    pub fn new(active: usize, random: &mut SmallRng) -> Self {
        let total: f64 = (1..=active).map(|rank| 1.0 / rank as f64).sum();
        let mut sum = 0.0;
        let budgets = (1..=active).map(|rank| {
            sum += 1.0 / rank as f64 / total;
            sum
        });
        Self {
            budgets: budgets.collect(),
            phases: (0..active).map(|_| random.random_range(0.0..TAU)).collect(),
        }
    }

    /// Returns the share of a budget in the demand.
    pub fn share(&self, budget: usize) -> f64 {
        let before = budget
            .checked_sub(1)
            .map_or(0.0, |before| self.budgets[before]);
        self.budgets[budget] - before
    }

    /// Returns the mean number of tokens that a request uses.
    pub fn mean() -> f64 {
        LONG * 1_500.0 + (1.0 - LONG) * 200.0
    }

    /// Draws a request.
    pub fn draw(&self, second: u64, random: &mut SmallRng) -> Job {
        let point: f64 = random.random();
        let budget = self.budgets.partition_point(|sum| *sum < point);
        let budget = budget.min(self.budgets.len() - 1);
        let angle = TAU * second as f64 / PERIOD + self.phases[budget];
        let region = usize::from(!random.random_bool(0.5 + SWING * angle.sin()));
        let (amount, used, seconds) = if random.random_bool(LONG) {
            (
                6_000,
                random.random_range(500..2_500),
                random.random_range(10..40),
            )
        } else {
            (
                1_000,
                random.random_range(50..350),
                random.random_range(1..6),
            )
        };
        Job {
            budget,
            region,
            amount,
            least: amount / LEAST_PART,
            used,
            seconds,
        }
    }
}
