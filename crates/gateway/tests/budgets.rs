//! What callers get while budgets and the store set limits.

mod harness;

use harness::{Harness, upstream::Script};

const EVENTS: Script = Script::Events { upto: 3, of: 3 };

/// Sends a request of 100 prompt tokens that gets three events of 10 tokens.
async fn ask(harness: &Harness, id: usize) -> u16 {
    let request = harness.request("stream", &format!("r{id}"));
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    response.bytes().await.expect("a complete answer");
    status
}

/// Guards against spend beyond what was bought, also when a process dies and another one starts in
/// its place.
#[tokio::test]
async fn spend_stays_within_the_purchase() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    harness.store.configure(harness::snapshot(2, 1_000));
    let mut served = 0;
    for id in 0..40 {
        if id == 3 {
            // The process dies without a planned stop; its tasks go on, but no request reaches it.
            drop(harness.gateway.take());
            harness.start();
            harness.until_ready().await;
        }
        if ask(&harness, id).await == 200 {
            served += 1;
        }
        if harness.account().purchased == 1_000 && served * 130 > 1_000 {
            panic!("{served} requests of 130 tokens were served for 1,000 tokens");
        }
    }
    assert!(served > 0);
}

/// Guards against refusals for as long as the store is away although the mark covers the requests.
#[tokio::test]
async fn marks_carry_requests_through_an_outage() {
    let (harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    assert_eq!(ask(&harness, 0).await, 200);
    while harness.store.rows("journal/").len() < 2 {
        tokio::task::yield_now().await;
    }
    harness.store.set_down(true);
    // The bound of the last row may hold the first requests back for a few seconds.
    let mut id = 1;
    while ask(&harness, id).await != 200 {
        id += 1;
    }
}

/// Guards against holding a request that is beyond reach until its deadline.
#[tokio::test]
async fn requests_beyond_reach_are_told_when_to_come_back() {
    let (harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    assert_eq!(ask(&harness, 0).await, 200);
    harness.store.set_down(true);
    let request = harness
        .plain_request("stream", "large")
        .header("x-tokens", "900000,50");
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

/// Guards against a budget that refuses although it was topped up, and one that allows more after
/// an older configuration is read.
#[tokio::test]
async fn top_ups_take_effect() {
    let (harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    harness.store.configure(harness::snapshot(2, 120));
    while harness.account().total() != 120 {
        tokio::task::yield_now().await;
    }
    assert_eq!(ask(&harness, 1).await, 402);
    harness.store.configure(harness::snapshot(3, 100_000));
    while harness.account().total() != 100_000 {
        tokio::task::yield_now().await;
    }
    let mut id = 2;
    while ask(&harness, id).await != 200 {
        id += 1;
    }
}

/// Guards against an engine's request that runs outside its workspace's budget because it does not
/// state its tokens.
#[tokio::test]
async fn requests_without_stated_tokens_are_refused() {
    let (harness, upstreams) = Harness::new(vec![EVENTS]).await;
    let response = harness.plain_request("stream", "r1").send().await;
    assert_eq!(response.expect("an answer").status(), 400);
    assert!(upstreams[0].arrivals().is_empty());
}

/// Guards against tokens that stay with an ended process because its successor has lost against other
/// hosts that changed the same budgets: after the loss of a whole fleet, a journal was given up after
/// three attempts.
#[tokio::test]
async fn journals_are_taken_over_after_lost_attempts() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    assert_eq!(ask(&harness, 0).await, 200);
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
