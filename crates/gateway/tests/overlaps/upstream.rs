//! An upstream that falls silent, breaks off, forgets connections, pauses and leaves.

use {
    super::record::{Run, Shared, lock},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    socket2::SockRef,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
    },
};

/// Longest silence.
const SILENCE_MS: u64 = 2_000;
/// Events of a stream.
pub const EVENTS: u64 = 5;

/// What an upstream does besides its work.
#[derive(Default)]
pub struct Mood {
    /// Whether its responses state that it leaves.
    pub is_leaving: AtomicBool,
    /// Until when it refuses requests.
    pub paused_until: Mutex<Option<Instant>>,
    /// Rate that it states.
    pub rate: Option<f64>,
    /// Chance that it breaks off a response.
    pub break_share: f64,
    /// Whether it closes idle connections without notice.
    pub is_forgetful: bool,
}

impl Mood {
    fn pause(&self) -> Option<Duration> {
        let until = *self.paused_until.lock().expect("no task panics");
        until.and_then(|until| until.checked_duration_since(Instant::now()))
    }
}

/// Starts an upstream and returns its address.
pub async fn start(seed: u64, mood: Arc<Mood>, record: Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for connection in 0.. {
            let (stream, _) = listener.accept().await.expect("a connection");
            let connection = Connection {
                stream: BufReader::new(stream),
                random: SmallRng::seed_from_u64(seed ^ (connection << 32)),
                mood: mood.clone(),
                record: record.clone(),
            };
            tokio::spawn(connection.serve());
        }
    });
    address
}

struct Connection {
    stream: BufReader<TcpStream>,
    random: SmallRng,
    mood: Arc<Mood>,
    record: Shared,
}

impl Connection {
    async fn serve(mut self) {
        loop {
            let patience = match self.mood.is_forgetful {
                true => Duration::from_millis(self.random.random_range(5..500)),
                false => Duration::from_secs(600),
            };
            let first = tokio::time::timeout(patience, self.stream.read_u8()).await;
            let Ok(Ok(first)) = first else {
                return;
            };
            let Some((id, path, last)) = read(&mut self.stream, first).await else {
                return;
            };
            if !self.answer(id, &path, last).await {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    async fn answer(&mut self, id: String, path: &str, last: u64) -> bool {
        if let Some(pause) = self.mood.pause() {
            let run = Run {
                is_refused: true,
                ..Run::default()
            };
            self.record_run(&id, run);
            let text = format!(
                "HTTP/1.1 503 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\nx-pause: {:.3}\r\n\
                 content-length: 0\r\n\r\n",
                pause.as_secs_f64()
            );
            return self.stream.write_all(text.as_bytes()).await.is_ok();
        }
        let index = self.record_run(&id, Run::default());
        let is_stream = path.starts_with("/stream/") || path.starts_with("/resumable/");
        let (pieces, is_last) = self.respond(&id, is_stream.then_some(last));
        let breaks = self.random.random_bool(self.mood.break_share);
        let break_at = breaks.then(|| self.random.random_range(0..pieces.len()));
        for (number, piece) in pieces.iter().enumerate() {
            if break_at == Some(number) {
                self.change_run(&id, index, |run| run.is_broken = true);
                // The end of a response without a length is only marked by an orderly close.
                let socket = SockRef::from(self.stream.get_ref());
                socket.set_linger(Some(Duration::ZERO)).expect("a socket");
                return false;
            }
            if self.send(piece).await.is_none() {
                // A connection that closes after the last byte has carried the whole response.
                if number + 1 < pieces.len() {
                    self.change_run(&id, index, |run| run.is_cut = true);
                }
                return false;
            }
        }
        !is_last
    }

    fn record_run(&self, id: &str, run: Run) -> usize {
        let mut record = lock(&self.record);
        let runs = record.runs.entry(id.into()).or_default();
        runs.push(run);
        runs.len() - 1
    }

    fn change_run(&self, id: &str, index: usize, change: impl FnOnce(&mut Run)) {
        let mut record = lock(&self.record);
        let runs = record.runs.get_mut(id);
        change(&mut runs.expect("the run is recorded")[index]);
    }

    /// Sends a piece, in two parts at times, with a silence before each part at times. Returns
    /// `None` when the gateway has closed the connection.
    async fn send(&mut self, piece: &str) -> Option<()> {
        let at = match self.random.random_bool(0.3) {
            true => self.random.random_range(0..piece.len()),
            false => 0,
        };
        for part in [&piece[..at], &piece[at..]] {
            let silence = match self.random.random_range(0..20) {
                0 => self.random.random_range(200..SILENCE_MS),
                1..5 => self.random.random_range(0..60),
                _ => 0,
            };
            tokio::select! {
                // Nothing arrives before the end of the response but the end of the connection.
                _ = self.stream.read_u8() => return None,
                () = tokio::time::sleep(Duration::from_millis(silence)) => {}
            }
            self.stream.write_all(part.as_bytes()).await.ok()?;
        }
        Some(())
    }

    /// Returns the pieces of a response, and whether the connection closes after it. `stream` holds
    /// the last event that the caller has if the response is a stream.
    fn respond(&mut self, id: &str, stream: Option<u64>) -> (Vec<String>, bool) {
        let content: Vec<_> = match stream {
            Some(last) => (last + 1..=EVENTS).map(event).collect(),
            None => vec![body(id)],
        };
        let framing = self.random.random_range(0..3);
        let is_last = framing == 2 || self.random.random_bool(0.1);
        let length: usize = content.iter().map(String::len).sum();
        let framing_header = match framing {
            0 => "transfer-encoding: chunked\r\n".to_owned(),
            1 => format!("content-length: {length}\r\n"),
            _ => String::new(),
        };
        let closing = if is_last { "connection: close\r\n" } else { "" };
        let leaving = match self.mood.is_leaving.load(Ordering::Relaxed) {
            true => "x-leaving: 1\r\n",
            false => "",
        };
        let rate = self.mood.rate;
        let rate = rate.map_or_else(String::new, |rate| format!("x-rate: {rate}\r\n"));
        let head = format!(
            "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n{framing_header}{closing}{leaving}{rate}\r\n"
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
}

/// Returns the event with this id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns the body of the response to a whole request.
pub fn body(id: &str) -> String {
    format!("answer to {id} ").repeat(40)
}

/// Reads a request after its first byte; returns its id, its path and the last event that the caller
/// has.
async fn read(stream: &mut BufReader<TcpStream>, first: u8) -> Option<(String, String, u64)> {
    let mut text = vec![first];
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(text).ok()?;
    let header = |name: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(other, _)| *other == name)
    };
    let number = |name| header(name).and_then(|(_, value)| value.parse::<u64>().ok());
    let mut body = vec![0; number("content-length").unwrap_or(0) as usize];
    stream.read_exact(&mut body).await.ok()?;
    let (_, id) = header("x-request-id")?;
    let path = text.split(' ').nth(1)?;
    Some((id.into(), path.into(), number("x-last-event").unwrap_or(0)))
}
