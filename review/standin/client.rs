//! Stand-in of clients, with connections that are kept.

use {
    crate::http,
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// What a client sends.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub attempt: &'a str,
    pub deadline_ms: u64,
    /// Prompt and output tokens, for a model.
    pub tokens: Option<(u64, u64)>,
    pub body: &'a [u8],
    /// Pause within the head.
    pub pause: Duration,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer: status, events, body.
    Answered(u16, u64, Vec<u8>),
    /// The connection ended after this number of events, without a complete answer.
    Broken(u64),
}

/// A connection to a machine.
pub struct Connection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    /// Whether the machine has asked to close it.
    pub is_closing: bool,
    /// When the last byte of a request was sent.
    pub sent_at: Option<Instant>,
    /// When the machine wants the client back, by its last answer.
    pub retry_after: Option<Duration>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self {
            reader,
            stream,
            is_closing: false,
            sent_at: None,
            retry_after: None,
        })
    }

    pub fn call(&mut self, call: &Call<'_>) -> Outcome {
        let mut events = 0;
        self.exchange(call, &mut events)
            .unwrap_or(Outcome::Broken(events))
    }

    fn exchange(&mut self, call: &Call<'_>, events: &mut u64) -> io::Result<Outcome> {
        let model = call.tokens.map_or_else(String::new, |(prompt, output)| {
            format!(
                "Marigoldroute-Model: m\r\nMarigoldroute-Token-Usage: {prompt},{output}\r\n\
                 Marigoldroute-Prefix-Hash: {}:{prompt}\r\n",
                call.attempt
            )
        });
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: h.example\r\nMarigoldroute-Attempt-Id: {}\r\n{model}\
             Marigoldroute-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            call.method,
            call.path,
            call.attempt,
            call.deadline_ms,
            call.key,
            call.body.len()
        );
        let limit = Duration::from_millis(call.deadline_ms + 3_000);
        self.stream.set_read_timeout(Some(limit))?;
        let (begin, rest) = head.as_bytes().split_at(head.len() / 2);
        self.stream.write_all(begin)?;
        if !call.pause.is_zero() {
            thread::sleep(call.pause);
        }
        self.stream.write_all(rest)?;
        self.stream.write_all(call.body)?;
        self.sent_at = Some(Instant::now());
        let end = Instant::now() + limit;
        let Some((first, headers)) = http::read_head(&mut self.reader)? else {
            return Ok(Outcome::Broken(0));
        };
        self.is_closing = http::header(&headers, "connection") == "close";
        let after = http::header(&headers, "retry-after").parse().ok();
        self.retry_after = after.map(Duration::from_secs_f64);
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut body = Vec::new();
        if http::header(&headers, "transfer-encoding") == "chunked" {
            while let Some(chunk) = http::read_chunk(&mut self.reader)? {
                body.extend(chunk);
                *events = body.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
                if Instant::now() > end {
                    return Ok(Outcome::Broken(*events));
                }
            }
        } else {
            body = http::read_body(&mut self.reader, &headers)?;
        }
        Ok(Outcome::Answered(status, *events, body))
    }
}
