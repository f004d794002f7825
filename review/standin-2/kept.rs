//! Ordinary callers that send one request after the other on connections that they keep.

use crate::{callers::tenant, http, record::Record, replica::Replica};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Kept connections.
pub struct Kept {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(usize, bool)>>,
}

impl Kept {
    /// Opens connections on which `r-status` is asked.
    pub fn start(
        record: &Record,
        frontend: SocketAddr,
        count: usize,
        replicas: &[Arc<Replica>],
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|number| {
            let (record, replicas, stop) = (record.clone(), replicas.to_vec(), stop.clone());
            thread::spawn(move || keep_asking(&record, frontend, number, &replicas, &stop))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Ends the callers; returns how many answers they got, and how many requests that ran got none.
    pub fn end(self) -> (usize, usize) {
        self.stop.store(true, SeqCst);
        let ends = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default());
        let ends: Vec<_> = ends.collect();
        let lost = ends.iter().filter(|(_, is_lost)| *is_lost).count();
        (ends.iter().map(|(answered, _)| answered).sum(), lost)
    }
}

/// Sends requests on one connection after the other until `stop`, each kept for as long as the host
/// keeps it. Returns how many were answered, and whether one that was sent on a kept connection, and ran,
/// got no answer, which ends the caller.
fn keep_asking(
    record: &Record,
    frontend: SocketAddr,
    number: usize,
    replicas: &[Arc<Replica>],
    stop: &AtomicBool,
) -> (usize, bool) {
    let key = tenant(2).1;
    let mut answered = 0;
    let mut sent = 0;
    while !stop.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        for earlier in 0.. {
            sent += 1;
            let id = format!("7a10{number:04x}{sent:08x}");
            let head = format!(
                "GET /status/2f HTTP/1.1\r\nHost: desk.example\r\nMarigoldroute-Attempt-Id: {id}\r\n\
                 Marigoldroute-Deadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n\r\n"
            );
            let is_sent = stream.write_all(head.as_bytes()).is_ok();
            let mut answer = http::read_head(&mut reader).filter(|_| is_sent);
            let is_whole = answer
                .as_mut()
                .is_some_and(|answer| http::read_body(&mut reader, answer));
            let Some(answer) = answer.filter(|_| is_whole) else {
                let has_run = replicas.iter().any(|replica| {
                    let runs = replica.runs.lock().unwrap();
                    runs.iter().any(|run| run.id == id)
                });
                record.add(format!("caller {number}: {id} got no answer, after {earlier} on its connection; ran: {has_run}"));
                if has_run && earlier > 0 {
                    return (answered, true);
                }
                break;
            };
            record.add(format!("caller {number}: {id}: {}", answer.status()));
            answered += 1;
            if answer.header("connection").eq_ignore_ascii_case("close") || stop.load(SeqCst) {
                break;
            }
        }
    }
    (answered, false)
}
