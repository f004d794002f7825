//! Deadlines of requests beside changes of their route's timeout.

mod harness;

use {
    harness::{
        Harness, KEY, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::Snapshot,
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::Notify,
        task::JoinHandle,
        time::Instant,
    },
};

/// Timeout of the routes until it is raised.
const SHORT: Duration = Duration::from_secs(2);
/// Timeout that no test reaches.
const LONG: Duration = Duration::from_secs(120);
/// Longest time for what happens without a pause.
const PATIENCE: Duration = Duration::from_secs(20);

fn configuration(version: u64, timeout: Duration) -> Snapshot {
    let mut snapshot = snapshot(version, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = timeout;
    }
    snapshot
}

/// A request whose upstream responds after a notification.
struct Pending {
    harness: Harness,
    upstream: Upstream,
    call: JoinHandle<reqwest::Result<(u16, String)>>,
    release: Arc<Notify>,
    sent_at: Instant,
}

impl Pending {
    /// Sends a request under this configuration and waits until it has reached its upstream.
    async fn start(
        path: &str,
        stated: Option<Duration>,
        script: impl FnOnce(Arc<Notify>) -> Script,
        first: Snapshot,
    ) -> Self {
        let release = Arc::new(Notify::new());
        let scripts = vec![script(release.clone())];
        let (harness, mut upstreams) = Harness::with_snapshot(first, scripts).await;
        let sent_at = Instant::now();
        let mut request = harness.request(path, "r1");
        if let Some(stated) = stated {
            request = request.header("x-timeout", stated.as_millis().to_string());
        }
        let call = tokio::spawn(async move {
            let response = request.send().await?;
            let status = response.status().as_u16();
            Ok((status, response.text().await?))
        });
        let upstream = upstreams.remove(0);
        let arrived = async {
            while upstream.arrivals().is_empty() {
                tokio::task::yield_now().await;
            }
        };
        let arrived = tokio::time::timeout(PATIENCE, arrived).await;
        arrived.expect("the request reaches its upstream");
        Self {
            harness,
            upstream,
            call,
            release,
            sent_at,
        }
    }

    /// Puts a timeout of the routes into effect.
    async fn change(&self, version: u64, timeout: Duration) {
        self.harness
            .store
            .configure(configuration(version, timeout));
        self.harness.store.until_followed().await;
    }

    /// Waits until the request's first timeout has passed, lets its upstream respond, and returns
    /// the response.
    async fn finish(self, why: &str) -> (u16, String) {
        tokio::time::sleep_until(self.sent_at + SHORT.mul_f64(1.2)).await;
        self.release.notify_one();
        let response = tokio::time::timeout(PATIENCE, self.call).await;
        let response = response.unwrap_or_else(|_| panic!("{why}: no end"));
        let response = response.expect("no panic");
        assert_eq!(self.upstream.arrivals().len(), 1, "{why}");
        response.unwrap_or_else(|error| panic!("{why}: {error}"))
    }
}

/// A script of an upstream that responds after a notification.
type Later = fn(Arc<Notify>) -> Script;

fn paused(resume: Arc<Notify>) -> Script {
    Script::Paused { of: 5, resume }
}

fn paused_within(resume: Arc<Notify>) -> Script {
    Script::PausedWithin { of: 5, resume }
}

fn later(release: Arc<Notify>) -> Script {
    Script::RatedLater { release }
}

fn events() -> String {
    let event = |id| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=5).map(event).collect()
}

/// Guards against ending a request at a timeout of its route that is no longer in force.
#[tokio::test]
async fn requests_end_at_the_longest_timeout_in_force() {
    let cases: [(_, Later, _); 5] = [
        ("stream", paused, events()),
        ("resumable", paused, events()),
        ("stream", paused_within, events()),
        ("once", later, "rated".to_owned()),
        ("safe", later, "rated".to_owned()),
    ];
    let changes = [vec![LONG], vec![LONG, SHORT / 2]];
    let runs = cases.into_iter().flat_map(|(path, script, expected)| {
        changes.clone().map(|changes| {
            let expected = expected.clone();
            async move {
                let why = format!("{path} with {changes:?}");
                let pending = Pending::start(path, None, script, configuration(1, SHORT)).await;
                for (version, timeout) in (2..).zip(changes) {
                    pending.change(version, timeout).await;
                }
                let response = pending.finish(&why).await;
                assert_eq!(response, (200, expected), "{why}");
            }
        })
    });
    futures_util::future::join_all(runs).await;
}

