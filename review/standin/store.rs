//! Stand-in of the platform's store.

use {
    crate::{
        http::{self, Request, respond},
        json::{Json, from_base64, quote, to_base64},
    },
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Table, part and key.
type Key = (String, String, String);

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Answers 503, and nothing is done.
    Busy,
    /// Does what is asked, and answers so much later.
    Slow(Duration),
}

struct Inner {
    rows: BTreeMap<Key, (String, u64)>,
    log: Vec<(u64, Key)>,
    version: u64,
    mode: Mode,
    /// Journal rows as they were written: when, the part, and the value.
    journal: Vec<(Instant, String, String)>,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(ip: &str) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            inner: Mutex::new(Inner {
                rows: BTreeMap::new(),
                log: Vec::new(),
                version: 0,
                mode: Mode::Up,
                journal: Vec::new(),
            }),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let (listener, address) = http::listen(ip);
        let served = store.clone();
        http::serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        (store, address)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.inner.lock().unwrap().mode = mode;
    }

    /// Writes a row as the operator and the replicas do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut inner = self.inner.lock().unwrap();
        apply(&mut inner, vec![(key, Some(to_base64(value.as_bytes())))]);
        drop(inner);
        self.changed.notify_all();
    }

    /// Returns the last journal row that was written, with its time and its part.
    pub fn last_journal(&self) -> Option<(Instant, String, String)> {
        self.inner.lock().unwrap().journal.last().cloned()
    }

    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let inner = self.inner.lock().unwrap();
        let value = inner.rows.get(&key).map(|(value, _)| from_base64(value))?;
        String::from_utf8(value).ok()
    }

    pub fn now_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let mode = self.inner.lock().unwrap().mode;
        if mode == Mode::Busy {
            return respond(stream, 503, "{}");
        }
        let (status, body) = match request.path() {
            "/rows-tx" => self.commit(request),
            "/rows-get" => self.read(request),
            "/rows-parts" => self.parts(request),
            "/rows-feed" => self.feed(request),
            _ => (404, String::from("{}")),
        };
        match self.inner.lock().unwrap().mode {
            Mode::Busy => return respond(stream, 503, "{}").and(Ok(false)),
            Mode::Slow(_) | Mode::Up => {}
        }
        if let Mode::Slow(time) = mode {
            thread::sleep(time);
        }
        respond(stream, status, &body)
    }

    fn page(&self, inner: &Inner, rows: &[String], has_more: bool) -> String {
        format!(
            r#"{{"rows":[{}],"has_more":{has_more},"ver":{},"now_ms":{}}}"#,
            rows.join(","),
            inner.version,
            self.now_ms()
        )
    }

    fn commit(&self, request: &Request) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body);
        let Some(call) = Json::parse(&text) else {
            return (400, "{}".into());
        };
        let key = |row: &Json| {
            let part = |name| row.get(name).text().to_owned();
            (part("table"), part("part"), part("key"))
        };
        let mut inner = self.inner.lock().unwrap();
        let expected = call.get("expected_rev").list();
        let version = |row: &Json| inner.rows.get(&key(row)).map_or(0, |(_, version)| *version);
        if expected
            .iter()
            .any(|row| version(row) != row.get("ver").number())
        {
            let rows = expected.iter().map(key);
            let rows = rows.filter_map(|key| Some(row_text(&key, Some(inner.rows.get(&key)?), 0)));
            let rows: Vec<_> = rows.collect();
            return (412, self.page(&inner, &rows, false));
        }
        let writes = call.get("writes").list().iter();
        let writes = writes.map(|row| (key(row), Some(row.get("value").text().to_owned())));
        let removed = call.get("remove").list().iter().map(|row| (key(row), None));
        let changes: Vec<_> = writes.chain(removed).collect();
        for ((table, part, _), value) in &changes {
            if let (true, Some(value)) = (table == "journal", value) {
                let text = String::from_utf8_lossy(&from_base64(value)).into_owned();
                inner.journal.push((Instant::now(), part.clone(), text));
            }
        }
        apply(&mut inner, changes);
        let page = self.page(&inner, &[], false);
        drop(inner);
        self.changed.notify_all();
        (200, page)
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let query = |name| request.query(name).unwrap_or_default();
        let (table, part, from) = (query("table"), query("part"), query("from"));
        let to = request.query("to");
        let limit = query("limit").parse().unwrap_or(500).min(500);
        let inner = self.inner.lock().unwrap();
        let is_wanted = |key: &Key| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && to.as_ref().is_none_or(|to| key.2 < *to)
        };
        let rows = inner.rows.iter().filter(|(key, _)| is_wanted(key));
        let mut rows: Vec<_> = rows.map(|(key, row)| row_text(key, Some(row), 0)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (200, self.page(&inner, &rows, has_more))
    }

    fn parts(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let since = request.query("since_rev").unwrap_or_default();
        let inner = self.inner.lock().unwrap();
        let keys = inner.rows.keys();
        let keys = keys.filter(|key| key.0 == table && key.1 > since);
        let mut parts: Vec<_> = keys.map(|key| quote(&key.1)).collect();
        parts.dedup();
        parts.truncate(1_000);
        (
            200,
            format!(
                r#"{{"parts":[{}],"now_ms":{}}}"#,
                parts.join(","),
                self.now_ms()
            ),
        )
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let query = |name| request.query(name).unwrap_or_default();
        let table = query("table");
        let since: u64 = query("since_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            let changes = inner
                .log
                .iter()
                .filter(|(version, key)| *version > since && key.0 == table);
            let rows = changes.map(|(version, key)| row_text(key, inner.rows.get(key), *version));
            let rows: Vec<_> = rows.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() || inner.mode == Mode::Busy {
                return (200, self.page(&inner, &rows, false));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn apply(inner: &mut Inner, changes: Vec<(Key, Option<String>)>) {
    inner.version += 1;
    let version = inner.version;
    for (key, value) in changes {
        match value {
            Some(value) => drop(inner.rows.insert(key.clone(), (value, version))),
            None => drop(inner.rows.remove(&key)),
        }
        inner.log.push((version, key));
    }
}

fn row_text(key: &Key, row: Option<&(String, u64)>, version: u64) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let rest = match row {
        Some((value, version)) => format!(r#""value":{},"ver":{version}"#, quote(value)),
        None => format!(r#""ver":{version},"deleted":true"#),
    };
    format!(r#"{{"table":{table},"part":{part},"key":{name},{rest}}}"#)
}
