//! Requests that reach their upstream late in a planned stop, or would.

mod harness;

use {
    harness::{
        Harness, KEY, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::{AllowanceSettings, Snapshot},
    marigoldroute_gateway::Settings,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        sync::Notify,
        task::JoinHandle,
        time::timeout,
    },
};

/// Longest time for a step, far above what a local one takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// Drain limit of stops that are to last.
const LONG_STOP: Duration = Duration::from_secs(20);
/// Timeout of the routes, beyond the end of each stop.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Requests of a route after which it is known how long they last.
const KNOWN: usize = 12;

/// Returns a configuration whose routes have a timeout beyond the end of each stop.
fn long_routes() -> Snapshot {
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = TIMEOUT;
    }
    snapshot
}

async fn start(
    drain_limit: Duration,
    snapshot: Snapshot,
    scripts: Vec<Script>,
) -> (Harness, Vec<Upstream>) {
    let settings = Settings {
        drain_limit,
        ..Settings::default()
    };
    Harness::with_settings(settings, snapshot, scripts).await
}

/// Starts a gateway whose requests without a response have to end soon after the start of a planned
/// stop and long before its end, and two upstreams that break streams at the notifications.
async fn start_breaking() -> (Harness, Vec<Upstream>, [Arc<Notify>; 2]) {
    let settings = Settings {
        drain_limit: LONG_STOP,
        refusal_time: LONG_STOP - Duration::from_millis(300),
        retries: AllowanceSettings {
            slack: 10_000.0,
            ..AllowanceSettings::default()
        },
        ..Settings::default()
    };
    let releases = [Arc::new(Notify::new()), Arc::new(Notify::new())];
    let scripts = releases
        .clone()
        .map(|release| Script::BreakOnce { release });
    let mut snapshot = long_routes();
    snapshot.workspaces[0].purchased = None;
    let (harness, upstreams) = Harness::with_settings(settings, snapshot, scripts.to_vec()).await;
    (harness, upstreams, releases)
}

/// Begins a planned stop, and waits until requests without a response have to end in it.
async fn begin_end_of_stop(harness: &mut Harness, upstreams: &[Upstream]) -> JoinHandle<()> {
    let running = send(harness, &text("once", "running", "")).await;
    let running = tokio::spawn(read_all(running));
    arrival_of(upstreams, "running").await;
    let stopping = begin_stop(harness).await;
    let running = running.await.expect("it ends");
    assert!(running.starts_with("HTTP/1.1 504 "), "{running:?}");
    stopping
}

/// Begins a planned stop, and waits until no connections are accepted any more.
async fn begin_stop(harness: &mut Harness) -> JoinHandle<()> {
    let stopping = tokio::spawn(harness.gateway.take().expect("it runs").stop());
    let begun = async {
        while TcpStream::connect(harness.callers).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, begun).await.expect("the stop begins");
    stopping
}

/// Returns the text of a request with a body of ten bytes.
fn text(path: &str, id: &str, more: &str) -> String {
    format!(
        "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\n{more}content-length: 10\r\n\r\n0123456789"
    )
}

/// Sends a text on a new connection.
async fn send(harness: &Harness, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("it is open");
    stream
}

/// Reads until the text has arrived.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let read = async {
        while !bytes.ends_with(end.as_bytes()) {
            bytes.push(stream.read_u8().await.expect("it is open"));
        }
    };
    timeout(PATIENCE, read).await.expect("the text arrives");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the connection is closed.
async fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut bytes)).await;
    // A connection that was reset ends as well.
    let _ = read.expect("the connection ends");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until a request has arrived at one of the upstreams; returns which.
