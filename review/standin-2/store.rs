//! Stand-in of the platform's store: `rows-tx`, `rows-get`, `rows-parts` and `rows-feed`.

use crate::{
    http::{self, Message},
    json::{self, Json},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

/// Most entries of a transaction.
const ENTRIES: usize = 100;
/// Most bytes of a transaction, and of a page of rows.
const CALL_BYTES: usize = 1_000_000;
/// Most bytes of a value.
const ROW_BYTES: usize = 65_536;
/// Most rows of a page.
const PAGE_ROWS: usize = 500;
/// Most parts of a page.
const PAGE_PARTS: usize = 1_000;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Clone, Default)]
pub struct Rows {
    /// Value in base64 and version.
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes of the tables of which anybody reads changes.
    log: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

pub struct Store {
    pub address: SocketAddr,
    record: Record,
    rows: Mutex<Rows>,
    changed: Condvar,
    /// No call is performed or answered.
    pub is_silent: AtomicBool,
    /// Answers are under way for this long, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Era that all answers state; 0 for none.
    pub era: AtomicU64,
    /// Transactions that are larger than the pages allow.
    pub refused: AtomicU64,
}

impl Store {
    pub fn start(record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            era: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator, a replica or another writer does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let key = (table.to_string(), String::new(), key.to_string());
        rows.put(key, json::encode_base64(value.as_bytes()));
        self.changed.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> Rows {
        self.rows.lock().unwrap().clone()
    }

    /// Comes back from a copy, in the next era. Versions go back.
    pub fn restore(&self, copy: Rows) {
        *self.rows.lock().unwrap() = copy;
        self.era.fetch_add(1, SeqCst);
        self.changed.notify_all();
    }

    /// Returns the bytes of the rows of a table in the parts that begin so, without base64.
    pub fn size(&self, table: &str, part: &str) -> usize {
        let rows = self.rows.lock().unwrap();
        let found = rows
            .rows
            .iter()
            .filter(|(key, _)| key.0 == table && key.1.starts_with(part));
        found
            .map(|(_, (value, _))| json::decoded_length(value))
            .sum()
    }

    fn now_ms(&self) -> u64 {
        100_000 + self.record.now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            while self.is_silent.load(SeqCst) {
                // Nothing is done, and the connection delivers nothing further.
                thread::sleep(Duration::from_millis(20));
                if !self.is_silent.load(SeqCst) {
                    return;
                }
            }
            let (status, body) = self.handle(&request);
            if self.is_silent.load(SeqCst) {
                return;
            }
            thread::sleep(Duration::from_millis(self.delay_ms.load(SeqCst)));
            let length = body.len();
            let head = match self.era.load(SeqCst) {
                0 => "Content-Type: application/json".to_string(),
                era => format!("Content-Type: application/json\r\nStore-Era: {era}"),
            };
            let answer =
                format!("HTTP/1.1 {status} -\r\n{head}\r\nContent-Length: {length}\r\n\r\n{body}");
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or("");
        let query = http::query(request.target());
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
            "/rows-get" => {
                let limit = field("limit").parse().unwrap_or(PAGE_ROWS);
                let to = query.get("to").map(String::as_str);
                self.read((&field("table"), &field("part")), &field("from"), to, limit)
            }
            "/rows-parts" => self.parts(&field("table"), &field("since_rev")),
            "/rows-feed" => {
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.feed(
                    &field("table"),
                    field("since_rev").parse().unwrap_or(0),
                    wait,
                )
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn commit(&self, text: &str) -> (u16, String) {
        let Some(call) = json::parse(text) else {
            return (400, "{}".to_string());
        };
        let key = |row: &Json| -> Key {
            let text = |name: &str| row.get(name).text().to_string();
            (text("table"), text("part"), text("key"))
        };
        let lists = ["expected_rev", "writes", "remove"];
        let entries: usize = lists.iter().map(|name| call.get(name).list().len()).sum();
        let sizes = call.get("writes").list().iter();
        let largest = sizes
            .map(|row| json::decoded_length(row.get("value").text()))
            .max();
        if entries > ENTRIES || text.len() > CALL_BYTES || largest > Some(ROW_BYTES) {
            let largest = largest.unwrap_or(0);
            self.record.add(format!(
                "store refuses a transaction of {entries} entries, {} bytes, largest value {largest} bytes",
                text.len()
            ));
            self.refused.fetch_add(1, SeqCst);
            return (400, "{}".to_string());
        }
        let mut rows = self.rows.lock().unwrap();
        let expected = call.get("expected_rev").list();
        let holds = |row: &Json| rows.version_of(&key(row)) == row.get("ver").number();
        if !expected.iter().all(holds) {
            let present = expected
                .iter()
                .map(key)
                .filter(|key| rows.rows.contains_key(key));
            let present: Vec<_> = present.map(|key| rows.text(&key)).collect();
            return (412, self.page(&present, false, rows.version));
        }
        rows.version += 1;
        for row in call.get("writes").list() {
            rows.put(key(row), row.get("value").text().to_string());
        }
        for row in call.get("remove").list() {
            rows.remove(key(row));
        }
        self.changed.notify_all();
        (200, self.page(&[], false, rows.version))
    }

    fn read(
        &self,
        (table, part): (&str, &str),
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let start = (table.to_string(), part.to_string(), from.to_string());
        let is_wanted =
            |key: &Key| key.0 == table && key.1 == part && to.is_none_or(|to| *key.2 < *to);
        let found = rows.rows.range(start..).map(|(key, _)| key);
        let mut found = found.take_while(|key| is_wanted(key));
        let mut page = Vec::new();
        let mut bytes = 0;
        for key in found.by_ref() {
            let text = rows.text(key);
            bytes += text.len();
            if page.len() == limit.min(PAGE_ROWS) || bytes > CALL_BYTES {
                return (200, self.page(&page, true, rows.version));
            }
            page.push(text);
        }
        (200, self.page(&page, false, rows.version))
    }

    fn parts(&self, table: &str, since: &str) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let keys = rows
            .rows
            .keys()
            .filter(|key| key.0 == table && *key.1 > *since);
        let mut parts: Vec<_> = keys.map(|key| json::quote(&key.1)).collect();
        parts.dedup();
        parts.truncate(PAGE_PARTS);
        (200, format!("{{\"parts\":[{}]}}", parts.join(",")))
    }

    fn feed(&self, table: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            if since > rows.version {
                return (410, "{}".to_string());
            }
            let changes = rows
                .log
                .iter()
                .filter(|(version, key, _)| *version > since && key.0 == table);
            let changes: Vec<_> = changes
                .map(|(version, key, value)| row(key, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() || self.is_silent.load(SeqCst) {
                return (200, self.page(&changes, false, rows.version));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn page(&self, rows: &[String], has_more: bool, version: u64) -> String {
        let (rows, now) = (rows.join(","), self.now_ms());
        format!("{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now}}}")
    }
}

impl Rows {
    fn version_of(&self, key: &Key) -> u64 {
        self.rows.get(key).map_or(0, |(_, version)| *version)
    }

    fn put(&mut self, key: Key, value: String) {
        if matches!(&*key.0, "op" | "servers") {
            self.log
                .push((self.version, key.clone(), Some(value.clone())));
        }
        self.rows.insert(key, (value, self.version));
    }

    fn remove(&mut self, key: Key) {
        self.rows.remove(&key);
        if matches!(&*key.0, "op" | "servers") {
            self.log.push((self.version, key, None));
        }
    }

    fn text(&self, key: &Key) -> String {
        let (value, version) = &self.rows[key];
        row(key, Some(value), *version)
    }
}

fn row((table, part, key): &Key, value: Option<&str>, version: u64) -> String {
    let [table, part, key] = [table, part, key].map(|text| json::quote(text));
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_string(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{rest},\"ver\":{version}}}")
}
