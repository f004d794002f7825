//! Time and memory of a decision with many candidates known.

use {
    super::fleet::{MODEL, candidate, origin},
    hdrhistogram::Histogram,
    marigoldroute_core::{
        id::UpstreamId,
        route::{Load, PolicyName, Progress, Request, Settings},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        io::Write,
        time::{Duration, Instant},
    },
};

/// Candidates known.
const REPLICAS: usize = 600;
/// Hosts known.
const HOSTS: usize = 390;
/// Decisions measured.
const DECISIONS: u32 = 200_000;
/// Blocks per prompt.
const BLOCKS: usize = 12;

/// Measures each policy and prints CSV rows.
///
/// # Errors
/// When writing to `out` fails.
pub fn run(settings: &Settings, out: &mut dyn Write) -> anyhow::Result<()> {
    writeln!(
        out,
        "policy,replicas,decision_p50_ns,decision_p99_ns,decision_mean_ns,bytes_before,bytes_after,host_change_us"
    )?;
    for name in PolicyName::ALL {
        writeln!(out, "{}", measure(name, settings)?)?;
    }
    Ok(())
}

fn measure(name: PolicyName, settings: &Settings) -> anyhow::Result<String> {
    let mut policy = name.policy(origin(1), settings.clone());
    let mut random = SmallRng::seed_from_u64(1);
    for replica in 0..REPLICAS {
        let id: UpstreamId = format!("engine-{replica}").into();
        policy.join(Duration::ZERO, &candidate(&id, replica))?;
        let load = Load {
            running: random.random_range(10..60),
            token_interval: 0.03,
            prefill: 0.000_05,
            ..Load::default()
        };
        policy.record_load(Duration::ZERO, &id, &load);
    }
    let hosts: Vec<_> = (0..HOSTS).map(|n| origin(n).host).collect();
    let started = Instant::now();
    policy.set_hosts(&hosts);
    let ranked = started.elapsed().as_micros();
    let before = policy.memory_bytes();
    let mut times = Histogram::<u64>::new(3)?;
    for round in 0..DECISIONS {
        let now = Duration::from_millis(u64::from(round));
        let group: u64 = random.random_range(0..200);
        let prefixes: Vec<u64> = (0..BLOCKS as u64)
            .map(|block| group << 32 | block)
            .collect();
        let request = Request {
            target: MODEL,
            prompt_tokens: 3_000,
            output_limit: 256,
            prefixes: &prefixes,
            shared_prefix: None,
            zone: None,
            priority: 0,
            allows: &|_| true,
        };
        let started = Instant::now();
        let choice = policy.choose(now, &mut random, &request);
        times.record(started.elapsed().as_nanos() as u64)?;
        if let Some(mut choice) = choice {
            policy.report(now, &mut choice.ticket, Progress::Sent(&prefixes));
            policy.report(now, &mut choice.ticket, Progress::FirstToken);
            policy.report(now, &mut choice.ticket, Progress::Finished { tokens: 1 });
        }
    }
    Ok(format!(
        "{name},{REPLICAS},{},{},{:.0},{before},{},{ranked}",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.mean(),
        policy.memory_bytes()
    ))
}
