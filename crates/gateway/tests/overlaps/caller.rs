//! A caller that sends requests on kept connections and records how each ends.

use {
    super::record::{End, Request, Shared, lock},
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, BufReader},
        net::TcpStream,
    },
};

/// Paths of the requests, by the kind of their routes.
const PATHS: [&str; 4] = ["safe", "once", "stream", "resumable"];
/// Keys, of which the configuration lacks some at times.
pub const KEYS: [&str; 2] = ["key", "other"];
/// Share of the idle limit for which a caller keeps a connection.
const KEPT_SHARE: f64 = 0.8;
/// Longest time to wait for a response.
const PATIENCE: Duration = Duration::from_secs(60);

/// A process of a host as its callers see it.
#[derive(Clone)]
pub struct Process {
    pub address: SocketAddr,
    /// Whether its planned stop has begun.
    pub is_stopping: Arc<AtomicBool>,
}

/// The running process of a host.
pub type Host = Arc<Mutex<Process>>;

/// A connection that is open after a response.
struct Kept {
    stream: BufReader<TcpStream>,
    process: Process,
    idle_since: Instant,
    idle_limit: Duration,
    carried: u64,
}

pub struct Caller {
    pub name: String,
    pub hosts: Vec<Host>,
    pub random: SmallRng,
    pub record: Shared,
    pub is_done: Arc<AtomicBool>,
}

impl Caller {
    /// Sends requests until the run is done.
    pub async fn run(mut self) {
        let mut kept = None;
        let mut number = 0;
        while !self.is_done.load(Ordering::Relaxed) {
            let connection = match kept.take() {
                Some(kept) => Some(kept),
                None => self.connect().await,
            };
            let Some(mut connection) = connection else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            number += 1;
            let path = *PATHS.choose(&mut self.random).expect("a path");
            let id = format!("{path}.{}-{number}", self.name);
            let part = ["", "part/"].choose(&mut self.random).expect("a part");
            let target = format!("/{path}/{part}x");
            let is_kept = self.exchange(&mut connection, path, target, id).await;
            connection.idle_since = Instant::now();
            connection.carried += 1;
            connection.idle_limit = lock(&self.record).idle_limit();
            let limit = connection.idle_limit.mul_f64(KEPT_SHARE);
            let rest = match self.random.random_range(0..20) {
                0 => limit,
                1 => limit.mul_f64(self.random.random()),
                _ => Duration::from_millis(self.random.random_range(0..5)),
            };
            if is_kept {
                kept = Some(connection);
            }
            tokio::time::sleep(rest).await;
        }
    }

    async fn connect(&mut self) -> Option<Kept> {
        let host = self.hosts.choose(&mut self.random).expect("a host");
        let process = host.lock().expect("no task panics").clone();
        let stream = TcpStream::connect(process.address).await.ok()?;
        Some(Kept {
            stream: BufReader::new(stream),
            process,
            idle_since: Instant::now(),
            idle_limit: Duration::MAX,
            carried: 0,
        })
    }

    /// Sends a request and records how it ends; returns whether the connection stays open.
    async fn exchange(
        &mut self,
        connection: &mut Kept,
        path: &'static str,
        target: String,
        id: String,
    ) -> bool {
        let idle = connection.idle_since.elapsed();
        let content = "x".repeat(self.random.random_range(1..3_000));
        let key = *KEYS.choose(&mut self.random).expect("a key");
        let stated = self.random.random_bool(0.3);
        let stated = stated.then(|| Duration::from_millis(self.random.random_range(500..6_000)));
        let timeout = stated.map_or_else(String::new, |stated| {
            format!("x-timeout: {}\r\n", stated.as_millis())
        });
        let is_closing = self.random.random_bool(0.1);
        let closing = if is_closing {
            "connection: close\r\n"
        } else {
            ""
        };
        let is_chunked = self.random.random_bool(0.3);
        let framing = match is_chunked {
            true => "transfer-encoding: chunked".to_owned(),
            false => format!("content-length: {}", content.len()),
        };
        let head = format!(
            "POST {target} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {key}\r\n\
             x-tokens: 100,50\r\n{timeout}{closing}{framing}\r\n\r\n"
        );
        let body = match is_chunked {
            true => format!("{:x}\r\n{content}\r\n0\r\n\r\n", content.len()),
            false => content,
        };
        let sent_at = Instant::now();
        let mut text = Vec::new();
        let stream = &mut connection.stream;
        // A write that fails shows in the response.
        let _ = send(&mut self.random, stream, &head, &body).await;
        let written_at = Instant::now();
        let read = tokio::time::timeout(PATIENCE, read_response(stream, &mut text)).await;
        let read = read.unwrap_or_else(|_| Err(io::Error::other("no end")));
        let head = String::from_utf8_lossy(&text).to_ascii_lowercase();
        let is_kept = read.is_ok() && !is_closing && !head.contains("\r\nconnection: close\r\n");
        let end = match read {
            Ok((status, content)) => End::Response(status, content),
            Err(error) if text.is_empty() => End::Closed(error.to_string()),
            Err(error) => End::Cut(format!("{error} after {head:?}")),
        };
        let is_stopping = connection.process.is_stopping.load(Ordering::SeqCst);
        lock(&self.record).requests.push(Request {
            id,
            path,
            target,
            key,
            stated,
            sent_at,
            written_at,
            ended_at: Instant::now(),
            is_stopping,
            idle_limit: connection.idle_limit,
            idle,
            carried: connection.carried,
            end,
        });
        is_kept
    }
}

/// Sends a request, at times in pieces.
async fn send(
    random: &mut SmallRng,
    stream: &mut BufReader<TcpStream>,
    head: &str,
    body: &str,
) -> io::Result<()> {
    let is_slow = random.random_bool(0.2);
    if !is_slow {
        return stream.write_all(format!("{head}{body}").as_bytes()).await;
    }
    stream.write_all(head.as_bytes()).await?;
    let mut rest = body.as_bytes();
    while !rest.is_empty() {
        tokio::time::sleep(Duration::from_millis(random.random_range(0..40))).await;
        let length = random.random_range(1..=rest.len());
        stream.write_all(&rest[..length]).await?;
        rest = &rest[length..];
    }
    Ok(())
}

/// Reads a response; returns its status and body. `text` holds all bytes that were read.
async fn read_response(
    stream: &mut BufReader<TcpStream>,
    text: &mut Vec<u8>,
) -> io::Result<(u16, String)> {
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(text).to_ascii_lowercase();
    let status = head.split(' ').nth(1);
    let status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let mut content = Vec::new();
    match length.and_then(|length| length.parse().ok()) {
        Some(length) => read_some(stream, text, &mut content, length).await?,
        None => loop {
            let start = text.len();
            while !text[start..].ends_with(b"\r\n") {
                text.push(stream.read_u8().await?);
            }
            let line = String::from_utf8_lossy(&text[start..]).into_owned();
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            read_some(stream, text, &mut content, length).await?;
            read_some(stream, text, &mut Vec::new(), 2).await?;
            if length == 0 {
                break;
            }
        },
    }
    Ok((status, String::from_utf8_lossy(&content).into_owned()))
}

async fn read_some(
    stream: &mut BufReader<TcpStream>,
    text: &mut Vec<u8>,
    content: &mut Vec<u8>,
    length: usize,
) -> io::Result<()> {
    let start = text.len();
    for _ in 0..length {
        text.push(stream.read_u8().await?);
    }
    content.extend_from_slice(&text[start..]);
    Ok(())
}
