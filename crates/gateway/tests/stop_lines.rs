//! Lines of the log about requests that a planned stop cuts.

mod harness;

use {
    harness::{
        Harness, KEY, snapshot,
        upstream::{Script, Upstream},
    },
    log::{
        Log, Metadata, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    marigoldroute_gateway::Settings,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, Once},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        sync::Notify,
        time::timeout,
    },
};

/// Longest time for a step, far above what a local one takes.
const PATIENCE: Duration = Duration::from_secs(30);

/// Size of a response that does not fit into the buffers of a connection.
const RESPONSE_BYTES: usize = 7 << 20;

/// A line: its message under an empty key, and its fields.
type Line = HashMap<String, String>;

/// Keeps the lines about requests.
#[derive(Default)]
struct Lines(Mutex<Vec<Line>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(Line::new());
        fields.0.insert(String::new(), record.args().to_string());
        let visited = record.key_values().visit(&mut fields);
        visited.expect("every field has a text");
        self.0.lock().expect("no test panics here").push(fields.0);
    }

    fn flush(&self) {}
}

struct Fields(Line);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Starts a gateway that logs, with one upstream.
async fn start(script: Script) -> (Harness, Vec<Upstream>) {
    static LOGGER: Once = Once::new();
    LOGGER.call_once(|| log::set_logger(&LINES).expect("no other logger"));
    log::set_max_level(log::LevelFilter::Debug);
    let settings = Settings {
        drain_limit: Duration::from_millis(1_500),
        ..Settings::default()
    };
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = PATIENCE;
    }
    Harness::with_settings(settings, snapshot, vec![script]).await
}

/// Returns a field of the only line about a request that says how it ended.
fn field(id: &str, name: &str) -> String {
    let ends = ends(id);
    assert_eq!(ends.len(), 1, "{id}: {ends:?}");
    ends[0].get(name).cloned().unwrap_or_default()
}

/// Returns the lines about a request that say how it ended.
fn ends(id: &str) -> Vec<Line> {
    let lines = LINES.0.lock().expect("no test panics here");
    let is_end = |line: &&Line| {
        let message = line[""].as_str();
        let ends = ["stream cut", "request cut", "connection cut", "caller left"];
        line.get("request").is_some_and(|request| request == id) && ends.contains(&message)
    };
    lines.iter().filter(is_end).cloned().collect()
}

/// Sends a request and reads the begin of its response, if there is one to wait for.
async fn call(harness: &Harness, path: &str, id: &str, begin: Option<&str>) -> TcpStream {
    let text = format!(
        "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\ncontent-length: 0\r\n\r\n"
    );
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let mut stream = socket.connect(harness.callers).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("it is open");
    let mut bytes = Vec::new();
    let read = async {
        while begin.is_some_and(|begin| !bytes.ends_with(begin.as_bytes())) {
            bytes.push(stream.read_u8().await.expect("it is open"));
        }
    };
    timeout(PATIENCE, read).await.expect("a response begins");
    stream
}

/// Guards against requests that are cut by a planned stop without a line that tells which, how far
/// they were, and that the stop was the cause.
#[tokio::test]
async fn each_request_that_a_stop_cuts_has_its_line() {
    let resume = Arc::new(Notify::new());
    let (mut harness, upstreams) = start(Script::Paused { of: 2, resume }).await;
    let stream = call(&harness, "stream", "stream", Some("piece 1\n\n")).await;
    let once = call(&harness, "once", "once", None).await;
    let left = call(&harness, "stream", "left", Some("piece 1\n\n")).await;
    drop(left);
    while upstreams[0].arrivals().len() < 3 {
        tokio::task::yield_now().await;
    }
    harness.gateway.take().expect("it runs").stop().await;
    drop((stream, once));
    assert_eq!(field("stream", ""), "stream cut");
    assert_eq!(field("stream", "cause"), "stop");
    assert_eq!(field("stream", "events"), "1");
    assert_eq!(field("stream", "sent"), "1");
    assert_eq!(field("once", ""), "request cut");
    assert_eq!(field("once", "cause"), "stop");
    assert_eq!(field("once", "sent"), "1");
    assert_eq!(field("left", ""), "caller left");
}

/// Guards against a whole response that a stop cuts on its way to the caller, without a line.
#[tokio::test]
async fn a_response_that_is_cut_on_its_way_has_its_line() {
    let body = "x".repeat(RESPONSE_BYTES).leak();
    let (mut harness, _upstreams) = start(Script::Complete(200, body)).await;
    let caller = call(&harness, "once", "unread", Some("HTTP/1.1 200")).await;
    harness.gateway.take().expect("it runs").stop().await;
    drop(caller);
    assert_eq!(field("unread", ""), "connection cut");
    assert_eq!(field("unread", "cause"), "stop");
}
