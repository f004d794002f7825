//! Callers that read slowly, leave or come back: what others get, and what is billed.

mod harness;

use {
    harness::{Harness, KEY, entry, snapshot, upstream::Script},
    marigoldroute_core::{budget::Journal, forward::State},
    marigoldroute_gateway::Settings,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        sync::Notify,
        time::{Instant, sleep, timeout},
    },
};

/// Longest time for a step, far above what a local one takes.
const PATIENCE: Duration = Duration::from_secs(20);
/// Size of a response of which few fit into the memory of a small host.
const RESPONSE_BYTES: usize = 7 << 20;
/// Memory for responses on a host of 96 MB.
const SMALL_MEMORY: usize = 96_000_000 / 4;

/// How an upstream treats requests.
#[derive(Clone, Copy)]
enum Mode {
    /// Each gets one large response.
    Large,
    /// The first waits in the queue, and is dropped 100 ms after its caller has left; each other
    /// one gets three events.
    Queue,
}

/// Starts an upstream; returns its address and a notification of its first request.
async fn start_upstream(mode: Mode) -> (SocketAddr, Arc<Notify>) {
    let begun = Arc::new(Notify::new());
    let beginning = begun.clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, mode, number, beginning.clone()));
            number += 1;
        }
    });
    (address, begun)
}

/// Answers the request of a connection, until the gateway closes it.
async fn answer(mut stream: TcpStream, mode: Mode, number: u32, begun: Arc<Notify>) -> Option<()> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    if number == 0 {
        begun.notify_one();
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let mut lines = text.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-request-id: "))?;
    let head =
        format!("HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nconnection: close\r\n");
    match mode {
        Mode::Large => {
            let head = format!("{head}content-length: {RESPONSE_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            stream.write_all(&vec![b'x'; RESPONSE_BYTES]).await.ok()?;
        }
        Mode::Queue if number == 0 => {
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.ok()?;
            sleep(Duration::from_millis(100)).await;
            return None;
        }
        Mode::Queue => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            for id in 1..=3 {
                let event = format!("id: {id}\ndata: text\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await.ok()?;
                sleep(Duration::from_millis(100)).await;
            }
            stream.write_all(b"0\r\n\r\n").await.ok()?;
        }
    }
    std::future::pending().await
}

async fn harness(settings: Settings, mode: Mode) -> (Harness, Arc<Notify>) {
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = PATIENCE;
    }
    let (address, begun) = start_upstream(mode).await;
    let upstream = entry(address, State::Ready);
    let harness = Harness::with_upstream(settings, snapshot, "u0", upstream).await;
    (harness, begun)
}

/// Sends a request on a connection with this size of the receive buffer.
async fn call(harness: &Harness, path: &str, id: &str, buffer: Option<u32>) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    if let Some(bytes) = buffer {
        socket.set_recv_buffer_size(bytes).expect("a small buffer");
    }
    let mut stream = socket.connect(harness.callers).await.expect("connects");
    let head = format!(
        "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("it is open");
    stream
}

/// Returns the tokens of the bills of a request, once there is one.
async fn billed(harness: &Harness, id: &str) -> Vec<u64> {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        let mut found = Vec::new();
        for row in harness.store.rows("journal/") {
            let journal: Journal = serde_json::from_str(&row.value).expect("a journal row");
            let bills = journal.entry.bills().iter();
            let bills = bills.filter(|bill| *bill.request == *id);
            found.extend(bills.map(|bill| bill.charged));
        }
        if !found.is_empty() {
            return found;
        }
        sleep(Duration::from_millis(10)).await;
    }
    Vec::new()
}

/// Guards against a response that is lost, although its upstream has made it, because other callers
/// read slowly.
#[tokio::test]
async fn slow_callers_do_not_cost_others_their_response() {
    let settings = Settings {
        answer_memory: SMALL_MEMORY,
        ..Settings::default()
    };
    let (harness, _) = harness(settings, Mode::Large).await;
    for id in ["slow1", "slow2"] {
        let mut slow = call(&harness, "safe", id, Some(4_096)).await;
        let mut status = [0; 12];
        let read = timeout(PATIENCE, slow.read_exact(&mut status)).await;
        read.expect("in time").expect("a response");
        assert_eq!(&status, b"HTTP/1.1 200", "{id}");
        tokio::spawn(async move {
            let mut piece = vec![0; 200_000];
            while slow.read_exact(&mut piece).await.is_ok() {
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    let other = harness.request("once", "other").send().await;
    assert_eq!(other.expect("an answer").status(), 200);
}

/// Guards against serving a caller without a bill who returns with the id of a request that it has
/// given up.
#[tokio::test]
async fn requests_that_come_back_are_billed() {
    let (harness, begun) = harness(Settings::default(), Mode::Queue).await;
    let first = call(&harness, "stream", "r1", None).await;
    let begun = timeout(PATIENCE, begun.notified()).await;
    begun.expect("the request is sent");
    drop(first);
    sleep(Duration::from_millis(30)).await;
    let again = harness.request("stream", "r1").send().await;
    let again = again.expect("an answer");
    // It may be refused; what is served has to be billed.
    let is_served = again.status() == 200;
    let events = again.text().await.expect("a body").matches("id: ").count();
    let expected = match is_served {
        true => 100 + 10 * events as u64,
        false => 100,
    };
    assert_eq!(billed(&harness, "r1").await, [expected]);
}

/// Guards against serving without a bill a request whose response has its head only at the end of
/// the run.
#[tokio::test]
async fn requests_that_are_given_up_in_their_run_are_billed() {
    let (harness, upstreams) = Harness::new(vec![Script::Silent]).await;
    let call = tokio::spawn(harness.request("safe", "r1").send());
    while upstreams[0].arrivals().is_empty() {
        assert!(!call.is_finished(), "it is answered before its run");
        sleep(Duration::from_millis(5)).await;
    }
    call.abort();
    assert!(call.await.is_err(), "it is answered in its run");
    assert_eq!(upstreams[0].arrivals().len(), 1);
    assert_eq!(billed(&harness, "r1").await, [100]);
}

/// Guards against a process that ends before it has billed what it gave up at the drain limit.
#[tokio::test]
async fn requests_given_up_at_a_planned_stop_are_billed() {
    let deaf = Script::Endless {
        text: "",
        piece: "",
        pause: Duration::from_millis(50),
    };
    let settings = Settings {
        drain_limit: Duration::from_millis(900),
        ..Settings::default()
    };
    let snapshot = snapshot(1, 1_000_000);
    let (mut harness, upstreams) = Harness::with_settings(settings, snapshot, vec![deaf]).await;
    let mut callers = Vec::new();
    for id in 0..5 {
        callers.push(call(&harness, "stream", &format!("r{id}"), None).await);
    }
    while upstreams[0].arrivals().len() < 5 {
        sleep(Duration::from_millis(5)).await;
    }
    let gateway = harness.gateway.take().expect("it runs");
    gateway.stop().await;
    for id in 0..5 {
        assert_eq!(billed(&harness, &format!("r{id}")).await, [100]);
    }
}
