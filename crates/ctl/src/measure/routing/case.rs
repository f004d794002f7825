//! The measured cases.

use std::time::Duration;

/// What goes wrong at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Runs at this share of its speed.
    Slow(f64),
    /// Accepts requests and never answers.
    Silent,
    /// Fails every request at once.
    Failing,
}

/// A fault of an engine from the start of the fault period to its end.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub engine: usize,
    pub fault: Fault,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Share of long drafting jobs; the rest are short queries.
    pub drafts: f64,
    /// Requests that share a prefix with others of their group.
    pub shared: f64,
    /// Groups with a common prefix.
    pub groups: usize,
    /// Blocks of a common prefix.
    pub blocks: usize,
}

/// A measured case.
#[derive(Clone, Debug)]
pub struct Case {
    pub name: &'static str,
    pub routers: usize,
    /// Speed of each engine; 1 is the speed that the design load is sized for.
    pub speeds: Vec<f64>,
    /// Requests per second and engine.
    pub rate: f64,
    /// Factor on the rate during the fault period.
    pub burst: f64,
    /// Time between load reports of an engine.
    pub interval: Duration,
    /// Delay of load reports and cache events.
    pub lag: Duration,
    /// Share of the cache events that are lost.
    pub loss: f64,
    pub mix: Mix,
    pub outages: Vec<Outage>,
    /// Blocks in an engine's prefix cache.
    pub cache: usize,
    /// Arrivals before this time are not measured.
    pub warmup: Duration,
    /// Start and end of faults and bursts.
    pub period: (Duration, Duration),
    pub end: Duration,
}

/// Design load per replica: 3,200 requests per second over 600 replicas.
const RATE: f64 = 3_200.0 / 600.0;
/// Speeds of the engines of deployments whose upstreams differ widely.
const WIDE: [f64; 6] = [0.5, 0.7, 0.9, 1.1, 1.3, 1.5];

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns a steady case with equal engines.
fn steady(name: &'static str, routers: usize, engines: usize) -> Case {
    Case {
        name,
        routers,
        speeds: vec![1.0; engines],
        rate: RATE,
        burst: 1.0,
        interval: seconds(1),
        lag: Duration::from_millis(300),
        loss: 0.02,
        mix: Mix {
            drafts: 0.15,
            shared: 0.5,
            groups: 40,
            blocks: 2,
        },
        outages: Vec::new(),
        cache: 400,
        warmup: seconds(15),
        period: (seconds(25), seconds(45)),
        end: seconds(60),
    }
}

fn wide(name: &'static str, routers: usize, engines: usize) -> Case {
    Case {
        speeds: WIDE.into_iter().cycle().take(engines).collect(),
        interval: seconds(4),
        lag: seconds(1),
        ..steady(name, routers, engines)
    }
}

fn faulty(name: &'static str, fault: Fault) -> Case {
    Case {
        outages: vec![Outage { engine: 5, fault }],
        ..steady(name, 6, 18)
    }
}

/// Returns every case.
fn all() -> Vec<Case> {
    vec![
        steady("steady", 6, 18),
        wide("heterogeneous_old_reports", 6, 18),
        faulty("slow_upstream", Fault::Slow(0.2)),
        faulty("silent_upstream", Fault::Silent),
        faulty("failing_upstream", Fault::Failing),
        Case {
            burst: 1.6,
            period: (seconds(25), seconds(31)),
            ..steady("burst", 6, 18)
        },
        Case {
            mix: Mix {
                drafts: 0.4,
                ..steady("", 6, 18).mix
            },
            rate: RATE * 0.55,
            ..steady("drafts_and_queries", 6, 18)
        },
        Case {
            mix: Mix {
                shared: 0.9,
                groups: 60,
                blocks: 10,
                ..steady("", 6, 18).mix
            },
            rate: RATE * 0.85,
            cache: 300,
            ..steady("shared_prefixes", 6, 18)
        },
        Case {
            interval: seconds(5),
            ..wide("scaled_60_replicas_39_hosts", 39, 60)
        },
        Case {
            interval: seconds(5),
            end: seconds(40),
            ..wide("scaled_600_replicas_390_hosts", 390, 600)
        },
    ]
}

/// Returns the cases with these names, or all of them when there are no names.
///
/// # Errors
/// When a name is unknown.
pub fn select(names: &[String]) -> anyhow::Result<Vec<Case>> {
    let all = all();
    if names.is_empty() {
        return Ok(all);
    }
    let find = |name: &String| {
        let found = all.iter().find(|case| case.name == *name).cloned();
        found.ok_or_else(|| anyhow::anyhow!("unknown case `{name}`"))
    };
    names.iter().map(find).collect()
}
