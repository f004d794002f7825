//! Changes of the configuration and of upstreams, silences, breaks, outages of the store and planned
//! stops that overlap at random.

mod caller;
#[path = "../harness/mod.rs"]
mod harness;
mod record;
mod upstream;

use {
    caller::{Caller, Host, KEYS, Process},
    harness::{Harness, entry, snapshot},
    marigoldroute_core::forward::{Limits, Registration, Route, Service, Snapshot, State, Target},
    marigoldroute_gateway::Settings,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    record::{Counts, Shared, lock},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
    upstream::Mood,
};

const CALLERS: u64 = 150;
const UPSTREAMS: u64 = 6;
const SERVICES: [&str; 2] = ["desk", "annex"];
/// Timeouts of the routes.
const TIMEOUTS_MS: [u64; 5] = [500, 1_500, 4_000, 8_000, 16_000];
/// Lowest limit on the idle time of callers' connections.
const IDLE_LIMIT: Duration = Duration::from_millis(300);
/// Time for a process to end; longer than a response may take.
const DRAIN_LIMIT: Duration = Duration::from_secs(40);
/// Time that a call of a slow store takes.
const LATENCY: Duration = Duration::from_millis(150);
/// Longest time for which the process stands still.
const STALL: Duration = Duration::from_millis(300);
/// Shortest time between two disruptions of the store.
const CALM: Duration = Duration::from_secs(1);
const OUTAGES: [Outage; 3] = [Outage::Down, Outage::Silent, Outage::Slow];
/// Time of changes in the run of CI.
const DURATION: Duration = Duration::from_millis(1_500);

/// A disruption of the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outage {
    Down,
    Silent,
    Slow,
}

fn choose_timeout(random: &mut SmallRng) -> Duration {
    Duration::from_millis(*TIMEOUTS_MS.choose(random).expect("a timeout"))
}

/// Returns a random configuration.
fn configuration(random: &mut SmallRng, version: u64) -> Snapshot {
    let mut next = snapshot(version, 1_000_000_000);
    let annex = Service {
        name: SERVICES[1].into(),
        ..next.services[0].clone()
    };
    next.services.push(annex);
    for service in &mut next.services {
        service.connection_limit = *[2, 8, 64, 64].choose(random).expect("a limit");
    }
    let kept = *SERVICES.choose(random).expect("a service");
    let removed = random.random_bool(0.3);
    for route in &mut next.routes {
        let targets = SERVICES.iter().filter(|name| !removed || **name == kept);
        let target = |name: &&str| Target {
            service: (*name).into(),
            weight: random.random_range(1..5),
        };
        route.targets = targets.map(target).collect();
        route.timeout = choose_timeout(random);
        route.objective = Duration::from_millis(random.random_range(50..300));
        route.event_interval = route.objective / 4;
        route.attempts = random.random_range(1..4);
    }
    if removed {
        next.services.retain(|service| *service.name == *kept);
    }
    let parts = next.routes.iter().map(|route| Route {
        prefix: format!("{}part/", route.prefix).into(),
        timeout: choose_timeout(random),
        ..route.clone()
    });
    let parts: Vec<_> = parts.collect();
    let parts = parts.into_iter().filter(|_| random.random_bool(0.3));
    next.routes.extend(parts);
    next.routes.retain(|_| random.random_bool(0.95));
    let workspace = &mut next.workspaces[0];
    workspace.purchased = workspace.purchased.filter(|_| random.random_bool(0.5));
    let keys = KEYS.iter().filter(|_| random.random_bool(0.9));
    workspace.keys = keys.map(|key| (*key).into()).collect();
    next.limits = Limits {
        idle_timeout: IDLE_LIMIT.mul_f64(random.random_range(1.0..10.0)),
        ..Limits::default()
    };
    next
}

/// An upstream with its entry in the list.
struct Listed {
    id: String,
    entry: Registration,
    mood: Arc<Mood>,
}

/// A host with the stop of its process, if one is under way.
struct Running {
    harness: Harness,
    host: Host,
    stopping: Option<JoinHandle<()>>,
}

