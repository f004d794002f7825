//! Streams whose upstream pauses for longer than a stream may stall, and goes on.

mod harness;

use {
    harness::{
        Harness, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::{AllowanceSettings, Snapshot},
    marigoldroute_gateway::Settings,
    std::{sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// Objective of the routes for the first event; a stream counts as stalled after twice this time.
const OBJECTIVE: Duration = Duration::from_millis(100);
/// A pause that lets several stalls pass.
const PAUSE: Duration = Duration::from_millis(900);

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

fn configuration(attempts: u32) -> Snapshot {
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.objective = OBJECTIVE;
        route.event_interval = OBJECTIVE / 5;
        route.attempts = attempts;
    }
    snapshot
}

/// Asserts that a stream whose upstream pauses after its first event reaches the caller whole.
/// `others` are the scripts of the other upstreams, each of which gets a request first.
async fn assert_kept(settings: Settings, snapshot: Snapshot, others: Vec<Script>, why: &str) {
    let resume = Arc::new(Notify::new());
    let paused = Script::Paused {
        of: 5,
        resume: resume.clone(),
    };
    let (harness, mut upstreams) =
        Harness::with_settings(settings, snapshot, vec![paused.clone()]).await;
    let call = harness.request("resumable", "r1").send().await;
    let mut response = call.expect("a head");
    let first = response.chunk().await.expect("an event").expect("an event");
    for (index, script) in others.into_iter().enumerate() {
        let upstream = Upstream::start(&format!("other{index}"), script).await;
        let entry = harness::entry(upstream.address, marigoldroute_core::forward::State::Ready);
        harness.store.put(&upstream.id, entry);
        upstreams.push(upstream);
    }
    let silence = tokio::time::timeout(PAUSE, response.chunk()).await;
    assert!(silence.is_err(), "{why}: {silence:?}");
    resume.notify_one();
    let rest = response
        .text()
        .await
        .unwrap_or_else(|error| panic!("{why}: {error}"));
    let text = String::from_utf8_lossy(&first).into_owned() + &rest;
    assert_eq!(text, events(1..=5), "{why}");
    assert_eq!(upstreams[0].arrivals().len(), 1, "{why}");
}

/// Guards against cutting a stream that pauses when no other upstream can continue it.
#[tokio::test]
async fn paused_streams_are_kept_while_no_other_upstream_takes_them() {
    let settings = Settings::default;
    assert_kept(settings(), configuration(2), vec![], "no other upstream").await;
    let healthy = Script::Events { upto: 5, of: 5 };
    let others = vec![healthy.clone()];
    assert_kept(settings(), configuration(1), others, "no attempt left").await;
    let without_retries = Settings {
        retries: AllowanceSettings {
            share: 0.0,
            slack: 0.0,
            ..AllowanceSettings::default()
        },
        ..settings()
    };
    assert_kept(
        without_retries,
        configuration(2),
        vec![healthy],
        "no retry allowed",
    )
    .await;
    let others = vec![Script::Refuse];
    assert_kept(settings(), configuration(2), others, "refused").await;
    let others = vec![Script::Complete(500, "broken")];
    assert_kept(settings(), configuration(2), others, "failed").await;
    let others = vec![Script::Close];
    assert_kept(settings(), configuration(2), others, "closed").await;
}
