//! Another writer's entry, in which fields are missing, stands for a replica that is draining.

use crate::{
    Verdict,
    callers::{self, tenant},
    host::Host,
    record::Record,
    replica::{Replica, Work},
    store::Store,
};
use std::{thread, time::Duration};

const DRAIN_MS: u64 = 2_000;

pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    let work = Work::Plain(Duration::from_millis(15));
    let leaving = Replica::start(record, "i-leaving", "order-desk", work);
    let staying = Replica::start(record, "i-staying", "order-desk", work);
    for replica in [&leaving, &staying] {
        store.put("servers", replica.id, &replica.entry("ready", 1));
    }
    store.put("op", "config", &callers::configuration(1, 10, 5_000_000));
    let mut hosts = [1, 2].map(|number| Host::new(record, number, store.address, directory));
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::is_ready) {
        return Verdict::NotRun("a host is not ready".to_string());
    }
    let key = tenant(1).1;
    let mut number = 0;
    let mut send = |seconds: u64| {
        for _ in 0..seconds * 20 {
            for host in &hosts {
                number += 1;
                let id = format!("9c41d07be2a{number:05x}");
                let answer = callers::ask_status(host.frontend, &id, &key);
                record.add(format!("caller {id}: {}", answer.status));
            }
            thread::sleep(Duration::from_millis(20));
        }
    };
    // Hosts are in touch, and the store is stable, once they have been calm for `contact_ms`.
    send(4);
    if leaving.runs.lock().unwrap().is_empty() {
        return Verdict::NotRun("the replica was not used".to_string());
    }
    store.put("servers", leaving.id, &leaving.entry("draining", 2));
    let acknowledged = record.now();
    record.add("i-leaving is draining, as the store has acknowledged");
    send(1);
    if has_trouble {
        let address = leaving.address;
        let entry = format!(
            r#"{{"service":"order-desk","address":"{address}","zone":"kolkata","version":"v1","state":"ready"}}"#
        );
        store.put("servers", leaving.id, &entry);
        record.add(format!("another writer's entry for i-leaving: {entry}"));
    }
    send(5);
    let runs = leaving.runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN_MS)
        .count();
    let summary = format!(
        "{late} requests reached i-leaving later than {DRAIN_MS} ms after its leaving was acknowledged"
    );
    record.add(&summary);
    println!("{summary}");
    match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
