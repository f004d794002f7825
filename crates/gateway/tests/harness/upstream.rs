//! A scripted upstream.

use {
    socket2::SockRef,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc},
        task::JoinSet,
    },
};

/// Time from the head of a response to the end of the upstream in [`Script::Crash`].
const WRITE_TIME: Duration = Duration::from_millis(120);

/// How an upstream responds to each request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Sends a complete response with this status and body.
    Complete(u16, &'static str),
    /// Sends a complete response with this status that states the rate which the upstream takes
    /// now, see [`Upstream::state_rate`].
    Rated(u16),
    /// As [`Self::Rated`] with 200, after the notification.
    RatedLater { release: Arc<Notify> },
    /// As [`Self::Events`] with `upto: 1`, and states the rate.
    RatedEvents { of: u64 },
    /// States that it did not run the request.
    Refuse,
    /// As [`Self::Refuse`], after the notification.
    RefuseLater { release: Arc<Notify> },
    /// Closes the connection without a response.
    Close,
    /// Reads the request and sends nothing.
    Silent,
    /// Sends a response with the id of another request.
    WrongId,
    /// Sends the events up to the id `upto` of a stream of `of` events; closes the connection when
    /// events are left. A resumed stream gets at least one event.
    Events { upto: u64, of: u64 },
    /// Sends the n-th text for the n-th request of a connection, and closes the connection after
    /// the last one. `{id}` is replaced by the id of the request.
    Raw(Vec<&'static str>),
    /// Sends the text and then repeats the piece, with this pause, until the caller closes the
    /// connection. `{id}` is replaced by the id of the request.
    Endless {
        text: &'static str,
        piece: &'static str,
        pause: Duration,
    },
    /// Sends `first` for a request that does not continue a stream and `rest` for one that does, and
    /// then closes the connection, with a reset when `is_reset`. `{id}` is replaced by the id of the
    /// request.
    Continued {
        first: String,
        rest: String,
        is_reset: bool,
    },
    /// Sends all events of a stream with this pause between them.
    Paced { of: u64, pause: Duration },
    /// Sends two events and, in the same chunk, another one with the id of the first.
    RepeatedEvent,
    /// Sends the first event, and again after the notification.
    Repeated { resume: Arc<Notify> },
    /// As [`Self::Events`] with all of 4 events, but ends the upstream after the start of the
    /// response to a request with this part in its prompt; it is back after this time. `start` is
    /// the rest of the head, and what follows it.
    Crash {
        part: u64,
        start: &'static str,
        down: Duration,
    },
    /// As [`Self::Crash`], but its responses have neither a length nor chunks and end with their
    /// connection, and this text follows the head before the upstream ends.
    CrashUnframed {
        part: u64,
        down: Duration,
        text: &'static str,
    },
    /// Sends the first event of a stream, and closes the connection after the notification.
    BreakLater { release: Arc<Notify> },
    /// As [`Self::BreakLater`], but sends the next event and the end of a stream that it continues.
    BreakOnce { release: Arc<Notify> },
    /// Sends the first event, and the others after the notification.
    Paused { of: u64, resume: Arc<Notify> },
    /// As [`Self::Paused`], but sends only a part of the first event before.
    PausedWithin { of: u64, resume: Arc<Notify> },
}

/// A request that an upstream received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub id: String,
    pub last_event: Option<u64>,
    /// Parts of the prompt.
    pub parts: Vec<u64>,
}

/// A scripted upstream on a local port.
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// When each request arrived.
    times: Arc<Mutex<Vec<Instant>>>,
    /// Rate that [`Script::Rated`] states.
    rate: Arc<Mutex<Option<&'static str>>>,
    /// Receives a message when a connection has ended.
    pub closed: mpsc::Receiver<()>,
}

impl Upstream {
    pub async fn start(id: &str, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (closing, closed) = mpsc::channel(64);
        let (times, rate) = (Arc::default(), Arc::default());
        let crash = Arc::new(Notify::new());
        let down = match script {
            Script::Crash { down, .. } | Script::CrashUnframed { down, .. } => down,
            _ => Duration::ZERO,
        };
        let connection = Connection {
            crash: crash.clone(),
            script,
            arrivals: arrivals.clone(),
            times: Arc::clone(&times),
            rate: Arc::clone(&rate),
            closing,
        };
        tokio::spawn(async move {
            let (mut listener, mut connections) = (listener, JoinSet::new());
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.expect("a connection");
                        // Otherwise, events wait for the acknowledgement of those before.
                        stream.set_nodelay(true).expect("it is open");
                        connections.spawn(serve(stream, connection.clone()));
                    }
                    () = crash.notified() => {
                        drop(listener);
                        connections.shutdown().await;
                        tokio::time::sleep(down).await;
                        listener = TcpListener::bind(address).await.expect("the same port");
                    }
                }
            }
        });
        Self {
            id: id.into(),
            address,
            arrivals,
            times,
            rate,
            closed,
        }
    }

    /// Sets the rate that [`Script::Rated`] states from now on.
    pub fn state_rate(&self, rate: Option<&'static str>) {
        *self.rate.lock().expect("no test panics while it holds it") = rate;
    }

    /// Returns when each request arrived.
    pub fn times(&self) -> Vec<Instant> {
        let times = self.times.lock();
        times
            .expect("no test panics while it holds the list")
            .clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals
            .lock()
            .expect("no test panics while it holds the list")
            .clone()
    }
}

