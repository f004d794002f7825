//! Bodies of callers while the memory for them is short.

mod harness;

use {
    futures_util::future::join_all,
    harness::{
        Harness, KEY, retry_after, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::State,
    marigoldroute_gateway::Settings,
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::Notify,
    },
};

const MIB: usize = 1 << 20;
/// Of this, large bodies may use three quarters.
const MEMORY: usize = 4 * MIB;
/// Size of a body that takes all memory for large ones.
const LARGEST: usize = 3 * MIB;

/// Reads the head of a response.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a response"));
    }
    String::from_utf8(head).expect("text")
}

/// Starts a gateway with little memory for bodies. Routes have so many attempts and much time.
async fn start(attempts: u32, scripts: Vec<Script>) -> (Harness, Vec<Upstream>) {
    let settings = Settings {
        body_memory: MEMORY,
        ..Settings::default()
    };
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = Duration::from_secs(60);
        route.attempts = attempts;
    }
    Harness::with_settings(settings, snapshot, scripts).await
}

/// Guards against callers that get no answer, or a false one, while large bodies take the memory, and
/// against small bodies that starve behind them.
#[tokio::test]
async fn callers_get_a_truthful_answer_while_bodies_take_the_memory() {
    let script = Script::Complete(200, "the answer");
    let (harness, upstreams) = start(2, vec![script]).await;
    let mut first = TcpStream::connect(harness.callers).await.expect("connects");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: first\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\nexpect: 100-continue\r\ncontent-length: {LARGEST}\r\n\r\n"
    );
    first.write_all(head.as_bytes()).await.expect("it is open");
    // The interim response is sent once the body has its memory.
    assert!(read_head(&mut first).await.starts_with("HTTP/1.1 100"));
    let large = |id| harness.request("once", id).body(vec![b'x'; MIB]).send();
    let mut waiting = tokio::spawn(large("waiting"));
    for number in 0..20 {
        let small = harness.request("once", &format!("small-{number}")).send();
        let status = small.await.expect("an answer").status();
        assert_eq!(status.as_u16(), 200);
        assert!(harness.is_ready().await);
    }
    let refused = (&mut waiting).await.expect("it ends").expect("an answer");
    assert_eq!(refused.status().as_u16(), 503);
    assert!(retry_after(&refused) < 1.0);
    assert!(!refused.bytes().await.expect("a whole response").is_empty());
    let arrivals = upstreams[0].arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "waiting"));
    first
        .write_all(&vec![b'x'; LARGEST])
        .await
        .expect("it is read");
    assert!(read_head(&mut first).await.starts_with("HTTP/1.1 200"));
    let again = large("again").await.expect("an answer");
    assert_eq!(again.status().as_u16(), 200);
}

/// Guards against bodies that take memory for as long as their responses last, which costs others
/// theirs.
#[tokio::test]
async fn bodies_that_cannot_be_sent_again_are_let_go() {
    let resume = Arc::new(Notify::new());
    let script = Script::Paused {
        of: 2,
        resume: resume.clone(),
    };
    // A stream may be sent again until its response begins, and in its last attempt never.
    for attempts in [1, 2] {
        let (harness, _upstreams) = start(attempts, vec![script.clone()]).await;
        let mut streams = Vec::new();
        for number in 0..6 {
            let request = harness.request("stream", &format!("r{number}"));
            let response = request.body(vec![b'x'; LARGEST]).send().await;
            let mut response = response.expect("an answer");
            assert_eq!(response.status().as_u16(), 200, "request {number}");
            response.chunk().await.expect("its first event");
            streams.push(response);
        }
        resume.notify_waiters();
        for mut stream in streams {
            while stream.chunk().await.expect("no cut").is_some() {}
        }
    }
    let release = Arc::new(Notify::new());
    let script = Script::RatedLater {
        release: release.clone(),
    };
    let (harness, upstreams) = start(1, vec![script]).await;
    let mut calls = Vec::new();
    for number in 0..6 {
        let request = harness.request("safe", &format!("r{number}"));
        calls.push(tokio::spawn(request.body(vec![b'x'; LARGEST]).send()));
        while upstreams[0].arrivals().len() < calls.len() {
            assert!(!calls[number].is_finished(), "request {number} is refused");
            tokio::task::yield_now().await;
        }
    }
    release.notify_waiters();
    for response in join_all(calls).await {
        let response = response.expect("it ends").expect("an answer");
        assert_eq!(response.status().as_u16(), 200);
    }
}

/// Guards against a body that is let go although the request may be sent again.
#[tokio::test]
async fn bodies_that_may_be_sent_again_are_kept() {
    for path in ["once", "stream", "safe", "resumable"] {
        let release = Arc::new(Notify::new());
        let release_later = release.clone();
        let script = match path {
            "resumable" => Script::BreakLater {
                release: release_later,
            },
            _ => Script::RefuseLater {
                release: release_later,
            },
        };
        let (harness, upstreams) = start(2, vec![script]).await;
        let request = harness.request(path, "first").body(vec![b'x'; LARGEST]);
        let first = tokio::spawn(async { request.send().await?.text().await });
        while upstreams[0].arrivals().is_empty() {
            tokio::task::yield_now().await;
        }
        let other = Upstream::start("u1", Script::Events { upto: 3, of: 3 }).await;
        harness
            .store
            .put(&other.id, harness::entry(other.address, State::Ready));
        let mut probes = 0;
        // Once a request reaches it, the first one can be sent there as well.
        while other.arrivals().is_empty() {
            let probe = harness.request("safe", &format!("probe-{probes}"));
            tokio::spawn(tokio::time::timeout(
                Duration::from_millis(20),
                probe.send(),
            ));
            probes += 1;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        release.notify_waiters();
        let text = first.await.expect("it ends").expect("a whole response");
        assert!(text.contains("id: 3"), "{path}: {text}");
    }
}
