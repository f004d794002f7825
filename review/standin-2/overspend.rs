//! The process of a host is killed while the store is away, and its successor takes over its journal
//! while the store answers slowly.

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

const PREPAID: u64 = 330_000;
const USAGE: Usage = (200, 30);
const REQUESTS_PER_SECOND: u64 = 50;
/// 98 times the 4 ms of an answer.
const SLOW_MS: u64 = 392;

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    let work = Work::Stream(Duration::from_millis(20), Duration::from_millis(10));
    let replicas = ["i-one", "i-two"].map(|id| Replica::start(record, id, "sutra-llm", work));
    for replica in &replicas {
        store.put("servers", replica.id, &replica.entry("ready", 1));
    }
    store.put("op", "config", &callers::configuration(1, 1, PREPAID));
    let mut hosts = [1, 2].map(|number| Host::new(record, number, store.address, directory));
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::is_ready) {
        return Verdict::NotRun("a host is not ready".to_string());
    }
    let frontends = hosts.iter().map(|host| host.frontend).collect();
    let callers = Callers::start(record, frontends, REQUESTS_PER_SECOND, 1, USAGE);
    pause(5_000);
    record.add("the store is away");
    store.is_silent.store(true, SeqCst);
    pause(2_350);
    if has_trouble {
        hosts[0].kill("node_kill");
        pause(50);
        hosts[0].start();
    } else {
        pause(50);
    }
    pause(200);
    store.delay_ms.store(SLOW_MS, SeqCst);
    store.is_silent.store(false, SeqCst);
    record.add(format!("the store is back, its answers take {SLOW_MS} ms"));
    pause(4_000);
    store.delay_ms.store(0, SeqCst);
    record.add("the store answers at its usual speed");
    pause(14_000);
    let attempts = callers.end();
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
