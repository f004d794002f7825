//! Measurement of the control plane: configuration and membership as CSV.
//!
//! The first table runs a fleet on a simulated clock, with real messages in real frames. Its
//! times of day are simulated, its processor time is that of the machine. The second table is the
//! cost of a tree of the full size.

mod cost;
mod fleet;
mod node;

use {
    anyhow::Result,
    fleet::{COARSE, Fleet},
    std::{fs, io::Write, time::Duration},
};

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seeds; each case runs once per seed.
    pub seeds: Vec<u64>,
    /// Numbers of hosts.
    pub hosts: Vec<u64>,
    /// Shares of lost messages in percent.
    pub losses: Vec<u64>,
    /// Upstreams per host, in hundredths; 390 hosts have 600 upstreams.
    pub upstreams_percent: usize,
    /// Drain marks and configuration versions that are timed in each run.
    pub events: usize,
    /// Simulated seconds over which traffic and processor time are averaged.
    pub seconds: u64,
    /// Workspaces of the tree of the second table.
    pub workspaces: usize,
    /// Budgets of that tree, one per nested workspace.
    pub budgets: usize,
    /// Upstreams of that tree.
    pub upstreams: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: vec![11, 23],
            hosts: vec![6, 50, 100, 200, 390],
            losses: vec![0, 10],
            upstreams_percent: 154,
            events: 10,
            seconds: 66,
            workspaces: 4_800,
            budgets: 17_000,
            upstreams: 600,
        }
    }
}

/// What one run of a fleet shows.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Seconds until every host knew every other after all had started at once.
    joined: f64,
    /// Bytes in and out per second and host, with one version in the time, on average.
    mean_bytes: f64,
    /// The same for the host with the most.
    peak_bytes: f64,
    /// The same on average with one version per second.
    busy_bytes: f64,
    /// Processor time of a host in percent of a core, on average.
    core_percent: f64,
    /// Resident memory per host in KiB.
    memory: f64,
    /// Seconds until every host knew that an upstream leaves: median and greatest.
    drain: (f64, f64),
    /// Seconds until a version was in effect on every host: median and greatest.
    version: (f64, f64),
    /// Seconds until every host had the newest version after one region had been cut off.
    healed: f64,
    /// Seconds until every host knew every other again after that.
    rejoined: f64,
}

impl Figures {
    const HEADER: &str = "joined_s,mean_bytes_per_s,peak_bytes_per_s,busy_bytes_per_s,\
        core_percent,memory_kib,drain_median_s,drain_max_s,version_median_s,version_max_s,\
        healed_s,rejoined_s";

    fn row(&self) -> String {
        let (drain, version) = (self.drain, self.version);
        format!(
            "{:.1},{:.0},{:.0},{:.0},{:.3},{:.0},{:.2},{:.2},{:.2},{:.2},{:.1},{:.1}",
            self.joined,
            self.mean_bytes,
            self.peak_bytes,
            self.busy_bytes,
            self.core_percent,
            self.memory,
            drain.0,
            drain.1,
            version.0,
            version.1,
            self.healed,
            self.rejoined
        )
    }
}

/// Runs the cases and prints one CSV row per case, then the cost of a large tree.
///
/// # Errors
/// When writing to `out` fails.
pub fn run(settings: &Settings, out: &mut dyn Write) -> Result<()> {
    writeln!(out, "hosts,loss_percent,seed,{}", Figures::HEADER)?;
    for hosts in &settings.hosts {
        for loss in &settings.losses {
            for seed in &settings.seeds {
                let figures = measure(settings, *hosts as usize, *loss, *seed);
                writeln!(out, "{hosts},{loss},{seed},{}", figures.row())?;
                out.flush()?;
            }
        }
    }
    cost::run(settings, out)
}

fn measure(settings: &Settings, hosts: usize, loss: u64, seed: u64) -> Figures {
    const BUSY_SECONDS: u64 = 15;
    let resident = resident_kib();
    let upstreams = hosts * settings.upstreams_percent / 100;
    let mut fleet = Fleet::new(hosts, upstreams, seed);
    fleet.loss_percent = loss;
    let joined = fleet.time(COARSE, Fleet::is_joined);
    fleet.run(Duration::from_secs(20));
    let memory = resident_kib().saturating_sub(resident) as f64 / hosts as f64;
    let usage = fleet.usage(Duration::from_secs(settings.seconds), settings.seconds);
    let busy = fleet.usage(Duration::from_secs(BUSY_SECONDS), 1);
    fleet.run(Duration::from_secs(20));
    let drain = spread((0..settings.events).map(|_| fleet.drain()).collect());
    let version = spread((0..settings.events).map(|_| fleet.version()).collect());
    let (healed, rejoined) = fleet.partition(Duration::from_secs(75));
    Figures {
        joined,
        mean_bytes: usage.mean_bytes,
        peak_bytes: usage.peak_bytes,
        busy_bytes: busy.mean_bytes,
        core_percent: usage.core_percent,
        memory,
        drain,
        version,
        healed,
        rejoined,
    }
}

/// Returns the median and the greatest.
fn spread(mut times: Vec<f64>) -> (f64, f64) {
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    (median, times.last().copied().unwrap_or_default())
}

/// Returns the resident memory of this process in KiB; 0 where it cannot be read.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}
