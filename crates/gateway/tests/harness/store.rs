//! A store in memory, with faults.

use {
    futures_util::future::BoxFuture,
    marigoldroute_core::{
        forward::{Registration, Snapshot},
        id::UpstreamId,
        table::{self, Row, Transaction, Verdict, Write},
    },
    marigoldroute_gateway::store::{Fault, Listing, Position, Read, Store, Update},
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

#[derive(Default)]
struct Inner {
    table: table::Memory,
    snapshot: Option<Snapshot>,
    entries: BTreeMap<UpstreamId, Registration>,
    /// Removed or put upstreams, by position.
    log: Vec<(Position, UpstreamId)>,
    configured: Position,
    position: Position,
    is_down: bool,
    /// How long the whole configuration takes on its way.
    transfer: Duration,
    /// Whether the next read for changes of the list panics.
    is_defective: bool,
    /// Takeovers of journals that still lose against other hosts.
    lost_takeovers: u32,
}

pub struct MemoryStore {
    inner: Mutex<Inner>,
    changed: watch::Sender<Position>,
    started: Instant,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
            started: Instant::now(),
        }
    }
}

impl MemoryStore {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no test panics while it holds the store")
    }

    fn open(&self) -> Result<MutexGuard<'_, Inner>, Fault> {
        let inner = self.lock();
        if inner.is_down {
            Err(Fault::Unavailable)
        } else {
            Ok(inner)
        }
    }

    fn change(&self, act: impl FnOnce(&mut Inner, Position)) {
        let mut inner = self.lock();
        inner.position += 1;
        let position = inner.position;
        act(&mut inner, position);
        drop(inner);
        self.changed.send_replace(position);
    }

    pub fn configure(&self, snapshot: Snapshot) {
        self.change(|inner, position| {
            inner.snapshot = Some(snapshot);
            inner.configured = position;
        });
    }

    pub fn put(&self, id: &str, entry: Registration) {
        self.change(|inner, position| {
            inner.entries.insert(id.into(), entry);
            inner.log.push((position, id.into()));
        });
    }

    pub fn remove(&self, id: &str) {
        self.change(|inner, position| {
            inner.entries.remove(id);
            inner.log.push((position, id.into()));
        });
    }

    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Makes the next read for changes of the list of upstreams panic.
    pub fn plant_defect(&self) {
        self.change(|inner, _| inner.is_defective = true);
    }

    pub fn set_transfer(&self, time: Duration) {
        self.lock().transfer = time;
    }

    pub fn set_lost_takeovers(&self, count: u32) {
        self.lock().lost_takeovers = count;
    }

    pub fn row(&self, key: &str) -> Option<Row> {
        self.lock().table.get(key).cloned()
    }

    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.lock().table.scan(prefix, "", usize::MAX)
    }

    async fn wait(&self, since: Position, wait: Duration) {
        let mut changed = self.changed.subscribe();
        // The caller looks at the state afterwards, whether there was a change or not.
        let _ = tokio::time::timeout(wait, changed.wait_for(|position| *position > since)).await;
    }
}

/// Returns whether a transaction ends the journal of an ended process.
fn is_takeover(transaction: &Transaction) -> bool {
    transaction.writes.iter().any(|write| match write {
        Write::Put { value, .. } => value.contains("succeeded"),
        Write::Delete { .. } => false,
    })
}

impl Store for MemoryStore {
    fn get(&self, keys: Vec<String>) -> BoxFuture<'_, Result<Vec<Row>, Fault>> {
        Box::pin(async move {
            let inner = self.open()?;
            Ok(keys
                .iter()
                .filter_map(|key| inner.table.get(key).cloned())
                .collect())
        })
    }

    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, Fault>> {
        Box::pin(async move { Ok(self.open()?.table.scan(&prefix, "", usize::MAX)) })
    }

    fn clock_ms(&self) -> Option<u64> {
        Some(1 + self.started.elapsed().as_millis() as u64)
    }

    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, Result<Verdict, Fault>> {
        Box::pin(async move {
            let mut inner = self.open()?;
            if inner.lost_takeovers > 0 && is_takeover(&transaction) {
                inner.lost_takeovers -= 1;
                return Ok(Verdict::Conflict(Vec::new()));
            }
            Ok(inner.table.commit(&transaction))
        })
    }

    fn configuration(&self) -> BoxFuture<'_, Result<Read<Option<Snapshot>>, Fault>> {
        Box::pin(async move {
            let transfer = self.lock().transfer;
            tokio::time::sleep(transfer).await;
            let inner = self.open()?;
            Ok(Read {
                content: inner.snapshot.clone(),
                position: inner.position,
            })
        })
    }

    fn configuration_after(
        &self,
        since: Position,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<Option<Snapshot>>, Fault>> {
        Box::pin(async move {
            self.wait(since, wait).await;
            let inner = self.open()?;
            let is_new = inner.configured > since;
            let content = inner.snapshot.clone().filter(|_| is_new);
            Ok(Read {
                content,
                position: inner.position,
            })
        })
    }

    fn upstreams(&self) -> BoxFuture<'_, Result<Read<Listing>, Fault>> {
        Box::pin(async move {
            let inner = self.open()?;
            let content = inner.entries.clone().into_iter().collect();
            Ok(Read {
                content,
                position: inner.position,
            })
        })
    }

    fn upstreams_after(
        &self,
        since: Position,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<Vec<Update>>, Fault>> {
        Box::pin(async move {
            self.wait(since, wait).await;
            let mut inner = self.open()?;
            let is_defective = std::mem::take(&mut inner.is_defective);
            drop(inner);
            assert!(!is_defective, "a planted defect");
            let inner = self.open()?;
            let new = inner.log.iter().filter(|(position, _)| *position > since);
            let update = |(_, id): &(Position, UpstreamId)| match inner.entries.get(id) {
                Some(entry) => Update::Put(id.clone(), entry.clone()),
                None => Update::Removed(id.clone()),
            };
            Ok(Read {
                content: new.map(update).collect(),
                position: inner.position,
            })
        })
    }
}