/// Returns the process of a host.
fn process(harness: &Harness) -> Process {
    Process {
        address: harness.callers,
        is_stopping: Arc::default(),
    }
}

impl Running {
    fn new(harness: Harness) -> Self {
        let host = Arc::new(Mutex::new(process(&harness)));
        Self {
            harness,
            host,
            stopping: None,
        }
    }

    /// Begins a planned stop unless one is under way.
    fn stop(&mut self) {
        if let Some(gateway) = self.harness.gateway.take() {
            let process = self.host.lock().expect("no task panics");
            process.is_stopping.store(true, Ordering::SeqCst);
            self.stopping = Some(tokio::spawn(gateway.stop()));
        }
    }

    /// Starts a new process after the end of a planned stop.
    async fn restart(&mut self) {
        if self.stopping.as_ref().is_some_and(JoinHandle::is_finished) {
            self.stopping = None;
            self.harness.start();
            *self.host.lock().expect("no task panics") = process(&self.harness);
        }
    }

    async fn end(mut self) {
        self.stop();
        if let Some(stopping) = self.stopping.take() {
            stopping.await.expect("the stop ends");
        }
    }
}

/// What a run changes.
struct Director {
    random: SmallRng,
    record: Shared,
    hosts: Vec<Running>,
    upstreams: Vec<Listed>,
    version: u64,
    /// Disruption of the store, and when it ends.
    outage: Option<(Outage, Instant)>,
}

