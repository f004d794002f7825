//! What the router adds to a streamed request: processor time, latency and memory.
//!
//! The same load is sent to a stand-in engine directly and through a router whose budget is held
//! by a second router. Caller, engine, platform and routers share this process, so the router's
//! part is the difference between the two.

mod bench;
mod paced;
mod usage;

use {
    anyhow::Result,
    bench::{Bench, Target},
    hdrhistogram::Histogram,
    std::{
        io::Write,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Semaphore, task::JoinSet},
    usage::{cpu_seconds, resident_bytes},
};

/// Two flush intervals.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Requests of a line at the least.
const LEAST_REQUESTS: usize = 16;
/// Time between tokens of the engine while a number of streams is kept open.
const FAST_PACE: Duration = Duration::from_millis(5);

/// Sizes of the measurement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Numbers of streams that are open at the same time.
    pub streams: Vec<usize>,
    /// Tokens of an answer.
    pub tokens: Vec<u64>,
    /// Requests for each stream of a line; at least [`LEAST_REQUESTS`] are sent.
    pub requests: usize,
    /// Rates of requests a second, each with answers of the design size; when there is one, only
    /// these are measured.
    pub rates: Vec<f64>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            streams: vec![1, 64, 1_024],
            tokens: vec![1, 200],
            requests: 4,
            rates: Vec::new(),
        }
    }
}

/// Runs the measurement.
pub async fn run(settings: &Settings, out: &mut impl Write) -> Result<()> {
    if !settings.rates.is_empty() {
        return paced::run(&settings.rates, out).await;
    }
    writeln!(
        out,
        "target,streams,tokens,requests,requests_per_s,cpu_us_per_request,first_p50_us,first_p99_us,resident_bytes,peer_bytes_per_request"
    )?;
    for tokens in &settings.tokens {
        let bench = Bench::start(*tokens, FAST_PACE).await?;
        for streams in &settings.streams {
            let requests = (settings.requests * streams).max(LEAST_REQUESTS);
            for target in [&bench.direct, &bench.routed] {
                // The first requests open connections and are not counted.
                load(&bench, target, *streams, *streams).await?;
                let before = bench.peer_bytes().await?;
                let line = load(&bench, target, *streams, requests).await?;
                // The last settlements are confirmed after the next flush.
                tokio::time::sleep(SETTLE_TIME).await;
                let peer = (bench.peer_bytes().await? - before) / requests as u64;
                writeln!(
                    out,
                    "{},{streams},{tokens},{requests},{line},{peer}",
                    target.name
                )?;
            }
        }
        bench.stop().await;
    }
    Ok(())
}

/// Sends requests, `streams` at a time, and returns the figures of the line.
async fn load(bench: &Bench, target: &Target, streams: usize, requests: usize) -> Result<String> {
    let places = Arc::new(Semaphore::new(streams));
    let mut first = Histogram::<u64>::new(3)?;
    let (started, cpu) = (Instant::now(), cpu_seconds()?);
    let mut calls = JoinSet::new();
    let mut resident = 0;
    for number in 0..requests {
        let place = places.clone().acquire_owned().await?;
        let call = bench.call(target, number);
        calls.spawn(async move {
            let result = call.await;
            drop(place);
            result
        });
        while let Some(done) = calls.try_join_next() {
            first.record(micros(done??.first))?;
        }
        resident = resident_bytes()?.max(resident);
    }
    while let Some(done) = calls.join_next().await {
        first.record(micros(done??.first))?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let cpu = (cpu_seconds()? - cpu) / requests as f64 * 1e6;
    Ok(format!(
        "{:.0},{cpu:.0},{},{},{resident}",
        requests as f64 / seconds,
        first.value_at_quantile(0.5),
        first.value_at_quantile(0.99),
    ))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
