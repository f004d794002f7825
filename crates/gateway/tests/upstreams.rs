//! Assignment of requests while the list of upstreams changes.

mod harness;

use {
    harness::{Harness, entry, snapshot, upstream::Script},
    marigoldroute_core::forward::State,
    std::time::Duration,
};

/// Guards against new requests for an upstream that drains or was removed from the list.
#[tokio::test]
async fn leaving_upstreams_receive_no_work() {
    let scripts = vec![
        Script::Complete(200, "a"),
        Script::Complete(200, "b"),
        Script::Complete(200, "c"),
    ];
    let (harness, upstreams) = Harness::unlimited(scripts).await;
    harness
        .store
        .put("u0", entry(upstreams[0].address, State::Draining));
    harness.store.remove("u1");
    // Wait until 20 requests in a row have reached the last upstream.
    let mut consecutive = 0;
    let mut id = 0;
    while consecutive < 20 {
        id += 1;
        let response = harness
            .request("safe", &format!("r{id}"))
            .send()
            .await
            .expect("an answer");
        consecutive = match response.text().await.expect("a body").as_str() {
            "c" => consecutive + 1,
            _ => 0,
        };
    }
}

/// Guards against losing all upstreams during an outage of the store.
#[tokio::test]
async fn upstreams_stay_in_use_while_the_store_is_away() {
    let (harness, _upstreams) = Harness::unlimited(vec![Script::Complete(200, "a")]).await;
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

/// Guards against a host that never reads a large configuration because its transfer takes longer
/// than the usual timeout of a call.
#[tokio::test]
async fn large_configurations_are_read() {
    let transfer = Duration::from_secs(1);
    let harness = Harness::with_transfer_time(Some(snapshot(1, 1_000)), transfer).await;
    harness.until_ready().await;
}
