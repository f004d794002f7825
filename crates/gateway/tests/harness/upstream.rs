//! An upstream that follows a script.

use {
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc},
    },
};

/// What the upstream does with each request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Answers with this status and body.
    Whole(u16, &'static str),
    /// States that it did not run the request.
    Refuse,
    /// Closes the connection without an answer.
    Close,
    /// Reads the request and does not answer.
    Silent,
    /// Answers another request.
    Crossed,
    /// Sends events up to the given id; the stream has `of` events in all. When they are fewer, it
    /// closes the connection.
    Events { upto: u64, of: u64 },
    /// Answers the n-th request of a connection with the n-th text, and closes the connection after
    /// the last one. `{id}` stands for the request's id.
    Texts(Vec<&'static str>),
    /// Sends the text and then the piece again and again, with this pause, until the caller closes the
    /// connection.
    Endless {
        text: &'static str,
        piece: &'static str,
        pause: Duration,
    },
    /// Sends all events of a stream with this pause between them.
    Paced { of: u64, pause: Duration },
    /// Sends two events and one with the id of the first in one chunk.
    Repeating,
    /// Sends the first event, and the others when the notification comes.
    Paused { of: u64, go_on: Arc<Notify> },
}

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub id: String,
    pub last_event: Option<u64>,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Receives a message when a caller closes a connection.
    pub closed: mpsc::Receiver<()>,
}

impl Upstream {
    pub async fn start(id: &str, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (closing, closed) = mpsc::channel(64);
        let seen = arrivals.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, script.clone(), seen.clone(), closing.clone()));
            }
        });
        Self {
            id: id.into(),
            address,
            arrivals,
            closed,
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals
            .lock()
            .expect("no test panics while it holds the list")
            .clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Script,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    closing: mpsc::Sender<()>,
) {
    let mut count = 0;
    while let Some(arrival) = read(&mut stream).await {
        arrivals
            .lock()
            .expect("no test panics while it holds the list")
            .push(arrival.clone());
        if answer(&mut stream, &script, &arrival, count)
            .await
            .is_none()
        {
            break;
        }
        count += 1;
    }
    // The test may have ended.
    let _ = closing.try_send(());
}

/// Reads a request; `None` when the caller has closed the connection.
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
    })
}

/// Answers; `None` when the connection is over.
async fn answer(
    stream: &mut TcpStream,
    script: &Script,
    arrival: &Arrival,
    count: usize,
) -> Option<()> {
    let id = &arrival.id;
    let head = |status: u16, more: &str| {
        format!("HTTP/1.1 {status} X\r\nx-request-id: {id}\r\nx-signed: 1\r\n{more}\r\n")
    };
    let text = match script {
        Script::Whole(status, body) => {
            head(*status, &format!("content-length: {}\r\n", body.len())) + body
        }
        Script::Refuse => head(503, "x-not-run: 1\r\ncontent-length: 0\r\n"),
        Script::Close => return None,
        Script::Texts(texts) => {
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
        Script::Crossed => {
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
        Script::Repeating => {
            let first = arrival.last_event.map_or(1, |last| last + 1);
            let events = [first, first + 1, first].map(raw).concat();
            head(200, "transfer-encoding: chunked\r\n") + &chunk(&events)
        }
        Script::Paused { of, go_on } => {
            let text = head(200, "transfer-encoding: chunked\r\n") + &event(1);
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut byte = [0];
            tokio::select! {
                () = go_on.notified() => {}
                _ = stream.read(&mut byte) => return None,
            }
            (2..=*of).map(event).collect::<String>() + "0\r\n\r\n"
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
