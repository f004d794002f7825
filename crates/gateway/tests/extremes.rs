//! Numbers at the limits of their types in requests, answers and configurations.

mod harness;

use harness::{Harness, peak_mib, snapshot, upstream::Script};

/// Guards against memory in proportion to the tokens that a caller states, which ends the process.
#[tokio::test]
async fn stated_prompt_parts_take_no_memory() {
    let (harness, _upstreams) = Harness::new(vec![Script::Complete(200, "the answer")]).await;
    let before = peak_mib();
    for (id, parts) in [
        "1:4294967295,1:4294967295,1:1",
        "1:4294967295,1:1,1:1,1:1,1:1",
    ]
    .iter()
    .enumerate()
    {
        let request = harness.request("once", &format!("r{id}"));
        let response = request.header("x-parts", *parts).send().await;
        assert_eq!(response.expect("an answer").status(), 200);
    }
    let used = peak_mib() - before;
    assert!(used < 64, "{used} MiB more than before");
}

/// Guards against a sum of the load that an upstream states that overflows.
#[tokio::test]
async fn stated_loads_do_not_overflow() {
    let answer = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-load: 4294967295\r\ncontent-length: 5\r\n\r\nfresh";
    let (harness, _upstreams) = Harness::new(vec![Script::Raw(vec![answer; 8])]).await;
    for id in ["r1", "r2", "r3"] {
        let response = harness.request("once", id).send().await;
        assert_eq!(response.expect("an answer").status(), 200, "{id}");
    }
}

/// Guards against a product of the tokens of an event that overflows, and cuts each stream.
#[tokio::test]
async fn tokens_of_events_do_not_overflow() {
    let mut snapshot = snapshot(1, 1_000_000);
    for service in &mut snapshot.services {
        if let Some(engine) = &mut service.engine {
            engine.event_tokens = u64::MAX;
        }
    }
    let scripts = vec![Script::Events { upto: 3, of: 3 }];
    let (harness, _upstreams) = Harness::with_snapshot(snapshot, scripts).await;
    let response = harness.request("stream", "r1").send().await;
    let text = response.expect("a head").text().await;
    assert_eq!(text.expect("a complete stream").matches("id: ").count(), 3);
}

/// Guards against a sum of the tokens that a caller states that overflows, and passes as a small
/// request.
#[tokio::test]
async fn stated_tokens_do_not_overflow() {
    let (harness, upstreams) = Harness::new(vec![Script::Complete(200, "the answer")]).await;
    let largest = "18446744073709551615";
    for (id, tokens) in [format!("{largest},{largest}"), format!("{largest},0")]
        .iter()
        .enumerate()
    {
        let request = harness.plain_request("once", &format!("r{id}"));
        let response = request.header("x-tokens", tokens).send().await;
        assert_eq!(response.expect("an answer").status(), 402, "{tokens}");
    }
    assert_eq!(upstreams[0].arrivals().len(), 0);
}

/// Guards against a time or rate that a caller or an upstream states, and that overflows when it is
/// added to the clock.
#[tokio::test]
async fn stated_times_and_rates_do_not_overflow() {
    let stated = [
        "x-keep-alive: 18446744073709551615",
        "x-rate: 1e308",
        "x-rate: 5e-324",
        "x-rate: 0",
        "x-rate: -1",
        "x-rate: NaN",
        "x-rate: inf",
    ];
    for header in stated {
        let answer = format!(
            "HTTP/1.1 200 X\r\nx-request-id: {{id}}\r\nx-signed: 1\r\n{header}\r\ncontent-length: 5\r\n\r\nfresh"
        );
        let script = Script::Raw(vec![answer.leak(); 8]);
        let (harness, _upstreams) = Harness::new(vec![script]).await;
        let send = |id: &str, timeout: &str| {
            let request = harness.request("once", id);
            request.header("x-timeout", timeout).send()
        };
        let response = send("r1", "18446744073709551615").await;
        assert_eq!(response.expect("an answer").status(), 200, "{header}");
        for id in ["r2", "r3"] {
            let status = send(id, "1000").await.expect("an answer").status();
            // Under a rate that allows no further request yet.
            let is_limited = header.starts_with("x-rate") && status == 429;
            let is_late = header.starts_with("x-rate") && status == 503;
            assert!(status == 200 || is_limited || is_late, "{header}: {status}");
        }
    }
}
