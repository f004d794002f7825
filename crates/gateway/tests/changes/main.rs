//! Random changes of the configuration beside silent upstreams, and a planned stop.

mod caller;
#[path = "../harness/mod.rs"]
mod harness;
mod upstream;

use {
    caller::{Caller, Outcomes, Unanswered},
    harness::{Harness, KEY, entry, snapshot},
    marigoldroute_core::forward::{Kind, Limits, Service, Snapshot, State, Target},
    marigoldroute_gateway::Settings,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    upstream::Record,
};

/// Prefix of the ids of requests that may move to another upstream.
const MOVABLE: &str = "resumable.";
const CALLERS: u64 = 16;
const UPSTREAMS: u64 = 5;
const SERVICES: [&str; 2] = ["desk", "annex"];
/// Lowest limit on the idle time of callers' connections.
const IDLE_LIMIT: Duration = Duration::from_millis(300);
/// Lowest timeout of the routes, above what a response may take.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the process to end; longer than a response may take.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Time between two checks whether this process stood still.
const STALL_CHECK: Duration = Duration::from_millis(10);
/// Longest time of changes in one run of CI.
const DURATION: Duration = Duration::from_millis(1_500);

/// Returns a random configuration.
fn configuration(random: &mut SmallRng, version: u64) -> Snapshot {
    let mut next = snapshot(version, 1_000_000_000);
    let annex = Service {
        name: SERVICES[1].into(),
        ..next.services[0].clone()
    };
    next.services.push(annex);
    for service in &mut next.services {
        service.connection_limit = *[2, 8, 64].choose(random).expect("a limit");
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
        route.timeout = TIMEOUT.mul_f64(random.random_range(1.0..3.0));
        route.objective = Duration::from_millis(random.random_range(50..300));
        route.event_interval = route.objective / 4;
        route.attempts = random.random_range(1..4);
    }
    if removed {
        next.services.retain(|service| *service.name == *kept);
    }
    next.routes
        .retain(|route| route.kind == Kind::Once || random.random_bool(0.9));
    let workspace = &mut next.workspaces[0];
    workspace.purchased = workspace.purchased.filter(|_| random.random_bool(0.5));
    if random.random_bool(0.1) {
        workspace.keys = vec!["other".into()];
    } else if random.random_bool(0.5) {
        workspace.keys = vec!["other".into(), KEY.into()];
    }
    next.limits = Limits {
        idle_timeout: IDLE_LIMIT.mul_f64(random.random_range(1.0..10.0)),
        ..Limits::default()
    };
    next
}

/// Changes the configuration and the list of upstreams for this time.
async fn change(
    random: &mut SmallRng,
    harness: &Harness,
    upstreams: &[(SocketAddr, &str)],
    duration: Duration,
) {
    let ends_at = Instant::now() + duration;
    let mut version = 1;
    while Instant::now() < ends_at {
        version += random.random_range(1..4);
        harness.store.configure(configuration(random, version));
        if random.random_bool(0.2) {
            // The first upstream of each service stays.
            let index = random.random_range(SERVICES.len()..upstreams.len());
            let state = *[State::Ready, State::Draining]
                .choose(random)
                .expect("a state");
            put(harness, upstreams, index, state);
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(10..200))).await;
    }
}

fn put(harness: &Harness, upstreams: &[(SocketAddr, &str)], index: usize, state: State) {
    let (address, service) = upstreams[index];
    let entry = marigoldroute_core::forward::Registration {
        service: service.into(),
        ..entry(address, state)
    };
    harness.store.put(&format!("u{index}"), entry);
}

/// A time for which this process, with the gateway and its callers, stood still.
struct Stall {
    ended_at: Instant,
    length: Duration,
}

/// Records the stalls of this process.
async fn watch_stalls(stalls: Arc<Mutex<Vec<Stall>>>) {
    loop {
        let asleep = Instant::now();
        tokio::time::sleep(STALL_CHECK).await;
        let length = asleep.elapsed().saturating_sub(STALL_CHECK);
        if length > STALL_CHECK {
            let ended_at = Instant::now();
            let mut stalls = stalls.lock().expect("no task panics while it holds it");
            stalls.push(Stall { ended_at, length });
        }
    }
}