impl Director {
    async fn run(&mut self, duration: Duration) {
        let ends_at = Instant::now() + duration;
        while Instant::now() < ends_at {
            if self.random.random_bool(0.6) {
                self.configure();
            }
            if self.random.random_bool(0.3) {
                self.change_upstream();
            }
            self.disturb_store();
            let longest = lock(&self.record).longest_stall;
            if !longest.is_zero() && self.random.random_bool(0.1) {
                // The whole process stands still, with its hosts, callers and upstreams.
                std::thread::sleep(longest.mul_f64(self.random.random()));
            }
            if self.random.random_bool(0.04) {
                let index = self.random.random_range(0..self.hosts.len());
                self.hosts[index].stop();
            }
            for host in &mut self.hosts {
                host.restart().await;
            }
            let pause = self.random.random_range(10..250);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self.set_outage(None);
    }

    /// Begins or ends a disruption of the store at random.
    fn disturb_store(&mut self) {
        let now = Instant::now();
        let is_calm = self.outage.is_none_or(|(_, until)| until + CALM < now);
        if lock(&self.record).has_outages && is_calm && self.random.random_bool(0.05) {
            let outage = *OUTAGES.choose(&mut self.random).expect("a kind");
            let time = Duration::from_millis(self.random.random_range(100..1_500));
            self.outage = Some((outage, now + time));
            lock(&self.record).outages.push((now, now + time));
        }
        let current = self.outage.filter(|(_, until)| *until > now);
        self.set_outage(current.map(|(outage, _)| outage));
    }

    fn set_outage(&self, outage: Option<Outage>) {
        let store = &self.hosts[0].harness.store;
        store.set_down(outage == Some(Outage::Down));
        store.set_silent(outage == Some(Outage::Silent));
        let is_slow = outage == Some(Outage::Slow);
        store.set_latency(if is_slow { LATENCY } else { Duration::ZERO });
    }

    fn configure(&mut self) {
        self.version += self.random.random_range(1..4);
        let next = configuration(&mut self.random, self.version);
        lock(&self.record).put(&next);
        self.hosts[0].harness.store.configure(next);
    }

    /// Lets an upstream pause, leave or return. The first one of each service stays.
    fn change_upstream(&mut self) {
        let index = self
            .random
            .random_range(SERVICES.len()..self.upstreams.len());
        let store = self.hosts[0].harness.store.clone();
        let upstream = &mut self.upstreams[index];
        match self.random.random_range(0..6) {
            0 => upstream.mood.is_leaving.store(true, Ordering::Relaxed),
            1 => {
                let pause = Duration::from_millis(self.random.random_range(100..1_000));
                let until = Some(Instant::now() + pause);
                *upstream.mood.paused_until.lock().expect("no task panics") = until;
            }
            2 => {
                upstream.entry.state = State::Draining;
                store.put(&upstream.id, upstream.entry.clone());
            }
            3 => store.remove(&upstream.id),
            _ => {
                upstream.mood.is_leaving.store(false, Ordering::Relaxed);
                upstream.entry.state = State::Ready;
                upstream.entry.started_ms += 1;
                store.put(&upstream.id, upstream.entry.clone());
            }
        }
    }
}

/// Starts the hosts and their upstreams.
async fn set_up(seed: u64, record: &Shared) -> Director {
    let mut random = SmallRng::seed_from_u64(seed);
    lock(record).has_outages = random.random_bool(0.4);
    if random.random_bool(0.3) {
        lock(record).longest_stall = STALL;
    }
    let is_forgetful = random.random_bool(0.3);
    lock(record).has_forgetful_upstreams = is_forgetful;
    let settings = Settings {
        drain_limit: DRAIN_LIMIT,
        deregistration_delay: Duration::from_millis(50),
        listen_peers: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        ..Settings::default()
    };
    let first = configuration(&mut random, 1);
    lock(record).put(&first);
    let (harness, _) = Harness::with_settings(settings.clone(), first, Vec::new()).await;
    let mut hosts = vec![];
    if random.random_bool(0.5) {
        hosts.push(Running::new(harness.start_host("second", settings).await));
    }
    hosts.insert(0, Running::new(harness));
    let break_share = *[0.0, 0.02, 0.1].choose(&mut random).expect("a share");
    let rate = *[None, None, Some(40.0)]
        .choose(&mut random)
        .expect("a rate");
    let mut upstreams = Vec::new();
    for index in 0..UPSTREAMS {
        let mood = Arc::new(Mood {
            rate: rate.filter(|_| index >= SERVICES.len() as u64),
            break_share,
            is_forgetful,
            ..Mood::default()
        });
        let address = upstream::start(seed + index * 7_919, mood.clone(), record.clone()).await;
        let entry = Registration {
            service: SERVICES[index as usize % SERVICES.len()].into(),
            ..entry(address, State::Ready)
        };
        let id = format!("u{index}");
        hosts[0].harness.store.put(&id, entry.clone());
        upstreams.push(Listed { id, entry, mood });
    }
    Director {
        random,
        record: record.clone(),
        hosts,
        upstreams,
        version: 1,
        outage: None,
    }
}

async fn run(seed: u64, duration: Duration) -> Counts {
    let record = Shared::default();
    let mut director = set_up(seed, &record).await;
    let is_done = Arc::new(AtomicBool::new(false));
    let hosts: Vec<_> = director.hosts.iter().map(|one| one.host.clone()).collect();
    let callers = (0..CALLERS).map(|number| {
        let caller = Caller {
            name: format!("c{number}"),
            hosts: hosts.clone(),
            random: SmallRng::seed_from_u64(director.random.random()),
            record: record.clone(),
            is_done: is_done.clone(),
        };
        tokio::spawn(caller.run())
    });
    let callers: Vec<_> = callers.collect();
    director.run(duration).await;
    is_done.store(true, Ordering::Relaxed);
    let ending = director.hosts.into_iter().map(Running::end);
    futures_util::future::join_all(ending).await;
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    lock(&record).check(seed)
}

/// Guards against requests that end without a response, or with a part of one, while their upstream
/// is sound and their time is not over.
///
/// `MARIGOLDROUTE_OVERLAPS=START:COUNT` runs these seeds, each for longer than the gateway's checks
/// of idle connections are apart.
#[tokio::test]
async fn overlapping_disruptions_lose_no_request() {
    let Ok(range) = std::env::var("MARIGOLDROUTE_OVERLAPS") else {
        let counts = run(1, DURATION).await;
        assert!(counts.answered > 0 && counts.refused > 0, "{counts:?}");
        return;
    };
    let (start, count) = range.split_once(':').expect("START:COUNT");
    let start: u64 = start.parse().expect("a number");
    let count: u64 = count.parse().expect("a number");
    for seed in start..start + count {
        let counts = run(seed, DURATION * 5).await;
        println!("seed {seed}: {counts:?}");
    }
}
