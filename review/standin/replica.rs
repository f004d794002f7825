//! Stand-in of replicas.

use {
    crate::{
        fleet::Record,
        http::{self, Request},
        store::Store,
    },
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
}

/// Events of a stream, and their times.
#[derive(Clone, Copy)]
pub struct Pace {
    pub first: Duration,
    pub gap: Duration,
    pub events: u64,
}

pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub pace: Pace,
    /// Whether it says in its answers that it leaves.
    pub is_leaving: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    pub running: AtomicU64,
    record: Record,
}

impl Replica {
    pub fn start(
        ip: &str,
        id: &str,
        service: &'static str,
        pace: Pace,
        record: &Record,
    ) -> Arc<Self> {
        let (listener, address) = http::listen(ip);
        let replica = Arc::new(Self {
            id: id.into(),
            service,
            address,
            pace,
            is_leaving: AtomicBool::new(false),
            runs: Mutex::default(),
            running: AtomicU64::new(0),
            record: record.clone(),
        });
        let served = replica.clone();
        http::serve(listener, move |request, stream| {
            served.running.fetch_add(1, Ordering::SeqCst);
            let answered = served.answer(request, stream);
            served.running.fetch_sub(1, Ordering::SeqCst);
            answered
        });
        replica
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"kolkata","version":"v1","slots":128,"state":"{state}","cold_left_ms":0,"phase":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{sequence},"born":1765000000000}}"#,
            self.service, self.address
        )
    }

    pub fn register(&self, store: &Store, sequence: u64) {
        store.put("servers", &self.id, &self.entry("ready", sequence));
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let attempt = request.header("marigoldroute-attempt-id").to_owned();
        let leaving = match self.is_leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let common = format!(
            "Marigoldroute-Attempt-Id: {attempt}\r\n{leaving}Keep-Alive: timeout=5\r\n\
             Marigoldroute-Replica-Load: {},0,128\r\n",
            self.running.load(Ordering::SeqCst)
        );
        if request.header("marigoldroute-expect-replica") != self.id {
            let head = format!("HTTP/1.1 421 X\r\n{common}Content-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            return Ok(true);
        }
        self.record.line(&format!(
            "replica {} runs {attempt}, {} bytes of body{}",
            self.id,
            request.body.len(),
            if leaving.is_empty() {
                ""
            } else {
                ", and says that it leaves"
            }
        ));
        self.runs.lock().unwrap().push(Run {
            attempt: attempt.clone(),
        });
        let common = format!("{common}Marigoldroute-Replica-Signature: s.{attempt}\r\n");
        if self.service == "app" {
            thread::sleep(self.pace.first);
            let body = format!("done {attempt}");
            let head = format!(
                "HTTP/1.1 200 X\r\n{common}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            return Ok(!self.is_leaving.load(Ordering::SeqCst));
        }
        self.pause(stream, self.pace.first)?;
        let head = format!(
            "HTTP/1.1 200 X\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=self.pace.events {
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if number < self.pace.events {
                self.pause(stream, self.pace.gap)?;
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    /// Waits; fails when the connection closes meanwhile, as a replica then drops the request.
    fn pause(&self, stream: &mut TcpStream, time: Duration) -> io::Result<()> {
        stream.set_read_timeout(Some(time.max(Duration::from_millis(1))))?;
        let closed = stream.peek_closed();
        stream.set_read_timeout(None)?;
        match closed {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}

trait PeekClosed {
    fn peek_closed(&mut self) -> bool;
}

impl PeekClosed for TcpStream {
    /// Waits for the read timeout; returns whether the connection was closed before.
    fn peek_closed(&mut self) -> bool {
        let start = Instant::now();
        let timeout = self.read_timeout().ok().flatten().unwrap_or_default();
        match self.peek(&mut [0; 1]) {
            Ok(0) => true,
            Ok(_) => {
                thread::sleep(timeout.saturating_sub(start.elapsed()));
                false
            }
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ),
        }
    }
}