/// Guards against forgetting a longer timeout that was in force while the body of a request arrived.
#[tokio::test]
async fn timeouts_in_force_while_the_body_arrives_count() {
    let resume = Arc::new(Notify::new());
    let scripts = vec![paused(resume.clone())];
    let (harness, upstreams) = Harness::with_snapshot(configuration(1, SHORT), scripts).await;
    let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
    let sent_at = Instant::now();
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r1\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 4\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("is written");
    // The interim response shows that the request was admitted.
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("is read");
    for (version, timeout) in [(2, LONG), (3, SHORT / 2)] {
        let next = configuration(version, timeout);
        harness.store.configure(next);
        harness.store.until_followed().await;
    }
    stream.write_all(b"text").await.expect("is written");
    tokio::time::sleep_until(sent_at + SHORT.mul_f64(1.2)).await;
    assert_eq!(upstreams[0].arrivals().len(), 1);
    resume.notify_one();
    let mut text = String::new();
    let reading = stream.read_to_string(&mut text);
    let read = tokio::time::timeout(PATIENCE, reading).await;
    read.expect("an end").expect("text");
    assert!(text.ends_with("0\r\n\r\n"), "cut: {text}");
}

/// Guards against ending a request at the timeout of a route that has been split since.
#[tokio::test]
async fn timeouts_of_a_route_that_was_split_count() {
    let pending = Pending::start("stream/x", None, paused, configuration(1, SHORT)).await;
    let mut next = configuration(2, SHORT);
    let mut part = next.routes[2].clone();
    part.prefix = "/stream/x/".into();
    part.timeout = LONG;
    next.routes.push(part);
    pending.harness.store.configure(next);
    pending.harness.store.until_followed().await;
    assert_eq!(pending.finish("split").await, (200, events()));
}

/// Guards against a shorter timeout that ends requests which were admitted under a longer one.
#[tokio::test]
async fn shortened_timeouts_keep_admitted_requests() {
    let cases: [(_, Later, _); 2] = [
        ("stream", paused, events()),
        ("once", later, "rated".to_owned()),
    ];
    let runs = cases.map(|(path, script, expected)| async move {
        let pending = Pending::start(path, None, script, configuration(1, LONG)).await;
        pending.change(2, SHORT / 4).await;
        assert_eq!(pending.finish(path).await, (200, expected), "{path}");
    });
    futures_util::future::join_all(runs).await;
}

/// Guards against a longer timeout of the route that outlasts the one that the caller states.
#[tokio::test]
async fn stated_timeouts_hold_when_the_route_gets_a_longer_one() {
    let stated = SHORT * 2;
    let pending = Pending::start("once", Some(stated), later, configuration(1, SHORT)).await;
    pending.change(2, LONG).await;
    let sent_at = pending.sent_at;
    let response = tokio::time::timeout(PATIENCE, pending.call).await;
    let response = response.expect("an end").expect("no panic");
    assert_eq!(response.expect("a response").0, 504);
    let elapsed = sent_at.elapsed();
    assert!(elapsed >= stated, "{elapsed:?}");
}

/// Guards against refusing a request that waits for a place at an upstream at a timeout that is no
/// longer in force.
#[tokio::test]
async fn requests_wait_for_a_place_until_the_longest_timeout_in_force() {
    let mut first = configuration(1, SHORT);
    first.services[0].connection_limit = 1;
    let pending = Pending::start("once", None, later, first).await;
    let waiting = pending.harness.request("once", "r2").send();
    let waiting = tokio::spawn(waiting);
    let mut next = configuration(2, LONG);
    next.services[0].connection_limit = 1;
    pending.harness.store.configure(next);
    pending.harness.store.until_followed().await;
    tokio::time::sleep_until(pending.sent_at + SHORT.mul_f64(1.5)).await;
    let release = pending.release.clone();
    release.notify_one();
    let first = tokio::time::timeout(PATIENCE, pending.call).await;
    release.notify_one();
    let waiting = tokio::time::timeout(PATIENCE, waiting).await;
    let waiting = waiting.expect("an end").expect("no panic");
    assert_eq!(waiting.expect("a response").status(), 200);
    let first = first.expect("an end").expect("no panic");
    assert_eq!(first.expect("a response").0, 200);
}
