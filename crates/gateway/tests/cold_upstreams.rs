//! Cold upstreams, which get few requests from all hosts together.

mod harness;

use {
    harness::{
        Harness, entry, retry_after, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::{
        admission::ColdSettings,
        forward::{AllowanceSettings, ColdStart, Registration, Snapshot, State},
    },
    marigoldroute_gateway::Settings,
    std::time::{Duration, Instant},
    tokio::task::JoinSet,
};

/// Time for which an upstream is cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Time that hosts have to read the list and to count each other.
const LEARN_TIME: Duration = Duration::from_secs(1);
/// Requests that a cold upstream may get in a second: one and a half times its rate, and 5.
const BOUND: usize = 13;
/// Answer that states for how long the upstream stays cold.
const COLD_ANSWER: &str = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-cold: 3\r\ncontent-length: 1\r\n\r\na";

fn settings() -> Settings {
    Settings {
        renew_interval: Duration::from_millis(300),
        cold: ColdSettings {
            overage: 1.5,
            tolerance: 5.0,
        },
        // So many retries that they alone exceed the bound where they do not count.
        retries: AllowanceSettings {
            share: 3.0,
            slack: 500.0,
            ..AllowanceSettings::default()
        },
        ..Settings::default()
    }
}

fn configuration() -> Snapshot {
    let mut snapshot = snapshot(1, 0);
    snapshot.workspaces[0].purchased = None;
    snapshot.services[0].cold_start = Some(ColdStart {
        time: COLD_TIME,
        rate: 5.9,
    });
    snapshot
}

/// Starts a fleet of three hosts whose upstreams are warm.
async fn start_fleet(scripts: Vec<Script>) -> (Vec<Harness>, Vec<Upstream>) {
    let (mut harness, upstreams) = Harness::with_snapshot(configuration(), scripts).await;
    harness.gateway.take().expect("it runs").stop().await;
    let mut fleet = Vec::new();
    for index in 0..3 {
        fleet.push(harness.start_host(&format!("h{index}"), settings()).await);
    }
    tokio::time::sleep(LEARN_TIME).await;
    (fleet, upstreams)
}

/// Adds an upstream that is cold by its entry.
async fn add_cold(fleet: &[Harness], id: &str, script: Script) -> Upstream {
    let upstream = Upstream::start(id, script).await;
    put_cold(fleet, &upstream, COLD_TIME);
    upstream
}

fn put_cold(fleet: &[Harness], upstream: &Upstream, cold_left: Duration) {
    let entry = Registration {
        cold_left,
        ..entry(upstream.address, State::Ready)
    };
    fleet[0].store.put(&upstream.id, entry);
}

/// Sends 40 requests a second to every host for this time; returns the answers' statuses.
async fn load(fleet: &[Harness], path: &'static str, time: Duration) -> Vec<u16> {
    let end = Instant::now() + time;
    let mut calls = JoinSet::new();
    for id in 0.. {
        if Instant::now() >= end {
            break;
        }
        for (index, host) in fleet.iter().enumerate() {
            let request = host.plain_request(path, &format!("{path}{id}-{index}"));
            calls.spawn(async move {
                let response = request.send().await.expect("an answer");
                let status = response.status().as_u16();
                // The status alone counts; a stream may break off.
                let _ = response.bytes().await;
                status
            });
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    calls.join_all().await
}

/// Returns the most arrivals in one second from a time on.
fn busiest_second(upstream: &Upstream, from: Instant) -> usize {
    let mut times = upstream.times();
    times.retain(|time| *time >= from);
    let second = Duration::from_secs(1);
    let counts = times.iter().map(|start| {
        let within = times
            .iter()
            .filter(|time| (*start..*start + second).contains(time));
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against hosts that each send what a cold upstream takes from all of them, against one
/// that gets nothing until it is warm, and against requests that are refused beside a warm one.
#[tokio::test]
async fn a_cold_upstream_joins_with_few_requests() {
    let (fleet, _warm) = start_fleet(vec![Script::Complete(200, "a")]).await;
    let cold = add_cold(&fleet, "cold", Script::Complete(200, "a")).await;
    let put_at = Instant::now();
    let statuses = load(&fleet, "safe", COLD_TIME - Duration::from_millis(200)).await;
    assert!(statuses.iter().all(|status| *status == 200), "refused");
    let most = busiest_second(&cold, put_at);
    assert!((2..=BOUND).contains(&most), "{most} requests in a second");
    load(&fleet, "safe", LEARN_TIME * 2).await;
    let most = busiest_second(&cold, put_at + COLD_TIME + LEARN_TIME);
    assert!(most > BOUND, "{most} requests in a second when it is warm");
}

/// Guards against retries and resumed streams that do not count.
#[tokio::test]
async fn retries_and_resumed_streams_count() {
    for (path, script) in [
        ("safe", Script::Complete(500, "a")),
        ("resumable", Script::Events { upto: 1, of: 4 }),
    ] {
        let (fleet, _warm) = start_fleet(vec![script.clone()]).await;
        let cold = [
            add_cold(&fleet, "cold0", script.clone()).await,
            add_cold(&fleet, "cold1", script).await,
        ];
        let put_at = Instant::now();
        load(&fleet, path, COLD_TIME - Duration::from_millis(200)).await;
        for upstream in &cold {
            let most = busiest_second(upstream, put_at);
            assert!(most <= BOUND, "{path}: {most} requests in a second");
        }
    }
}

/// Guards against an upstream that becomes cold without a new start and gets what a warm one does,
/// whether the list or an answer tells it, and against one that stays limited when it is warm.
#[tokio::test]
async fn upstreams_that_become_cold_are_limited_until_they_are_warm() {
    for is_listed in [true, false] {
        let script = match is_listed {
            true => Script::Complete(200, "a"),
            false => Script::Raw(vec![COLD_ANSWER; 999]),
        };
        let (fleet, upstreams) = start_fleet(vec![script]).await;
        if is_listed {
            put_cold(&fleet, &upstreams[0], COLD_TIME);
        } else {
            load(&fleet, "safe", Duration::from_millis(100)).await;
        }
        let put_at = Instant::now();
        load(&fleet, "safe", COLD_TIME - Duration::from_millis(200)).await;
        let known_at = put_at + Duration::from_millis(500);
        let most = busiest_second(&upstreams[0], known_at);
        assert!(
            (2..=BOUND).contains(&most),
            "by the list {is_listed}: {most} requests in a second"
        );
        if is_listed {
            tokio::time::sleep(LEARN_TIME).await;
            let statuses = load(&fleet, "safe", LEARN_TIME).await;
            assert!(statuses.iter().all(|status| *status == 200), "refused");
        }
    }
}

/// Guards against hosts that all turn to the idle upstreams of a zone whose evacuation ends: these
/// may have become cold without having told it yet.
#[tokio::test]
async fn upstreams_of_a_restored_zone_count_as_cold() {
    let (fleet, upstreams) = start_fleet(vec![Script::Complete(200, "a")]).await;
    let other = Upstream::start("other", Script::Complete(200, "a")).await;
    let entry = Registration {
        zone: "other".into(),
        ..entry(other.address, State::Ready)
    };
    fleet[0].store.put(&other.id, entry);
    fleet[0].store.set_evacuated("zone", true);
    tokio::time::sleep(COLD_TIME + LEARN_TIME).await;
    let ended_at = Instant::now();
    fleet[0].store.set_evacuated("zone", false);
    let statuses = load(&fleet, "safe", COLD_TIME - Duration::from_millis(200)).await;
    assert!(statuses.iter().all(|status| *status == 200), "refused");
    let most = busiest_second(&upstreams[0], ended_at);
    assert!((2..=BOUND).contains(&most), "{most} requests in a second");
}

/// Guards against requests that wait for cold upstreams, and against a time to return before they
/// take any.
#[tokio::test]
async fn what_no_cold_upstream_takes_is_refused_at_once() {
    let (fleet, upstreams) = start_fleet(vec![Script::Complete(200, "a")]).await;
    put_cold(&fleet, &upstreams[0], Duration::from_secs(60));
    load(&fleet, "safe", LEARN_TIME).await;
    let sent_at = Instant::now();
    let mut refused = 0;
    for id in 0..20 {
        let response = fleet[0].request("safe", &format!("late{id}")).send().await;
        let response = response.expect("an answer");
        if response.status() == 503 {
            refused += 1;
            assert!(retry_after(&response) > 0.0, "at once");
        }
    }
    assert!(sent_at.elapsed() < Duration::from_secs(1), "refused late");
    assert!(refused >= 10, "{refused} of 20 refused");
}
