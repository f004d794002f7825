//! Connections of callers: what a caller reads when the gateway answers before the end of the body.

mod harness;

use {
    harness::{Harness, KEY, upstream::Script},
    marigoldroute_core::{forward::Limits, limit::LinkSettings},
    marigoldroute_gateway::Settings,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::Notify,
    },
};

/// Size of a body that does not fit into the socket buffers of a connection.
const BODY_BYTES: usize = 8 << 20;
/// Longest time for a response, far above what a local one takes.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longest time for a response to a caller that waits for a second, below the time for which the
/// gateway reads the bodies of callers that wait longer.
const DISCARD_PATIENCE: Duration = Duration::from_millis(1_700);
/// Name of the counter of bodies that were not read.
const UNREAD_BODIES: &str = "marigoldroute_gateway_unread_bodies_total";

/// A pause during which the gateway checks for how long its connections have been idle.
const IDLE_PAUSE: Duration = Duration::from_millis(3_600);

/// Returns the head of a request with a body of this length.
fn head(path: &str, id: &str, key: &str, length: usize) -> String {
    format!(
        "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {key}\r\n\
         x-tokens: 100,50\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads a response and returns its status line and body, with the chunk sizes of a chunked one.
async fn read_response(stream: &mut (impl AsyncReadExt + Unpin)) -> (String, Vec<u8>) {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.expect("a whole head"));
    }
    let text = String::from_utf8(text).expect("a textual head");
    let length = text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().expect("a number"))
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.expect("a whole body");
    while length.is_none() && !body.ends_with(b"0\r\n\r\n") {
        body.push(stream.read_u8().await.expect("a whole body"));
    }
    (text.lines().next().unwrap_or_default().to_owned(), body)
}

/// Sends requests one after the other on one connection, without waiting for a response before the
/// end of the body, and asserts that each gets a whole response with its status.
async fn assert_answered(harness: &Harness, requests: &[(&str, &str, &str)]) {
    let stream = TcpStream::connect(harness.callers).await.expect("connects");
    let (mut reader, mut writer) = stream.into_split();
    let exchange = async {
        for (index, (path, key, status)) in requests.iter().enumerate() {
            let sending = async {
                let head = head(path, &format!("r{index}"), key, BODY_BYTES);
                writer.write_all(head.as_bytes()).await?;
                writer.write_all(&vec![b'x'; BODY_BYTES]).await
            };
            let (sent, (line, body)) = tokio::join!(sending, read_response(&mut reader));
            sent.unwrap_or_else(|error| panic!("the body before {line} is not read: {error}"));
            assert!(line.contains(status), "{line} in place of {status}");
            assert!(!body.is_empty());
        }
    };
    let exchange = tokio::time::timeout(PATIENCE, exchange).await;
    exchange.expect("responses in time");
}

/// Guards against an error response that is lost because its connection is reset while the caller
/// still sends the body.
#[tokio::test]
async fn early_errors_reach_callers_that_still_send_their_body() {
    let with_limit = async |body_bytes| {
        let mut snapshot = harness::snapshot(1, 1_000_000);
        snapshot.limits = Limits {
            body_bytes,
            ..Limits::default()
        };
        Harness::with_snapshot(snapshot, vec![Script::Complete(200, "the answer")]).await
    };
    let (harness, _upstreams) = with_limit(2 * BODY_BYTES).await;
    let requests = [
        ("gone", KEY, "404"),
        ("once", "revoked", "401"),
        ("once", KEY, "200"),
    ];
    assert_answered(&harness, &requests).await;
    let (harness, _upstreams) = with_limit(BODY_BYTES / 2).await;
    assert_answered(&harness, &[("once", KEY, "413"); 2]).await;
    let harness = Harness::without_upstreams(None).await;
    assert_answered(&harness, &[("once", KEY, "503"); 2]).await;
}

