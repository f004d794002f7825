//! What this process uses.

use {
    anyhow::{Context, Result},
    std::fs,
};

/// Ticks of processor time a second in `/proc/self/stat`.
const TICKS: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time of this process.
pub(super) fn cpu_seconds() -> Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(") ").next().context("malformed stat")?;
    let mut ticks = fields.split(' ').skip(11).take(2);
    let mut next = || -> Result<f64> { Ok(ticks.next().context("malformed stat")?.parse()?) };
    Ok((next()? + next()?) / TICKS)
}

/// Returns the resident memory of this process.
pub(super) fn resident_bytes() -> Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split(' ').nth(1).context("malformed statm")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
