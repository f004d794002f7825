//! Which upstreams receive work as the list changes.

mod harness;

use {
    harness::{Harness, entry, snapshot, upstream::Script},
    marigoldroute_core::forward::State,
    std::time::Duration,
};

/// Guards against new work for an upstream that drains or has left the list.
#[tokio::test]
async fn leaving_upstreams_receive_no_work() {
    let scripts = vec![
        Script::Whole(200, "a"),
        Script::Whole(200, "b"),
        Script::Whole(200, "c"),
    ];
    let (harness, upstreams) = Harness::unlimited(scripts).await;
    harness
        .store
        .put("u0", entry(upstreams[0].address, State::Draining));
    harness.store.remove("u1");
    // Once a request has reached the last upstream, repeated until the others get none.
    let mut quiet = 0;
    let mut id = 0;
    while quiet < 20 {
        id += 1;
        let response = harness
            .request("safe", &format!("r{id}"))
            .send()
            .await
            .expect("an answer");
        quiet = match response.text().await.expect("a body").as_str() {
            "c" => quiet + 1,
            _ => 0,
        };
    }
}

/// Guards against an outage of the store that takes every upstream out.
#[tokio::test]
async fn upstreams_stay_in_use_while_the_store_is_away() {
    let (harness, _upstreams) = Harness::unlimited(vec![Script::Whole(200, "a")]).await;
    harness.store.set_down(true);
    for id in 0..5 {
        let response = harness
            .request("safe", &format!("r{id}"))
            .send()
            .await
            .expect("an answer");
        assert_eq!(response.status(), 200);
    }
}

/// Guards against a host that never gets a configuration whose transfer takes longer than an answer
/// usually does.
#[tokio::test]
async fn large_configurations_are_read() {
    let transfer = Duration::from_secs(1);
    let harness = Harness::configured_within(Some(snapshot(1, 1_000)), transfer).await;
    harness.until_ready().await;
}
