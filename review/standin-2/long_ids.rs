//! Attempts have ids of 15,000 bytes, in heads within the limit of the configuration.

use crate::{
    Verdict,
    callers::{self, tenant},
    host::{Host, MEMORY_MB},
    http::Answer,
    kept::Kept,
    record::Record,
    replica::{Replica, Work},
    store::Store,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

/// Length of the ids with the disruption, and without it.
const ID_BYTES: [usize; 2] = [15_000, 16];
const DRAFTS_PER_SECOND: u64 = 150;
/// Connections that are kept for many requests.
const KEPT: usize = 12;
/// Requests that may end without an answer.
const ALLOWED: usize = 3;
const LOAD_MS: u64 = 75_000;
const MEMORY_KB: u64 = MEMORY_MB * 1_024;

pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    let work = Work::Stream(Duration::from_millis(5), Duration::ZERO);
    let engine = Replica::start(record, "i-engine", "sutra-llm", work);
    let work = Work::Plain(Duration::from_millis(300));
    let desks = ["i-desk", "i-desk-two"].map(|id| Replica::start(record, id, "order-desk", work));
    for replica in [&engine, &desks[0], &desks[1]] {
        store.put("servers", replica.id, &replica.entry("ready", 1));
    }
    store.put("op", "config", &callers::configuration(1, 10, 50_000_000));
    let mut host = Host::new(record, 1, store.address, directory);
    host.start();
    if !host.is_ready() {
        return Verdict::NotRun("the host is not ready".to_string());
    }
    let frontend = host.frontend;
    let kept = Kept::start(record, frontend, KEPT, &desks);
    let served = Arc::new(AtomicUsize::new(0));
    let length = ID_BYTES[usize::from(!has_trouble)];
    let mut largest = 0;
    let mut sent = 0_u64;
    let started = record.now();
    // The platform kills a process that exceeds its memory.
    while record.now() < started + LOAD_MS {
        sent += 1;
        let (served, key) = (served.clone(), tenant(1).1);
        thread::spawn(move || {
            let id = format!("{sent:0>length$x}");
            let Answer { status, .. } = callers::ask_draft(frontend, &id, &key, (200, 30));
            served.fetch_add(usize::from(status == 200), SeqCst);
        });
        thread::sleep(Duration::from_micros(1_000_000 / DRAFTS_PER_SECOND));
        let memory = host.memory_kb();
        largest = largest.max(memory);
        if memory > MEMORY_KB || host.has_ended() {
            host.kill(&format!("it uses {memory} kB of {MEMORY_KB}"));
            break;
        }
    }
    let (answers, lost) = kept.end();
    let served = served.load(SeqCst);
    let summary = format!(
        "{served} of {sent} drafts with ids of {length} bytes served; largest memory {largest} kB of {MEMORY_KB}; \
         kept connections: {answers} answers, {lost} requests that ran got none"
    );
    record.add(&summary);
    println!("{summary}");
    if served == 0 {
        return Verdict::NotRun("no draft was served".to_string());
    }
    match lost > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
