//! Availability zones that operators evacuate.

mod harness;

use {
    harness::{
        Harness, entry, retry_after, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::{Registration, Snapshot, State},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Zone of the upstreams that the harness starts.
const ZONE: &str = "zone";
/// Longest wait for what has to happen.
const LIMIT: Duration = Duration::from_secs(10);

/// Returns a configuration without a budget, whose refusals would look the same.
fn configuration(version: u64) -> Snapshot {
    let mut snapshot = snapshot(version, 0);
    snapshot.workspaces[0].purchased = None;
    snapshot
}

/// Starts an upstream in a zone.
async fn add(harness: &Harness, id: &str, zone: &str, script: Script) -> Upstream {
    let upstream = Upstream::start(id, script).await;
    let entry = Registration {
        zone: zone.into(),
        ..entry(upstream.address, State::Ready)
    };
    harness.store.put(&upstream.id, entry);
    upstream
}

/// Begins or ends the evacuation of the zone, and waits until the host knows.
async fn evacuate(harness: &Harness, is_evacuated: bool) {
    harness.store.set_evacuated(ZONE, is_evacuated);
    until_followed(harness).await;
}

async fn until_followed(harness: &Harness) {
    let followed = tokio::time::timeout(LIMIT, harness.store.until_followed()).await;
    followed.expect("the host follows the store");
}

async fn send(harness: &Harness, path: &str, id: &str) -> u16 {
    let response = harness.request(path, id).send().await.expect("an answer");
    let status = response.status().as_u16();
    // A stream may break off where no other upstream continues it.
    let _ = response.bytes().await;
    status
}

/// Sends requests until the upstream has got one.
async fn until_used(harness: &Harness, upstream: &Upstream) {
    let used = async {
        for id in 0.. {
            if !upstream.arrivals().is_empty() {
                return;
            }
            send(harness, "safe", &format!("until-{}-{id}", upstream.id)).await;
        }
    };
    let used = tokio::time::timeout(LIMIT, used).await;
    used.unwrap_or_else(|_| panic!("{} gets nothing", upstream.id));
}

/// Guards against new requests for an evacuated zone, streams that its evacuation cuts, upstreams
/// that join there and get requests, and a zone that gets none after the end of its evacuation.
#[tokio::test]
async fn an_evacuated_zone_finishes_what_it_has() {
    let resume = Arc::new(Notify::new());
    let script = Script::Paused {
        of: 3,
        resume: resume.clone(),
    };
    let (harness, upstreams) = Harness::unlimited(vec![script]).await;
    let call = harness.request("stream", "running").send().await;
    let mut running = call.expect("a head");
    let mut text = running.chunk().await.expect("an event").expect("an event");
    let same = add(&harness, "same", ZONE, Script::Complete(200, "a")).await;
    let other = add(&harness, "other", "other", Script::Complete(200, "b")).await;
    evacuate(&harness, true).await;
    let joined = add(&harness, "joined", ZONE, Script::Complete(200, "c")).await;
    let last = add(&harness, "last", "other", Script::Complete(200, "d")).await;
    until_used(&harness, &other).await;
    until_used(&harness, &last).await;
    let before = same.arrivals().len();
    for id in 0..30 {
        assert_eq!(send(&harness, "safe", &format!("r{id}")).await, 200);
    }
    assert_eq!((upstreams[0].arrivals().len(), before), (1, 0));
    assert!(same.arrivals().is_empty() && joined.arrivals().is_empty());
    resume.notify_one();
    while let Some(bytes) = running.chunk().await.expect("the stream goes on") {
        text = [text, bytes].concat().into();
    }
    let events = (1..=3).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
    assert_eq!(text, events.collect::<String>());
    harness.store.remove("u0");
    evacuate(&harness, false).await;
    until_used(&harness, &same).await;
    until_used(&harness, &joined).await;
}

/// Guards against retries, resumed streams and continued streams for an evacuated zone.
#[tokio::test]
async fn no_path_leads_to_an_evacuated_zone() {
    let stalled = Script::Paused {
        of: 2,
        resume: Arc::default(),
    };
    let failing = [
        ("safe", Script::Refuse),
        ("safe", Script::Complete(500, "b")),
        ("safe", Script::Close),
        ("once", Script::Refuse),
        ("resumable", Script::Events { upto: 1, of: 4 }),
        ("resumable", stalled),
    ];
    for (path, script) in failing {
        let healthy = Script::Events { upto: 4, of: 4 };
        let (harness, upstreams) = Harness::unlimited(vec![healthy]).await;
        evacuate(&harness, true).await;
        let other = add(&harness, "other", "other", script.clone()).await;
        let arrive = async {
            for id in 0.. {
                if !other.arrivals().is_empty() {
                    return;
                }
                send(&harness, path, &format!("r{id}")).await;
            }
        };
        let arrived = tokio::time::timeout(LIMIT, arrive).await;
        arrived.expect("the other upstream is used");
        let count = upstreams[0].arrivals().len();
        assert_eq!(count, 0, "{path} {script:?}");
    }
}

/// Guards against a request that waits for a place in a zone, is kept waiting when the zone is
/// evacuated, or gets the place, also during a planned stop.
#[tokio::test]
async fn waiting_requests_are_refused_when_their_zone_is_evacuated() {
    for is_stopping in [false, true] {
        let mut snapshot = configuration(1);
        // One request in flight at the only upstream, so that another one has to wait.
        snapshot.services[0].connection_limit = 1;
        let resume = Arc::new(Notify::new());
        let script = Script::Paused {
            of: 2,
            resume: resume.clone(),
        };
        let (mut harness, upstreams) = Harness::with_snapshot(snapshot, vec![script]).await;
        let call = harness.request("stream", "running").send().await;
        let running = call.expect("a head");
        let begun_at = Instant::now();
        let mut waiting = tokio::spawn(harness.request("once", "waiting").send());
        let early = tokio::time::timeout(Duration::from_millis(300), &mut waiting).await;
        assert!(early.is_err(), "it waits: {early:?}");
        let gateway = harness.gateway.take().expect("it runs");
        let stopping = is_stopping.then(|| tokio::spawn(gateway.stop()));
        harness.store.set_evacuated(ZONE, true);
        let refused = waiting.await.expect("it ends").expect("a response");
        assert_eq!(refused.status(), 503, "stopping: {is_stopping}");
        assert!(retry_after(&refused) < 1.0);
        let time = begun_at.elapsed();
        assert!(time < Duration::from_secs(3), "refused after {time:?}");
        resume.notify_one();
        let text = running.text().await.expect("the stream goes on");
        assert!(text.ends_with("piece 2\n\n"), "{text}");
        assert_eq!(upstreams[0].arrivals().len(), 1);
        if let Some(stopping) = stopping {
            stopping.await.expect("it stops");
        }
    }
}

/// Guards against an evacuation that is forgotten when the store is away or the host starts again,
/// and against orders that were given while the store was away for the host.
#[tokio::test]
async fn evacuations_outlast_outages_and_restarts() {
    let (mut harness, upstreams) = Harness::unlimited(vec![Script::Complete(200, "a")]).await;
    evacuate(&harness, true).await;
    harness.store.set_down(true);
    for id in 0..5 {
        assert_eq!(send(&harness, "safe", &format!("down{id}")).await, 503);
    }
    harness.gateway.take().expect("it runs").stop().await;
    harness.start();
    assert_eq!(send(&harness, "safe", "unconfigured").await, 503);
    harness.store.set_down(false);
    harness.until_ready().await;
    for id in 0..5 {
        assert_eq!(send(&harness, "safe", &format!("again{id}")).await, 503);
    }
    assert!(upstreams[0].arrivals().is_empty());

    harness.store.set_down(true);
    harness.store.set_evacuated(ZONE, false);
    assert_eq!(send(&harness, "safe", "unknown").await, 503);
    harness.store.set_down(false);
    until_followed(&harness).await;
    assert_eq!(send(&harness, "safe", "ended").await, 200);

    harness.store.set_down(true);
    harness.store.set_evacuated(ZONE, true);
    assert_eq!(send(&harness, "safe", "not yet known").await, 200);
    harness.store.set_down(false);
    until_followed(&harness).await;
    assert_eq!(send(&harness, "safe", "known").await, 503);
}

/// Guards against a host that takes requests before it knows which zones are evacuated.
#[tokio::test]
async fn a_host_is_not_ready_before_it_knows_the_evacuations() {
    let (mut harness, upstreams) = Harness::unlimited(vec![Script::Complete(200, "a")]).await;
    harness.gateway.take().expect("it runs").stop().await;
    harness.store.set_evacuations_unreadable(true);
    let (_, asked) = harness.store.whole_reads();
    harness.start();
    while harness.store.whole_reads().1 < asked + 4 {
        assert!(!harness.is_ready().await);
        assert_eq!(send(&harness, "safe", "early").await, 503);
    }
    assert!(upstreams[0].arrivals().is_empty());
    harness.store.set_evacuations_unreadable(false);
    harness.until_ready().await;
    assert_eq!(send(&harness, "safe", "ready").await, 200);
}

/// Guards against an order that falls between the reads of a starting host, and one that is lost
/// beside a change of the configuration.
#[tokio::test]
async fn orders_beside_reads_and_changes_are_followed() {
    let transfer = Duration::from_millis(300);
    let harness = Harness::with_transfer_time(Some(configuration(1)), transfer).await;
    let upstream = add(&harness, "u0", ZONE, Script::Complete(200, "a")).await;
    while harness.store.whole_reads().1 == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(harness.store.whole_reads(), (0, 1), "between the two reads");
    harness.store.set_evacuated(ZONE, true);
    harness.until_ready().await;
    until_followed(&harness).await;
    assert_eq!(send(&harness, "safe", "between").await, 503);

    let mut changed = configuration(2);
    changed.routes[0].prefix = "/changed/".into();
    harness.store.set_evacuated(ZONE, false);
    harness.store.configure(changed);
    harness.store.set_evacuated("other", true);
    until_followed(&harness).await;
    assert_eq!(send(&harness, "changed", "beside").await, 200);
    harness.store.configure(configuration(3));
    harness.store.set_evacuated(ZONE, true);
    until_followed(&harness).await;
    assert_eq!(send(&harness, "safe", "after").await, 503);
    assert_eq!(upstream.arrivals().len(), 1);
}

/// Guards against orders that are lost with the history of the store, and against more reads of the
/// whole configuration than one for each loss.
#[tokio::test]
async fn orders_are_read_as_a_whole_after_a_loss_of_history() {
    let (harness, upstreams) = Harness::unlimited(vec![Script::Complete(200, "a")]).await;
    evacuate(&harness, true).await;
    let other = add(&harness, "other", "other", Script::Complete(200, "b")).await;
    until_used(&harness, &other).await;
    harness.store.set_down(true);
    harness.store.set_evacuated(ZONE, false);
    harness.store.set_evacuated("other", true);
    harness.store.discard_history();
    harness.store.set_down(false);
    until_followed(&harness).await;
    let before = other.arrivals().len();
    for id in 0..10 {
        assert_eq!(send(&harness, "safe", &format!("r{id}")).await, 200);
    }
    let counts = (upstreams[0].arrivals().len(), other.arrivals().len());
    assert_eq!(counts, (10, before));
    assert_eq!(harness.store.whole_reads(), (2, 2));
}
