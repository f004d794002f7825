//! Faulty upstreams: late duplicates of responses, endless responses, stalled and truncated
//! streams.

mod harness;

use {
    harness::{
        Harness, entry, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::State,
    std::time::Duration,
    tokio::time::timeout,
};

/// Longest time for what must not wait for the deadline.
const PATIENCE: Duration = Duration::from_secs(20);
/// Deadline that no request reaches unless a test fails.
const DEADLINE: Duration = Duration::from_secs(200);

/// States an idle timeout, so that the next request uses the connection on a busy machine, too.
const ANSWER: &str = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-keep-alive: 30\r\ncontent-length: 5\r\n\r\nfresh";
const STREAM: &str =
    "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Starts a gateway whose routes have this objective for the first event and for pauses between
/// events.
async fn with_objective(
    objective: Duration,
    pause: Duration,
    scripts: Vec<Script>,
) -> (Harness, Vec<Upstream>) {
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = DEADLINE;
        route.objective = objective;
        route.event_interval = pause;
    }
    Harness::with_snapshot(snapshot, scripts).await
}

/// Starts a gateway whose routes have the deadline [`DEADLINE`].
async fn with_deadline(scripts: Vec<Script>) -> (Harness, Vec<Upstream>) {
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = DEADLINE;
    }
    Harness::with_snapshot(snapshot, scripts).await
}

/// Sends a request to the only upstream, which never completes its stream, and adds a healthy one.
/// Asserts that the stream continues there long before the deadline.
async fn assert_continues_elsewhere(harness: &Harness, first: &Upstream) {
    let call = tokio::spawn(harness.request("resumable", "r1").send());
    while first.arrivals().is_empty() {
        tokio::task::yield_now().await;
    }
    let healthy = Upstream::start("healthy", Script::Events { upto: 5, of: 5 }).await;
    harness
        .store
        .put(&healthy.id, entry(healthy.address, State::Ready));
    let text = async {
        let response = call.await.expect("it ends").expect("a head");
        response.text().await.expect("a complete stream")
    };
    let text = timeout(PATIENCE, text).await;
    assert_eq!(text.expect("long before the deadline"), events(1..=5));
}

/// Guards against a late duplicate of a response that reaches the next caller on the connection,
/// and against a late refusal that is taken for a refusal of the next request, which may have run.
#[tokio::test]
async fn late_copies_are_not_taken_for_answers() {
    let copies = [
        "HTTP/1.1 200 X\r\nx-request-id: r1\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nstale",
        "HTTP/1.1 200 X\r\nx-request-id: r1\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 X\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nstale",
        "HTTP/1.1 503 X\r\nx-request-id: r1\r\nx-signed: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nx-request-id: r1\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nstale",
        "stale",
    ];
    for copy in copies {
        let (harness, upstreams) = Harness::new(vec![Script::Raw(vec![ANSWER, copy])]).await;
        let first = harness
            .request("once", "r1")
            .send()
            .await
            .expect("an answer");
        assert_eq!(first.text().await.expect("a body"), "fresh");
        let second = harness
            .request("once", "r2")
            .send()
            .await
            .expect("an answer");
        assert_eq!(second.status(), 502, "after {copy:?}");
        assert_ne!(second.text().await.expect("a body"), "stale");
        assert_eq!(upstreams[0].arrivals().len(), 2);
    }
}

/// Guards against a duplicate of a response that arrives before the next request is written: the
/// connection must not be reused.
#[tokio::test]
async fn connections_with_stray_bytes_are_not_used_again() {
    let strays = [
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nfreshHTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nstale",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nfreshHTTP/1.1 200 X\r\nx-requ",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nfresh and more",
    ];
    for stray in strays {
        let (harness, _upstreams) = Harness::new(vec![Script::Raw(vec![stray, ANSWER])]).await;
        for id in ["r1", "r2", "r3"] {
            let response = harness.request("safe", id).send().await.expect("an answer");
            assert_eq!(response.status(), 200, "{id} with {stray:?}");
            assert_eq!(response.text().await.expect("a body"), "fresh");
        }
    }
}

/// Guards against waiting for a refusal whose body never ends: the caller must get the refusal at
/// once.
#[tokio::test]
async fn refusals_without_end_are_refusals() {
    let heads = [
        "HTTP/1.1 503 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 503 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\n\r\n",
    ];
    for (text, pause) in heads
        .into_iter()
        .zip([Duration::ZERO, Duration::from_millis(5)])
    {
        let endless = Script::Endless {
            text,
            piece: "4\r\nfull\r\n",
            pause,
        };
        let (harness, upstreams) = with_deadline(vec![endless]).await;
        let response = timeout(PATIENCE, harness.request("once", "r1").send()).await;
        let response = response.expect("long before the deadline");
        let response = response.expect("an answer");
        // The wait for tokens does not count.
        let elapsed = upstreams[0].times()[0].elapsed();
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    }
}

/// Guards against a response head that never ends, which would keep its caller waiting and use
/// memory until the deadline.
#[tokio::test]
async fn heads_without_end_are_failures() {
    let endless = Script::Endless {
        text: "HTTP/1.1 200 X\r\n",
        piece: "x-filler: 0123456789012345678901234567890123456789\r\n",
        pause: Duration::ZERO,
    };
    let (harness, _upstreams) = with_deadline(vec![endless]).await;
    let response = timeout(PATIENCE, harness.request("once", "r1").send()).await;
    let response = response.expect("long before the deadline");
    assert_eq!(response.expect("an answer").status(), 502);
}

