//! HTTP messages.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        reader.read_until(b'\n', &mut line).ok()?;
        if !line.ends_with(b"\n") {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_string();
        if message.line.is_empty() {
            message.line = line;
        } else if line.is_empty() {
            return Some(message);
        } else {
            let (name, value) = line.split_once(':')?;
            let header = (name.trim().to_string(), value.trim().to_string());
            message.headers.push(header);
        }
    }
}

/// Reads the body of a message; returns whether it is whole. A message without a length and without
/// chunks has none.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> bool {
    if !message.is_chunked() {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body).is_ok();
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).is_err() {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
        message.body.extend(&chunk[..length]);
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message).then_some(message)
}

/// Returns the fields of a query.
pub fn query(target: &str) -> HashMap<String, String> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let fields = query
        .split('&')
        .map(|field| field.split_once('=').unwrap_or((field, "")));
    fields
        .map(|(name, value)| (decode(name), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match (code, bytes[at]) {
            (Some(code), _) => {
                decoded.push(code);
                at += 2;
            }
            (None, b'+') => decoded.push(b' '),
            (None, byte) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// What a caller got for one attempt.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub is_complete: bool,
    /// Events of a stream that came.
    pub events: u64,
}

/// Sends a request on a new connection and reads the answer.
pub fn ask(address: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    if stream.write_all(&[head.as_bytes(), body].concat()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Some(mut message) = read_head(&mut reader) else {
        return answer;
    };
    answer.status = message.status();
    answer.is_complete = read_body(&mut reader, &mut message);
    let lines = message.body.split(|byte| *byte == b'\n');
    answer.events = lines.filter(|line| line.starts_with(b"id:")).count() as u64;
    answer
}