/// What the connections of an upstream share.
#[derive(Clone)]
struct Connection {
    script: Script,
    /// Ends the upstream.
    crash: Arc<Notify>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    times: Arc<Mutex<Vec<Instant>>>,
    rate: Arc<Mutex<Option<&'static str>>>,
    closing: mpsc::Sender<()>,
}

async fn serve(mut stream: TcpStream, connection: Connection) {
    let Connection {
        script,
        crash,
        arrivals,
        times,
        rate,
        closing,
    } = connection;
    let mut count = 0;
    while let Some(arrival) = read(&mut stream).await {
        let now = Instant::now();
        times
            .lock()
            .expect("no test panics while it holds the list")
            .push(now);
        arrivals
            .lock()
            .expect("no test panics while it holds the list")
            .push(arrival.clone());
        let rate = *rate.lock().expect("no test panics while it holds it");
        if answer(&mut stream, &script, &arrival, (count, rate, &crash))
            .await
            .is_none()
        {
            break;
        }
        count += 1;
    }
    // The receiver is gone when the test has ended.
    let _ = closing.try_send(());
}

/// Reads a request; returns `None` when the caller has closed the connection.
async fn read(stream: &mut TcpStream) -> Option<Arrival> {
    let mut text = Vec::new();
    loop {
        let mut byte = [0];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
        if text.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let text = String::from_utf8(text).ok()?;
    let header = |name: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        lines
            .into_iter()
            .find(|(other, _)| *other == name)
            .map(|(_, value)| value.to_owned())
    };
    let length = header("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(Arrival {
        id: header("x-request-id")?,
        last_event: header("x-last-event").and_then(|id| id.parse().ok()),
        parts: header("x-parts").map_or_else(Vec::new, |parts| {
            parts.split(',').filter_map(|id| id.parse().ok()).collect()
        }),
    })
}

