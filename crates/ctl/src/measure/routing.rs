//! Measurement of the routing policies on a simulated clock.
//!
//! Each case runs every policy against the same engines and the same arrivals, once per seed, and
//! prints the medians over the seeds as CSV.

mod arrivals;
mod cache;
mod case;
mod decision;
mod engine;
mod fleet;
mod meter;
mod world;

use {
    marigoldroute_core::route::{PolicyName, Settings as Routing},
    meter::Figures,
    std::{io::Write, thread},
    world::World,
};

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seeds; each case runs once per seed and policy.
    pub seeds: Vec<u64>,
    /// Names of the cases to run; empty for all of them.
    pub cases: Vec<String>,
    /// Settings of the adaptive policy.
    pub routing: Routing,
    /// Runs at a time.
    pub workers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: vec![11, 23, 37, 41, 59, 61, 73, 89, 97, 101, 113],
            cases: Vec::new(),
            routing: Routing::default(),
            workers: 3,
        }
    }
}

/// Runs the cases and prints one CSV row per case and policy, then the cost of a decision.
///
/// # Errors
/// When writing to `out` fails or a case name is unknown.
pub fn run(settings: &Settings, out: &mut dyn Write) -> anyhow::Result<()> {
    let seeds: Vec<String> = settings.seeds.iter().map(u64::to_string).collect();
    writeln!(out, "# seeds: {}", seeds.join(" "))?;
    writeln!(out, "case,policy,{}", Figures::HEADER)?;
    for case in case::select(&settings.cases)? {
        for name in PolicyName::ALL {
            let run = |seed: u64| World::new(&case, name, &settings.routing, seed).run();
            let figures = spread(&settings.seeds, settings.workers, run);
            writeln!(out, "{},{name},{}", case.name, Figures::median(&figures))?;
        }
    }
    decision::run(&settings.routing, out)
}

/// Runs the seeds on up to `workers` threads and returns the figures in the order of the seeds.
fn spread(seeds: &[u64], workers: usize, run: impl Fn(u64) -> Figures + Sync) -> Vec<Figures> {
    let mut figures = Vec::new();
    for chunk in seeds.chunks(workers.max(1)) {
        thread::scope(|scope| {
            let run = &run;
            let started: Vec<_> = chunk
                .iter()
                .map(|seed| scope.spawn(move || run(*seed)))
                .collect();
            figures.extend(started.into_iter().filter_map(|thread| thread.join().ok()));
        });
    }
    figures
}