/// Guards against a lost error response to a caller that sends its body after the interim response.
#[tokio::test]
async fn early_errors_reach_callers_that_were_told_to_continue() {
    let mut snapshot = harness::snapshot(1, 1_000_000);
    snapshot.limits = Limits {
        body_bytes: BODY_BYTES / 2,
        ..Limits::default()
    };
    let script = Script::Complete(200, "the answer");
    let (harness, _upstreams) = Harness::with_snapshot(snapshot, vec![script]).await;
    let stream = TcpStream::connect(harness.callers).await.expect("connects");
    let (mut reader, mut writer) = stream.into_split();
    let head =
        head("once", "r1", KEY, BODY_BYTES).replace("\r\n\r\n", "\r\nexpect: 100-continue\r\n\r\n");
    let exchange = async {
        writer.write_all(head.as_bytes()).await.expect("it is open");
        let mut interim = Vec::new();
        while !interim.ends_with(b"\r\n\r\n") {
            interim.push(reader.read_u8().await.expect("an interim response"));
        }
        assert!(interim.starts_with(b"HTTP/1.1 100"));
        let body = vec![b'x'; BODY_BYTES];
        let (sent, (line, _)) = tokio::join!(writer.write_all(&body), read_response(&mut reader));
        sent.expect("the whole body is read");
        assert!(line.contains("413"), "{line}");
    };
    let exchange = tokio::time::timeout(PATIENCE, exchange).await;
    exchange.expect("a response in time");
}

/// Sends a request without a body and reads its response.
async fn call(stream: &mut TcpStream, path: &str, id: &str) -> String {
    let head = head(path, id, KEY, 0);
    stream.write_all(head.as_bytes()).await.expect("it is open");
    let (line, _) = read_response(stream).await;
    line
}

/// Waits until the gateway has checked whether a connection is idle; asserts that it stays open.
async fn assert_open(stream: &mut TcpStream) {
    let closed = tokio::time::timeout(IDLE_PAUSE, stream.read_u8()).await;
    assert!(closed.is_err(), "the connection was closed");
}

/// Guards against closing a connection earlier than its caller expects, when a change of the
/// configuration lowers the idle limit or a response takes longer than the limit.
#[tokio::test]
async fn connections_are_not_closed_before_the_idle_limit_of_their_callers() {
    let limits = |idle_timeout| Limits {
        idle_timeout,
        ..Limits::default()
    };
    let changed = async {
        let mut snapshot = harness::snapshot(1, 1_000_000);
        snapshot.limits = limits(Duration::from_secs(60));
        let script = Script::Complete(200, "the answer");
        let (harness, _upstreams) = Harness::with_snapshot(snapshot.clone(), vec![script]).await;
        let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
        assert!(call(&mut stream, "once", "r1").await.contains("200"));
        snapshot.version = 2;
        snapshot.limits = limits(Duration::from_millis(100));
        harness.store.configure(snapshot);
        assert_open(&mut stream).await;
        assert!(call(&mut stream, "once", "r2").await.contains("200"));
    };
    let streaming = async {
        let mut snapshot = harness::snapshot(1, 1_000_000);
        snapshot.limits = limits(Duration::from_millis(100));
        let resume = Arc::new(Notify::new());
        let script = Script::Paused {
            of: 3,
            resume: resume.clone(),
        };
        let (harness, _upstreams) = Harness::with_snapshot(snapshot, vec![script]).await;
        let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
        for id in ["r1", "r2"] {
            let head = head("stream", id, KEY, 0);
            stream.write_all(head.as_bytes()).await.expect("it is open");
            let mut text = Vec::new();
            while !text.ends_with(b"\n\n\r\n") {
                text.push(stream.read_u8().await.expect("an event"));
            }
            if id == "r1" {
                assert_open(&mut stream).await;
            }
            resume.notify_one();
            while !text.ends_with(b"0\r\n\r\n") {
                text.push(stream.read_u8().await.expect("the rest"));
            }
        }
    };
    tokio::join!(changed, streaming);
}

/// Sends the head of a request and waits until the gateway begins to read its body.
async fn begin(harness: &Harness, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
    let head = head.replace("\r\n\r\n", "\r\nexpect: 100-continue\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is open");
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    let mut text = vec![0; interim.len()];
    let reading = tokio::time::timeout(PATIENCE, stream.read_exact(&mut text)).await;
    reading.expect("an interim response").expect("it is open");
    assert_eq!(text, interim);
    stream
}

