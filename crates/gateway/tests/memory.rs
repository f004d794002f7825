//! Peak memory of the process. This is a test program of its own because the peak covers all tests
//! of a process.

mod harness;

use {
    harness::{Harness, peak_mib, snapshot, upstream::Script},
    marigoldroute_gateway::Settings,
    std::time::Duration,
};

const STREAM: &str =
    "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against endless responses that together take more memory than a host of 96 MB has. The
/// limit has to cover the whole process, not only each response.
#[tokio::test]
async fn answers_without_end_stay_within_the_memory_of_a_small_host() {
    let piece = format!("10000\r\n{}\r\n", "0123456789abcdef".repeat(4_096)).leak();
    let settings = Settings {
        answer_memory: 24 << 20,
        ..Settings::default()
    };
    let endless = Script::Endless {
        text: STREAM,
        piece,
        pause: Duration::ZERO,
    };
    let scripts = vec![endless; 64];
    let (harness, _upstreams) =
        Harness::with_settings(settings, snapshot(1, 1_000_000), scripts).await;
    let before = peak_mib();
    let calls = (0..64).map(|number| {
        // Half of them are parsed as streams whose first event never ends.
        let path = if number % 2 == 0 { "safe" } else { "stream" };
        let request = harness.request(path, &format!("r{number}"));
        tokio::spawn(request.send())
    });
    for call in calls.collect::<Vec<_>>() {
        let response = call.await.expect("it ends").expect("an answer");
        assert!([502, 504].contains(&response.status().as_u16()));
    }
    let used = peak_mib() - before;
    assert!(used < 64, "{used} MiB more than before");
}