async fn arrival_of(upstreams: &[Upstream], id: &str) -> usize {
    let has_arrived = |upstream: &Upstream| {
        let arrivals = upstream.arrivals();
        arrivals.iter().any(|arrival| arrival.id == id)
    };
    let arrived = async {
        loop {
            if let Some(index) = upstreams.iter().position(has_arrived) {
                return index;
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, arrived).await.expect("a request arrives")
}

fn is_refused(response: &str) -> bool {
    response.starts_with("HTTP/1.1 503 ") && response.contains("retry-after: ")
}

/// Guards against requests that arrive slowly and are sent so late in a planned stop that it cuts
/// them.
#[tokio::test]
async fn requests_whose_rest_comes_late_in_a_stop_are_refused_unsent() {
    let resume = Arc::new(Notify::new());
    let script = Script::Paused { of: 2, resume };
    let (mut harness, upstreams) = start(Duration::from_secs(2), long_routes(), vec![script]).await;
    let mut calls = Vec::new();
    for path in ["once", "safe", "stream", "resumable"] {
        for (part, left) in [("head", 60), ("body", 5)] {
            let text = text(path, &format!("{path}-{part}"), "");
            let (begin, rest) = text.split_at(text.len() - left);
            calls.push((send(&harness, begin).await, rest.to_owned()));
        }
    }
    let stopping = begin_stop(&mut harness).await;
    let mut responses = Vec::new();
    for (mut stream, rest) in calls {
        stream.write_all(rest.as_bytes()).await.expect("it is open");
        responses.push(tokio::spawn(read_all(stream)));
    }
    for response in responses {
        let response = response.await.expect("it ends");
        assert!(is_refused(&response), "{response:?}");
    }
    stopping.await.expect("the stop ends");
    assert_eq!(upstreams[0].arrivals(), []);
}

/// Guards against requests that wait for a place at an upstream and get it so late in a planned stop
/// that it cuts them.
#[tokio::test]
async fn requests_that_wait_for_a_place_at_a_stop_are_refused_unsent() {
    let release = Arc::new(Notify::new());
    let script = Script::RatedLater {
        release: release.clone(),
    };
    let mut snapshot = long_routes();
    snapshot.services[0].connection_limit = 1;
    let (mut harness, upstreams) = start(Duration::from_secs(2), snapshot, vec![script]).await;
    let running = tokio::spawn(harness.request("once", "running").send());
    arrival_of(&upstreams, "running").await;
    let waiting = send(&harness, &text("once", "waiting", "")).await;
    let waiting = tokio::spawn(read_all(waiting));
    let stopping = begin_stop(&mut harness).await;
    release.notify_one();
    let running = running.await.expect("it ends").expect("a response");
    assert_eq!(running.status(), 200);
    let waiting = waiting.await.expect("it ends");
    stopping.await.expect("the stop ends");
    assert!(is_refused(&waiting), "{waiting:?}");
    assert_eq!(upstreams[0].arrivals().len(), 1);
}

/// Guards against requests that wait for tokens or for their body until the end of a planned stop,
/// although their callers could go to another host.
#[tokio::test]
async fn requests_that_wait_at_a_stop_are_refused_at_once() {
    let settings = Settings {
        drain_limit: LONG_STOP,
        store_timeout: TIMEOUT,
        ..Settings::default()
    };
    let script = Script::Events { upto: 1, of: 1 };
    let (mut harness, upstreams) =
        Harness::with_settings(settings, long_routes(), vec![script]).await;
    harness.store.set_held(true);
    let waiting = send(&harness, &text("once", "r1", "")).await;
    let body = text("once", "r2", "x-timeout: 50000\r\n");
    let body = send(&harness, &body[..body.len() - 5]).await;
    let begun = Instant::now();
    let stopping = begin_stop(&mut harness).await;
    for call in [waiting, body] {
        let response = read_all(call).await;
        assert!(is_refused(&response), "{response:?}");
        assert!(response.ends_with("the host is stopping"), "{response:?}");
    }
    assert!(begun.elapsed() < LONG_STOP / 2, "{:?}", begun.elapsed());
    harness.store.set_held(false);
    stopping.await.expect("the stop ends");
    assert_eq!(upstreams[0].arrivals(), []);
}

/// Guards against a retry so late in a planned stop that it is cut, although the caller could have
/// gone to another host.
#[tokio::test]
async fn refused_requests_are_not_sent_again_late_in_a_stop() {
    let releases = [Arc::new(Notify::new()), Arc::new(Notify::new())];
    let scripts = releases
        .clone()
        .map(|release| Script::RefuseLater { release });
    let (mut harness, upstreams) =
        start(Duration::from_secs(2), long_routes(), scripts.to_vec()).await;
    let call = send(&harness, &text("once", "r1", "")).await;
    let first = arrival_of(&upstreams, "r1").await;
    let stopping = begin_stop(&mut harness).await;
    releases[first].notify_one();
    let response = read_all(call).await;
    stopping.await.expect("the stop ends");
    assert!(is_refused(&response), "{response:?}");
    assert_eq!(upstreams[1 - first].arrivals(), []);
}

/// Guards against answering that a request has not run when its attempt failed late in a planned
/// stop and may have run.
#[tokio::test]
async fn requests_that_may_have_run_are_not_refused_late_in_a_stop() {
    let releases = [Arc::new(Notify::new()), Arc::new(Notify::new())];
    let scripts = releases
        .clone()
        .map(|release| Script::BreakLater { release });
    let (mut harness, upstreams) =
        start(Duration::from_secs(2), long_routes(), scripts.to_vec()).await;
    let call = send(&harness, &text("safe", "r1", "")).await;
    let first = arrival_of(&upstreams, "r1").await;
    let stopping = begin_stop(&mut harness).await;
    releases[first].notify_one();
    let response = read_all(call).await;
    stopping.await.expect("the stop ends");
    assert!(response.starts_with("HTTP/1.1 502 "), "{response:?}");
    assert_eq!(upstreams[1 - first].arrivals(), []);
}

/// Guards against a second request on a connection that gets no response because the first one was
/// in progress when a planned stop began.
#[tokio::test]
async fn requests_sent_behind_another_one_get_a_response_at_a_stop() {
    let resume = Arc::new(Notify::new());
    let script = Script::Paused {
        of: 2,
        resume: resume.clone(),
    };
    let (mut harness, upstreams) = start(LONG_STOP, long_routes(), vec![script]).await;
    let both = text("stream", "r1", "") + &text("once", "r2", "");
    let mut call = send(&harness, &both).await;
    let begin = read_until(&mut call, "piece 1\n\n").await;
    assert!(begin.starts_with("HTTP/1.1 200 "), "{begin:?}");
    let stopping = begin_stop(&mut harness).await;
    let closed = async {
        while TcpStream::connect(harness.callers).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, closed).await.expect("it listens no more");
    resume.notify_one();
    let responses = read_all(call).await;
    stopping.await.expect("the stop ends");
    let (first, second) = responses.split_once("0\r\n\r\n").expect("a whole stream");
    assert!(first.ends_with("piece 2\n\n\r\n"), "{responses:?}");
    assert!(is_refused(second), "{responses:?}");
    assert_eq!(upstreams[0].arrivals().len(), 1);
}

/// Guards against a stream that breaks near the end of a planned stop and is cut although another
/// upstream could finish it in time.
#[tokio::test]
async fn streams_are_resumed_until_the_end_of_a_stop() {
    let (mut harness, upstreams, releases) = start_breaking().await;
    let mut call = send(&harness, &text("resumable", "r1", "")).await;
    read_until(&mut call, "piece 1\n\n").await;
    let first = arrival_of(&upstreams, "r1").await;
    let stopping = begin_end_of_stop(&mut harness, &upstreams).await;
    releases[first].notify_waiters();
    let rest = read_all(call).await;
    stopping.await.expect("the stop ends");
    assert!(rest.ends_with("piece 2\n\n\r\n0\r\n\r\n"), "{rest:?}");
}

/// Guards against work for a stream that breaks late in a planned stop and cannot be finished in it,
/// while its caller waits.
#[tokio::test]
async fn long_streams_are_not_resumed_in_a_stop() {
    let (mut harness, upstreams, releases) = start_breaking().await;
    let mut calls = Vec::new();
    for number in 0..KNOWN {
        let mut call = send(&harness, &text("resumable", &format!("r{number}"), "")).await;
        read_until(&mut call, "piece 1\n\n").await;
        calls.push(call);
    }
    releases.iter().for_each(|release| release.notify_waiters());
    for mut call in calls {
        read_until(&mut call, "0\r\n\r\n").await;
    }
    let text = text("resumable", "long", "").replace("100,50", "100,500000000000");
    let mut call = send(&harness, &text).await;
    read_until(&mut call, "piece 1\n\n").await;
    let stopping = begin_stop(&mut harness).await;
    releases.iter().for_each(|release| release.notify_waiters());
    let rest = read_all(call).await;
    stopping.await.expect("the stop ends");
    assert!(!rest.contains("piece 2"), "{rest:?}");
    let arrivals = upstreams.iter().flat_map(Upstream::arrivals);
    assert_eq!(arrivals.filter(|arrival| arrival.id == "long").count(), 1);
}

/// Guards against refusing what can be finished in the rest of a planned stop, and against taking
/// what cannot, where it is known how long requests last.
#[tokio::test]
async fn requests_that_fit_into_the_rest_of_a_stop_are_served() {
    let script = Script::Paced {
        of: 5,
        pause: Duration::from_millis(5),
    };
    let (mut harness, upstreams) = start(LONG_STOP, long_routes(), vec![script]).await;
    for path in ["once", "stream"] {
        for number in 0..KNOWN {
            let request = harness.request(path, &format!("{path}-{number}"));
            let response = request.send().await.expect("an answer");
            response.bytes().await.expect("a complete answer");
        }
    }
    let mut calls = Vec::new();
    for (path, id, tokens) in [
        ("once", "short", "100,50"),
        ("stream", "short stream", "100,50"),
        ("stream", "long stream", "100,500000"),
    ] {
        let text = text(path, id, "").replace("100,50", tokens);
        let (begin, rest) = text.split_at(text.len() - 5);
        calls.push((send(&harness, begin).await, rest.to_owned()));
    }
    let stopping = begin_stop(&mut harness).await;
    let mut responses = Vec::new();
    for (mut stream, rest) in calls {
        stream.write_all(rest.as_bytes()).await.expect("it is open");
        responses.push(read_all(stream).await);
    }
    stopping.await.expect("the stop ends");
    for response in &responses[..2] {
        assert!(response.starts_with("HTTP/1.1 200 "), "{responses:?}");
        assert!(response.ends_with("0\r\n\r\n"), "{responses:?}");
    }
    assert!(is_refused(&responses[2]), "{responses:?}");
    assert_eq!(upstreams[0].arrivals().len(), 2 * KNOWN + 2);
}

/// Guards against refusing requests that end by their own deadline before a planned stop does.
#[tokio::test]
async fn requests_with_a_deadline_within_a_stop_are_taken() {
    let (mut harness, upstreams) = start(LONG_STOP, long_routes(), vec![Script::Silent]).await;
    let text = text("once", "r1", "x-timeout: 3000\r\n");
    let (begin, rest) = text.split_at(text.len() - 5);
    let mut call = send(&harness, begin).await;
    let stopping = begin_stop(&mut harness).await;
    call.write_all(rest.as_bytes()).await.expect("it is open");
    arrival_of(&upstreams, "r1").await;
    let response = read_all(call).await;
    assert!(response.starts_with("HTTP/1.1 504 "), "{response:?}");
    stopping.await.expect("the stop ends");
}

/// Guards against refusing, in a planned stop, callers whom the load balancer still sends to this
/// host, although there is time for most requests.
#[tokio::test]
async fn requests_are_taken_while_the_load_balancer_uses_a_stopping_host() {
    let scripts = vec![Script::Complete(200, "the answer")];
    let (mut harness, _upstreams) = start(LONG_STOP, long_routes(), scripts).await;
    let settings = Settings {
        drain_limit: LONG_STOP,
        deregistration_delay: LONG_STOP / 4,
        ..Settings::default()
    };
    let mut host = harness.start_host_apart("other", settings).await;
    let stopping = tokio::spawn(host.gateway.take().expect("it runs").stop());
    while host.is_ready().await {
        tokio::task::yield_now().await;
    }
    let call = send(&host, &text("once", "r1", "")).await;
    let response = read_all(call).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
    stopping.await.expect("the stop ends");
    begin_stop(&mut harness).await.await.expect("the stop ends");
}

/// Guards against dropping a request that was sent behind another one whose response still waits for
/// its caller at a planned stop.
#[tokio::test]
async fn requests_behind_an_unread_response_get_one_at_a_stop() {
    let answer = "x".repeat(6 << 20).leak();
    let scripts = vec![Script::Complete(200, answer)];
    let (mut harness, _upstreams) = start(LONG_STOP, long_routes(), scripts).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let mut call = socket.connect(harness.callers).await.expect("connects");
    let both = text("once", "r1", "") + &text("once", "r2", "");
    call.write_all(both.as_bytes()).await.expect("it is open");
    // A response that closes its connection excuses the other one.
    let head = read_until(&mut call, "\r\n\r\n").await;
    assert!(!head.contains("connection: close"), "{head}");
    let stopping = begin_stop(&mut harness).await;
    let (mut received, mut piece) = (head.into_bytes(), vec![0; 4_096]);
    while let Ok(length @ 1..) = call.read(&mut piece).await {
        received.extend_from_slice(&piece[..length]);
        tokio::task::yield_now().await;
    }
    stopping.await.expect("the stop ends");
    let text = String::from_utf8_lossy(&received);
    assert_eq!(
        text.matches("HTTP/1.1 ").count(),
        2,
        "{} bytes",
        received.len()
    );
}
