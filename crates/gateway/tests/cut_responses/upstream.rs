//! An upstream that cuts its responses where each request's plan says.

use {
    socket2::SockRef,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Events of a whole stream.
pub const EVENTS: u64 = 3;
/// Body of a whole response that is no stream.
pub const BODY: &str = "the answer";

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    /// In two chunks, with an extension and a trailer.
    Chunked,
    /// Only by the end of the connection.
    Unframed,
    /// As [`Self::Length`], after two interim responses.
    Interim,
}

pub const FRAMINGS: [Framing; 4] = [
    Framing::Length,
    Framing::Chunked,
    Framing::Unframed,
    Framing::Interim,
];

pub fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

impl Framing {
    /// Returns a response whose id is the last of its headers.
    pub fn response(self, id: &str, body: &str) -> String {
        let interim = "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nx-signed: 1\r\n\r\n";
        let begin = match self {
            Self::Interim => interim,
            _ => "",
        };
        let framing = match self {
            Self::Length | Self::Interim => format!("content-length: {}\r\n", body.len()),
            Self::Chunked => "transfer-encoding: chunked\r\n".into(),
            Self::Unframed => String::new(),
        };
        let head = format!(
            "{begin}HTTP/1.1 200 X\r\nx-keep-alive: 30\r\nx-signed: 1\r\n{framing}x-request-id: {id}\r\n\r\n"
        );
        let (one, two) = body.split_at(body.len() / 2);
        let chunk = |part: &str| format!("{:x};a=b\r\n{part}\r\n", part.len());
        head + &match self {
            Self::Chunked => chunk(one) + &chunk(two) + "0\r\nx-trailer: 1\r\n\r\n",
            _ => body.into(),
        }
    }
}

/// What a request gets.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// A response that is cut after this many bytes.
    Cut {
        framing: Framing,
        at: usize,
        is_reset: bool,
        /// Whether the request has to come on a connection that has carried another one.
        needs_reuse: bool,
    },
    /// Two events, after which the connection ends.
    Broken,
    /// Two events, and the rest after this time.
    Stalled(Duration),
    /// The end of the connection.
    Nothing,
}

/// What the requests with an id get in the order of their arrival, and whole responses after that.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub answers: Vec<Answer>,
    pub is_stream: bool,
    /// Requests that arrived.
    pub arrivals: usize,
    /// Whether a request came on a new connection that needed another.
    pub is_fresh: bool,
}

/// Plans by the ids of their requests.
pub type Plans = Arc<Mutex<HashMap<String, Plan>>>;

/// Starts an upstream on a local port.
pub async fn start(plans: Plans) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(serve(stream, plans.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, plans: Plans) -> Option<()> {
    let mut is_reused = false;
    loop {
        let (id, last_event) = read(&mut stream).await?;
        let (answer, is_stream) = {
            let mut plans = plans.lock().expect("no test panics while it holds it");
            let plan = plans.entry(id.clone()).or_default();
            let mut answer = plan.answers.get(plan.arrivals).copied();
            plan.arrivals += 1;
            if let Some(Answer::Cut {
                needs_reuse: true, ..
            }) = answer
                && !is_reused
            {
                plan.is_fresh = true;
                answer = None;
            }
            (answer, plan.is_stream)
        };
        let first = last_event.map_or(1, |last| last + 1);
        let body = match is_stream {
            true => events(first..=EVENTS),
            false => BODY.into(),
        };
        match answer {
            None => {
                let text = Framing::Length.response(&id, &body);
                stream.write_all(text.as_bytes()).await.ok()?;
            }
            Some(Answer::Cut {
                framing,
                at,
                is_reset,
                ..
            }) => {
                let text = framing.response(&id, &body);
                let text = &text.as_bytes()[..at.min(text.len())];
                stream.write_all(text).await.ok()?;
                if is_reset {
                    let socket = SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO)).ok()?;
                }
                return None;
            }
            Some(Answer::Broken) => {
                let whole = Framing::Length.response(&id, &body);
                let text = &whole.as_bytes()[..whole.len() - events(3..=3).len()];
                stream.write_all(text).await.ok()?;
                return None;
            }
            Some(Answer::Stalled(pause)) => {
                let whole = Framing::Length.response(&id, &body);
                let (begin, rest) = whole.split_at(whole.len() - events(3..=3).len());
                stream.write_all(begin.as_bytes()).await.ok()?;
                tokio::time::sleep(pause).await;
                stream.write_all(rest.as_bytes()).await.ok()?;
            }
            Some(Answer::Nothing) => return None,
        }
        is_reused = true;
    }
}

/// Reads a request and returns its id and the last event that its caller has.
async fn read(stream: &mut TcpStream) -> Option<(String, Option<u64>)> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(text).ok()?;
    let header = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once(": "));
        lines.find_map(|(other, value)| (other == name).then(|| value.to_owned()))
    };
    let length = header("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    let last_event = header("x-last-event").and_then(|id| id.parse().ok());
    Some((header("x-request-id")?, last_event))
}