/// Guards against an event that never ends: a resumable stream must continue at another upstream
/// long before its deadline.
#[tokio::test]
async fn events_without_end_are_left() {
    let endless = Script::Endless {
        text: STREAM,
        piece: "8\r\ndata: aa\r\n",
        pause: Duration::ZERO,
    };
    let (objective, pause) = (Duration::from_millis(300), Duration::from_millis(100));
    let (harness, upstreams) = with_objective(objective, pause, vec![endless]).await;
    assert_continues_elsewhere(&harness, &upstreams[0]).await;
}

/// Guards against a stalled stream that is kept because it sends single bytes: only complete events
/// count as progress.
#[tokio::test]
async fn trickled_bytes_do_not_keep_a_stalled_stream() {
    let trickle = Script::Endless {
        text: concat!(
            "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n",
            "transfer-encoding: chunked\r\n\r\n",
            "15\r\nid: 1\ndata: piece 1\n\n\r\n"
        ),
        piece: "1\r\n:\r\n",
        pause: Duration::from_millis(20),
    };
    let (objective, pause) = (Duration::from_millis(300), Duration::from_millis(100));
    let (harness, upstreams) = with_objective(objective, pause, vec![trickle]).await;
    assert_continues_elsewhere(&harness, &upstreams[0]).await;
}

/// Guards against abandoning a healthy stream that is slow: its pauses are longer than the route's
/// objective for the first event.
#[tokio::test]
async fn slow_streams_are_not_cut() {
    let paced = Script::Paced {
        of: 5,
        pause: Duration::from_millis(250),
    };
    let objective = Duration::from_millis(100);
    let (harness, upstreams) =
        with_objective(objective, objective, vec![paced.clone(), paced]).await;
    let request = harness.request("resumable", "r1");
    let response = request.send().await.expect("a head");
    assert_eq!(response.text().await.expect("a stream"), events(1..=5));
    let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
    assert_eq!(arrivals.sum::<usize>(), 1);
}

/// Guards against a stream that ends within an event, although its body is terminated properly, and
/// that the caller takes for a complete one.
#[tokio::test]
async fn events_cut_at_a_proper_end_are_not_complete() {
    let body = "15\r\nid: 1\ndata: piece 1\n\n\r\n9\r\nid: 2\ndat\r\n0\r\n\r\n";
    let text: &'static str = format!("{STREAM}{body}").leak();
    let (harness, _upstreams) = Harness::new(vec![Script::Raw(vec![text])]).await;
    let response = harness.request("stream", "r1").send().await;
    let response = response.expect("a head");
    assert_eq!(response.status(), 200);
    assert!(response.bytes().await.is_err());
}

/// Guards against a stream that ends within its first event and leaves its caller without any
/// response.
#[tokio::test]
async fn streams_that_end_within_their_first_event_are_failures() {
    let body = "9\r\nid: 1\ndat\r\n0\r\n\r\n";
    let text: &'static str = format!("{STREAM}{body}").leak();
    let (harness, _upstreams) = Harness::new(vec![Script::Raw(vec![text])]).await;
    let response = harness.request("stream", "r1").send().await;
    let response = response.expect("a response");
    assert_eq!(response.status(), 502);
    let response = harness.request("resumable", "r2").send().await;
    assert_eq!(response.expect("a response").status(), 502);
}

/// Guards against a stream that loses its head and first events when it fails right after them.
#[tokio::test]
async fn events_before_a_failure_in_the_same_piece_reach_the_caller() {
    let (harness, _upstreams) = Harness::new(vec![Script::RepeatedEvent]).await;
    for (path, id) in [("stream", "r1"), ("resumable", "r2")] {
        let response = harness.request(path, id).send().await;
        let mut response = response.expect("a head");
        assert_eq!(response.status(), 200);
        let first = response.chunk().await.expect("the first events");
        assert_eq!(first.expect("the first events"), events(1..=2));
        assert!(response.chunk().await.is_err());
    }
}

/// Guards against a truncated response that reaches the caller as a success.
#[tokio::test]
async fn whole_answers_that_break_off_are_failures() {
    let cut = [
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ncontent-length: 9\r\n\r\nfresh",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfresh\r\n",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfre",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ncontent-le",
    ];
    for text in cut {
        let (harness, _upstreams) = Harness::new(vec![Script::Raw(vec![text])]).await;
        let response = harness
            .request("once", "r1")
            .send()
            .await
            .expect("an answer");
        assert_eq!(response.status(), 502, "{text:?}");
    }
}

/// Guards against a panic in the handling of one request that ends the process or leaves the caller
/// without a response.
#[tokio::test]
async fn a_panic_reaches_one_caller_only() {
    let (harness, _upstreams) = Harness::new(vec![Script::Complete(200, "the answer")]).await;
    let request = harness.request("safe", "r1").header("x-defect", "1");
    assert_eq!(request.send().await.expect("an answer").status(), 502);
    let response = harness
        .request("safe", "r2")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 200);
}

/// Guards against a panic that ends a background task for good: the list of upstreams must still be
/// watched.
#[tokio::test]
async fn a_task_that_panics_starts_again() {
    let (harness, upstreams) = Harness::unlimited(vec![Script::Complete(200, "the answer")]).await;
    harness.store.inject_panic();
    harness.store.remove(&upstreams[0].id);
    let noticed = async {
        for id in 0.. {
            let request = harness.request("safe", &format!("r{id}"));
            if request.send().await.expect("an answer").status() == 503 {
                return;
            }
        }
    };
    let noticed = timeout(PATIENCE, noticed).await;
    noticed.expect("the upstream that left is noticed");
}
