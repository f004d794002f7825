//! Responses that callers get when upstreams succeed, fail, or send invalid responses.

mod harness;

use {
    harness::{
        Harness,
        upstream::{Script, Upstream},
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::Notify,
};

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Guards against responses that the gateway changes.
#[tokio::test]
async fn answers_pass_through() {
    let (harness, upstreams) = Harness::new(vec![Script::Complete(200, "the answer")]).await;
    let response = harness
        .request("safe", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["x-signed"], "1");
    assert_eq!(response.text().await.expect("a body"), "the answer");
    assert_eq!(upstreams[0].arrivals().len(), 1);
}

/// Guards against a truncated stream that the caller takes for a complete one.
#[tokio::test]
async fn cut_streams_do_not_look_complete() {
    let (harness, _upstreams) = Harness::new(vec![Script::Events { upto: 2, of: 5 }]).await;
    let response = harness
        .request("stream", "r1")
        .send()
        .await
        .expect("a head");
    assert_eq!(response.status(), 200);
    assert!(response.bytes().await.is_err());
}

/// Guards against missing and repeated events when a stream continues at another upstream.
#[tokio::test]
async fn resumable_streams_go_on_elsewhere() {
    let scripts = vec![Script::Events { upto: 2, of: 5 }; 2];
    let (harness, upstreams) = Harness::new(scripts).await;
    // The second upstream sends one event only, after which no attempt is left.
    let response = harness
        .request("resumable", "r1")
        .send()
        .await
        .expect("a head");
    assert!(response.bytes().await.is_err());
    let mut arrivals: Vec<_> = upstreams
        .iter()
        .flat_map(|upstream| upstream.arrivals())
        .collect();
    arrivals.sort_by_key(|arrival| arrival.last_event);
    let last: Vec<_> = arrivals.iter().map(|arrival| arrival.last_event).collect();
    assert_eq!(last, [None, Some(2)]);

    let (harness, _upstreams) = Harness::new(vec![
        Script::Events { upto: 2, of: 5 },
        Script::Events { upto: 5, of: 5 },
    ])
    .await;
    for id in ["r2", "r3", "r4", "r5"] {
        let response = harness
            .request("resumable", id)
            .send()
            .await
            .expect("a head");
        assert_eq!(
            response.text().await.expect("a complete stream"),
            events(1..=5)
        );
    }
}

/// Guards against losing the valid events that arrive in the same read as one out of order: the
/// stream has to continue after them at another upstream.
#[tokio::test]
async fn events_before_a_wrong_one_reach_the_caller() {
    let scripts = vec![Script::RepeatedEvent, Script::Events { upto: 5, of: 5 }];
    let (harness, _upstreams) = Harness::new(scripts).await;
    for id in ["r1", "r2", "r3", "r4"] {
        let response = harness
            .request("resumable", id)
            .send()
            .await
            .expect("a head");
        assert_eq!(
            response.text().await.expect("a complete stream"),
            events(1..=5)
        );
    }
}

/// Guards against a second run of a request that is not idempotent, and against status 503, which
/// states that it did not run, when it may have run.
#[tokio::test]
async fn what_may_have_run_once_is_not_sent_again() {
    let (harness, upstreams) = Harness::new(vec![Script::Close, Script::Close]).await;
    let response = harness
        .request("once", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 502);
    let arrivals: usize = upstreams
        .iter()
        .map(|upstream| upstream.arrivals().len())
        .sum();
    assert_eq!(arrivals, 1);
}

/// Guards against refusals without `retry-after`, and against a refusal while another upstream can
/// be tried.
#[tokio::test]
async fn refused_requests_try_another_upstream() {
    let (harness, upstreams) = Harness::new(vec![Script::Refuse, Script::Refuse]).await;
    let response = harness
        .request("once", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(
        upstreams
            .iter()
            .all(|upstream| upstream.arrivals().len() == 1)
    );
}

/// Guards against a response that reaches the caller of another request.
#[tokio::test]
async fn answers_of_other_requests_are_not_delivered() {
    let (harness, _upstreams) = Harness::new(vec![Script::WrongId]).await;
    let response = harness
        .request("once", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 502);
    assert_ne!(response.text().await.expect("a body"), "other");
}

/// Guards against a request that keeps running after its caller has disconnected.
#[tokio::test]
async fn leaving_callers_end_the_work() {
    let (harness, mut upstreams) = Harness::new(vec![Script::Silent]).await;
    let call = tokio::spawn(harness.request("safe", "r1").send());
    while upstreams[0].arrivals().is_empty() {
        tokio::task::yield_now().await;
    }
    call.abort();
    upstreams[0]
        .closed
        .recv()
        .await
        .expect("the connection is closed");
}

/// Guards against rejecting keys and routes before a configuration is known.
#[tokio::test]
async fn unconfigured_gateways_say_so() {
    let harness = Harness::without_upstreams(None).await;
    let response = harness
        .request("safe", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(!harness.is_ready().await);
}

/// Guards against a planned stop that truncates a stream.
#[tokio::test]
async fn planned_stops_finish_streams() {
    let resume = Arc::new(Notify::new());
    let script = Script::Paused {
        of: 3,
        resume: resume.clone(),
    };
    let (mut harness, _upstreams) = Harness::new(vec![script]).await;
    let response = harness
        .request("stream", "r1")
        .send()
        .await
        .expect("a head");
    let gateway = harness.gateway.take().expect("the gateway runs");
    let stop = tokio::spawn(gateway.stop());
    while harness.is_ready().await {
        tokio::task::yield_now().await;
    }
    resume.notify_one();
    assert_eq!(
        response.text().await.expect("a complete stream"),
        events(1..=3)
    );
    stop.await.expect("the stop ends");
}

/// Guards against an upstream's own failure that is replaced by the gateway's when no other upstream
/// can be tried.
#[tokio::test]
async fn a_failure_of_the_only_upstream_reaches_the_caller() {
    let (harness, _upstreams) = Harness::unlimited(vec![Script::Complete(500, "broken")]).await;
    let response = harness.request("safe", "r1").send().await;
    let response = response.expect("an answer");
    assert_eq!(response.status(), 500);
    assert_eq!(response.text().await.expect("a body"), "broken");
}

/// Rounds of requests until one is tried at both upstreams.
const ROUND_LIMIT: usize = 20;

/// Guards against an answer of an upstream that is replaced by an error of the gateway when the
/// deadline passes during the next attempt.
#[tokio::test]
async fn failures_that_an_upstream_answered_are_returned_at_the_deadline() {
    let mut snapshot = harness::snapshot(1, 0);
    snapshot.workspaces[0].purchased = None;
    for route in &mut snapshot.routes {
        route.timeout = Duration::from_millis(400);
    }
    let scripts = vec![Script::Complete(500, "its failure"), Script::Silent];
    let (harness, upstreams) = Harness::with_snapshot(snapshot, scripts).await;
    for round in 0..ROUND_LIMIT {
        let calls = (0..8).map(|number| {
            let id = format!("r{round}-{number}");
            let request = harness.request("safe", &id);
            tokio::spawn(async move { (id, request.send().await.expect("an answer").status()) })
        });
        let calls: Vec<_> = calls.collect();
        let mut is_retried = false;
        for call in calls {
            let (id, status) = call.await.expect("it ends");
            let has_arrived = |upstream: &Upstream| {
                let arrivals = upstream.arrivals();
                arrivals.iter().any(|arrival| arrival.id == id)
            };
            let arrived = (has_arrived(&upstreams[0]), has_arrived(&upstreams[1]));
            let expected: &[u16] = match arrived {
                (true, true) => &[500],
                (false, true) => &[504],
                // On a busy machine the deadline may pass before the failure is read,
                (true, false) => &[500, 504],
                // or before the request is sent.
                (false, false) => &[503, 504],
            };
            let is_expected = expected.contains(&status.as_u16());
            assert!(is_expected, "{id}: {status}, arrived {arrived:?}");
            is_retried |= arrived == (true, true);
        }
        if is_retried {
            return;
        }
    }
    panic!("no request was tried at both upstreams");
}
