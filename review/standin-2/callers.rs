//! Callers that send streams at a steady rate, and the configuration that they go by.

use crate::{
    http::{self, Answer},
    record::Record,
    replica::{EVENT_TOKENS, Replica},
};
use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Prompt tokens and output tokens of a request.
pub type Usage = (u64, u64);

/// One attempt of a caller.
#[derive(Clone)]
pub struct Attempt {
    pub at: u64,
    pub answer: Answer,
}

/// Returns the name and the key of a tenant.
pub fn tenant(number: u64) -> (String, String) {
    (format!("hule{number:03}"), format!("key{number:03}"))
}

/// Returns a configuration with this many tenants.
pub fn configuration(version: u64, tenants: u64, prepaid: u64) -> String {
    let tenants = (1..=tenants).map(|number| {
        let (name, key) = tenant(number);
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"prepaid\":{prepaid}}}"
        )
    });
    let tenants: Vec<_> = tenants.collect();
    let tenants = tenants.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-draft","host":"desk.example","prefix":"/draft/","type":"streaming","timeout_ms":15000,"slo_ms":800,"priority":1,"service":"sutra-llm","attempts":2,"public":false,"sticky":true,"resumable":true,"itl_target_ms":300}},
{{"name":"r-status","host":"desk.example","prefix":"/status/","type":"safe","timeout_ms":800,"slo_ms":100,"priority":2,"service":"order-desk","attempts":2,"public":false}}],
"services":[{{"name":"sutra-llm","health_path":"/healthz","max_conns":610,"protocol":"h1","tls":false,"engine":{{"slots":128,"kv_capacity":477821,"kv_token_bytes":35136,"link_mbps":130000.0,"moves":true,"backups":true,"stride":{EVENT_TOKENS},"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{{"name":"m"}}]}}}},
{{"name":"order-desk","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
    )
}

/// Returns the last number of a host's address.
fn host_number(frontend: SocketAddr) -> u8 {
    match frontend {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}

/// Sends a request of the route `r-draft`.
pub fn ask_draft(frontend: SocketAddr, id: &str, key: &str, (prompt, output): Usage) -> Answer {
    let head = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: desk.example\r\nMarigoldroute-Attempt-Id: {id}\r\nMarigoldroute-Model: m\r\n\
         Marigoldroute-Token-Usage: {prompt},{output}\r\nMarigoldroute-Prefix-Hash: 5c1e07a2:{prompt}\r\n\
         Marigoldroute-Deadline-Ms: 15000\r\nAuthorization: Bearer {key}\r\nContent-Length: 2\r\n\r\n"
    );
    http::ask(frontend, &head, b"{}", Duration::from_secs(16))
}

/// Callers of `r-draft` at several hosts.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Callers {
    /// Sends so many requests a second to each host, for the first tenants in turn.
    pub fn start(
        record: &Record,
        frontends: Vec<SocketAddr>,
        per_second: u64,
        tenants: u64,
        usage: Usage,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let callers = frontends.into_iter().map(|frontend| {
            let port = u64::from(frontend.port()) << 8 | u64::from(host_number(frontend));
            let (record, stop, attempts) = (record.clone(), stop.clone(), attempts.clone());
            thread::spawn(move || {
                let mut sent = Vec::new();
                for number in 1.. {
                    if stop.load(SeqCst) {
                        break;
                    }
                    let (record, attempts) = (record.clone(), attempts.clone());
                    sent.push(thread::spawn(move || {
                        let id = format!("{port:08x}{number:08x}");
                        let key = tenant(1 + number % tenants).1;
                        let at = record.now();
                        let answer = ask_draft(frontend, &id, &key, usage);
                        let Answer {
                            status,
                            events,
                            is_complete,
                        } = answer;
                        record.add(format!(
                            "caller {id} ({key}): {status}, {events} events, complete {is_complete}"
                        ));
                        attempts.lock().unwrap().push(Attempt { at, answer });
                    }));
                    thread::sleep(Duration::from_micros(1_000_000 / per_second));
                }
                for thread in sent {
                    let _ = thread.join();
                }
            })
        });
        Self {
            threads: callers.collect(),
            stop,
            attempts,
        }
    }

    /// Ends the callers once they have their answers; returns what they got.
    pub fn end(self) -> Vec<Attempt> {
        self.stop.store(true, SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let attempts = self.attempts.lock().unwrap();
        attempts.clone()
    }
}

/// Returns the tokens that the callers got: the prompt of each request that ran, counted once, and
/// the events that came.
pub fn consumed(replicas: &[&Arc<Replica>], attempts: &[Attempt], (prompt, _): Usage) -> u64 {
    let mut ran = HashSet::new();
    for replica in replicas {
        ran.extend(
            replica
                .runs
                .lock()
                .unwrap()
                .iter()
                .map(|run| run.id.clone()),
        );
    }
    let events: u64 = attempts.iter().map(|attempt| attempt.answer.events).sum();
    ran.len() as u64 * prompt + events * EVENT_TOKENS
}

/// Returns how many of the attempts in a time were made and served.
pub fn served(attempts: &[Attempt], from: u64, to: u64) -> (usize, usize) {
    let sent = attempts
        .iter()
        .filter(|attempt| (from..to).contains(&attempt.at));
    let served = sent
        .clone()
        .filter(|attempt| attempt.answer.status == 200 && attempt.answer.is_complete);
    (sent.count(), served.count())
}
