//! A fleet whose tenants have grown to 60 in steps of ten is killed and started again.

use crate::{
    Verdict,
    callers::{self, Callers, Usage},
    host::Host,
    record::Record,
    replica::{Replica, Work},
    store::Store,
};
use std::{sync::atomic::Ordering::SeqCst, thread, time::Duration};

const FIRST_TENANTS: u64 = 10;
const TENANTS: u64 = 60;
const STEP: u64 = 10;
/// More than twice what a tenant uses in the case.
const PREPAID: u64 = 1_000_000;
/// Of the kind `desk-query`: 350 and 1,110 tokens in, 57 events out.
const USAGE: Usage = (1_460, 171);
const REQUESTS_PER_SECOND: u64 = 30;
const RECOVERY_MS: u64 = 12_000;

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    let work = Work::Stream(Duration::from_millis(20), Duration::from_millis(2));
    let replicas = ["i-one", "i-two"].map(|id| Replica::start(record, id, "sutra-llm", work));
    for replica in &replicas {
        store.put("servers", replica.id, &replica.entry("ready", 1));
    }
    let mut version = 1;
    let mut tenants = FIRST_TENANTS;
    store.put(
        "op",
        "config",
        &callers::configuration(version, tenants, PREPAID),
    );
    let mut hosts = [1, 2].map(|number| Host::new(record, number, store.address, directory));
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::is_ready) {
        return Verdict::NotRun("a host is not ready".to_string());
    }
    let frontends = hosts.iter().map(|host| host.frontend).collect();
    let callers = Callers::start(record, frontends, REQUESTS_PER_SECOND, FIRST_TENANTS, USAGE);
    pause(2_000);
    while tenants < TENANTS {
        tenants += STEP;
        version += 1;
        store.put(
            "op",
            "config",
            &callers::configuration(version, tenants, PREPAID),
        );
        record.add(format!(
            "configuration {version} with {tenants} tenants is acknowledged"
        ));
        pause(3_000);
    }
    let killed = record.now();
    if has_trouble {
        hosts.iter_mut().for_each(|host| host.kill("kill_all"));
        pause(700);
        hosts.iter_mut().for_each(Host::start);
    }
    let back = record.now();
    pause(RECOVERY_MS + 15_000);
    let until = record.now();
    let attempts = callers.end();
    let before = callers::served(&attempts, 0, killed);
    let after = callers::served(&attempts, back + RECOVERY_MS, until);
    let refused = store.refused.load(SeqCst);
    let summary = format!(
        "before: {} of {} served; later than {RECOVERY_MS} ms after the start: {} of {} served; the store refused {refused} transactions",
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
