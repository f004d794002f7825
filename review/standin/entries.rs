//! Another writer leaves an entry with fields missing under the id of a replica of another service.

use {
    crate::{
        Verdict,
        client::{Call, Connection, Outcome},
        fleet::{Counts, Machine, Record, Size},
        replica::{Pace, Replica},
        store::Store,
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

/// Time between two writes of a replica's entry, by the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Requests a second.
const RATE: u32 = 80;
/// Entries of the other writer, each right after one of the replica.
const ENTRIES: u32 = 4;
/// Time of the first one after the start of the traffic, and the end of the traffic.
const ENTRY_AT: Duration = Duration::from_millis(4_000);
const END_AT: Duration = Duration::from_millis(12_000);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r-1","host":"h.example","prefix":"/ask/","type":"streaming","timeout_ms":8000,"slo_ms":800,"priority":0,"service":"llm","attempts":1,"public":false,"sticky":true,"resumable":false,"itl_target_ms":300},{"name":"r-2","host":"h.example","prefix":"/place/","type":"unsafe","timeout_ms":1500,"slo_ms":100,"priority":0,"service":"app","attempts":1,"public":false}],"services":[{"name":"llm","health_path":"/healthz","max_conns":610,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity":477821,"stride":3,"models":[{"name":"m"}]}},{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t0","api_keys":["k0"],"priority":1,"prepaid":900000000}]}"#;

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let (store, address) = Store::start("127.77.1.1");
    let stream = Pace {
        first: Duration::from_millis(150),
        gap: Duration::from_millis(30),
        events: 15,
    };
    let order = Pace {
        first: Duration::from_millis(60),
        ..stream
    };
    let start = |service, pace, number: u32| {
        Replica::start(
            "127.77.2.1",
            &format!("i-{service}-{number}"),
            service,
            pace,
            record,
        )
    };
    let models: Vec<_> = (0..3).map(|number| start("llm", stream, number)).collect();
    let desks: Vec<_> = (0..2).map(|number| start("app", order, number)).collect();
    store.put("op", "config", CONFIGURATION);
    let replicas: Vec<_> = models.iter().chain(&desks).cloned().collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let beaten = Arc::new(AtomicU64::new(0));
    let beats = thread::spawn({
        let (store, replicas, is_over, beaten) = (
            store.clone(),
            replicas.clone(),
            is_over.clone(),
            beaten.clone(),
        );
        move || {
            for sequence in 1.. {
                replicas
                    .iter()
                    .for_each(|replica| replica.register(&store, sequence));
                beaten.store(sequence, Ordering::Relaxed);
                thread::sleep(HEARTBEAT);
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
    });
    let mut machine = Machine::new(folder, 1, address, Size { memory_mb: 110 });
    machine.start();
    if !machine.wait_ready(Duration::from_secs(10)) {
        return Err("the machine is not ready".into());
    }
    thread::sleep(Duration::from_secs(3));
    let counts = Counts::default();
    if has_trouble {
        // No `version`, `slots`, `cold_left_ms`, `seq` and `born`; and the service is not that of the
        // replica.
        let entry = format!(
            r#"{{"service":"app","address":"{}","zone":"kolkata","state":"ready"}}"#,
            models[0].address
        );
        let (store, record, id) = (store.clone(), record.clone(), models[0].id.clone());
        thread::spawn(move || {
            thread::sleep(ENTRY_AT);
            // Each stands until the replica writes its own entry again.
            for _ in 0..ENTRIES {
                let last = beaten.load(Ordering::Relaxed);
                while beaten.load(Ordering::Relaxed) == last {
                    thread::sleep(Duration::from_millis(1));
                }
                record.line(&format!("another writer writes servers/{id}: {entry}"));
                store.put("servers", &id, &entry);
            }
        });
    }
    let (begun, mut calls) = (Instant::now(), Vec::new());
    for number in 0.. {
        let due = Duration::from_secs(1) / RATE * number;
        thread::sleep(due.saturating_sub(begun.elapsed()));
        if begun.elapsed() > END_AT {
            break;
        }
        let (record, counts, frontend) = (record.clone(), counts.clone(), machine.frontend);
        calls.push(thread::spawn(move || {
            send(frontend, number, &record, &counts)
        }));
    }
    for call in calls {
        let _ = call.join();
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = beats.join();
    let runs = models
        .iter()
        .flat_map(|model| model.runs.lock().unwrap().clone());
    let foreign = runs.filter(|run| run.attempt.starts_with("91")).count();
    let text = format!(
        "{foreign} orders of the route /place/ run by the service of /ask/; {}",
        counts.all()
    );
    record.line(&text);
    let _ = writeln!(io::stdout(), "{text}");
    Ok(foreign > 0)
}

/// Sends one request to each of both routes: ids of `/ask/` begin with `a5`, of `/place/` with `91`.
fn send(frontend: SocketAddr, number: u32, record: &Record, counts: &Counts) {
    for (path, id, tokens) in [
        ("/ask/1", "a5", Some((1_100, 45))),
        ("/place/1", "91", None),
    ] {
        let attempt = format!("{id}{number:014x}");
        let Ok(mut connection) = Connection::open(frontend) else {
            counts.add("no connection", 1);
            continue;
        };
        let outcome = connection.call(&Call {
            method: "POST",
            path,
            key: "k0",
            attempt: &attempt,
            deadline_ms: 4_000,
            tokens,
            body: b"text",
            pause: Duration::ZERO,
        });
        let text = match outcome {
            Outcome::Answered(status, ..) => format!("{path}: status {status}"),
            Outcome::Broken(_) => format!("{path}: broken"),
        };
        record.line(&format!("client gets for {attempt}: {text}"));
        counts.add(&text, 1);
    }
}
