//! A caller that sends one request after another.

use {
    crate::{Fleet, HOSTS, harness::KEY},
    std::{
        io,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::TcpStream,
        time::sleep,
    },
};

/// Kinds of requests.
pub const PATHS: [&str; 4] = ["once", "stream", "safe", "resumable"];
/// Time in which a request has to be served, beyond the end of the stop.
pub const DEADLINE: Duration = Duration::from_secs(20);
/// Shortest time that a slow head or body takes.
const SLOW_TIME: Duration = Duration::from_millis(1_400);
/// Times that slow heads and bodies take, each this much longer than the one before. The longer ones
/// end after the listener was closed, whenever before that the request begins.
const SLOW_TIMES: usize = 7;
const SLOW_STEP: Duration = Duration::from_millis(200);
/// Events of the longest stream; a prime, so that each kind has streams of each length.
const MAX_EVENTS: usize = 79;
/// Attempts for a request.
const TRIES: usize = 4;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with status 200.
    Answered,
    /// Status 503, which states that the request has not run.
    Refused,
    /// Another answer.
    Failed,
    /// The connection ended without a complete answer; it is kept if it had one before.
    Broken { is_kept: bool },
    /// The host accepts no connections.
    NotConnected,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub host: usize,
    pub outcome: Outcome,
}

/// A request and its attempts.
#[derive(Debug)]
pub struct Record {
    pub path: &'static str,
    pub attempts: Vec<Attempt>,
    pub time: Duration,
}

impl Record {
    pub fn is_repeatable(&self) -> bool {
        matches!(self.path, "safe" | "resumable")
    }

    pub fn is_refused(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.outcome == Outcome::Refused)
    }

    /// Returns whether the last attempt was answered, in time.
    pub fn is_served(&self) -> bool {
        let last = self.attempts.last().map(|attempt| attempt.outcome);
        last == Some(Outcome::Answered) && self.time <= DEADLINE
    }
}

/// Which part of a request comes slowly.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Slow {
    Nothing,
    Head,
    Body,
}

/// An open connection.
struct Connection {
    stream: BufReader<TcpStream>,
    host: usize,
    has_answered: bool,
}

/// A response that was read to its end.
struct Answer {
    status: u16,
    retry_after: Duration,
    is_closing: bool,
}

pub struct Caller {
    index: usize,
    fleet: Arc<Fleet>,
    slow: Slow,
    is_keeping: bool,
    connection: Option<Connection>,
}

impl Caller {
    pub fn new(index: usize, fleet: Arc<Fleet>) -> Self {
        Self {
            index,
            fleet,
            slow: [Slow::Nothing, Slow::Head, Slow::Head, Slow::Body][index % 4],
            is_keeping: index % 8 < 4,
            connection: None,
        }
    }

    /// Sends requests until the play is over.
    pub async fn run(mut self) {
        let mut number = self.index;
        while !self.fleet.is_over.load(Ordering::Relaxed) {
            number += 1;
            let record = self.call(number).await;
            let mut records = self.fleet.records.lock().expect("no test panics here");
            records.push(record);
        }
    }

    /// Sends a request to one host after another until one of them answers.
    async fn call(&mut self, number: usize) -> Record {
        let path = PATHS[number % PATHS.len()];
        let started = Instant::now();
        let mut attempts: Vec<Attempt> = Vec::new();
        while attempts.len() < TRIES {
            let id = format!("{}-{number}.{}", self.index, attempts.len());
            let host = self.choose(&attempts);
            let text = text(path, &id, 1 + (number * 31 + self.index * 17) % MAX_EVENTS);
            let (outcome, retry_after) = self.attempt(host, &text).await;
            attempts.push(Attempt { id, host, outcome });
            if outcome == Outcome::Answered {
                let mut answers = self.fleet.answers.lock().expect("no test panics here");
                *answers.entry((host, path)).or_default() += 1;
                break;
            }
            if outcome == Outcome::Failed {
                break;
            }
            sleep(retry_after).await;
        }
        Record {
            path,
            attempts,
            time: started.elapsed(),
        }
    }

