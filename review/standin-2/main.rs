//! Stand-ins of the platform, its store, replicas and callers, for the cases of the second review.
//! Uses the standard library only.
//!
//! `standin CASE RECORD` exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
//! could not run. With `TROUBLE=0` the disruption is left out.

mod callers;
mod crowd;
mod host;
mod http;
mod json;
mod kept;
mod long_ids;
mod many_tenants;
mod record;
mod replica;
mod restored;
mod store;
mod takeover_memory;

use record::Record;
use std::{env, fs, process, thread, time::Duration};

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(118);

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() {
    let arguments: Vec<_> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let directory = env::temp_dir().join(format!("review-2-{}", process::id()));
    fs::create_dir_all(&directory).expect("a temporary folder");
    let folder = directory.to_string_lossy().into_owned();
    let record = Record::new();
    record.add(if has_trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let run = match case.as_str() {
        "restored" => restored::run,
        "takeover-memory" => takeover_memory::run,
        "long-ids" => long_ids::run,
        "crowd" => crowd::run,
        "many-tenants" => many_tenants::run,
        _ => {
            eprintln!("no such case: {case}");
            process::exit(2);
        }
    };
    let running = {
        let record = record.clone();
        // The hosts end with the thread, also after a panic.
        thread::spawn(move || run(&record, &folder, has_trouble))
    };
    while !running.is_finished() && record.now() < TIME_LIMIT.as_millis() as u64 {
        thread::sleep(Duration::from_millis(50));
    }
    let verdict = match running.is_finished() {
        true => running
            .join()
            .unwrap_or_else(|_| Verdict::NotRun("the case panicked".to_string())),
        false => {
            host::kill_all();
            Verdict::NotRun("the time is over".to_string())
        }
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken".to_string()),
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::NotRun(reason) => (2, format!("not run: {reason}")),
    };
    record.add(&text);
    println!("{case}: {text}");
    if env::var("KEEP_LOGS").is_ok() {
        println!("logs of the hosts: {}", directory.display());
    } else {
        let _ = fs::remove_dir_all(&directory);
    }
    if let Err(error) = record.save(path) {
        eprintln!("{path}: {error}");
    }
    process::exit(code);
}
