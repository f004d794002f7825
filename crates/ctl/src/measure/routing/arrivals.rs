//! Arrivals of requests.

use {
    super::{
        case::{Case, Mix},
        engine::BLOCK,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// A request as it arrives at a router.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time, in seconds.
    pub at: f64,
    pub router: usize,
    pub class: usize,
    pub prompt: u32,
    pub output: u32,
    /// Output token limit that the caller set.
    pub limit: u32,
    pub prefixes: Vec<u64>,
}

/// Generates the arrivals of a case; the same for every policy.
#[derive(Debug)]
pub struct Arrivals {
    random: SmallRng,
    at: f64,
    /// Relative sizes of the routers' shares, cumulative.
    shares: Vec<f64>,
}

/// Shares of the arrivals by router; hosts differ in size.
const SIZES: [f64; 3] = [1.0, 1.5, 2.0];

impl Arrivals {
    pub fn new(case: &Case, seed: u64) -> Self {
        let mut sum = 0.0;
        let sizes = SIZES.into_iter().cycle().take(case.routers);
        let shares = sizes.map(|size| {
            sum += size;
            sum
        });
        Self {
            shares: shares.collect(),
            random: SmallRng::seed_from_u64(seed),
            at: 0.0,
        }
    }

    /// Returns the next arrival.
    pub fn next(&mut self, case: &Case) -> Arrival {
        let (from, until) = case.period;
        let in_period = self.at >= from.as_secs_f64() && self.at < until.as_secs_f64();
        let factor = if in_period { case.burst } else { 1.0 };
        let rate = case.rate * case.speeds.len() as f64 * factor;
        self.at -= (1.0 - self.random.random::<f64>()).ln() / rate;
        let total = self.shares.last().copied().unwrap_or(1.0);
        let drawn = self.random.random::<f64>() * total;
        let router = self.shares.partition_point(|share| *share <= drawn);
        let is_draft = self.random.random_bool(case.mix.drafts);
        self.request(&case.mix, router.min(case.routers - 1), is_draft)
    }

    fn request(&mut self, mix: &Mix, router: usize, is_draft: bool) -> Arrival {
        let (prompt, output, class) = if is_draft {
            let output = self.random.random_range(400..1_480);
            (self.random.random_range(500..3_000), output, 2)
        } else {
            let output = self.random.random_range(20..200);
            (self.random.random_range(100..1_000), output, 0)
        };
        let (prompt, prefixes) = self.prefixes(mix, prompt);
        Arrival {
            at: self.at,
            router,
            class,
            prompt,
            output,
            limit: output.next_power_of_two(),
            prefixes,
        }
    }

    /// Puts the common prefix of a group in front of some prompts.
    fn prefixes(&mut self, mix: &Mix, own: u32) -> (u32, Vec<u64>) {
        let is_shared = self.random.random_bool(mix.shared);
        // Squaring the draw makes a few groups much more frequent than the rest.
        let drawn = self.random.random::<f64>().powi(2);
        let group = (drawn * mix.groups as f64) as u64;
        let blocks = if is_shared { mix.blocks } else { 0 };
        let mut prefixes: Vec<u64> = (0..blocks as u64)
            .map(|block| (group + 1) << 32 | block)
            .map(|name| name.wrapping_mul(0xd6e8_feb8_6659_fd93))
            .collect();
        prefixes.extend((0..own / BLOCK).map(|_| self.random.random::<u64>()));
        (own + blocks as u32 * BLOCK, prefixes)
    }
}