/// Guards against the refusal of an admitted request whose service a new configuration removes
/// before the body has arrived.
#[tokio::test]
async fn changes_of_the_configuration_keep_admitted_requests() {
    let snapshot = harness::snapshot(1, 1_000_000);
    let script = Script::Complete(200, "the answer");
    let (harness, _upstreams) = Harness::with_snapshot(snapshot.clone(), vec![script]).await;
    let mut stream = begin(&harness, &head("once", "r1", KEY, 4)).await;
    let mut next = snapshot;
    next.version = 2;
    next.services.clear();
    next.routes[0].prefix = "/new/".into();
    harness.store.configure(next);
    let is_in_effect = async {
        let mut other = TcpStream::connect(harness.callers).await.expect("connects");
        while call(&mut other, "new", "r2").await.contains("404") {}
    };
    let is_in_effect = tokio::time::timeout(PATIENCE, is_in_effect).await;
    is_in_effect.expect("the new version");
    stream.write_all(b"text").await.expect("it is open");
    let (line, body) = read_response(&mut stream).await;
    assert!(line.contains("200"), "{line}");
    assert_eq!(body, b"A\r\nthe answer\r\n0\r\n\r\n");
}

/// Guards against a status that forbids a repetition when the body did not arrive in time, although
/// nothing has run, and against an error response that waits for the body after the caller's time.
#[tokio::test]
async fn late_bodies_get_408_in_time() {
    let mut snapshot = harness::snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = Duration::from_millis(300);
    }
    let script = Script::Complete(200, "the answer");
    let (harness, upstreams) = Harness::with_snapshot(snapshot, vec![script]).await;
    let answer = async |path, timeout: &str, is_broken| {
        let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
        let head = head(path, "r1", KEY, 8).replace("x-key", &format!("{timeout}x-key"));
        stream.write_all(head.as_bytes()).await.expect("it is open");
        stream.write_all(b"half").await.expect("it is open");
        if is_broken {
            stream.shutdown().await.expect("it is open");
        }
        let reading = tokio::time::timeout(DISCARD_PATIENCE, read_response(&mut stream)).await;
        reading.expect("a response in time").0
    };
    let (route, caller) = ("x-timeout: 1000\r\n", "x-timeout: 100\r\n");
    let (by_route, by_caller, broken, unknown) = tokio::join!(
        answer("once", route, false),
        answer("once", caller, false),
        answer("once", "", true),
        answer("gone", caller, false),
    );
    assert!(by_route.contains("408"), "{by_route}");
    assert!(by_caller.contains("408"), "{by_caller}");
    assert!(broken.contains("400"), "{broken}");
    assert!(unknown.contains("404"), "{unknown}");
    assert!(upstreams[0].arrivals().is_empty());
}

/// Returns an address that was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Guards against counting bodies without a stated length that were read to their end, and against
/// missing unread ones after a malformed head.
#[tokio::test]
async fn unread_bodies_are_counted_and_chunked_ones_read() {
    let metrics = free_address();
    let settings = Settings {
        listen_metrics: Some(metrics),
        ..Settings::default()
    };
    let snapshot = harness::snapshot(1, 1_000_000);
    let (harness, _upstreams) = Harness::with_settings(settings, snapshot, vec![]).await;
    let chunked = async {
        let stream = TcpStream::connect(harness.callers).await.expect("connects");
        let (mut reader, mut writer) = stream.into_split();
        let head = head("gone", "r1", KEY, 0);
        let head = head.replace("content-length: 0", "transfer-encoding: chunked");
        let sending = async {
            writer.write_all(head.as_bytes()).await?;
            writer
                .write_all(format!("{BODY_BYTES:x}\r\n").as_bytes())
                .await?;
            writer.write_all(&vec![b'x'; BODY_BYTES]).await?;
            writer.write_all(b"\r\n0\r\n\r\n").await
        };
        let (sent, (line, _)) = tokio::join!(sending, read_response(&mut reader));
        sent.unwrap_or_else(|error| panic!("the body before {line} is not read: {error}"));
        assert!(line.contains("404"), "{line}");
    };
    let malformed = async {
        let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
        let head = head("once", "r2", KEY, 8).replace("x-request-id", "x-other");
        stream.write_all(head.as_bytes()).await.expect("it is open");
        let (line, _) = read_response(&mut stream).await;
        assert!(line.contains("400"), "{line}");
    };
    let both = async { tokio::join!(chunked, malformed) };
    tokio::time::timeout(PATIENCE, both)
        .await
        .expect("responses in time");
    let text = harness
        .client
        .get(format!("http://{metrics}/metrics"))
        .send()
        .await;
    let text = text.expect("metrics").text().await.expect("a text");
    let unread = text.lines().filter(|line| line.starts_with(UNREAD_BODIES));
    let expected = format!("{UNREAD_BODIES}{{status=\"400\"}} 1");
    assert_eq!(unread.collect::<Vec<_>>(), [expected]);
}

