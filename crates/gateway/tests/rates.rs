//! Rates that upstreams state, kept by all hosts together.

mod harness;

use {
    bytes::BytesMut,
    harness::{
        Harness, entry, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::{
        forward::{AllowanceSettings, State},
        wire::{Acquire, Acquired, Body, Codec, Frame, Keys, Stated},
    },
    marigoldroute_gateway::Settings,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::UdpSocket, sync::Notify, task::JoinSet},
    tokio_util::codec::{Decoder, Encoder},
};

/// Time that hosts have to learn of a rate.
const LEARN_TIME: Duration = Duration::from_secs(3);
/// Length of the spans in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Requests that each host receives in a second.
const REQUESTS_PER_SECOND: u32 = 20;

/// Returns settings with a short renewal of the membership.
fn settings() -> Settings {
    Settings {
        renew_interval: Duration::from_millis(300),
        ..Settings::default()
    }
}

/// Starts a fleet of hosts with a common store.
async fn start_fleet(hosts: usize, scripts: Vec<Script>) -> (Vec<Harness>, Vec<Upstream>) {
    let (mut harness, upstreams) = Harness::unlimited(scripts).await;
    harness.gateway.take().expect("it runs").stop().await;
    let mut fleet = Vec::new();
    for index in 0..hosts {
        fleet.push(harness.start_host(&format!("h{index}"), settings()).await);
    }
    (fleet, upstreams)
}

/// Sends requests to every host for this time, and returns how many were answered with a success.
async fn load(fleet: &[Harness], path: &'static str, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut calls = JoinSet::new();
    let mut id = 0;
    while Instant::now() < end {
        for host in fleet {
            id += 1;
            let request = host.plain_request(path, &format!("{path}{id}")).send();
            calls.spawn(async move {
                let response = request.await.expect("an answer");
                let is_success = response.status().is_success();
                // The status alone counts; a body that breaks off is of another test.
                let _ = response.bytes().await;
                is_success
            });
        }
        tokio::time::sleep(Duration::from_secs(1) / REQUESTS_PER_SECOND).await;
    }
    let answered = calls.join_all().await;
    answered
        .into_iter()
        .filter(|is_success| *is_success)
        .count()
}

/// Returns the most arrivals in one span, from the time that hosts have to learn of the rate on.
fn busiest_span(upstream: &Upstream, stated_at: Instant) -> usize {
    let mut times = upstream.times();
    times.retain(|time| *time >= stated_at + LEARN_TIME);
    let counts = times.iter().map(|start| {
        times
            .iter()
            .filter(|time| (*start..*start + SPAN).contains(time))
            .count()
    });
    counts.max().unwrap_or(0)
}

/// Returns how many requests of all hosts an upstream may get in a span.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * SPAN.as_secs_f64()) as usize + 5
}

/// Guards against hosts that each send what an upstream takes from all of them together.
#[tokio::test]
async fn six_hosts_share_the_rate_that_an_upstream_states() {
    let (fleet, upstreams) =
        start_fleet(6, vec![Script::Rated(200), Script::Complete(200, "free")]).await;
    upstreams[0].state_rate(Some("1"));
    let stated_at = Instant::now();
    load(&fleet, "safe", LEARN_TIME + SPAN * 2).await;
    let most = busiest_span(&upstreams[0], stated_at);
    assert!(most <= allowed(1.0), "{most} requests in {SPAN:?}");
    assert!(most > 0, "the upstream was not used");
}

/// Requests that one upstream holds while another one states a rate.
const HELD: usize = 12;
/// Time after an answer by which all requests have arrived that were sent before it.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// How requests that one upstream has begun get to another one.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// The first upstream refuses them.
    Retry,
    /// The first upstream closes the connections of their streams.
    Resume,
    /// Their streams stall.
    Handover,
}

