//! Upstreams that say that they leave, or ask for a pause.

mod harness;

use {
    harness::{
        Harness, entry,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::{Registration, State},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest wait for a request that an upstream has to get.
const LIMIT: Duration = Duration::from_secs(10);

/// Answers by which an upstream says that it leaves, with the path of a request that gets them.
const LEAVING: [(&str, &str); 6] = [
    (
        "safe",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\ncontent-length: 1\r\n\r\na",
    ),
    (
        "safe",
        "HTTP/1.1 500 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\ncontent-length: 1\r\n\r\na",
    ),
    (
        "safe",
        "HTTP/1.1 503 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
    ),
    (
        "once",
        "HTTP/1.1 404 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
    ),
    (
        "stream",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\ntransfer-encoding: chunked\r\n\r\n\
         f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    ),
    // The stream breaks off, and is resumed elsewhere.
    (
        "resumable",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\ntransfer-encoding: chunked\r\n\r\n\
         f\r\nid: 1\ndata: a\n\n\r\n",
    ),
];

/// Returns a refusal that asks for a pause of these seconds.
fn refusal(pause: &str) -> &'static str {
    let text = format!(
        "HTTP/1.1 503 X\r\nx-request-id: {{id}}\r\nx-not-run: 1\r\nx-pause: {pause}\r\ncontent-length: 0\r\n\r\n"
    );
    text.leak()
}

/// Sends a request; returns its status and the time to return, if the answer states one.
async fn send(harness: &Harness, path: &str, id: &str) -> (u16, Option<f64>) {
    let request = harness.plain_request(path, id).send();
    let response = request.await.expect("an answer");
    let status = response.status().as_u16();
    let after = response.headers().get("retry-after");
    let after = after.map(|after| after.to_str().expect("text").parse().expect("seconds"));
    let is_passed_on = response.headers().contains_key("x-leaving");
    assert!(!is_passed_on, "the notice is for this host alone");
    // A stream may break off where the other upstream does not continue it.
    let _ = response.bytes().await;
    (status, after)
}

/// Starts a gateway with one upstream, which gives this answer to a first request.
async fn start(path: &str, answer: &'static str) -> (Harness, Upstream) {
    let scripts = vec![Script::Raw(vec![answer; 99])];
    let (harness, mut upstreams) = Harness::unlimited(scripts).await;
    send(&harness, path, "first").await;
    (harness, upstreams.remove(0))
}

/// Adds an upstream, and waits until it has got a request.
async fn add(harness: &Harness, path: &str, script: Script) -> Upstream {
    let upstream = Upstream::start("other", script).await;
    harness
        .store
        .put(&upstream.id, entry(upstream.address, State::Ready));
    until_arrivals(harness, path, &upstream, 1).await;
    upstream
}

/// Sends requests until the upstream has got so many.
async fn until_arrivals(harness: &Harness, path: &str, upstream: &Upstream, count: usize) {
    let arrive = async {
        for id in 0.. {
            if upstream.arrivals().len() >= count {
                return;
            }
            send(harness, path, &format!("until{id}")).await;
        }
    };
    let arrived = tokio::time::timeout(LIMIT, arrive).await;
    assert!(arrived.is_ok(), "{} gets nothing", upstream.id);
}

/// Guards against new requests for an upstream that has said in any kind of answer that it leaves,
/// with and without the store.
#[tokio::test]
async fn an_upstream_that_says_that_it_leaves_gets_nothing_new() {
    for (path, answer) in LEAVING {
        for is_store_down in [false, true] {
            let (harness, upstream) = start(path, answer).await;
            harness.store.set_down(is_store_down);
            for id in 0..5 {
                let (status, _) = send(&harness, path, &format!("r{id}")).await;
                assert_eq!(status, 503, "{path}: {answer}");
            }
            let count = upstream.arrivals().len();
            assert_eq!(count, 1, "{path}, store down {is_store_down}: {answer}");
        }
    }
}

/// Guards against retries, resumed streams and continued streams for an upstream that takes
/// nothing new.
#[tokio::test]
async fn no_retry_and_no_stream_goes_to_an_upstream_that_takes_nothing() {
    let stalled = Script::Paused {
        of: 2,
        resume: Arc::default(),
    };
    let failing = [
        ("safe", Script::Refuse),
        ("safe", Script::Complete(500, "b")),
        ("safe", Script::Close),
        ("resumable", Script::Events { upto: 1, of: 4 }),
        ("resumable", stalled),
    ];
    for (path, script) in failing {
        for answer in [LEAVING[0].1, refusal("60")] {
            let (harness, upstream) = start("safe", answer).await;
            let other = add(&harness, path, script.clone()).await;
            send(&harness, path, "r").await;
            assert!(!other.arrivals().is_empty());
            let count = upstream.arrivals().len();
            assert_eq!(count, 1, "{path} {script:?}: {answer}");
        }
    }
}

/// Guards against a notice that outlives the process that gave it.
#[tokio::test]
async fn an_upstream_that_starts_again_gets_requests() {
    for answer in [LEAVING[0].1, refusal("60")] {
        let (harness, upstream) = start("safe", answer).await;
        send(&harness, "safe", "r").await;
        assert_eq!(upstream.arrivals().len(), 1, "{answer}");
        let entry = Registration {
            started_ms: 2,
            ..entry(upstream.address, State::Ready)
        };
        harness.store.put(&upstream.id, entry);
        until_arrivals(&harness, "safe", &upstream, 2).await;
    }
}

/// Guards against requests for an upstream before the time is over for which it wants none, against
/// one that is left alone afterwards, and against a pause of the largest number.
#[tokio::test]
async fn an_upstream_gets_nothing_in_a_pause_that_it_asks_for() {
    for (pause, seconds) in [("0.7", 0.7), ("2", 2.0), ("1e12", 3.0)] {
        let (harness, upstream) = start("safe", refusal(pause)).await;
        let asked_at = upstream.times()[0];
        let mut id = 0;
        while asked_at.elapsed() < Duration::from_secs_f64(seconds) {
            id += 1;
            let (status, _) = send(&harness, "safe", &format!("r{id}")).await;
            assert_eq!(status, 503);
        }
        let is_early = |time: &Instant| (*time - asked_at).as_secs_f64() < seconds;
        let early = upstream.times().into_iter().filter(is_early).count();
        assert_eq!(early, 1, "a pause of {pause} s");
        if pause != "1e12" {
            until_arrivals(&harness, "safe", &upstream, 2).await;
        }
    }
}

/// Guards against a pause of no length, and one from an answer that turns nothing away.
#[tokio::test]
async fn only_a_refusal_for_some_time_is_a_pause() {
    let other = [
        refusal("0"),
        "HTTP/1.1 429 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-pause: 60\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 X\r\nx-request-id: other\r\nx-not-run: 1\r\nx-pause: 60\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in other {
        let scripts = vec![Script::Raw(vec![answer; 99])];
        let (harness, upstreams) = Harness::unlimited(scripts).await;
        for id in 0..3 {
            send(&harness, "safe", &format!("r{id}")).await;
        }
        assert!(upstreams[0].arrivals().len() >= 3, "{answer}");
    }
}

/// Guards against requests that wait although every upstream has asked for a pause, and against a
/// time to return at which none of them takes requests.
#[tokio::test]
async fn callers_are_refused_at_once_while_every_upstream_pauses() {
    let scripts = vec![
        Script::Raw(vec![refusal("30"); 99]),
        Script::Raw(vec![refusal("20"); 99]),
    ];
    let (harness, upstreams) = Harness::unlimited(scripts).await;
    let begun_at = Instant::now();
    for id in 0..6 {
        let (status, after) = send(&harness, "once", &format!("r{id}")).await;
        assert_eq!(status, 503);
        if upstreams
            .iter()
            .all(|upstream| !upstream.arrivals().is_empty())
        {
            let after = after.expect("a time to return");
            let left = 20.0 - begun_at.elapsed().as_secs_f64();
            assert!(after >= left, "{after} s, of at least {left}");
            // The first takes requests 21 s later at the latest; half is added against bursts.
            assert!(after <= 21.0 * 1.5 + 5.0, "{after} s");
        }
    }
    assert!(begun_at.elapsed() < Duration::from_secs(2), "refused late");
    for upstream in &upstreams {
        assert_eq!(upstream.arrivals().len(), 1);
    }
}