/// Guards against a host that takes new callers although refused bodies fill its link.
#[tokio::test]
async fn bodies_of_refused_requests_load_the_link() {
    // Long enough that the load does not decay during the test.
    let smoothing = Duration::from_secs(3_600);
    let link = LinkSettings {
        capacity: Some(2.0 * BODY_BYTES as f64 / smoothing.as_secs_f64()),
        smoothing,
        ..LinkSettings::default()
    };
    let settings = Settings {
        link,
        ..Settings::default()
    };
    let snapshot = harness::snapshot(1, 1_000_000);
    let script = Script::Complete(200, "the answer");
    let (harness, _upstreams) = Harness::with_settings(settings, snapshot, vec![script]).await;
    let refused = [("once", "revoked", "401")];
    assert_answered(&harness, &refused).await;
    assert!(harness.is_ready().await, "half of the capacity is in use");
    assert_answered(&harness, &refused).await;
    assert!(!harness.is_ready().await);
}

/// Guards against heads above the configured limit that are forwarded, and against a limit that does
/// not follow the configuration.
#[tokio::test]
async fn heads_above_the_limit_are_refused() {
    let configure = |version, header_bytes| {
        let mut snapshot = harness::snapshot(version, 0);
        snapshot.workspaces[0].purchased = None;
        snapshot.limits.header_bytes = header_bytes;
        snapshot
    };
    let script = Script::Complete(200, "the answer");
    let (harness, upstreams) = Harness::with_snapshot(configure(1, 4_096), vec![script]).await;
    let send = async |bytes: usize| {
        let request = harness
            .request("once", "r1")
            .header("x-more", "x".repeat(bytes));
        request.send().await.expect("an answer")
    };
    let refused = send(4_096).await;
    assert_eq!(refused.status().as_u16(), 431);
    assert_eq!(refused.headers()["connection"], "close");
    assert!(!refused.bytes().await.expect("a whole response").is_empty());
    assert!(upstreams[0].arrivals().is_empty());
    assert_eq!(send(3_000).await.status().as_u16(), 200);
    harness.store.configure(configure(2, 16_384));
    while send(4_096).await.status().as_u16() != 200 {}
}

/// Guards against heads that never end, which keep their connections open, and against a limit on
/// them that closes idle connections.
#[tokio::test]
async fn heads_that_do_not_end_get_a_timeout() {
    let mut snapshot = harness::snapshot(1, 1_000_000);
    snapshot.limits.header_timeout = Duration::from_millis(10);
    let script = Script::Complete(200, "the answer");
    let (harness, _upstreams) = Harness::with_snapshot(snapshot, vec![script]).await;
    let open = async || TcpStream::connect(harness.callers).await.expect("connects");
    let (mut trickling, mut endless, idle) = (open().await, open().await, open().await);
    let begin = b"GET /safe/x HTTP/1.1\r\nx-more: ";
    trickling.write_all(begin).await.expect("it is open");
    endless.write_all(begin).await.expect("it is open");
    let more = vec![b'x'; 300_000];
    endless.write_all(&more).await.expect("it is read");
    for (mut stream, status) in [(trickling, "408"), (endless, "431")] {
        let mut text = String::new();
        let read = tokio::time::timeout(PATIENCE, stream.read_to_string(&mut text)).await;
        read.expect("the connection closes").expect("no reset");
        assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
        assert!(text.ends_with("\r\n\r\n"));
    }
    let (mut reader, mut writer) = idle.into_split();
    let head = head("safe", "r1", KEY, 0);
    writer.write_all(head.as_bytes()).await.expect("it is open");
    let (line, _) = read_response(&mut reader).await;
    assert!(line.contains("200"), "{line}");
}
