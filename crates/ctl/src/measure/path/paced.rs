//! Requests at a given rate, with answers of the length and pace of the design size.

use {
    super::{
        bench::{Bench, Target},
        micros,
        usage::cpu_seconds,
    },
    anyhow::{Result, ensure},
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{io::Write, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// 750,000 tokens over 3,200 requests.
const TOKENS: u64 = 234;
/// Time between tokens.
const PACE: Duration = Duration::from_millis(59);
/// Time for which requests are sent, after as many open streams as the rate leads to.
const SEND_TIME: Duration = Duration::from_secs(60);
/// An answer takes about 14 s.
const WARM_TIME: Duration = Duration::from_secs(15);
const SEED: u64 = 11;

/// Runs the measurement at each rate.
pub(super) async fn run(rates: &[f64], out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "target,requests_per_s,tokens,requests,cpu_us_per_token,first_p50_us,first_p99_us,gap_p50_us,gap_p95_us,gap_p99_us"
    )?;
    let bench = Bench::start(TOKENS, PACE).await?;
    for rate in rates {
        ensure!(rate.is_normal() && *rate > 0.0, "a rate is above 0");
        for target in [&bench.direct, &bench.routed] {
            let line = load(&bench, target, *rate).await?;
            writeln!(out, "{},{rate},{TOKENS},{line}", target.name)?;
        }
    }
    bench.stop().await;
    Ok(())
}

async fn load(bench: &Bench, target: &Target, rate: f64) -> Result<String> {
    let mut random = SmallRng::seed_from_u64(SEED);
    let (mut warm, mut calls) = (JoinSet::new(), JoinSet::new());
    let started = Instant::now();
    let (counted, end) = (started + WARM_TIME, started + WARM_TIME + SEND_TIME);
    let (mut due, mut cpu) = (started, None);
    for number in 0.. {
        // Arrivals of independent callers.
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
        if due >= end {
            break;
        }
        sleep_until(due).await;
        if due < counted {
            warm.spawn(bench.call(target, number));
        } else {
            if cpu.is_none() {
                cpu = Some(cpu_seconds()?);
            }
            calls.spawn(bench.call(target, number));
        }
    }
    sleep_until(end).await;
    // Streams that are open at either end of the time make up for one another.
    let cpu = cpu_seconds()? - cpu.unwrap_or_default();
    let requests = calls.len();
    let (mut first, mut gaps) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for timing in warm.join_all().await {
        timing?;
    }
    for timing in calls.join_all().await {
        let timing = timing?;
        first.record(micros(timing.first))?;
        for gap in timing.gaps {
            gaps.record(micros(gap))?;
        }
    }
    Ok(format!(
        "{requests},{:.1},{},{},{},{},{}",
        cpu * 1e6 / (rate * SEND_TIME.as_secs_f64() * TOKENS as f64),
        first.value_at_quantile(0.5),
        first.value_at_quantile(0.99),
        gaps.value_at_quantile(0.5),
        gaps.value_at_quantile(0.95),
        gaps.value_at_quantile(0.99),
    ))
}
