//! Streams whose upstream pauses for longer than a stream may stall, and goes on.

mod harness;

use {
    harness::{
        Harness, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::{AllowanceSettings, Snapshot, State},
    marigoldroute_gateway::Settings,
    std::{sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// Objective of the routes for the first event; a stream counts as stalled after twice this time.
const OBJECTIVE: Duration = Duration::from_millis(100);
/// Longest time for what happens without a pause.
const PATIENCE: Duration = Duration::from_secs(10);
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

/// A stream that has had its first event; the second upstream joined after that.
struct Paused {
    response: reqwest::Response,
    resume: Arc<Notify>,
    text: Vec<u8>,
    upstreams: Vec<Upstream>,
    _harness: Harness,
}

impl Paused {
    async fn start(settings: Settings, snapshot: Snapshot, other: Option<Script>) -> Self {
        let resume = Arc::new(Notify::new());
        let script = Script::Paused {
            of: 5,
            resume: resume.clone(),
        };
        let (harness, mut upstreams) =
            Harness::with_settings(settings, snapshot, vec![script]).await;
        let call = harness.request("resumable", "r1").send().await;
        let mut response = call.expect("a head");
        let first = response.chunk().await.expect("an event").expect("an event");
        if let Some(script) = other {
            let upstream = Upstream::start("other", script).await;
            let entry = harness::entry(upstream.address, State::Ready);
            harness.store.put(&upstream.id, entry);
            upstreams.push(upstream);
        }
        Self {
            response,
            resume,
            text: first.to_vec(),
            upstreams,
            _harness: harness,
        }
    }

    /// Waits until the second upstream was asked to continue the stream.
    async fn until_asked(&self) {
        let asked = async {
            while self.upstreams[1].arrivals().is_empty() {
                tokio::task::yield_now().await;
            }
        };
        let asked = tokio::time::timeout(PATIENCE, asked).await;
        asked.expect("the other upstream is asked");
    }

    /// Asserts that the stream stays open without an event.
    async fn assert_silent(&mut self, why: &str) {
        let silence = tokio::time::timeout(PAUSE, self.response.chunk()).await;
        assert!(silence.is_err(), "{why}: {silence:?}");
    }

    /// Asserts that the caller gets the whole stream.
    async fn assert_whole(mut self, why: &str) {
        let rest = async {
            while let Some(bytes) = self.response.chunk().await? {
                self.text.extend(bytes);
            }
            reqwest::Result::Ok(())
        };
        let rest = tokio::time::timeout(PATIENCE, rest).await;
        let rest = rest.unwrap_or_else(|_| panic!("{why}: no end"));
        rest.unwrap_or_else(|error| panic!("{why}: {error}"));
        let text = String::from_utf8_lossy(&self.text);
        assert_eq!(text, events(1..=5), "{why}");
    }
}

/// Guards against cutting a stream that pauses when no other upstream can continue it.
#[tokio::test]
async fn paused_streams_are_kept_while_no_other_upstream_takes_them() {
    let healthy = Script::Events { upto: 5, of: 5 };
    let without_retries = Settings {
        retries: AllowanceSettings {
            share: 0.0,
            slack: 0.0,
            ..AllowanceSettings::default()
        },
        ..Settings::default()
    };
    let cases = [
        (Settings::default(), 2, None, "no other upstream"),
        (Settings::default(), 1, Some(healthy.clone()), "no attempt"),
        (without_retries, 2, Some(healthy), "no retry"),
    ];
    for (settings, attempts, other, why) in cases {
        let mut paused = Paused::start(settings, configuration(attempts), other).await;
        paused.assert_silent(why).await;
        paused.resume.notify_one();
        paused.assert_whole(why).await;
    }
    // It marks no end, so that it may have broken off.
    let empty = Script::Continued {
        first: String::new(),
        rest: "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n\r\n".into(),
        is_reset: false,
    };
    let declining = [
        empty,
        Script::Refuse,
        Script::Complete(500, "broken"),
        Script::Close,
    ];
    for other in declining {
        let why = format!("{other:?}");
        let settings = Settings::default();
        let mut paused = Paused::start(settings, configuration(2), Some(other)).await;
        paused.until_asked().await;
        paused.assert_silent(&why).await;
        paused.resume.notify_one();
        paused.assert_whole(&why).await;
    }
}

/// Guards against giving up a stream for an upstream whose response cannot continue it.
#[tokio::test]
async fn paused_streams_are_kept_when_the_other_response_is_of_another_kind() {
    let heads = [
        "HTTP/1.1 200 X\r\ncontent-type: text/plain\r\n",
        "HTTP/1.1 206 X\r\n",
    ];
    for head in heads {
        let rest = "x-request-id: {id}\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\n";
        let other = Script::Continued {
            first: String::new(),
            rest: format!("{head}{rest}"),
            is_reset: false,
        };
        let settings = Settings::default();
        let mut paused = Paused::start(settings, configuration(2), Some(other)).await;
        paused.until_asked().await;
        paused.assert_silent(head).await;
        paused.resume.notify_one();
        paused.assert_whole(head).await;
    }
}

/// Guards against giving up a stream, or not reading it, while another upstream has not agreed to
/// continue it.
#[tokio::test]
async fn streams_that_go_on_are_kept_while_another_upstream_is_asked() {
    let release = Arc::new(Notify::new());
    let undecided = Script::RefuseLater {
        release: release.clone(),
    };
    let settings = Settings::default();
    let mut paused = Paused::start(settings, configuration(2), Some(undecided.clone())).await;
    paused.until_asked().await;
    paused.assert_silent("undecided").await;
    paused.resume.notify_one();
    paused.assert_whole("undecided").await;

    let settings = Settings::default();
    let mut paused = Paused::start(settings, configuration(2), Some(undecided)).await;
    paused.until_asked().await;
    paused.assert_silent("declined late").await;
    release.notify_one();
    paused.assert_silent("declined late").await;
    paused.resume.notify_one();
    paused.assert_whole("declined late").await;
}

/// Guards against a stalled stream that stays at an upstream which never goes on, and against two
/// upstreams that work on it.
#[tokio::test]
async fn stalled_streams_move_to_an_upstream_that_agrees() {
    let healthy = Script::Events { upto: 5, of: 5 };
    let settings = Settings::default();
    let mut paused = Paused::start(settings, configuration(2), Some(healthy)).await;
    paused.until_asked().await;
    let closed = tokio::time::timeout(PATIENCE, paused.upstreams[0].closed.recv()).await;
    closed.expect("the connection to the first upstream closes");
    paused.assert_whole("moved").await;
}

/// Guards against two upstreams that work on a stream, while the one that has agreed to continue it
/// sends no event yet.
#[tokio::test]
async fn moved_streams_leave_their_upstream_before_the_next_event() {
    let agreeing = Script::Endless {
        text: "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        piece: "",
        pause: PATIENCE * 10,
    };
    let mut configuration = configuration(2);
    for route in &mut configuration.routes {
        route.timeout = PATIENCE * 10;
    }
    let mut paused = Paused::start(Settings::default(), configuration, Some(agreeing)).await;
    paused.until_asked().await;
    let closed = tokio::time::timeout(PATIENCE, paused.upstreams[0].closed.recv()).await;
    closed.expect("the connection to the first upstream closes");
}

/// Guards against two upstreams that work on a stream after the first one has sent an event twice.
#[tokio::test]
async fn resumed_streams_leave_their_upstream_before_the_next_answer() {
    let resume = Arc::new(Notify::new());
    let script = Script::Repeated {
        resume: resume.clone(),
    };
    let mut configuration = configuration(2);
    for route in &mut configuration.routes {
        (route.timeout, route.event_interval) = (PATIENCE * 10, PATIENCE * 10);
    }
    let (harness, mut upstreams) = Harness::with_snapshot(configuration, vec![script]).await;
    let call = harness.request("resumable", "r1").send().await;
    let mut response = call.expect("a head");
    response.chunk().await.expect("an event").expect("an event");
    let reading = tokio::spawn(async move { response.chunk().await });
    // The first upstream gets nothing new, so that the other requests show when the second is known.
    let first = &upstreams[0];
    harness
        .store
        .put(&first.id, harness::entry(first.address, State::Draining));
    let other = Upstream::start("other", Script::Silent).await;
    harness
        .store
        .put(&other.id, harness::entry(other.address, State::Ready));
    let known = async {
        for number in 0.. {
            let call = tokio::spawn(harness.request("safe", &format!("s{number}")).send());
            tokio::time::sleep(OBJECTIVE / 5).await;
            call.abort();
            if !other.arrivals().is_empty() {
                return;
            }
        }
    };
    let known = tokio::time::timeout(PATIENCE, known).await;
    known.expect("the other upstream is known");
    // Those that arrived before it drained are cancelled, and their connections close too.
    let connections = first.arrivals().len();
    resume.notify_waiters();
    for _ in 0..connections {
        let closed = tokio::time::timeout(PATIENCE, upstreams[0].closed.recv()).await;
        closed.expect("the connection to the first upstream closes");
    }
    let asked = async {
        while !other.arrivals().iter().any(|arrival| arrival.id == "r1") {
            tokio::task::yield_now().await;
        }
    };
    let asked = tokio::time::timeout(PATIENCE, asked).await;
    asked.expect("the other upstream is asked");
    reading.abort();
}

/// Guards against giving up a stream that pauses within its first event before another upstream has
/// agreed to run it.
#[tokio::test]
async fn streams_that_pause_within_their_first_event_are_kept_until_another_upstream_agrees() {
    let others = [
        (None, 1),
        (Some(Script::Refuse), 2),
        (Some(Script::Complete(500, "broken")), 2),
        (Some(Script::Close), 2),
        (Some(Script::Events { upto: 5, of: 5 }), 2),
    ];
    for (other, arrivals) in others {
        let is_healthy = matches!(other, Some(Script::Events { .. }));
        let resume = Arc::new(Notify::new());
        let script = Script::PausedWithin {
            of: 5,
            resume: resume.clone(),
        };
        let (harness, mut upstreams) = Harness::with_snapshot(configuration(2), vec![script]).await;
        let call = tokio::spawn(harness.request("resumable", "r1").send());
        while upstreams[0].arrivals().is_empty() {
            tokio::task::yield_now().await;
        }
        if let Some(script) = other.clone() {
            let upstream = Upstream::start("other", script).await;
            let entry = harness::entry(upstream.address, State::Ready);
            harness.store.put(&upstream.id, entry);
            upstreams.push(upstream);
        }
        tokio::time::sleep(PAUSE).await;
        assert!(is_healthy || !call.is_finished(), "{other:?}");
        resume.notify_one();
        let response = call.await.expect("it ends").expect("a response");
        assert_eq!(response.status(), 200, "{other:?}");
        let text = response.text().await;
        assert_eq!(text.expect("a whole stream"), events(1..=5), "{other:?}");
        let sent: usize = upstreams.iter().map(|one| one.arrivals().len()).sum();
        assert_eq!(sent, arrivals, "{other:?}");
    }
}

/// Guards against cutting a stream that pauses within an event when other responses have taken all
/// memory that responses may.
#[tokio::test]
async fn streams_that_pause_within_an_event_are_kept_when_no_memory_is_left() {
    let settings = Settings {
        answer_memory: 0,
        ..Settings::default()
    };
    let resume = Arc::new(Notify::new());
    let script = Script::PausedWithin {
        of: 5,
        resume: resume.clone(),
    };
    let (harness, upstreams) =
        Harness::with_settings(settings, configuration(1), vec![script]).await;
    let call = tokio::spawn(harness.request("stream", "r1").send());
    while upstreams[0].arrivals().is_empty() {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(OBJECTIVE).await;
    resume.notify_one();
    let response = call.await.expect("it ends").expect("a response");
    assert_eq!(response.status(), 200);
    let text = response.text().await;
    assert_eq!(text.expect("a whole stream"), events(1..=5));
}
