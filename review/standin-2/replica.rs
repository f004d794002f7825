//! Stand-in of a replica.

use crate::{
    http::{self, Message},
    record::Record,
};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Tokens in an event of a stream.
pub const EVENT_TOKENS: u64 = 3;

/// What a replica does with a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// Answers with a short body after this time.
    Plain(Duration),
    /// Answers with a stream: the time to its first event, and between two events.
    Stream(Duration, Duration),
}

/// A request that ran.
pub struct Run {
    pub id: String,
}

pub struct Replica {
    pub id: &'static str,
    pub service: &'static str,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    work: Work,
    record: Record,
}

impl Replica {
    pub fn start(
        record: &Record,
        id: &'static str,
        service: &'static str,
        work: Work,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let replica = Arc::new(Self {
            id,
            service,
            address: listener.local_addr().expect("an address"),
            runs: Mutex::default(),
            work,
            record: record.clone(),
        });
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Returns the entry by which the replica registers itself.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        let (service, address) = (self.service, self.address);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"kolkata\",\"version\":\"v1\",\
             \"slots\":128,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":1780000000000}}"
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("marigoldroute-attempt-id");
        let expected = request.header("marigoldroute-expect-replica");
        if !expected.is_empty() && expected != self.id {
            self.record
                .add(format!("replica {} answers {id} with 421", self.id));
            let head = format!(
                "Marigoldroute-Attempt-Id: {id}\r\nMarigoldroute-Replica-Id: {}",
                self.id
            );
            let head =
                format!("HTTP/1.1 421 Misdirected Request\r\n{head}\r\nContent-Length: 0\r\n\r\n");
            return writer.write_all(head.as_bytes());
        }
        let run = Run { id: id.to_string() };
        self.runs.lock().unwrap().push(run);
        let tenant = request.header("marigoldroute-tenant");
        let usage = request.header("marigoldroute-token-usage");
        self.record.add(format!(
            "replica {} runs {id:.40}, tenant {tenant}, tokens {usage}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nMarigoldroute-Attempt-Id: {id}\r\nMarigoldroute-Replica-Signature: {}.{id}",
            self.id
        );
        match self.work {
            Work::Plain(time) => {
                thread::sleep(time);
                let length = id.len();
                writer
                    .write_all(format!("{head}\r\nContent-Length: {length}\r\n\r\n{id}").as_bytes())
            }
            Work::Stream(first, next) => {
                thread::sleep(first);
                let head = format!(
                    "{head}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                writer.write_all(head.as_bytes())?;
                let output = usage
                    .split(',')
                    .nth(1)
                    .and_then(|output| output.parse().ok())
                    .unwrap_or(0);
                let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
                for event in last + 1..=output / EVENT_TOKENS {
                    let text = format!("id: {event}\ndata: token\n\n");
                    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                    thread::sleep(next);
                }
                writer.write_all(b"0\r\n\r\n")
            }
        }
    }
}
