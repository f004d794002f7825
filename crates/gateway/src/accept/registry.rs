//! Open connections of callers: their limit, and which of them closes for another one.

use {
    super::Activity,
    crate::{Clock, metrics::Metrics, view::lock},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Time after which a connection without any response closes before those that had one. A caller that
/// has just connected sends its request sooner.
const SLOW_START: Duration = Duration::from_secs(1);
/// Shortest time for which a response waits for its caller before it may be cut for others.
const SHORTEST_UNREAD: Duration = Duration::from_secs(2);
/// Divisor of the limit below which connections count as short.
const SHORT_DIVISOR: usize = 8;

/// Why a connection is closed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// There are as many connections as there may be.
    Limit,
    /// Its responses take memory and are not read.
    Unread,
}

impl Cause {
    fn label(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Unread => "unread",
        }
    }
}

/// A connection with what it takes to close it.
#[derive(Debug)]
struct Open {
    activity: Arc<Mutex<Activity>>,
    cut: CancellationToken,
}

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct Registry {
    clock: Clock,
    metrics: Arc<Metrics>,
    limit: usize,
    /// Connections by the order in which they were accepted; those that are being closed are absent.
    open: Mutex<BTreeMap<usize, Open>>,
    next: AtomicUsize,
}

impl Registry {
    pub(crate) fn new(clock: Clock, metrics: Arc<Metrics>, limit: usize) -> Self {
        Self {
            clock,
            metrics,
            limit: limit.max(1),
            open: Mutex::default(),
            next: AtomicUsize::new(0),
        }
    }

    /// Adds a connection. At the limit, it takes the place of the one whose caller has kept the host
    /// waiting for longest; `None` when the host works on the requests of all.
    pub(super) fn admit(self: &Arc<Self>, activity: Arc<Mutex<Activity>>) -> Option<Entry> {
        let mut open = lock(&self.open);
        if open.len() >= self.limit {
            let now = self.clock.now();
            let Some(number) = longest_waiting(&open, now) else {
                self.record(Cause::Limit);
                return None;
            };
            self.cut(&mut open, number, Cause::Limit);
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let cut = CancellationToken::new();
        let entry = Entry {
            registry: self.clone(),
            number,
            cut: cut.clone(),
        };
        open.insert(number, Open { activity, cut });
        self.metrics.caller_connections.set(open.len() as i64);
        Some(entry)
    }

    /// Returns whether a further connection takes the place of another one.
    pub(super) fn is_full(&self) -> bool {
        lock(&self.open).len() >= self.limit
    }

    /// Returns whether few further connections may be opened.
    pub(crate) fn is_short(&self) -> bool {
        let left = self.limit.saturating_sub(lock(&self.open).len());
        left < self.limit.div_ceil(SHORT_DIVISOR)
    }

    /// Closes the connection whose responses have waited for their caller for longest; returns
    /// whether there is one.
    pub(crate) fn cut_unread(&self) -> bool {
        let now = self.clock.now();
        let mut open = lock(&self.open);
        let unread = open.iter().filter_map(|(number, open)| {
            let since = lock(&open.activity).unread_since()?;
            (now.saturating_sub(since) >= SHORTEST_UNREAD).then_some((since, *number))
        });
        let Some((_, number)) = unread.min() else {
            return false;
        };
        self.cut(&mut open, number, Cause::Unread);
        true
    }

    fn cut(&self, open: &mut BTreeMap<usize, Open>, number: usize, cause: Cause) {
        if let Some(open) = open.remove(&number) {
            open.cut.cancel();
            self.record(cause);
        }
    }

    fn record(&self, cause: Cause) {
        let closed = &self.metrics.closed_connections;
        closed.with_label_values(&[cause.label()]).inc();
    }
}

/// Returns the connection that keeps the host waiting for longest. One that had no response for a
/// while comes before those that had one.
fn longest_waiting(open: &BTreeMap<usize, Open>, now: Duration) -> Option<usize> {
    let waiting = open.iter().filter_map(|(number, open)| {
        let activity = lock(&open.activity);
        let since = activity.waiting_since()?;
        let is_slow = now.saturating_sub(since) >= SLOW_START;
        let is_unproven = is_slow && !activity.has_responded();
        Some((!is_unproven, since, *number))
    });
    waiting.min().map(|(.., number)| number)
}

/// Place of a connection in the registry, which returns when it is dropped.
#[derive(Debug)]
pub(super) struct Entry {
    registry: Arc<Registry>,
    number: usize,
    /// Cancelled when the connection has to close for others.
    pub(super) cut: CancellationToken,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut open = lock(&self.registry.open);
        open.remove(&self.number);
        let gauge = &self.registry.metrics.caller_connections;
        gauge.set(open.len() as i64);
    }
}
