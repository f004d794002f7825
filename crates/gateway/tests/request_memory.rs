//! Peak memory of the process while callers send. This is a test program of its own because the
//! peak covers all tests of a process.

mod harness;

use {
    bytes::Bytes,
    harness::{Harness, peak_mib, retry_after, snapshot, upstream::Script},
    marigoldroute_gateway::Settings,
    reqwest::Body,
    std::sync::Arc,
    tokio::sync::Notify,
};

const BODY: &[u8] = &[b'x'; 4 << 20];
const CALLERS: usize = 64;
const EVENTS: u64 = 2;

/// Returns a body with a stated length, or one that is sent in chunks.
fn body(has_length: bool) -> Body {
    if has_length {
        return Body::from(BODY);
    }
    let pieces = BODY.chunks(64 << 10).map(Bytes::from_static);
    Body::wrap_stream(futures_util::stream::iter(
        pieces.map(Ok::<_, std::io::Error>),
    ))
}

/// Guards against a burst of bodies of the allowed size that takes the process over its memory limit
/// and so ends the requests of all callers.
#[tokio::test]
async fn bodies_of_a_burst_stay_within_the_memory_of_a_small_host() {
    let settings = Settings {
        body_memory: 20 << 20,
        ..Settings::default()
    };
    let resume = Arc::new(Notify::new());
    let script = Script::Paused {
        of: EVENTS,
        resume: resume.clone(),
    };
    let (harness, upstreams) =
        Harness::with_settings(settings, snapshot(1, 1_000_000), vec![script; 8]).await;
    let mut stream = harness.request("stream", "before").send().await;
    let stream = stream.as_mut().expect("a stream");
    stream.chunk().await.expect("its first event");
    let before = peak_mib();
    let calls = (0..CALLERS).map(|number| {
        let request = harness.request("stream", &format!("r{number}"));
        let request = request.body(body(number % 2 == 0));
        tokio::spawn(async move { request.send().await.expect("an answer") })
    });
    let calls = calls.collect::<Vec<_>>();
    let (mut served, mut refused) = (Vec::new(), 0);
    for call in calls {
        let response = call.await.expect("it ends");
        assert!(harness.is_ready().await);
        if response.status().is_success() {
            served.push(response);
            continue;
        }
        assert_eq!(response.status().as_u16(), 503);
        assert!(retry_after(&response) < 1.0);
        response.bytes().await.expect("a whole response");
        refused += 1;
    }
    let used = peak_mib() - before;
    assert!(used < 64, "{used} MiB more than before, {refused} refused");
    assert!(!served.is_empty());
    let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
    assert_eq!(
        arrivals.sum::<usize>(),
        served.len() + 1,
        "refused is not run"
    );
    resume.notify_waiters();
    while stream.chunk().await.expect("no cut").is_some() {}
    for mut response in served {
        while response.chunk().await.expect("no cut").is_some() {}
    }
}
