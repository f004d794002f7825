//! Refusals of earlier requests that an upstream writes once more, and answers that contradict
//! themselves.

mod harness;

use {
    harness::{
        Harness, entry, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::State,
    std::{sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// States an idle timeout, so that the next request uses the connection on a busy machine, too.
const ANSWER: &str = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-keep-alive: 30\r\ncontent-length: 5\r\n\r\nfresh";

/// Guards against a refusal of an earlier request, written once more, that is taken for one of a
/// later request: that one may run, and must neither count as not run nor be sent elsewhere.
#[tokio::test]
async fn earlier_refusals_are_not_taken_for_later_ones() {
    let refusal = |status: u16, id: &str| -> &'static str {
        let id = match id {
            "" => String::new(),
            id => format!("x-request-id: {id}\r\n"),
        };
        let text = format!("HTTP/1.1 {status} X\r\n{id}x-signed: 1\r\nx-not-run: 1\r\n");
        let text = text + "x-keep-alive: 30\r\n";
        (text + "content-length: 0\r\n\r\n").leak()
    };
    let interim = |copy: &str| -> &'static str {
        format!("HTTP/1.1 103 X\r\nlink: x\r\n\r\nHTTP/1.1 100 X\r\n\r\n{copy}").leak()
    };
    for status in [421, 429, 503] {
        for id in ["r1", ""] {
            let copy = refusal(status, id);
            for copy in [copy, interim(copy)] {
                let own = refusal(status, "{id}");
                let script = Script::Raw(vec![own, copy, ANSWER]);
                let (harness, upstreams) = Harness::unlimited(vec![script]).await;
                let send = |id: &str| harness.request("once", id).send();
                assert_eq!(send("r1").await.expect("an answer").status(), 503);
                let second = send("r2").await.expect("an answer");
                assert_eq!(second.status(), 502, "after {copy:?}");
                let arrivals = upstreams[0].arrivals();
                assert_eq!(arrivals.len(), 2, "after {copy:?}");
            }
        }
    }
}

/// Guards against a second copy of a refusal that arrives with the first one, while its connection
/// is put back: it belongs to no later request, which must be answered or fail.
#[tokio::test]
async fn connections_with_a_second_refusal_are_not_used_again() {
    let refusal =
        "HTTP/1.1 503 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull";
    let halves: [&'static str; 3] = [
        format!("{refusal}{refusal}").leak(),
        format!("{refusal}{}", &refusal[..40]).leak(),
        format!("HTTP/1.1 103 X\r\n\r\n{refusal}HTTP/1.1 103 X\r\n\r\n{refusal}").leak(),
    ];
    for text in halves {
        let script = Script::Raw(vec![text, ANSWER]);
        let (harness, upstreams) = Harness::unlimited(vec![script]).await;
        for id in ["r1", "r2", "r3"] {
            let response = harness.request("once", id).send().await;
            let status = response.expect("an answer").status();
            // Each request is the first one of a new connection, which is refused.
            assert_eq!(status, 503, "{id} with {text:?}");
        }
        assert_eq!(upstreams[0].arrivals().len(), 3, "{text:?}");
    }
}

/// Guards against a refusal of an earlier request that passes for one by the upstream which should
/// continue a stream: that one may be at work, which only the end of its connection stops.
#[tokio::test]
async fn earlier_refusals_do_not_leave_a_continued_stream_at_work() {
    let copy = "HTTP/1.1 503 X\r\nx-request-id: r0\r\nx-not-run: 1\r\nx-keep-alive: 30\r\ncontent-length: 0\r\n\r\n";
    let copying = Script::Raw(vec![copy, ANSWER]);
    let limit = Duration::from_secs(3);

    let broken = Script::Events { upto: 1, of: 3 };
    let (harness, mut upstreams) = Harness::new(vec![broken, copying.clone()]).await;
    if let Ok(response) = harness.request("resumable", "r1").send().await {
        assert!(response.bytes().await.is_err());
    }
    let closed = tokio::time::timeout(limit, upstreams[1].closed.recv()).await;
    closed.expect("the connection is closed");

    let resume = Arc::new(Notify::new());
    let stalled = Script::Paused {
        of: 3,
        resume: resume.clone(),
    };
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.objective = Duration::from_millis(300);
        route.event_interval = Duration::from_millis(100);
    }
    let (harness, _upstreams) = Harness::with_snapshot(snapshot, vec![stalled]).await;
    let response = harness.request("resumable", "r1").send().await;
    let response = response.expect("a head");
    let mut copying = Upstream::start("copying", copying).await;
    harness
        .store
        .put(&copying.id, entry(copying.address, State::Ready));
    let text = tokio::spawn(response.text());
    let closed = tokio::time::timeout(limit, copying.closed.recv()).await;
    closed.expect("the connection is closed");
    resume.notify_one();
    let text = text.await.expect("it ends").expect("a complete stream");
    let ids: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["1", "2", "3"]);
}

/// Guards against what an answer without the request's id states about its upstream: such bytes
/// belong to no request.
#[tokio::test]
async fn late_copies_state_no_rate() {
    let copy = "HTTP/1.1 503 X\r\nx-request-id: r1\r\nx-not-run: 1\r\nx-rate: 0\r\ncontent-length: 0\r\n\r\n";
    let script = Script::Raw(vec![ANSWER, copy]);
    let (harness, _upstreams) = Harness::unlimited(vec![script]).await;
    for (id, status) in [("r1", 200), ("r2", 502), ("r3", 200)] {
        let response = harness.request("once", id).send().await;
        assert_eq!(response.expect("an answer").status(), status, "{id}");
    }
}

/// Guards against contradictory answers: one that is no final answer, or a success that says that
/// it did not run, shows neither.
#[tokio::test]
async fn contradictory_answers_are_failures() {
    let answers = [
        "HTTP/1.1 101 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n\r\n",
        "HTTP/1.1 101 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\n\r\n",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        let script = Script::Raw(vec![answer]);
        let (harness, upstreams) = Harness::unlimited(vec![script.clone(), script]).await;
        let response = harness.request("once", "r1").send().await;
        assert_eq!(response.expect("an answer").status(), 502, "{answer:?}");
        let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
        assert_eq!(arrivals.sum::<usize>(), 1, "{answer:?}");
    }
}

/// Guards against a status that promises callers that their request did not run, from an upstream
/// that does not state so: the request may have run, and runs nowhere else unless it may be repeated.
#[tokio::test]
async fn statuses_alone_do_not_promise_that_a_request_did_not_run() {
    for status in [408, 421, 429, 503] {
        let head = format!("HTTP/1.1 {status} X\r\nx-request-id: {{id}}\r\nx-signed: 1\r\n");
        let answer: &'static str = (head + "content-length: 4\r\n\r\nbusy").leak();
        for (route, limit) in [("once", 1), ("stream", 1), ("safe", 2), ("resumable", 2)] {
            let scripts = vec![Script::Raw(vec![answer]); 2];
            let (harness, upstreams) = Harness::unlimited(scripts).await;
            let response = harness.request(route, "r1").send().await;
            let response = response.expect("an answer");
            assert_eq!(response.status(), 502, "after {status} on {route}");
            assert!(!response.headers().contains_key("x-signed"));
            let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
            assert_eq!(arrivals.sum::<usize>(), limit, "{status} on {route}");
        }
    }
}
