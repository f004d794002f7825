//! The endpoint of the metrics.

mod harness;

use {
    harness::{Harness, snapshot, upstream::Script},
    marigoldroute_gateway::Settings,
    std::{net::TcpListener, time::Duration},
};

/// Longest time to wait for the metrics.
const PATIENCE: Duration = Duration::from_secs(20);

/// Guards against a process that ends, or never has metrics, because their address is taken when it
/// starts.
#[tokio::test]
async fn a_taken_address_delays_only_the_metrics() {
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = other.local_addr().expect("an address");
    let settings = Settings {
        listen_metrics: Some(address),
        ..Settings::default()
    };
    let scripts = vec![Script::Complete(200, "the answer")];
    let (mut harness, _upstreams) =
        Harness::with_settings(settings, snapshot(1, 1_000_000), scripts).await;
    let response = harness.request("safe", "r1").send().await;
    assert_eq!(response.expect("an answer").status(), 200);
    drop(other);
    let url = format!("http://{address}/metrics");
    let scrape = async {
        loop {
            if let Ok(response) = harness.client.get(&url).send().await {
                return response.text().await.expect("a text");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let text = tokio::time::timeout(PATIENCE, scrape).await;
    let text = text.expect("metrics once the address is free");
    assert!(text.contains("marigoldroute_gateway_requests_total{outcome=\"answered\"} 1"));
    harness.gateway.take().expect("it runs").stop().await;
}

/// Guards against requests that end without a response and without a trace of it.
#[tokio::test]
async fn requests_without_a_response_are_counted() {
    let address = TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr());
    let address = address.expect("an address");
    let settings = Settings {
        listen_metrics: Some(address),
        ..Settings::default()
    };
    let scripts = vec![Script::Silent];
    let (harness, upstreams) =
        Harness::with_settings(settings, snapshot(1, 1_000_000), scripts).await;
    let call = tokio::spawn(harness.request("safe", "r1").send());
    while upstreams[0].arrivals().is_empty() {
        tokio::task::yield_now().await;
    }
    call.abort();
    let url = format!("http://{address}/metrics");
    let unanswered = async {
        loop {
            if let Ok(response) = harness.client.get(&url).send().await {
                let text = response.text().await.expect("a text");
                if text.contains("marigoldroute_gateway_requests_total{outcome=\"unanswered\"} 1") {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let counted = tokio::time::timeout(PATIENCE, unanswered).await;
    counted.expect("the request is counted");
}
