//! Late copies of responses that arrive in pieces.

mod harness;

use {
    harness::{Harness, entry, snapshot},
    marigoldroute_core::forward::State,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Time between two pieces, in which the gateway reads the first one.
const PAUSE: Duration = Duration::from_millis(15);

/// Longest time to wait for what must happen.
const PATIENCE: Duration = Duration::from_secs(10);

/// When the pieces of a copy arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arrival {
    /// The first one while the connection is idle; the rest after the next request, if that is sent
    /// over it.
    Idle,
    /// After the next request was sent.
    Busy,
}

/// An upstream that sends a copy of its first response.
#[derive(Clone)]
struct Upstream {
    pieces: [&'static str; 2],
    arrival: Arrival,
    has_copied: Arc<AtomicBool>,
    /// Notified when an idle connection with a piece was closed, or used again.
    is_over: Arc<Notify>,
    /// Ids of the requests that it has received.
    received: Arc<Mutex<Vec<String>>>,
}

fn fresh(id: &str) -> String {
    let head =
        format!("HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-keep-alive: 30\r\n");
    head + "content-length: 5\r\n\r\nfresh"
}

impl Upstream {
    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        loop {
            let id = self.read(&mut stream).await?;
            stream.write_all(fresh(&id).as_bytes()).await.ok()?;
            if self.has_copied.swap(true, Ordering::Relaxed) {
                continue;
            }
            let [first, rest] = self.pieces;
            let mut next = None;
            if self.arrival == Arrival::Busy {
                next = Some(self.read(&mut stream).await?);
            }
            stream.write_all(first.as_bytes()).await.ok()?;
            if self.arrival == Arrival::Idle {
                next = self.read(&mut stream).await;
                self.is_over.notify_one();
            }
            sleep(PAUSE).await;
            stream.write_all(rest.as_bytes()).await.ok()?;
            sleep(PAUSE).await;
            stream.write_all(fresh(&next?).as_bytes()).await.ok()?;
        }
    }

    /// Reads a request and returns its id; `None` when the connection is closed.
    async fn read(&self, stream: &mut TcpStream) -> Option<String> {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\ntext") {
            text.push(stream.read_u8().await.ok()?);
        }
        let text = String::from_utf8(text).ok()?;
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("x-request-id: "))?;
        let mut received = self
            .received
            .lock()
            .expect("no test panics while it holds it");
        received.push(id.to_owned());
        Some(id.to_owned())
    }
}

/// Guards against a copy of a response that reaches the next caller, or counts as its refusal,
/// because it arrives in pieces around the next request.
#[tokio::test]
async fn copies_in_pieces_reach_no_other_caller() {
    let rest = "x-signed: 1\r\ncontent-length: 5\r\n\r\n";
    let refused = "x-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let copies = [
        format!("HTTP/1.1 200 X\r\nx-request-id: r1\r\n{rest}stale"),
        format!("HTTP/1.1 200 X\r\n{rest}stale"),
        format!("HTTP/1.1 200 X\r\nx-request-id: r1\r\n{rest}"),
        format!("HTTP/1.1 503 X\r\nx-request-id: r1\r\n{refused}"),
        format!("HTTP/1.1 429 X\r\n{refused}"),
        format!("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nx-request-id: r1\r\n{rest}stale"),
    ];
    for copy in copies {
        let middle = copy.len() / 2;
        for cut in [1, 15, middle, copy.len() - 3] {
            let (first, rest) = copy.split_at(cut);
            for arrival in [Arrival::Idle, Arrival::Busy] {
                let pieces = [first.to_owned().leak(), rest.to_owned().leak()];
                play(pieces.map(|piece| &*piece), arrival).await;
            }
        }
    }
}

async fn play(pieces: [&'static str; 2], arrival: Arrival) {
    let what = format!("{pieces:?}, {arrival:?}");
    let upstream = Upstream {
        pieces,
        arrival,
        has_copied: Arc::default(),
        is_over: Arc::default(),
        received: Arc::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepting = upstream.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(accepting.clone().serve(stream));
        }
    });
    let (harness, _) = Harness::with_snapshot(snapshot(1, 1_000_000), vec![]).await;
    harness.store.put("u0", entry(address, State::Ready));
    let send = async |id: &str| {
        let response = harness
            .request("once", id)
            .send()
            .await
            .expect("a response");
        let status = response.status().as_u16();
        (status, response.text().await.expect("a whole body"))
    };
    while send("r1").await.0 == 503 {}
    if arrival == Arrival::Idle {
        let closed = timeout(PATIENCE, upstream.is_over.notified()).await;
        assert!(closed.is_ok(), "the connection stays open: {what}");
    }
    let (status, body) = send("r2").await;
    let expected = if arrival == Arrival::Busy { 502 } else { 200 };
    assert_eq!(status, expected, "{what}: {body}");
    assert!(status != 200 || body == "fresh", "{what}: {body}");
    let (status, body) = send("r3").await;
    assert_eq!((status, body.as_str()), (200, "fresh"), "{what}");
    let received = upstream
        .received
        .lock()
        .expect("no test panics while it holds it");
    assert_eq!(*received, ["r1", "r2", "r3"], "{what}");
}
