//! Connections to upstreams: their reuse, and upstreams that do not accept them.

mod harness;

use {
    harness::{
        Harness, entry, snapshot,
        upstream::{Script, Upstream},
    },
    marigoldroute_core::forward::State,
    marigoldroute_gateway::Settings,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

/// Longest time to wait for what must happen.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time after which a connection counts as not accepted.
const CONNECT_TIME: Duration = Duration::from_millis(200);

/// Tries until the upstream is known.
const TRY_LIMIT: usize = 50;

/// A response that states an idle timeout of 30 s.
const ANSWER: &str = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-keep-alive: 30\r\ncontent-length: 5\r\n\r\nfresh";

/// Guards against closing a connection long before the idle timeout that its upstream states.
#[tokio::test]
async fn idle_connections_are_kept_for_the_time_that_their_upstream_states() {
    let (harness, mut upstreams) = Harness::new(vec![Script::Raw(vec![ANSWER; 4])]).await;
    let response = harness.request("once", "r1").send().await;
    assert_eq!(response.expect("an answer").status(), 200);
    // The default is 0.4 s.
    sleep(Duration::from_millis(1_200)).await;
    assert!(upstreams[0].closed.try_recv().is_err(), "it was closed");
    let response = harness.request("once", "r2").send().await;
    assert_eq!(response.expect("an answer").status(), 200);
    assert!(upstreams[0].closed.try_recv().is_err(), "it was not reused");
}

/// Guards against a request to the former address of an upstream, over a connection that is still
/// open.
#[tokio::test]
async fn idle_connections_to_a_former_address_are_not_used() {
    let script = Script::Raw(vec![ANSWER; 1_000]);
    let (harness, upstreams) = Harness::new(vec![script.clone()]).await;
    let response = harness.request("once", "r1").send().await;
    assert_eq!(response.expect("an answer").status(), 200);
    let moved = Upstream::start("moved", script).await;
    harness
        .store
        .put(&upstreams[0].id, entry(moved.address, State::Ready));
    let reached = async {
        for number in 0.. {
            let request = harness.request("safe", &format!("s{number}"));
            request.send().await.expect("an answer");
            if !moved.arrivals().is_empty() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let reached = timeout(PATIENCE, reached).await;
    reached.expect("the new address is used");
}

/// An upstream whose queue of new connections is full, so that the kernel drops more of them.
struct Full {
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl Full {
    async fn start() -> (Self, SocketAddr) {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .expect("a port");
        let listener = socket.listen(1).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let mut waiting = Vec::new();
        while let Ok(stream) = timeout(CONNECT_TIME, TcpStream::connect(address)).await {
            waiting.push(stream.expect("connects"));
        }
        (Self { listener, waiting }, address)
    }
}

/// Starts a gateway with an upstream that accepts no connections.
async fn start(connect_timeout: Duration) -> (Harness, Full, SocketAddr) {
    let settings = Settings {
        connect_timeout,
        ..Settings::default()
    };
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = PATIENCE * 3;
    }
    let (harness, _) = Harness::with_settings(settings, snapshot, vec![]).await;
    let (full, address) = Full::start().await;
    harness.store.put("full", entry(address, State::Ready));
    (harness, full, address)
}

/// Guards against a request that waits until its deadline for a connection.
#[tokio::test]
async fn upstreams_that_accept_no_connections_are_given_up() {
    let (harness, _full, _) = start(CONNECT_TIME).await;
    let started = Instant::now();
    while started.elapsed() < CONNECT_TIME * 5 {
        let request = harness.request("once", "r1");
        let response = timeout(PATIENCE, request.send()).await.expect("in time");
        assert_eq!(response.expect("an answer").status(), 503);
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a request that is sent to an upstream which has begun to drain while the
/// connection to it was opened.
#[tokio::test]
async fn nothing_is_sent_to_an_upstream_that_drains_while_it_is_connected() {
    let (harness, full, address) = start(PATIENCE).await;
    // Until the upstream is known, requests are refused at once.
    let mut call = tokio::spawn(harness.request("once", "r1").send());
    for _ in 0..TRY_LIMIT {
        sleep(CONNECT_TIME).await;
        if !call.is_finished() {
            break;
        }
        call = tokio::spawn(harness.request("once", "r1").send());
    }
    harness.store.put("full", entry(address, State::Draining));
    let is_known = async {
        loop {
            let other = harness.request("once", "r2").send();
            if let Ok(response) = timeout(CONNECT_TIME, other).await {
                assert_eq!(response.expect("an answer").status(), 503);
                return;
            }
        }
    };
    let is_known = timeout(PATIENCE, is_known).await;
    is_known.expect("the state is known");
    drop(full.waiting);
    let accepting = tokio::spawn(async move {
        while let Ok((mut stream, _)) = full.listener.accept().await {
            let mut text = Vec::new();
            if let Err(error) = stream.read_to_end(&mut text).await {
                log::debug!("connection ended: {error}");
            }
            assert!(text.is_empty(), "{}", String::from_utf8_lossy(&text));
        }
    });
    let response = timeout(PATIENCE, call).await.expect("in time");
    let response = response.expect("it ends").expect("an answer");
    assert_eq!(response.status(), 503);
    assert!(!accepting.is_finished(), "a request was sent");
    accepting.abort();
}
