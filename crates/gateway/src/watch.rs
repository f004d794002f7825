//! Tasks that follow the configuration and the list of upstreams.

use {
    crate::{
        Clock,
        dispatch::Dispatcher,
        metrics::Metrics,
        settings::Settings,
        store::{Fault, Position, Read, Store, Update},
        view::{View, lock},
    },
    marigoldroute_core::forward::{Change, Directory, Snapshot},
    marigoldroute_process::logs::BELIEFS,
    std::{sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Pause after a failed read, so that an outage does not cause a flood of calls.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Pause after changes of the list of upstreams, so that changes in quick succession share a read.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Time after which the whole list is read again even without a fault.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Longest transfer of an answer, beside the time that the store may wait for a change. Stores give up
/// answers that make no progress earlier.
const TRANSFER_LIMIT: Duration = Duration::from_secs(6);
/// How often entries that are missing after an outage are reviewed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// What the tasks work with.
#[derive(Clone)]
pub(crate) struct Watch {
    pub(crate) clock: Clock,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) view: Arc<View>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

impl Watch {
    /// Follows the configuration until `stop`.
    pub(crate) async fn configuration(self, stop: CancellationToken) {
        let mut position = None;
        let mut link = Link::new("configuration");
        loop {
            let read = tokio::select! {
                () = stop.cancelled() => return,
                read = self.read_configuration(position) => read,
            };
            match read {
                Ok(read) => {
                    link.regain();
                    position = Some(read.position);
                    if let Some(snapshot) = read.content {
                        self.adopt(snapshot);
                    }
                }
                Err(fault) => {
                    link.lose(fault);
                    // A large configuration is only read as a whole when its changes are not known.
                    position = position.filter(|_| fault != Fault::Discarded);
                    tokio::time::sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    async fn read_configuration(
        &self,
        position: Option<Position>,
    ) -> Result<Read<Option<Snapshot>>, Fault> {
        let wait = self
            .settings
            .scale_interval(self.settings.watch_wait, self.view.hosts());
        match position {
            None => self.limit(Duration::ZERO, self.store.configuration()).await,
            Some(position) => {
                let read = self.store.configuration_after(position, wait);
                self.limit(wait, read).await
            }
        }
    }

    fn adopt(&self, snapshot: Snapshot) {
        let version = snapshot.version;
        let (routes, workspaces) = (snapshot.routes.len(), snapshot.workspaces.len());
        let directory = Directory::new(snapshot);
        if self.view.adopt(directory) {
            self.metrics.version.set(version as i64);
            log::info!(target: BELIEFS, version, routes, workspaces; "configuration in effect");
        }
    }

    /// Follows the list of upstreams until `stop`.
    pub(crate) async fn upstreams(self, stop: CancellationToken) {
        let mut position = None;
        let mut link = Link::new("upstreams");
        let mut full_at = self.clock.now() + FULL_READ_INTERVAL;
        loop {
            if self.clock.now() >= full_at {
                position = None;
                full_at = self.clock.now() + FULL_READ_INTERVAL;
            }
            let read = tokio::select! {
                () = stop.cancelled() => return,
                read = self.read_upstreams(position) => read,
            };
            match read {
                Ok((next, changed)) => {
                    link.regain();
                    position = Some(next);
                    if changed {
                        tokio::time::sleep(BATCH_PAUSE).await;
                    }
                }
                Err(fault) => {
                    link.lose(fault);
                    if fault != Fault::Discarded {
                        lock(&self.view.roster).mark_store_lost();
                    }
                    position = None;
                    tokio::time::sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    /// Reads the list or its changes and applies them; returns the position and whether there were
    /// changes.
    async fn read_upstreams(&self, position: Option<Position>) -> Result<(Position, bool), Fault> {
        let wait = self
            .settings
            .scale_interval(self.settings.watch_wait, self.view.hosts());
        let Some(position) = position else {
            let read = self.limit(Duration::ZERO, self.store.upstreams()).await?;
            let changes = {
                let mut roster = lock(&self.view.roster);
                roster.mark_store_reachable(self.clock.now());
                roster.replace(self.clock.now(), read.content)
            };
            self.apply(changes);
            self.view.set_listed();
            return Ok((read.position, false));
        };
        let read = self.store.upstreams_after(position, wait);
        let read = self.limit(wait, read).await?;
        let has_changed = !read.content.is_empty();
        let changes = {
            let mut roster = lock(&self.view.roster);
            let now = self.clock.now();
            let change = |update| match update {
                Update::Put(id, entry) => roster.put(id, entry),
                Update::Removed(id) => roster.remove(now, &id),
            };
            read.content.into_iter().filter_map(change).collect()
        };
        self.apply(changes);
        Ok((read.position, has_changed))
    }

    /// Reviews entries that are missing after an outage, until `stop`.
    pub(crate) async fn expire(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(EXPIRE_INTERVAL) => {}
            }
            let changes = lock(&self.view.roster).expire(self.clock.now());
            self.apply(changes);
        }
    }

    fn apply(&self, changes: Vec<Change>) {
        for change in changes {
            match &change {
                Change::Joined(id, entry) => log::info!(
                    target: BELIEFS,
                    upstream:% = id, service:% = entry.service, address:% = entry.address;
                    "upstream takes work"
                ),
                Change::Left(id) => {
                    log::info!(target: BELIEFS, upstream:% = id; "upstream takes no new work");
                }
            }
            self.dispatcher.apply(self.clock.now(), change);
        }
    }

    /// Bounds a call that may wait for `wait`.
    async fn limit<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
        let result = tokio::time::timeout(wait + TRANSFER_LIMIT, call).await;
        let result = result.unwrap_or(Err(Fault::Unanswered));
        let label = if result.is_ok() { "ok" } else { "fault" };
        self.metrics.store_calls.with_label_values(&[label]).inc();
        result
    }
}

/// Logs when a dependency is lost and regained.
struct Link {
    name: &'static str,
    is_lost: bool,
}

impl Link {
    fn new(name: &'static str) -> Self {
        let is_lost = false;
        Self { name, is_lost }
    }

    fn lose(&mut self, fault: Fault) {
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(target: BELIEFS, read = self.name, fault:%; "store lost");
        }
    }

    fn regain(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            log::info!(target: BELIEFS, read = self.name; "store regained");
        }
    }
}
