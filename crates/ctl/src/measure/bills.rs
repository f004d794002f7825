//! Measurement of bills and claims: bytes, processor time and store writes as CSV.

mod claims;
mod journals;

use {
    anyhow::{Context, Result},
    std::{fs, io::Write},
};

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Router hosts, each with one holder.
    pub hosts: usize,
    /// Bills per second of the whole fleet.
    pub rate: u64,
    /// Budgets per holder.
    pub budgets: usize,
    /// Seconds between two journal rows of a holder.
    pub flush: u64,
    /// Seconds between two visits of the ledger to a holder.
    pub visit: u64,
    /// Visits per holder.
    pub visits: u64,
    /// Rounds of the measurement of processor time, at least 1; the median counts.
    pub rounds: usize,
    /// Seconds of simulated arrivals per rate of claims.
    pub arrivals: u64,
    /// Milliseconds that the store takes for a claim transaction.
    pub store: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 17,
            hosts: 390,
            rate: 3_200,
            budgets: 51,
            flush: 4,
            visit: 300,
            visits: 2,
            rounds: 3,
            arrivals: 300,
            store: 5,
        }
    }
}

/// Prints the lines `figure,case,value,unit`.
///
/// # Errors
/// When the output cannot be written or a row is malformed.
pub fn run(settings: &Settings, out: &mut impl Write) -> Result<()> {
    writeln!(out, "figure,case,value,unit")?;
    claims::memory(out)?;
    journals::run(settings, out)?;
    claims::run(settings, out)
}

/// Returns the resident memory of this process in bytes.
fn resident() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status").context("no memory figures")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: u64 = kib.context("no VmRSS")?.parse()?;
    Ok(kib << 10)
}
