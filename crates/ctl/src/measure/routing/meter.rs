//! Figures of a run.

use {hdrhistogram::Histogram, std::fmt};

/// Largest recorded time, in microseconds.
const LONGEST: u64 = 120_000_000;

/// Collects the figures of a run.
#[derive(Debug)]
pub struct Meter {
    first: Histogram<u64>,
    between: Histogram<u64>,
    /// Sum and count of the samples of the imbalance.
    imbalance: (f64, u32),
    pub requests: u64,
    pub tokens: u64,
    pub failures: u64,
    pub attempts: u64,
}

impl Meter {
    pub fn new() -> Self {
        let histogram = || {
            let new = Histogram::new_with_bounds(1, LONGEST, 3);
            new.unwrap_or_else(|error| unreachable!("the bounds are valid: {error}"))
        };
        Self {
            first: histogram(),
            between: histogram(),
            imbalance: (0.0, 0),
            requests: 0,
            tokens: 0,
            failures: 0,
            attempts: 0,
        }
    }

    pub fn first(&mut self, seconds: f64) {
        self.first.saturating_record(micros(seconds));
    }

    pub fn between(&mut self, seconds: f64) {
        self.between.saturating_record(micros(seconds));
    }

    /// Takes the outstanding requests of each engine, divided by its speed.
    pub fn balance(&mut self, loads: &[f64]) {
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean <= 0.0 {
            return;
        }
        let variance: f64 = loads.iter().map(|load| (load - mean).powi(2)).sum();
        let deviation = (variance / loads.len() as f64).sqrt();
        self.imbalance.0 += deviation / mean;
        self.imbalance.1 += 1;
    }

    pub fn figures(&self, hit: f64) -> Figures {
        Figures {
            values: [
                self.first.value_at_quantile(0.95) as f64 / 1e3,
                self.first.value_at_quantile(0.5) as f64 / 1e3,
                self.between.value_at_quantile(0.95) as f64 / 1e3,
                self.imbalance.0 / f64::from(self.imbalance.1.max(1)),
                hit,
                self.requests as f64,
                self.tokens as f64,
                self.failures as f64,
                self.attempts as f64,
            ],
        }
    }
}

/// Figures of a run, in the order of [`Figures::HEADER`].
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    values: [f64; 9],
}

impl Figures {
    /// Names of the CSV columns.
    ///
    /// Imbalance is the standard deviation over the mean of the engines' outstanding requests,
    /// each divided by the engine's speed, averaged over samples one second apart.
    pub const HEADER: &'static str = "first_p95_ms,first_p50_ms,between_p95_ms,imbalance,\
        prefix_hit_share,completed_requests,completed_tokens,failed_requests,failed_attempts";
    const DECIMALS: [usize; 9] = [1, 1, 1, 3, 3, 0, 0, 0, 0];

    /// Returns the median of each figure.
    pub fn median(runs: &[Self]) -> Self {
        let mut values = [0.0; 9];
        for (index, value) in values.iter_mut().enumerate() {
            let mut column: Vec<f64> = runs.iter().map(|run| run.values[index]).collect();
            column.sort_by(f64::total_cmp);
            *value = column.get(column.len() / 2).copied().unwrap_or(f64::NAN);
        }
        Self { values }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.values.iter().zip(Self::DECIMALS);
        let text: Vec<_> = columns
            .map(|(value, decimals)| format!("{value:.decimals$}"))
            .collect();
        f.write_str(&text.join(","))
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).max(1.0) as u64
}