    /// Returns the host of the kept connection for the first attempt, and otherwise one in rotation
    /// that was not tried.
    fn choose(&self, attempts: &[Attempt]) -> usize {
        let kept = self.connection.as_ref().map(|connection| connection.host);
        if let Some(host) = kept.filter(|_| attempts.is_empty()) {
            return host;
        }
        let is_tried = |host: &usize| attempts.iter().any(|attempt| attempt.host == *host);
        let in_rotation = |host: &usize| self.fleet.in_rotation[*host].load(Ordering::Relaxed);
        let hosts = (0..HOSTS).map(|step| (self.index + step) % HOSTS);
        let mut untried = hosts.filter(in_rotation).filter(|host| !is_tried(host));
        untried.next().unwrap_or(self.index % HOSTS)
    }

    /// Makes an attempt; returns the time until the next one as well.
    async fn attempt(&mut self, host: usize, text: &str) -> (Outcome, Duration) {
        let kept = self.connection.take();
        let kept = kept.filter(|connection| connection.host == host);
        let mut connection = match kept {
            Some(connection) => connection,
            None => match TcpStream::connect(self.fleet.hosts[host]).await {
                Ok(stream) => Connection {
                    stream: BufReader::new(stream),
                    host,
                    has_answered: false,
                },
                Err(_) => return (Outcome::NotConnected, Duration::ZERO),
            },
        };
        let is_kept = connection.has_answered;
        let answer = self.exchange(&mut connection, text).await;
        let answer = answer.ok().filter(|_| !self.fleet.has_ended(host));
        let Some(answer) = answer else {
            return (Outcome::Broken { is_kept }, Duration::ZERO);
        };
        if self.is_keeping && !answer.is_closing {
            connection.has_answered = true;
            self.connection = Some(connection);
        }
        let outcome = match answer.status {
            200 => Outcome::Answered,
            503 => Outcome::Refused,
            _ => Outcome::Failed,
        };
        (outcome, answer.retry_after)
    }

    /// Sends a request and reads its response to the end.
    async fn exchange(&self, connection: &mut Connection, text: &str) -> io::Result<Answer> {
        let head_length = text.find("\r\n\r\n").unwrap_or_default() + 4;
        let pause_at = match self.slow {
            Slow::Nothing => text.len(),
            Slow::Head => head_length / 2,
            Slow::Body => head_length + (text.len() - head_length) / 2,
        };
        let (begin, rest) = text.split_at(pause_at);
        let stream = &mut connection.stream;
        stream.write_all(begin.as_bytes()).await?;
        if self.slow != Slow::Nothing {
            let steps = (self.index % SLOW_TIMES) as u32;
            sleep(SLOW_TIME + SLOW_STEP * steps).await;
        }
        stream.write_all(rest.as_bytes()).await?;
        read_answer(stream).await
    }
}

fn text(path: &str, id: &str, events: usize) -> String {
    format!(
        "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {KEY}\r\n\
         x-tokens: 100,{}\r\ncontent-length: 10\r\n\r\n0123456789",
        events * 10
    )
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    match stream.read_line(&mut line).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_ascii_lowercase()),
    }
}

async fn read_answer(stream: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
    let status = read_line(stream).await?;
    let status = status.split(' ').nth(1).unwrap_or_default();
    let mut answer = Answer {
        status: status.parse().map_err(invalid)?,
        retry_after: Duration::ZERO,
        is_closing: false,
    };
    let mut length = None;
    loop {
        let line = read_line(stream).await?;
        let Some((name, value)) = line.split_once(": ") else {
            break;
        };
        match name {
            "content-length" => length = Some(value.parse().map_err(invalid)?),
            "retry-after" => {
                let seconds = value.parse().unwrap_or_default();
                answer.retry_after = Duration::from_secs_f64(seconds);
            }
            "connection" => answer.is_closing = value == "close",
            _ => {}
        }
    }
    if let Some(length) = length {
        stream.read_exact(&mut vec![0; length]).await?;
        return Ok(answer);
    }
    loop {
        let size = usize::from_str_radix(&read_line(stream).await?, 16).map_err(invalid)?;
        stream.read_exact(&mut vec![0; size + 2]).await?;
        if size == 0 {
            return Ok(answer);
        }
    }
}
