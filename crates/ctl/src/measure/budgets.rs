//! Measurement of the escrow of tokens: where grants are held, and how large they are.

mod demand;
mod figures;
mod memory;
mod node;
mod rank;
mod world;

#[cfg(test)]
mod tests;

use {
    anyhow::{Context, Result, anyhow},
    figures::Figures,
    marigoldroute_core::budget::Settings,
    std::{io::Write, thread, time::Duration},
    world::World,
};

/// Which measurement to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the first run; each further run adds 1.
    pub seed: u64,
    /// Runs per line, of which the medians are printed.
    pub runs: u64,
    /// Name of the only size to run.
    pub size: Option<String>,
    /// Name of the only variant to run.
    pub variant: Option<String>,
    /// Simulated time.
    pub duration: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            runs: 3,
            size: None,
            variant: None,
            duration: Duration::from_secs(5_400),
        }
    }
}

/// Runs at the same time.
const THREADS: usize = 3;

/// A size of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    name: &'static str,
    /// Router hosts, half of them in each of two regions.
    hosts: usize,
    budgets: usize,
    /// Budgets that are spent from.
    active: usize,
    /// Requests per second.
    rate: f64,
    /// Least and most tokens bought, as a multiple of the expected use in the run.
    bought: (f64, f64),
}

/// Settled requests of the holders whose memory is measured; more are not remembered.
const SETTLED: usize = 16_384;

/// Many budgets end during the run.
const SCARCE: (f64, f64) = (0.25, 3.0);
/// Budgets last for days.
const AMPLE: (f64, f64) = (20.0, 60.0);

const SIZES: &[Size] = &[
    Size {
        name: "today",
        hosts: 6,
        budgets: 10,
        active: 10,
        rate: 60.0,
        bought: SCARCE,
    },
    Size {
        name: "today_ample",
        hosts: 6,
        budgets: 10,
        active: 10,
        rate: 60.0,
        bought: AMPLE,
    },
    Size {
        name: "large",
        hosts: 390,
        budgets: 17_000,
        active: 5_000,
        rate: 3_200.0,
        bought: SCARCE,
    },
];

/// Where the grants of a budget are held, and the settings of the holders.
#[derive(Clone, Debug)]
pub struct Variant {
    name: &'static str,
    /// Holders per budget and region; `None` for a grant on every host.
    holders: Option<usize>,
    /// Whether requests that the rest of a budget covers in part are shortened.
    shortens: bool,
    /// Whether the holders spread their writes.
    paces: bool,
    /// Whether an entry waits at one holder before it asks the next, as in the router.
    waits: bool,
    settings: Settings,
}

fn variants() -> Vec<Variant> {
    let ranked = |name, settings| Variant {
        name,
        holders: Some(2),
        shortens: false,
        paces: false,
        waits: false,
        settings,
    };
    let endurance = |seconds, low_water| Settings {
        endurance: Duration::from_secs(seconds),
        low_water,
        ..Settings::default()
    };
    vec![
        Variant {
            name: "every_host",
            holders: None,
            shortens: false,
            paces: false,
            waits: false,
            settings: Settings::default(),
        },
        ranked("ranked", Settings::default()),
        Variant {
            waits: true,
            ..ranked("unpaced", Settings::default())
        },
        Variant {
            paces: true,
            waits: true,
            ..ranked("paced", Settings::default())
        },
        Variant {
            shortens: true,
            ..ranked("shortened_answers", Settings::default())
        },
        ranked("few_refusals", Settings::few_refusals()),
        ranked("few_stranded", Settings::few_stranded()),
        ranked(
            "divisor_2",
            Settings {
                divisor: 2,
                ..Settings::default()
            },
        ),
        ranked(
            "divisor_8",
            Settings {
                divisor: 8,
                ..Settings::default()
            },
        ),
        ranked("endurance_60s", endurance(60, 0.5)),
        ranked("endurance_600s", endurance(600, 0.5)),
        ranked("low_water_0.1", endurance(3_600, 0.1)),
    ]
}

/// Runs the measurement and prints one line per size and variant as CSV.
///
/// # Errors
/// Fails when the output cannot be written or no size or variant has the given name.
pub fn run(options: &Options, out: &mut impl Write) -> Result<()> {
    let chosen = |name: &str, filter: &Option<String>| filter.as_ref().is_none_or(|f| f == name);
    let last = options.seed + options.runs.max(1) - 1;
    let duration = options.duration.as_secs();
    writeln!(
        out,
        "# seeds {} to {last}, medians, {duration} s simulated",
        options.seed
    )?;
    for budgets in [51, 5_000] {
        let bytes = memory::measure(budgets, SETTLED)?;
        writeln!(out, "# {bytes} bytes per holder with {budgets} budgets")?;
    }
    writeln!(out, "size,variant,{}", Figures::HEADER)?;
    let mut lines = 0;
    for size in SIZES.iter().filter(|size| chosen(size.name, &options.size)) {
        let variants = variants().into_iter();
        for variant in variants.filter(|variant| chosen(variant.name, &options.variant)) {
            let figures = repeat(options, *size, &variant)?;
            writeln!(out, "{},{},{figures}", size.name, variant.name)?;
            out.flush()?;
            lines += 1;
        }
    }
    if lines == 0 {
        return Err(anyhow!("no size or variant has the given name"));
    }
    Ok(())
}

fn repeat(options: &Options, size: Size, variant: &Variant) -> Result<Figures> {
    let seeds: Vec<_> = (options.seed..options.seed + options.runs.max(1)).collect();
    let mut figures = Vec::new();
    for seeds in seeds.chunks(THREADS) {
        let start = |seed: &u64| {
            let (seed, variant, duration) = (*seed, variant.clone(), options.duration);
            thread::spawn(move || World::new(size, &variant, seed, duration).run())
        };
        let runs: Vec<_> = seeds.iter().map(start).collect();
        for run in runs {
            figures.push(run.join().map_err(|_| anyhow!("a run panicked"))?);
        }
    }
    Figures::medians(&figures).context("no runs")
}
