//! A crowd of callers that hardly read their streams takes all connections of a host that says it is
//! ready.

use crate::{
    Verdict, callers,
    callers::tenant,
    host::Host,
    http::{self, Answer},
    record::Record,
    replica::{Replica, Work},
    store::Store,
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

/// Callers of the crowd, on one connection each.
const CROWD: usize = 720;
/// Ordinary callers, on a new connection for each request.
const ORDINARY: usize = 10;
const CONTACT_MS: u64 = 3_000;
/// Clients that try at least, by the rule.
const CLIENTS: usize = 7;
const LOAD_MS: u64 = 20_000;

/// An attempt of an ordinary caller.
struct Try {
    from: u64,
    to: u64,
    caller: usize,
    status: u16,
}

/// Asks for a stream of 15 s and reads a byte of it a second; then again.
fn read_slowly(frontend: SocketAddr, number: usize, stop: &AtomicBool) {
    thread::sleep(Duration::from_millis(2) * number as u32);
    let key = tenant(1).1;
    for round in 0.. {
        if stop.load(SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let head = format!(
            "POST /draft/2f HTTP/1.1\r\nHost: desk.example\r\nMarigoldroute-Attempt-Id: c0{number:06x}{round:08x}\r\n\
             Marigoldroute-Model: m\r\nMarigoldroute-Token-Usage: 350,900\r\nMarigoldroute-Deadline-Ms: 15000\r\n\
             Authorization: Bearer {key}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        while is_open && !stop.load(SeqCst) {
            thread::sleep(Duration::from_secs(1));
            is_open = !matches!(stream.read(&mut [0]), Ok(0))
                && !stream.take_error().is_ok_and(|error| error.is_some());
        }
    }
}

pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    let work = Work::Stream(Duration::from_millis(50), Duration::from_millis(50));
    let engines = ["i-one", "i-two"].map(|id| Replica::start(record, id, "sutra-llm", work));
    let work = Work::Plain(Duration::from_millis(15));
    let desks = ["i-desk", "i-desk-two"].map(|id| Replica::start(record, id, "order-desk", work));
    for replica in engines.iter().chain(&desks) {
        store.put("servers", replica.id, &replica.entry("ready", 1));
    }
    store.put("op", "config", &callers::configuration(1, 10, 50_000_000));
    let mut host = Host::new(record, 1, store.address, directory);
    host.start();
    if !host.is_ready() {
        return Verdict::NotRun("the host is not ready".to_string());
    }
    let frontend = host.frontend;
    let stop = Arc::new(AtomicBool::new(false));
    let tries = Arc::new(Mutex::new(Vec::new()));
    let ordinary = (0..ORDINARY).map(|caller| {
        let (record, stop, tries) = (record.clone(), stop.clone(), tries.clone());
        thread::spawn(move || {
            let key = tenant(2).1;
            for number in 0.. {
                if stop.load(SeqCst) {
                    return;
                }
                let id = format!("7a10{caller:04x}{number:08x}");
                let head = format!(
                    "GET /status/2f HTTP/1.1\r\nHost: desk.example\r\nMarigoldroute-Attempt-Id: {id}\r\n\
                     Marigoldroute-Deadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n\r\n"
                );
                let from = record.now();
                let Answer { status, .. } = http::ask(frontend, &head, b"", Duration::from_millis(1_500));
                let to = record.now();
                record.add(format!("ordinary caller {caller}: {id}: {status}"));
                tries.lock().unwrap().push(Try { from, to, caller, status });
                thread::sleep(Duration::from_millis(200));
            }
        })
    });
    let ordinary: Vec<_> = ordinary.collect();
    thread::sleep(Duration::from_secs(4));
    let size = if has_trouble { CROWD } else { 0 };
    record.add(format!("a crowd of {size} callers comes"));
    let crowd = (0..size).map(|number| {
        let stop = stop.clone();
        thread::spawn(move || read_slowly(frontend, number, &stop))
    });
    let crowd: Vec<_> = crowd.collect();
    // Since when the readiness check has passed and no ordinary caller has got an answer.
    let (mut since, mut longest, mut unready) = (record.now(), (0, 0), 0);
    let started = record.now();
    while record.now() < started + LOAD_MS {
        thread::sleep(Duration::from_millis(100));
        let now = record.now();
        let is_ready = host.says_ready();
        if !is_ready {
            unready += 1;
            record.add("the readiness check does not pass");
        }
        let answered = tries
            .lock()
            .unwrap()
            .iter()
            .filter(|one: &&Try| one.status > 0)
            .map(|one| one.to)
            .max();
        since = since.max(answered.unwrap_or(0));
        if !is_ready {
            since = now;
        }
        if now.saturating_sub(since) > longest.1 - longest.0 {
            longest = (since, now);
        }
    }
    let memory = host.memory_kb();
    stop.store(true, SeqCst);
    host.kill("the end of the case");
    for thread in ordinary.into_iter().chain(crowd) {
        let _ = thread.join();
    }
    let tries = tries.lock().unwrap();
    let within = tries
        .iter()
        .filter(|one| one.from >= longest.0 && one.to <= longest.1);
    let mut clients: Vec<_> = within.map(|one| one.caller).collect();
    let count = clients.len();
    clients.sort_unstable();
    clients.dedup();
    let span = longest.1 - longest.0;
    let summary = format!(
        "for {span} ms the host said it was ready and {} clients got no answer on {count} new connections; \
         {unready} readiness checks failed; the process used {memory} kB",
        clients.len()
    );
    record.add(&summary);
    println!("{summary}");
    if !tries.iter().any(|one| one.status == 200) {
        return Verdict::NotRun("no ordinary caller was served".to_string());
    }
    match span > CONTACT_MS && clients.len() >= CLIENTS {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
