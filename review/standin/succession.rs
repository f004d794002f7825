//! The store is away, a process is killed meanwhile, and the store is slow when the next one starts.

use {
    crate::{
        Verdict,
        client::{Call, Connection, Outcome},
        fleet::{Counts, Machine, Record, Size},
        json::Json,
        replica::{Pace, Replica},
        store::{Mode, Store},
    },
    std::{
        io::{self, Write},
        net::SocketAddr,
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Tokens of a request, all of which it uses; an event of a stream holds three.
const PROMPT: u64 = 991;
const OUTPUT: u64 = 9;
const EVENT_TOKENS: u64 = 3;
/// Requests a second.
const RATE: u64 = 50;
/// Tokens that the tenant has bought.
const PREPAID: u64 = 500_000;
/// Time for which the desk has traffic before the outage.
const CALM_TIME: Duration = Duration::from_millis(3_500);
/// Time from the last row before the outage to the death of the process.
const LIFE: Duration = Duration::from_millis(2_300);
/// Time that a client waits for its answer.
const DEADLINE: Duration = Duration::from_secs(8);
/// Pause before the platform starts a process again.
const RESTART: Duration = Duration::from_millis(20);
/// An answer of the store takes 4 ms, and up to 60 times as long by the site file.
const SLOW: Duration = Duration::from_millis(236);
const SLOW_TIME: Duration = Duration::from_millis(4_500);

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","host":"h.example","prefix":"/ask/","type":"streaming","timeout_ms":8000,"slo_ms":800,"priority":0,"service":"llm","attempts":1,"public":false,"sticky":true,"resumable":false,"itl_target_ms":300}}],"services":[{{"name":"llm","health_path":"/healthz","max_conns":610,"protocol":"h1","tls":false,"engine":{{"slots":128,"kv_capacity":477821,"stride":{EVENT_TOKENS},"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t0","api_keys":["k0"],"priority":1,"prepaid":{PREPAID}}}]}}"#
    )
}

/// What clients have got.
#[derive(Clone, Default)]
struct Desk {
    counts: Counts,
    /// Output tokens that were delivered.
    delivered: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let (store, address) = Store::start("127.77.1.1");
    let pace = Pace {
        first: Duration::from_millis(5),
        gap: Duration::ZERO,
        events: OUTPUT / EVENT_TOKENS,
    };
    let replicas: Vec<_> = (0..3)
        .map(|number| Replica::start("127.77.2.1", &format!("i-{number}"), "llm", pace, record))
        .collect();
    store.put("op", "config", &configuration());
    replicas
        .iter()
        .for_each(|replica| replica.register(&store, 1));
    let mut machine = Machine::new(folder, 1, address, Size { memory_mb: 110 });
    machine.start();
    if !machine.wait_ready(Duration::from_secs(10)) {
        return Err("the machine is not ready".into());
    }
    thread::sleep(Duration::from_secs(3));
    let desk = Desk::default();
    let clients = send_all(machine.frontend, record, &desk);
    thread::sleep(CALM_TIME);
    if has_trouble {
        trouble(&store, &mut machine, record, &desk)?;
    }
    // The clients go on until the budget is used up.
    thread::sleep(Duration::from_secs(14));
    desk.is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    thread::sleep(Duration::from_secs(1));
    let runs: Vec<_> = replicas
        .iter()
        .flat_map(|replica| replica.runs.lock().unwrap().clone())
        .collect();
    let delivered = desk.delivered.load(Ordering::Relaxed);
    let used = runs.len() as u64 * PROMPT + delivered;
    let budget = store.value("budget", "t0").unwrap_or_default();
    let text = format!(
        "{} runs of {PROMPT} prompt tokens and {delivered} output tokens delivered: {used} tokens of {PREPAID} prepaid; {}; budget row {budget}",
        runs.len(),
        desk.counts.all()
    );
    record.line(&text);
    let _ = writeln!(io::stdout(), "{text}");
    Ok(used > PREPAID)
}

fn trouble(
    store: &Store,
    machine: &mut Machine,
    record: &Record,
    desk: &Desk,
) -> Result<(), String> {
    let (before, ..) = store.last_journal().ok_or("no journal row")?;
    let end = Instant::now() + Duration::from_secs(2);
    // The outage begins right after a row.
    while store.last_journal().is_none_or(|(at, ..)| at == before) {
        if Instant::now() > end {
            return Err("no new journal row".into());
        }
        thread::sleep(Duration::from_micros(200));
    }
    store.set_mode(Mode::Busy);
    let (at, _, row) = store.last_journal().ok_or("no journal row")?;
    record.line(&format!("the store is away; last journal row: {row}"));
    let bound = Json::parse(&row);
    let bound = bound.as_ref().map_or(&Json::Null, |row| {
        row.get("entry")
            .get("flush")
            .get("shares")
            .get("t0")
            .get("bound")
    });
    record.line(&format!(
        "the row states a time {} ms before it was written",
        store
            .now_ms()
            .saturating_sub(at.elapsed().as_millis() as u64)
            .saturating_sub(bound.get("at_ms").number())
    ));
    thread::sleep(LIFE.saturating_sub(at.elapsed()));
    machine.kill();
    record.line(&format!("the process is killed; {}", desk.counts.all()));
    store.set_mode(Mode::Slow(SLOW));
    record.line("the store is back, and slow");
    thread::sleep(RESTART);
    machine.start();
    record.line("the process is started again");
    thread::sleep(SLOW_TIME);
    store.set_mode(Mode::Up);
    record.line("the store is as usual");
    Ok(())
}

/// Sends requests at an even rate, each on a thread of its own.
fn send_all(frontend: SocketAddr, record: &Record, desk: &Desk) -> thread::JoinHandle<()> {
    let (record, desk) = (record.clone(), desk.clone());
    thread::spawn(move || {
        let start = Instant::now();
        let mut calls = Vec::new();
        for number in 0.. {
            let due = Duration::from_millis(1_000 / RATE) * number;
            thread::sleep(due.saturating_sub(start.elapsed()));
            if desk.is_over.load(Ordering::Relaxed) {
                break;
            }
            let (record, desk) = (record.clone(), desk.clone());
            calls.push(thread::spawn(move || {
                send(frontend, number, &record, &desk)
            }));
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

/// Sends a request, and once more on a new connection when the machine says when to come back.
fn send(frontend: SocketAddr, number: u32, record: &Record, desk: &Desk) {
    let start = Instant::now();
    for attempt in 0..2 {
        let attempt = format!("{number:08x}{attempt:08x}");
        let left = DEADLINE.saturating_sub(start.elapsed());
        let Ok(mut connection) = Connection::open(frontend) else {
            return desk.counts.add("no connection", 1);
        };
        let outcome = connection.call(&Call {
            method: "POST",
            path: "/ask/1",
            key: "k0",
            attempt: &attempt,
            deadline_ms: left.as_millis() as u64,
            tokens: Some((PROMPT, OUTPUT)),
            body: b"a question",
            pause: Duration::ZERO,
        });
        let (text, events) = match outcome {
            Outcome::Answered(status, events, _) => (format!("status {status}"), events),
            Outcome::Broken(events) => ("broken".into(), events),
        };
        desk.delivered
            .fetch_add(events * EVENT_TOKENS, Ordering::Relaxed);
        record.line(&format!(
            "client gets for {attempt}: {text}, {events} events"
        ));
        desk.counts.add(&text, 1);
        let left = DEADLINE.saturating_sub(start.elapsed());
        match connection.retry_after {
            Some(time) if text == "status 503" && time <= left / 3 => thread::sleep(time),
            _ => return,
        }
    }
}