/// Responds to a request; returns `None` when the connection has to be closed.
async fn answer(
    stream: &mut TcpStream,
    script: &Script,
    arrival: &Arrival,
    (count, rate, crash): (usize, Option<&str>, &Notify),
) -> Option<()> {
    let id = &arrival.id;
    let rate = rate.map_or_else(String::new, |rate| format!("x-rate: {rate}\r\n"));
    let head = |status: u16, more: &str| {
        format!("HTTP/1.1 {status} X\r\nx-request-id: {id}\r\nx-signed: 1\r\n{more}\r\n")
    };
    let text = match script {
        Script::Complete(status, body) => {
            head(*status, &format!("content-length: {}\r\n", body.len())) + body
        }
        Script::Rated(status) => head(*status, &format!("{rate}content-length: 5\r\n")) + "rated",
        Script::RatedLater { release } => {
            release.notified().await;
            head(200, &format!("{rate}content-length: 5\r\n")) + "rated"
        }
        Script::RatedEvents { of } => {
            let first = arrival.last_event.map_or(1, |last| last + 1);
            let head = head(200, &format!("{rate}transfer-encoding: chunked\r\n"));
            let text = head + &event(first) + if first == *of { "0\r\n\r\n" } else { "" };
            stream.write_all(text.as_bytes()).await.ok()?;
            return (first == *of).then_some(());
        }
        Script::Refuse => head(503, "x-not-run: 1\r\ncontent-length: 0\r\n"),
        Script::RefuseLater { release } => {
            let mut byte = [0];
            tokio::select! {
                () = release.notified() => {}
                _ = stream.read(&mut byte) => return None,
            }
            head(503, "x-not-run: 1\r\ncontent-length: 0\r\n")
        }
        Script::Close => return None,
        Script::Raw(texts) => {
            let text = texts.get(count)?.replace("{id}", id);
            stream.write_all(text.as_bytes()).await.ok()?;
            return (count + 1 < texts.len()).then_some(());
        }
        Script::Endless { text, piece, pause } => {
            let text = text.replace("{id}", id);
            stream.write_all(text.as_bytes()).await.ok()?;
            loop {
                stream.write_all(piece.as_bytes()).await.ok()?;
                tokio::time::sleep(*pause).await;
            }
        }
        Script::Continued {
            first,
            rest,
            is_reset,
        } => {
            let text = arrival.last_event.map_or(first, |_| rest);
            let text = text.replace("{id}", id);
            stream.write_all(text.as_bytes()).await.ok()?;
            if *is_reset && arrival.last_event.is_some() {
                let socket = SockRef::from(&*stream);
                socket.set_linger(Some(Duration::ZERO)).ok()?;
            }
            return None;
        }
        Script::Paced { of, pause } => {
            let head = head(200, "transfer-encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            let first = arrival.last_event.map_or(1, |last| last + 1);
            for id in first..=*of {
                stream.write_all(event(id).as_bytes()).await.ok()?;
                tokio::time::sleep(*pause).await;
            }
            "0\r\n\r\n".into()
        }
        Script::Silent => return read(stream).await.map(drop),
        Script::WrongId => {
            "HTTP/1.1 200 X\r\nx-request-id: other\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nother"
                .into()
        }
        Script::Events { upto, of } => {
            let first = arrival.last_event.map_or(1, |last| last + 1);
            let last = (*upto).max(first.min(*of)).min(*of);
            let events: String = (first..=last).map(event).collect();
            let end = if last == *of { "0\r\n\r\n" } else { "" };
            let text = head(200, "transfer-encoding: chunked\r\n") + &events + end;
            stream.write_all(text.as_bytes()).await.ok()?;
            return (last == *of).then_some(());
        }
        Script::Crash { part, start, .. } => {
            if arrival.parts.contains(part) {
                let head = head(200, "");
                let text = head.trim_end().to_owned() + "\r\n" + start;
                stream.write_all(text.as_bytes()).await.ok()?;
                tokio::time::sleep(WRITE_TIME).await;
                crash.notify_one();
                std::future::pending::<()>().await;
            }
            let head = head(200, "transfer-encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            let first = arrival.last_event.map_or(1, |last| last + 1);
            (first..=4).map(event).collect::<String>() + "0\r\n\r\n"
        }
        Script::CrashUnframed { part, text, .. } => {
            let is_deadly = arrival.parts.contains(part);
            let events: String = (1..=4).map(raw).collect();
            let body = if is_deadly { *text } else { &events };
            stream
                .write_all((head(200, "") + body).as_bytes())
                .await
                .ok()?;
            if is_deadly {
                tokio::time::sleep(WRITE_TIME).await;
                crash.notify_one();
                std::future::pending::<()>().await;
            }
            return None;
        }
        Script::RepeatedEvent => {
            let first = arrival.last_event.map_or(1, |last| last + 1);
            let events = [first, first + 1, first].map(raw).concat();
            head(200, "transfer-encoding: chunked\r\n") + &chunk(&events)
        }
        Script::BreakOnce { .. } if arrival.last_event.is_some() => {
            let next = arrival.last_event.map_or(1, |last| last + 1);
            head(200, "transfer-encoding: chunked\r\n") + &event(next) + "0\r\n\r\n"
        }
        Script::BreakLater { release } | Script::BreakOnce { release } => {
            let text = head(200, "transfer-encoding: chunked\r\n") + &event(1);
            stream.write_all(text.as_bytes()).await.ok()?;
            release.notified().await;
            return None;
        }
        Script::Repeated { resume } => {
            let text = head(200, "transfer-encoding: chunked\r\n") + &event(1);
            stream.write_all(text.as_bytes()).await.ok()?;
            resume.notified().await;
            event(1)
        }
        Script::Paused { of, resume } | Script::PausedWithin { of, resume } => {
            let is_within = matches!(script, Script::PausedWithin { .. });
            let first = raw(1);
            let (begin, rest) = first.split_at(if is_within { 4 } else { first.len() });
            let text = head(200, "transfer-encoding: chunked\r\n") + &chunk(begin);
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut byte = [0];
            tokio::select! {
                () = resume.notified() => {}
                _ = stream.read(&mut byte) => return None,
            }
            let events = (2..=*of).map(raw).collect::<String>();
            chunk(&format!("{rest}{events}")) + "0\r\n\r\n"
        }
    };
    stream.write_all(text.as_bytes()).await.ok()
}

fn event(id: u64) -> String {
    chunk(&raw(id))
}

fn raw(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
