//! A caller that sends requests on kept connections and checks each response.

use {
    super::{
        harness::KEY,
        upstream::{EVENTS, body, event},
    },
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Paths of the requests, by the kind of their routes; the last one is no route.
const PATHS: [&str; 5] = ["safe", "once", "stream", "resumable", "gone"];
/// Statuses of refusals: the route or the key was removed, or the request certainly did not run.
const REFUSALS: [u16; 4] = [401, 404, 429, 503];

/// How the requests of a run ended.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub answered: u64,
    pub refused: u64,
    /// Requests whose connection closed without a byte of a response.
    pub closed: Vec<Unanswered>,
    /// Descriptions of all other ends.
    pub wrong: Vec<String>,
}

/// A request without a response.
#[derive(Debug)]
#[expect(dead_code, reason = "read in the messages of failed checks")]
pub struct Unanswered {
    pub id: String,
    /// When the response before it was read, or the connection opened.
    pub idle_since: Instant,
    /// How long its connection was idle until the request was sent.
    pub idle: Duration,
    /// How long the caller waited after that.
    pub waited: Duration,
    /// Requests that the connection carried before.
    pub carried: u64,
    pub error: std::io::Error,
}

/// A connection that is open after a response.
struct Kept {
    stream: TcpStream,
    idle_since: Instant,
    carried: u64,
}

/// How the connection is after a request.
enum End {
    Kept,
    Closed,
}

pub struct Caller {
    pub name: String,
    pub address: SocketAddr,
    pub random: SmallRng,
    pub outcomes: Arc<Mutex<Outcomes>>,
    /// Longest time that a kept connection may be idle.
    pub idle_limit: Duration,
}

impl Caller {
    /// Sends requests until no connection is accepted any more.
    pub async fn run(mut self) {
        let mut kept = None;
        for number in 0.. {
            let mut connection = match kept.take() {
                Some(kept) => kept,
                None => match TcpStream::connect(self.address).await {
                    Ok(stream) => Kept {
                        stream,
                        idle_since: Instant::now(),
                        carried: 0,
                    },
                    Err(_) => return,
                },
            };
            let path = *PATHS.choose(&mut self.random).expect("a path");
            let id = format!("{path}.{}-{number}", self.name);
            if let End::Kept = self.exchange(&mut connection, path, &id).await {
                kept = Some(Kept {
                    idle_since: Instant::now(),
                    carried: connection.carried + 1,
                    ..connection
                });
            }
            let is_idle = self.random.random_bool(0.1);
            let limit = if is_idle {
                self.idle_limit
            } else {
                Duration::from_millis(5)
            };
            tokio::time::sleep(limit.mul_f64(0.95 * self.random.random::<f64>())).await;
        }
    }

    /// Sends a request and records how it ends.
    async fn exchange(&mut self, connection: &mut Kept, path: &str, id: &str) -> End {
        let content = "x".repeat(self.random.random_range(1..3_000));
        let closing = match self.random.random_bool(0.1) {
            true => "connection: close\r\n",
            false => "",
        };
        let key = if self.random.random_bool(0.05) {
            "revoked"
        } else {
            KEY
        };
        let head = format!(
            "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {key}\r\n\
             x-tokens: 100,50\r\n{closing}content-length: {}\r\n\r\n",
            content.len()
        );
        // A write that fails shows in the response.
        let _ = self.send(&mut connection.stream, head + &content).await;
        let idle = connection.idle_since.elapsed();
        let mut text = Vec::new();
        let read = read_response(&mut connection.stream, &mut text).await;
        let lock = || {
            self.outcomes
                .lock()
                .expect("no task panics while it holds it")
        };
        match read {
            Ok((200, body_text)) if body_text == expected(path, id) => lock().answered += 1,
            Ok((status, _)) if REFUSALS.contains(&status) => lock().refused += 1,
            Err(error) if text.is_empty() => lock().closed.push(Unanswered {
                id: id.into(),
                idle_since: connection.idle_since,
                idle,
                waited: connection.idle_since.elapsed() - idle,
                carried: connection.carried,
                error,
            }),
            other => {
                let text = String::from_utf8_lossy(&text).into_owned();
                lock()
                    .wrong
                    .push(format!("{path} {id}: {other:?} of {text:?}"));
            }
        }
        match read_is_kept(&text) && closing.is_empty() {
            true => End::Kept,
            false => End::Closed,
        }
    }

    /// Sends the text, in two parts at times.
    async fn send(&mut self, stream: &mut TcpStream, text: String) -> std::io::Result<()> {
        let at = match self.random.random_bool(0.2) {
            true => self.random.random_range(0..text.len()),
            false => 0,
        };
        stream.write_all(&text.as_bytes()[..at]).await?;
        if at > 0 {
            let pause = self.random.random_range(0..40);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        stream.write_all(&text.as_bytes()[at..]).await
    }
}

/// Returns the body of the whole response.
fn expected(path: &str, id: &str) -> String {
    match path {
        "stream" | "resumable" => (1..=EVENTS).map(event).collect(),
        _ => body(id),
    }
}

/// Returns whether the connection may be used after this response.
fn read_is_kept(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text).to_ascii_lowercase();
    !text.is_empty() && !text.contains("\r\nconnection: close\r\n")
}

/// Reads a response; returns its status and body. `text` holds all bytes that were read.
async fn read_response(
    stream: &mut TcpStream,
    text: &mut Vec<u8>,
) -> std::io::Result<(u16, String)> {
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(text).to_ascii_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut content = Vec::new();
    match length.and_then(|length| length.parse().ok()) {
        Some(length) => read_some(stream, text, &mut content, length).await?,
        None => read_chunks(stream, text, &mut content).await?,
    }
    let content = String::from_utf8_lossy(&content).into_owned();
    Ok((status.unwrap_or(0), content))
}

async fn read_some(
    stream: &mut TcpStream,
    text: &mut Vec<u8>,
    content: &mut Vec<u8>,
    length: usize,
) -> std::io::Result<()> {
    let start = text.len();
    for _ in 0..length {
        text.push(stream.read_u8().await?);
    }
    content.extend_from_slice(&text[start..]);
    Ok(())
}

async fn read_chunks(
    stream: &mut TcpStream,
    text: &mut Vec<u8>,
    content: &mut Vec<u8>,
) -> std::io::Result<()> {
    loop {
        let start = text.len();
        while !text[start..].ends_with(b"\r\n") {
            text.push(stream.read_u8().await?);
        }
        let line = String::from_utf8_lossy(&text[start..]).into_owned();
        let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
        read_some(stream, text, content, length).await?;
        read_some(stream, text, &mut Vec::new(), 2).await?;
        if length == 0 {
            return Ok(());
        }
    }
}
