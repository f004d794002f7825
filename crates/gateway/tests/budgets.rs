//! Responses to callers whose budgets are limited or whose host cannot reach the store.

mod harness;

use {
    harness::{
        Harness,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::budget::Journal,
    marigoldroute_gateway::Settings,
    std::time::{Duration, Instant},
};

const EVENTS: Script = Script::Events { upto: 3, of: 3 };
/// Longest time for a step, far above what a local one takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// Sends a request of 100 prompt tokens that gets three events of 10 tokens.
async fn send_request(harness: &Harness, id: usize) -> u16 {
    let request = harness.request("stream", &format!("r{id}"));
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    response.bytes().await.expect("a complete answer");
    status
}

/// Guards against spending more than was purchased, also when a process dies and another one starts
/// in its place.
#[tokio::test]
async fn spend_stays_within_the_purchase() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    harness.store.configure(harness::snapshot(2, 1_000));
    let mut served = 0;
    for id in 0..40 {
        if id == 3 {
            // Simulates a crash: there is no planned stop, the tasks continue, but no request
            // arrives.
            drop(harness.gateway.take());
            harness.start();
            harness.until_ready().await;
        }
        if send_request(&harness, id).await == 200 {
            served += 1;
        }
        if harness.account().purchased == 1_000 && served * 130 > 1_000 {
            panic!("{served} requests of 130 tokens were served for 1,000 tokens");
        }
    }
    assert!(served > 0);
}

/// Guards against refusing requests that the mark covers while the store is unreachable.
#[tokio::test]
async fn marks_cover_requests_during_an_outage() {
    let (harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    assert_eq!(send_request(&harness, 0).await, 200);
    while harness.store.rows("journal/").len() < 2 {
        tokio::task::yield_now().await;
    }
    harness.store.set_down(true);
    // The bound of the last row may delay the first reservations for a few seconds.
    let mut id = 1;
    while send_request(&harness, id).await != 200 {
        id += 1;
    }
}

/// Guards against keeping a request until its deadline although its tokens cannot be reserved while
/// the store is unreachable.
#[tokio::test]
async fn unreachable_tokens_are_refused_with_retry_after() {
    let mut snapshot = harness::snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = PATIENCE * 10;
    }
    let (mut harness, _upstreams) = Harness::with_snapshot(snapshot, vec![EVENTS]).await;
    harness.gateway.take().expect("it runs").stop().await;
    let host = harness.start_host("h1", Settings::default()).await;
    let mut id = 0;
    while send_request(&host, id).await != 200 {
        id += 1;
    }
    host.store.set_down(true);
    let request = host
        .plain_request("stream", "large")
        .header("x-tokens", "900000,50");
    let response = tokio::time::timeout(PATIENCE, request.send()).await;
    let response = response.expect("a refusal in time").expect("an answer");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

/// Guards against refusing requests after a top-up of the budget, and against raising a total when
/// an older configuration is read.
#[tokio::test]
async fn top_ups_take_effect() {
    let (harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    harness.store.configure(harness::snapshot(2, 120));
    while harness.account().total() != 120 {
        tokio::task::yield_now().await;
    }
    assert_eq!(send_request(&harness, 1).await, 402);
    harness.store.configure(harness::snapshot(3, 100_000));
    while harness.account().total() != 100_000 {
        tokio::task::yield_now().await;
    }
    let mut id = 2;
    while send_request(&harness, id).await != 200 {
        id += 1;
    }
}

/// Guards against requests to an engine that are served without being charged to a budget, because
/// they do not state their tokens.
#[tokio::test]
async fn requests_without_stated_tokens_are_refused() {
    let (harness, upstreams) = Harness::new(vec![EVENTS]).await;
    let response = harness.plain_request("stream", "r1").send().await;
    assert_eq!(response.expect("an answer").status(), 400);
    assert!(upstreams[0].arrivals().is_empty());
}

/// Guards against tokens that stay allocated to an ended process because the transactions of its
/// successor conflict with those of other hosts. After the loss of a whole fleet, a successor had
/// given up a journal after three attempts.
#[tokio::test]
async fn journals_are_taken_over_after_lost_attempts() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    assert_eq!(send_request(&harness, 0).await, 200);
    drop(harness.gateway.take());
    harness.store.set_lost_takeovers(7);
    harness.start();
    let is_ended = || {
        let rows = harness.store.rows("journal/");
        rows.iter().any(|row| row.value.contains("succeeded"))
    };
    while !is_ended() {
        tokio::task::yield_now().await;
    }
}

/// Requests that a test sends at most until one takes the path in question.
const ID_LIMIT: usize = 200;

/// Head of a response that belongs to a request, without any event.
const HEAD: &str = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n\
                    transfer-encoding: chunked\r\n\r\n";

/// Sends a request whose caller leaves before the first event; returns whether the gateway answered.
async fn leave(harness: &Harness, path: &str, id: &str) -> bool {
    let request = harness
        .request(path, id)
        .timeout(Duration::from_millis(250));
    let answered = request.send().await;
    answered.is_ok_and(|response| response.status() != 200)
}

/// Returns the tokens that the journal has billed for a request, once it has.
async fn billed(harness: &Harness, id: &str) -> u64 {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        for row in harness.store.rows("journal/") {
            let journal: Journal = serde_json::from_str(&row.value).expect("a journal row");
            let mut bills = journal.entry.bills().iter();
            if let Some(bill) = bills.find(|bill| *bill.request == *id) {
                return bill.charged;
            }
        }
        tokio::task::yield_now().await;
    }
    panic!("{id} is not billed");
}