/// Starts requests that an upstream begins, lets another one state a rate, and moves the requests
/// all at once. Returns how many of them reach the other upstream.
async fn move_requests(kind: Move, rate: Option<&'static str>) -> usize {
    let release = Arc::new(Notify::new());
    let held = release.clone();
    // `probe` is the path of a request that is not moved when the other upstream answers it.
    let (path, probe, first, other) = match kind {
        Move::Retry => (
            "safe",
            "safe",
            Script::RefuseLater { release: held },
            Script::Rated(200),
        ),
        Move::Resume => (
            "resumable",
            "stream",
            Script::BreakLater { release: held },
            Script::RatedEvents { of: 2 },
        ),
        Move::Handover => (
            "resumable",
            "stream",
            Script::Paused {
                of: 2,
                resume: Arc::default(),
            },
            Script::RatedEvents { of: 2 },
        ),
    };
    let settings = Settings {
        retries: AllowanceSettings {
            share: 1.0,
            slack: 2.0 * HELD as f64,
            ..AllowanceSettings::default()
        },
        ..settings()
    };
    let mut snapshot = snapshot(1, 0);
    snapshot.workspaces[0].purchased = None;
    for route in &mut snapshot.routes {
        route.objective = Duration::from_secs(1);
    }
    let (harness, upstreams) = Harness::with_settings(settings, snapshot, vec![first]).await;
    let mut calls = JoinSet::new();
    let mut send = |path: &str| {
        let id = format!("r{}", calls.len());
        let request = harness.plain_request(path, &id).send();
        calls.spawn(async move {
            let response = request.await.expect("an answer");
            // Streams that are not moved break off.
            let _ = response.bytes().await;
        })
    };
    let until = async |arrivals: &dyn Fn() -> usize, count: usize| {
        while arrivals() < count {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let begun = || upstreams[0].arrivals().len();
    for count in 1..=HELD {
        send(path);
        until(&begun, count).await;
    }
    let other = Upstream::start("other", other).await;
    other.state_rate(rate);
    harness
        .store
        .put(&other.id, entry(other.address, State::Ready));
    let stated = || other.arrivals().len();
    while stated() == 0 {
        let count = begun() + 1;
        send(probe);
        until(&|| begun() + stated(), count).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let before = stated();
    release.notify_waiters();
    calls.join_all().await;
    stated() - before
}

/// Guards against retries and resumed streams that need no permit.
#[tokio::test]
async fn retries_and_resumed_streams_keep_the_rate() {
    for kind in [Move::Retry, Move::Resume, Move::Handover] {
        let moved = move_requests(kind, None).await;
        assert!(moved >= HELD, "{kind:?}: {moved} moved without a rate");
        // The statement is the answer to a request, and the next one is due after 20 s.
        let moved = move_requests(kind, Some("0.05")).await;
        assert_eq!(moved, 0, "{kind:?}: sent without a permit");
    }
    for (path, script) in [
        ("safe", Script::Rated(500)),
        ("resumable", Script::RatedEvents { of: 4 }),
    ] {
        let (fleet, upstreams) = start_fleet(3, vec![script.clone(), script]).await;
        for upstream in &upstreams {
            upstream.state_rate(Some("2"));
        }
        let stated_at = Instant::now();
        load(&fleet, path, LEARN_TIME + SPAN).await;
        for upstream in &upstreams {
            let most = busiest_span(upstream, stated_at);
            assert!(most <= allowed(2.0), "{path}: {most} requests in {SPAN:?}");
        }
    }
}

/// Guards against requests that need no permit when they have waited for a place at an upstream.
#[tokio::test]
async fn requests_that_waited_keep_the_rate() {
    for (rate, expected) in [(None, HELD), (Some("0.05"), 1)] {
        let release = Arc::new(Notify::new());
        let script = Script::RatedLater {
            release: release.clone(),
        };
        let mut snapshot = snapshot(1, 0);
        snapshot.workspaces[0].purchased = None;
        snapshot.services[0].connection_limit = 1;
        let (harness, upstreams) = Harness::with_snapshot(snapshot, vec![script]).await;
        upstreams[0].state_rate(rate);
        let mut calls = JoinSet::new();
        for id in 0..HELD {
            calls.spawn(harness.plain_request("once", &format!("r{id}")).send());
        }
        while upstreams[0].arrivals().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        assert_eq!(upstreams[0].arrivals().len(), 1, "the others wait");
        while !calls.is_empty() {
            release.notify_one();
            let answered = calls.join_next().await.expect("a call");
            answered.expect("no panic").expect("an answer");
        }
        let count = upstreams[0].arrivals().len();
        assert_eq!(count, expected, "at a rate of {rate:?}");
    }
}

/// Guards against requests that wait for a limited upstream, and against a time to return at which
/// it takes nothing.
#[tokio::test]
async fn what_no_upstream_takes_is_refused_at_once() {
    let (fleet, upstreams) = start_fleet(2, vec![Script::Rated(200)]).await;
    upstreams[0].state_rate(Some("0.5"));
    load(&fleet, "safe", LEARN_TIME).await;
    let sent_at = Instant::now();
    let mut returns = Vec::new();
    for id in 0..6 {
        let response = fleet[0].request("safe", &format!("late{id}")).send().await;
        let response = response.expect("an answer");
        if response.status() == 200 {
            continue;
        }
        assert_eq!(response.status(), 503);
        let after = harness::retry_after(&response);
        returns.push(after);
    }
    assert!(sent_at.elapsed() < Duration::from_secs(1), "refused late");
    assert!(returns.len() >= 5, "{} of 6 refused", returns.len());
    // Of 0.5 requests a second, this host takes half, and its callers come back in turn.
    let longest = returns.iter().copied().fold(0.0, f64::max);
    assert!(longest >= 4.0, "all are told to return within {longest} s");
}

/// Guards against hosts that go on with a rate that has ended, and against a rate that a number
/// without sense lifts.
#[tokio::test]
async fn a_rate_holds_until_the_upstream_states_none() {
    let (fleet, upstreams) = start_fleet(3, vec![Script::Rated(200)]).await;
    upstreams[0].state_rate(Some("2"));
    let stated_at = Instant::now();
    load(&fleet, "safe", LEARN_TIME).await;
    upstreams[0].state_rate(Some("many"));
    load(&fleet, "safe", SPAN).await;
    let most = busiest_span(&upstreams[0], stated_at);
    assert!(most <= allowed(2.0), "{most} requests in {SPAN:?}");
    upstreams[0].state_rate(None);
    load(&fleet, "safe", Duration::from_secs(2)).await;
    let time = Duration::from_secs(1);
    let answered = load(&fleet, "safe", time).await;
    assert!(
        answered >= 40,
        "{answered} of about 60 answered after the end"
    );
}

/// Returns the answer to a question for a permit.
async fn ask(socket: &UdpSocket, keys: &Keys, correlation: u64, stated: &Stated) -> Acquired {
    let frame = Frame {
        from: "asker.1".into(),
        to: String::new(),
        correlation,
        body: Some(Body::Acquire(Acquire {
            stated: stated.clone(),
        })),
    };
    let mut codec = Codec::new(keys.clone());
    let mut bytes = BytesMut::new();
    codec.encode(frame, &mut bytes).expect("a frame");
    socket.send(&bytes).await.expect("it is sent");
    let mut buffer = [0; 2_048];
    loop {
        let length = socket.recv(&mut buffer).await.expect("a datagram");
        let frame = codec.decode(&mut BytesMut::from(&buffer[..length]));
        let frame = frame.expect("it is authentic").expect("it is complete");
        if let Some(Body::Acquired(acquired)) = frame.body {
            assert_eq!(frame.correlation, correlation);
            return acquired;
        }
    }
}

/// Guards against a question that is repeated, for lack of an early answer, and takes a permit each
/// time.
#[tokio::test]
async fn a_repeated_question_takes_one_permit() {
    let (fleet, _upstreams) = start_fleet(1, Vec::new()).await;
    let row = fleet[0].store.rows("host/h0.");
    let row = row.first().expect("the host's row");
    let address = row
        .value
        .split('"')
        .find(|part| part.starts_with("127.0.0.1:"));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    socket
        .connect(address.expect("an address"))
        .await
        .expect("it exists");
    let key = fleet[0]
        .store
        .row("fleet/key")
        .expect("the key of the fleet");
    let keys = Keys::new(vec![key.value.as_bytes().into()]);
    let stated = Stated {
        upstream: "u".into(),
        started_ms: 1,
        rate: Some(1.0),
        age_us: 0,
    };
    let mut correlation = 1;
    while !ask(&socket, &keys, correlation, &stated).await.is_granted {
        correlation += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let repeated = ask(&socket, &keys, correlation, &stated).await;
    assert!(repeated.is_granted, "another answer to the same question");
    let other = ask(&socket, &keys, correlation + 1, &stated).await;
    assert!(!other.is_granted, "two permits within a second");
}
