//! A planned stop of one of three hosts of a fleet, beside callers that keep sending.

mod caller;
#[path = "../harness/mod.rs"]
mod harness;
mod upstream;

use {
    caller::{Caller, Outcome, Record},
    harness::{Harness, entry, snapshot},
    marigoldroute_core::forward::State,
    marigoldroute_gateway::Settings,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
    upstream::Upstream,
};

const HOSTS: usize = 3;
const CALLERS: usize = 150;
/// Answers of each kind that each host gives before one of them stops.
const WARM_UP: usize = 12;
/// Time after the stop of a host in which its callers may still read what it has sent. Its
/// connections outlive it here, and would not if its process ended.
const READ_TIME: Duration = Duration::from_millis(200);
/// Time for which callers go on after the stop.
const AFTER_STOP: Duration = Duration::from_millis(500);
/// Time between two readiness checks of the load balancer, of which two take a host out.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns settings for a stop whose end the longest streams reach when they begin in its middle.
fn settings() -> Settings {
    Settings {
        deregistration_delay: Duration::from_millis(1_000),
        drain_limit: Duration::from_millis(3_500),
        ..Settings::default()
    }
}

/// What callers share.
struct Fleet {
    hosts: Vec<SocketAddr>,
    /// Whether the load balancer sends new connections to a host.
    in_rotation: Vec<AtomicBool>,
    /// When the first host had stopped.
    stopped_at: OnceLock<Instant>,
    is_over: AtomicBool,
    records: Mutex<Vec<Record>>,
    /// Complete answers by host and path.
    answers: Mutex<HashMap<(usize, &'static str), usize>>,
}

impl Fleet {
    /// Returns whether the process of a host has ended for its callers.
    fn has_ended(&self, host: usize) -> bool {
        let stopped_at = self.stopped_at.get().filter(|_| host == 0);
        stopped_at.is_some_and(|at| at.elapsed() > READ_TIME)
    }

    fn is_warm(&self) -> bool {
        let answers = self.answers.lock().expect("no test panics here");
        let is_known = |host, path| answers.get(&(host, path)).is_some_and(|n| *n >= WARM_UP);
        (0..HOSTS).all(|host| caller::PATHS.iter().all(|path| is_known(host, *path)))
    }
}

/// Takes a host out of rotation after two failed readiness checks.
async fn check_readiness(fleet: Arc<Fleet>, host: Arc<Harness>, index: usize) {
    let mut misses = 0;
    loop {
        misses = if host.is_ready().await { 0 } else { misses + 1 };
        fleet.in_rotation[index].store(misses < 2, Ordering::Relaxed);
        sleep(CHECK_INTERVAL).await;
    }
}

/// Starts three hosts and three upstreams.
async fn start() -> (Vec<Harness>, Vec<Upstream>) {
    let mut snapshot = snapshot(1, 1_000_000);
    snapshot.workspaces[0].purchased = None;
    snapshot.services[0].connection_limit = 1_000;
    for route in &mut snapshot.routes {
        route.timeout = caller::DEADLINE;
    }
    let (mut harness, _) = Harness::with_snapshot(snapshot, vec![]).await;
    harness.gateway.take().expect("it runs").stop().await;
    let mut upstreams = Vec::new();
    for index in 0..HOSTS {
        let upstream = Upstream::start().await;
        let row = entry(upstream.address, State::Ready);
        harness.store.put(&format!("u{index}"), row);
        upstreams.push(upstream);
    }
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        let instance = format!("h{index}");
        let host = harness.start_host(&instance, settings());
        hosts.push(host.await);
    }
    (hosts, upstreams)
}

/// Plays the stop of the first host; returns what the callers saw and the runs of the upstreams.
async fn play() -> (Vec<Record>, Vec<String>) {
    let (mut hosts, upstreams) = start().await;
    let stopping = hosts[0].gateway.take().expect("it runs");
    let fleet = Arc::new(Fleet {
        hosts: hosts.iter().map(|host| host.callers).collect(),
        in_rotation: (0..HOSTS).map(|_| AtomicBool::new(true)).collect(),
        stopped_at: OnceLock::new(),
        is_over: AtomicBool::new(false),
        records: Mutex::default(),
        answers: Mutex::default(),
    });
    let hosts: Vec<_> = hosts.into_iter().map(Arc::new).collect();
    let mut checks = JoinSet::new();
    for (index, host) in hosts.iter().enumerate() {
        checks.spawn(check_readiness(fleet.clone(), host.clone(), index));
    }
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        callers.spawn(Caller::new(index, fleet.clone()).run());
    }
    while !fleet.is_warm() {
        sleep(Duration::from_millis(20)).await;
    }
    stopping.stop().await;
    fleet.stopped_at.get_or_init(Instant::now);
    sleep(AFTER_STOP).await;
    fleet.is_over.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let records = std::mem::take(&mut *fleet.records.lock().expect("no test panics here"));
    let runs = upstreams.iter().flat_map(Upstream::runs).collect();
    (records, runs)
}

/// Guards against a planned stop that costs callers an answer: requests that were passed on and are
/// cut, refusals of requests that have run, refused requests that no other host serves, and requests
/// that run twice although they may not.
#[tokio::test]
async fn a_stop_in_a_fleet_costs_no_answer() {
    let (records, runs) = play().await;
    let passed_on: HashSet<_> = runs.iter().collect();
    assert_eq!(passed_on.len(), runs.len(), "an attempt has run twice");
    let mut refused = Vec::new();
    for record in &records {
        let ran = |id: &String| passed_on.contains(id);
        for attempt in &record.attempts {
            match attempt.outcome {
                Outcome::Answered => assert!(ran(&attempt.id), "{record:?}"),
                Outcome::Refused => assert!(!ran(&attempt.id), "{record:?}"),
                Outcome::Failed => panic!("{record:?}"),
                // Its connection closed while it was sent.
                Outcome::Broken { is_kept } => {
                    assert!(!ran(&attempt.id) && is_kept, "{record:?}");
                }
                Outcome::NotConnected => {}
            }
        }
        let runs = record.attempts.iter().filter(|attempt| ran(&attempt.id));
        assert!(record.is_repeatable() || runs.count() <= 1, "{record:?}");
        if record.is_refused() {
            refused.push(record);
        }
    }
    let served = refused.iter().filter(|record| record.is_served()).count();
    println!(
        "{} requests, {} refused by a host, {served} of them served by another",
        records.len(),
        refused.len()
    );
    assert!(!refused.is_empty(), "nothing came late");
    assert!(served * 100 >= refused.len() * 95, "{refused:?}");
}
