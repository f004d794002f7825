//! Cases of the review that are played by processes: `cases NAME FOLDER`.

mod bodies;
mod client;
mod entries;
mod fleet;
mod http;
mod json;
mod replica;
mod stopping;
mod store;
mod succession;

use std::{
    env,
    io::{self, Write},
    panic,
    path::PathBuf,
    process, thread,
    time::Duration,
};

/// Longest time of a case; then it ends with all processes that it has started.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case found: whether the rule was broken, or why it couldn't run.
pub type Verdict = Result<bool, String>;

fn main() {
    let mut words = env::args().skip(1);
    let (name, folder) = (words.next(), words.next().map(PathBuf::from));
    let (Some(name), Some(folder)) = (name, folder) else {
        eprintln!("usage: cases NAME FOLDER");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let temporary = env::temp_dir().join(format!("review-{name}-{}", process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        process::exit(2);
    }
    let record = fleet::Record::create(&folder.join("record.txt"));
    record.line(&format!("case {name}, trouble {}", u8::from(has_trouble)));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        fleet::kill_all();
        process::exit(2);
    });
    let play = || match name.as_str() {
        "bodies" => bodies::run(&temporary, &record, has_trouble),
        "entries" => entries::run(&temporary, &record, has_trouble),
        "stopping" => stopping::run(&temporary, &record, has_trouble),
        "succession" => succession::run(&temporary, &record, has_trouble),
        _ => Err(format!("no case {name}")),
    };
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(play));
    let verdict = verdict.unwrap_or_else(|_| Err("a stand-in panicked".into()));
    fleet::kill_all();
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let code = match &verdict {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    let text = match verdict {
        Ok(true) => "the rule was broken".into(),
        Ok(false) => "the rule held".into(),
        Err(error) => format!("the case couldn't run: {error}"),
    };
    record.line(&text);
    let _ = writeln!(io::stdout(), "{name}: {text}");
    process::exit(code);
}