/// Returns the number of answered and refused requests.
async fn run(seed: u64, duration: Duration) -> (u64, u64) {
    let stalls = Arc::new(Mutex::new(Vec::new()));
    let watching = tokio::spawn(watch_stalls(stalls.clone()));
    let mut random = SmallRng::seed_from_u64(seed);
    let record = Arc::new(Mutex::new(Record::default()));
    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let settings = Settings {
        drain_limit: DRAIN_LIMIT,
        ..Settings::default()
    };
    let first = configuration(&mut random, 1);
    let (mut harness, _) = Harness::with_settings(settings, first, Vec::new()).await;
    let mut upstreams = Vec::new();
    for index in 0..UPSTREAMS {
        let address = upstream::start(seed + index * 7_919, record.clone()).await;
        upstreams.push((address, SERVICES[index as usize % SERVICES.len()]));
        put(&harness, &upstreams, index as usize, State::Ready);
    }
    let callers = (0..CALLERS).map(|number| {
        let caller = Caller {
            name: format!("c{number}"),
            address: harness.callers,
            random: SmallRng::seed_from_u64(random.random()),
            outcomes: outcomes.clone(),
            idle_limit: IDLE_LIMIT.mul_f64(0.8),
        };
        tokio::spawn(caller.run())
    });
    let callers: Vec<_> = callers.collect();
    change(&mut random, &harness, &upstreams, duration).await;
    let closed_before = outcomes.lock().expect("it is free").closed.len();
    harness.gateway.take().expect("it runs").stop().await;
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let outcomes = outcomes.lock().expect("it is free");
    let record = record.lock().expect("it is free");
    watching.abort();
    let stalls = stalls.lock().expect("it is free");
    check_early(seed, &outcomes.closed[..closed_before], &stalls);
    check(seed, &outcomes, &record);
    (outcomes.answered, outcomes.refused)
}

/// Checks that connections that closed before the stop had been idle for longer than the limit. To
/// the gateway, a response ended before the stall after which its caller read it.
fn check_early(seed: u64, closed: &[Unanswered], stalls: &[Stall]) {
    let late: Vec<_> = closed
        .iter()
        .map(|one| {
            let before = stalls
                .iter()
                .filter(|stall| stall.ended_at + STALL_CHECK * 2 > one.idle_since)
                .filter(|stall| stall.ended_at < one.idle_since + one.idle);
            let stall = before.map(|stall| stall.length).max().unwrap_or_default();
            (one, stall)
        })
        .collect();
    println!("seed {seed}: closed before the stop, with stalls: {late:?}");
    assert!(
        late.iter()
            .all(|(one, stall)| one.idle + *stall > IDLE_LIMIT),
        "seed {seed}: closed before the limit: {late:?}"
    );
}

fn check(seed: u64, outcomes: &Outcomes, record: &Record) {
    assert!(
        outcomes.wrong.is_empty(),
        "seed {seed}: {:#?}",
        outcomes.wrong
    );
    let cut = record.cut.iter().filter(|id| !id.starts_with(MOVABLE));
    let cut: Vec<_> = cut.collect();
    assert!(
        cut.is_empty(),
        "seed {seed}: cut at a silent upstream: {cut:?}"
    );
    let mut once = HashSet::new();
    let repeated = record.arrived.iter();
    let repeated = repeated.filter(|id| !id.starts_with(MOVABLE) && !once.insert(*id));
    let repeated: Vec<_> = repeated.collect();
    assert!(repeated.is_empty(), "seed {seed}: ran twice: {repeated:?}");
    let arrived: HashSet<_> = record.arrived.iter().collect();
    let lost: Vec<_> = outcomes
        .closed
        .iter()
        .filter(|unanswered| arrived.contains(&unanswered.id))
        .collect();
    assert!(
        lost.is_empty(),
        "seed {seed}: closed without a response: {lost:?}"
    );
}

/// Guards against requests that end without a response, or with a part of one, beside changes of
/// the configuration, silent upstreams and a planned stop.
///
/// `MARIGOLDROUTE_CHANGES=START:COUNT` runs these seeds, each for longer than the gateway's checks
/// of idle connections are apart.
#[tokio::test]
async fn changes_and_silent_upstreams_lose_no_request() {
    let Ok(range) = std::env::var("MARIGOLDROUTE_CHANGES") else {
        let (answered, refused) = run(1, DURATION).await;
        assert!(answered > 0 && refused > 0, "{answered} {refused}");
        return;
    };
    let (start, count) = range.split_once(':').expect("START:COUNT");
    let start: u64 = start.parse().expect("a number");
    let count: u64 = count.parse().expect("a number");
    for seed in start..start + count {
        let (answered, refused) = run(seed, DURATION * 5).await;
        println!("seed {seed}: {answered} answered, {refused} refused");
    }
}
