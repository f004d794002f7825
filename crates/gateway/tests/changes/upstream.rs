//! A healthy upstream that falls silent at random for up to two seconds.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Longest silence.
const SILENCE_MS: u64 = 2_000;
/// Events of a stream.
pub const EVENTS: u64 = 5;

/// What the upstreams of a run saw.
#[derive(Debug, Default)]
pub struct Record {
    /// Ids of the requests that arrived, in their order.
    pub arrived: Vec<String>,
    /// Ids of the requests whose connection was closed before the end of their response.
    pub cut: Vec<String>,
}

/// Starts an upstream and returns its address.
pub async fn start(seed: u64, record: Arc<Mutex<Record>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for connection in 0.. {
            let (stream, _) = listener.accept().await.expect("a connection");
            let random = SmallRng::seed_from_u64(seed ^ (connection << 32));
            tokio::spawn(serve(stream, random, record.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, mut random: SmallRng, record: Arc<Mutex<Record>>) {
    while let Some((id, path, last)) = read(&mut stream).await {
        let lock = || record.lock().expect("no task panics while it holds it");
        lock().arrived.push(id.clone());
        let is_stream = path.starts_with("/stream/") || path.starts_with("/resumable/");
        let (pieces, is_last) = respond(&mut random, &id, is_stream.then_some(last));
        for (index, piece) in pieces.iter().enumerate() {
            if send(&mut stream, &mut random, piece).await.is_none() {
                // A connection that closes after the last byte has carried the whole response.
                if index + 1 < pieces.len() {
                    lock().cut.push(id);
                }
                return;
            }
        }
        if is_last {
            return;
        }
    }
}

/// Sends a piece, in two parts at times, with a silence before each part at times. Returns `None`
/// when the gateway has closed the connection.
async fn send(stream: &mut TcpStream, random: &mut SmallRng, piece: &str) -> Option<()> {
    let at = match random.random_bool(0.3) {
        true => random.random_range(0..piece.len()),
        false => 0,
    };
    for part in [&piece[..at], &piece[at..]] {
        let silence = match random.random_range(0..40) {
            0 => random.random_range(200..SILENCE_MS),
            1..8 => random.random_range(0..60),
            _ => 0,
        };
        let mut byte = [0];
        tokio::select! {
            // Nothing arrives before the end of the response but the end of the connection.
            _ = stream.read(&mut byte) => return None,
            () = tokio::time::sleep(Duration::from_millis(silence)) => {}
        }
        stream.write_all(part.as_bytes()).await.ok()?;
    }
    Some(())
}

/// Returns the pieces of a response, and whether the connection closes after it. `stream` holds the
/// last event that the caller has if the response is a stream.
fn respond(random: &mut SmallRng, id: &str, stream: Option<u64>) -> (Vec<String>, bool) {
    let content: Vec<_> = match stream {
        Some(last) => (last + 1..=EVENTS).map(event).collect(),
        None => vec![body(id)],
    };
    let framing = random.random_range(0..3);
    let is_last = framing == 2 || random.random_bool(0.1);
    let length: usize = content.iter().map(String::len).sum();
    let framing_header = match framing {
        0 => "transfer-encoding: chunked\r\n".to_owned(),
        1 => format!("content-length: {length}\r\n"),
        _ => String::new(),
    };
    let closing = if is_last { "connection: close\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n{framing_header}{closing}\r\n"
    );
    let frame = |text: String| match framing {
        0 => format!("{:x}\r\n{text}\r\n", text.len()),
        _ => text,
    };
    let mut pieces = vec![head];
    pieces.extend(content.into_iter().map(frame));
    if framing == 0 {
        pieces.push("0\r\n\r\n".into());
    }
    (pieces, is_last)
}

/// Returns the event with this id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns the body of the response to a whole request.
pub fn body(id: &str) -> String {
    format!("answer to {id} ").repeat(40)
}

/// Reads a request; returns its id, its path and the last event that the caller has.
async fn read(stream: &mut TcpStream) -> Option<(String, String, u64)> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(text).ok()?;
    let header = |name: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(other, _)| *other == name)
    };
    let number = |name| header(name).and_then(|(_, value)| value.parse::<u64>().ok());
    let length = number("content-length").unwrap_or(0);
    stream
        .read_exact(&mut vec![0; length as usize])
        .await
        .ok()?;
    let (_, id) = header("x-request-id")?;
    let path = text.split(' ').nth(1)?;
    Some((id.into(), path.into(), number("x-last-event").unwrap_or(0)))
}