/// Guards against serving requests that are not billed: the upstream may have begun to run them.
#[tokio::test]
async fn requests_that_may_have_begun_are_billed() {
    let deaf = Script::Endless {
        text: "",
        piece: "",
        pause: Duration::from_millis(50),
    };
    for script in [deaf, Script::Close, Script::Raw(vec![HEAD, ""])] {
        let (harness, upstreams) = Harness::new(vec![script.clone()]).await;
        let mut ids = (1..ID_LIMIT).map(|id| format!("r{id}"));
        // The first requests may still wait for their tokens when their callers leave.
        while upstreams[0].arrivals().is_empty() {
            leave(&harness, "stream", &ids.next().expect("an id")).await;
        }
        let id = upstreams[0].arrivals()[0].id.clone();
        assert_eq!(billed(&harness, &id).await, 100, "{script:?}");
    }
}

/// Guards against forgetting an attempt that may have run when a later one never began, and against
/// billing the prompt for both.
#[tokio::test]
async fn retried_requests_are_billed_once() {
    let scripts = vec![Script::Close, Script::Silent];
    let (harness, upstreams) = Harness::new(scripts).await;
    for id in (0..ID_LIMIT).map(|id| format!("r{id}")) {
        leave(&harness, "safe", &id).await;
        let has_arrived = |upstream: &Upstream| {
            let arrivals = upstream.arrivals();
            arrivals.iter().any(|arrival| arrival.id == id)
        };
        if upstreams.iter().all(has_arrived) {
            assert_eq!(billed(&harness, &id).await, 100);
            return;
        }
    }
    panic!("no request was tried at both upstreams");
}

/// Guards against billing the prompt of a stream again when it goes on at another upstream, and
/// against billing events twice.
#[tokio::test]
async fn resumed_streams_are_billed_once() {
    let broken = Script::Events { upto: 2, of: 3 };
    let (harness, upstreams) = Harness::new(vec![broken.clone(), broken]).await;
    for id in (0..ID_LIMIT).map(|id| format!("r{id}")) {
        let response = harness.request("resumable", &id).send().await;
        let body = response.expect("an answer").text().await;
        let arrived = upstreams.iter().all(|upstream| {
            let arrivals = upstream.arrivals();
            arrivals.iter().any(|arrival| arrival.id == id)
        });
        if arrived {
            assert_eq!(body.expect("a complete answer").matches("id: ").count(), 3);
            assert_eq!(billed(&harness, &id).await, 130);
            return;
        }
    }
    panic!("no stream went on at the other upstream");
}

/// Guards against a request above the whole budget that waits for tokens until its deadline, takes
/// those of other holders, or is told to come back.
#[tokio::test]
async fn requests_above_the_whole_budget_are_refused_at_once() {
    let (harness, upstreams) = Harness::new(vec![EVENTS]).await;
    harness.store.set_down(true);
    let largest = u64::MAX;
    let tokens = [
        "1000001,0".to_owned(),
        "999990,11".to_owned(),
        format!("{largest},0"),
        format!("{largest},{largest}"),
    ];
    for (id, tokens) in tokens.iter().enumerate() {
        let request = harness.plain_request("stream", &format!("r{id}"));
        let response = request.header("x-tokens", tokens).send().await;
        assert_eq!(response.expect("an answer").status(), 402, "{tokens}");
    }
    harness.store.set_down(false);
    assert_eq!(upstreams[0].arrivals().len(), 0);
    assert_eq!(harness.account().wanted, None);
    harness.store.configure(harness::snapshot(2, 1_000_001));
    let send = || {
        let request = harness.plain_request("stream", "r9");
        request.header("x-tokens", "1000001,0").send()
    };
    // Until the tokens bought have reached the budget's row.
    while send().await.expect("an answer").status() != 200 {
        tokio::task::yield_now().await;
    }
}
