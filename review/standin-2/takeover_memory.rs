//! Processes that have written their journals for a while are killed; their successors read them.

use crate::{
    Verdict,
    callers::{self, Callers, Usage},
    host::{Host, MEMORY_MB},
    record::Record,
    replica::{Replica, Work},
    store::Store,
};
use std::{thread, time::Duration};

const TENANTS: u64 = 40;
const PREPAID: u64 = 50_000_000;
const USAGE: Usage = (200, 30);
const REQUESTS_PER_SECOND: u64 = 130;
/// Size of each journal at which the processes are killed.
const JOURNAL_BYTES: usize = 66_000_000;
/// Longest time to get there.
const LOAD_MS: u64 = 96_000;
/// Time after the start from which requests are served again.
const RECOVERY_MS: u64 = 12_000;
/// Time for which the fleet is watched after the start.
const WATCH_MS: u64 = RECOVERY_MS + 4_000;
/// Time after the start in which an end may still be that of the kill.
const CALM_MS: u64 = 1_000;
const HOSTS: usize = 2;
/// Memory of a host in kB, in the larger of the two meanings of MB.
const MEMORY_KB: u64 = MEMORY_MB * 1_024;

pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    let work = Work::Stream(Duration::from_millis(5), Duration::ZERO);
    let replicas = ["i-one", "i-two"].map(|id| Replica::start(record, id, "sutra-llm", work));
    for replica in &replicas {
        store.put("servers", replica.id, &replica.entry("ready", 1));
    }
    store.put("op", "config", &callers::configuration(1, TENANTS, PREPAID));
    let mut hosts = [1, 2].map(|number| Host::new(record, number, store.address, directory));
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::is_ready) {
        return Verdict::NotRun("a host is not ready".to_string());
    }
    let frontends = hosts.iter().map(|host| host.frontend).collect();
    let callers = Callers::start(record, frontends, REQUESTS_PER_SECOND, TENANTS, USAGE);
    let mut smallest = 0;
    while smallest < JOURNAL_BYTES && record.now() < LOAD_MS {
        thread::sleep(Duration::from_millis(500));
        let sizes = hosts
            .iter()
            .map(|host| store.size("journal", &format!("{}@", host.name)));
        smallest = sizes.min().unwrap_or(0);
        for host in &hosts {
            if host.memory_kb() > MEMORY_KB {
                return Verdict::NotRun("a host used too much memory before the kill".to_string());
            }
        }
    }
    let memory: Vec<_> = hosts.iter().map(Host::memory_kb).collect();
    record.add(format!(
        "the smaller journal has {smallest} bytes; the processes use {memory:?} kB"
    ));
    if smallest < JOURNAL_BYTES {
        callers.end();
        return Verdict::NotRun(format!("the journals grew too slowly: {smallest} bytes"));
    }
    let killed = record.now();
    if has_trouble {
        hosts.iter_mut().for_each(|host| host.kill("kill_all"));
        thread::sleep(Duration::from_millis(500));
        hosts.iter_mut().for_each(Host::start);
    }
    let started = record.now();
    let mut ends = [0; HOSTS];
    let mut largest = [0; HOSTS];
    // The platform kills a process that exceeds its memory, and starts it again after a short delay.
    while record.now() < started + WATCH_MS {
        thread::sleep(Duration::from_millis(5));
        for (index, host) in hosts.iter_mut().enumerate() {
            let memory = host.memory_kb();
            largest[index] = largest[index].max(memory);
            let reason = match (memory > MEMORY_KB, host.has_ended()) {
                (true, _) => format!("it uses {memory} kB of {MEMORY_KB}"),
                (false, true) => "it had ended".to_string(),
                (false, false) => continue,
            };
            host.kill(&reason);
            if record.now() > started + CALM_MS {
                ends[index] += 1;
            }
            thread::sleep(Duration::from_millis(200));
            host.start();
        }
    }
    let until = record.now();
    let attempts = callers.end();
    let before = callers::served(&attempts, 0, killed);
    let after = callers::served(&attempts, started + RECOVERY_MS, until);
    let summary = format!(
        "before: {} of {} served; later than {RECOVERY_MS} ms after the start: {} of {} served; \
         ends by themselves: {ends:?}; largest memory: {largest:?} kB of {MEMORY_KB}",
        before.1, before.0, after.1, after.0
    );
    record.add(&summary);
    println!("{summary}");
    if before.1 * 4 < before.0 || after.0 == 0 {
        return Verdict::NotRun("too little was served before".to_string());
    }
    match after.1 * 4 < after.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
