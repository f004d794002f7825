//! A host that was added after the store was copied takes tokens, dies, and the store comes back from
//! the copy.

use crate::{
    Verdict,
    callers::{self, Callers, Usage, tenant},
    host::Host,
    record::Record,
    replica::{Replica, Work},
    store::Store,
};
use std::{
    sync::{Arc, atomic::Ordering::SeqCst},
    thread,
    time::Duration,
};

const PREPAID: u64 = 300_000;
const USAGE: Usage = (200, 30);
const REQUESTS_PER_SECOND: u64 = 50;

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.era.store(1, SeqCst);
    let work = Work::Stream(Duration::from_millis(20), Duration::from_millis(10));
    let replicas = ["i-one", "i-two"].map(|id| Replica::start(record, id, "sutra-llm", work));
    let configuration = callers::configuration(1, 1, PREPAID);
    let write_again = || {
        store.put("op", "config", &configuration);
        for replica in &replicas {
            store.put("servers", replica.id, &replica.entry("ready", 1));
        }
    };
    write_again();
    let mut first = Host::new(record, 1, store.address, directory);
    let mut added = Host::new(record, 2, store.address, directory);
    first.start();
    let started = record.now();
    if !first.is_ready() {
        return Verdict::NotRun("a host is not ready".to_string());
    }
    let callers = Callers::start(record, vec![first.frontend], REQUESTS_PER_SECOND, 1, USAGE);
    pause(started + 7_150 - record.now());
    let copy = store.copy();
    record.add("the store is copied");
    added.start();
    if !added.is_ready() {
        return Verdict::NotRun("the added host is not ready".to_string());
    }
    let others = Callers::start(record, vec![added.frontend], REQUESTS_PER_SECOND, 1, USAGE);
    pause(started + 9_700 - record.now());
    if has_trouble {
        added.kill("node_kill, power");
        store.is_silent.store(true, SeqCst);
        record.add("the store is away");
        pause(100);
        store.restore(copy);
        store.is_silent.store(false, SeqCst);
        record.add("the store is back from the copy");
        pause(200);
        write_again();
        record.add("the operator and the replicas have written again");
    }
    pause(22_000);
    let mut attempts = callers.end();
    attempts.extend(others.end());
    let replicas: Vec<&Arc<Replica>> = replicas.iter().collect();
    let consumed = callers::consumed(&replicas, &attempts, USAGE);
    let refused = attempts
        .iter()
        .filter(|attempt| attempt.answer.status == 402)
        .count();
    let name = tenant(1).0;
    let summary = format!(
        "tenant {name} got {consumed} tokens of {PREPAID} prepaid; {refused} answers with 402"
    );
    record.add(&summary);
    println!("{summary}");
    match consumed > PREPAID {
        true => Verdict::Broken,
        false if refused == 0 => Verdict::NotRun("the budget was not used up".to_string()),
        false => Verdict::Held,
    }
}
