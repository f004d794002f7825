//! Tasks that watch the orders of operators and the list of upstreams in the store.

use {
    crate::{
        Clock,
        dispatch::Dispatcher,
        feed::Feed,
        metrics::Metrics,
        settings::Settings,
        store::{Fault, Position, Store, Update},
        view::{View, lock},
    },
    marigoldroute_core::{
        admission::Evacuation,
        forward::{Change, Directory, Snapshot},
        id::Era,
    },
    marigoldroute_process::logs::BELIEFS,
    std::{sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Pause after a failed read, so that an outage does not cause a burst of calls.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Pause after changes of the list of upstreams, so that one read returns several changes in quick
/// succession.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Time after which the whole list of upstreams is read again even without a failed read.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Longest transfer of a response, in addition to the time that the store may wait for a change.
/// Implementations of [`Store`] abandon responses that make no progress earlier.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after a restore of the store for which evacuations that the store has lost stay in effect.
/// By then operators have written them again.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Time between two checks for upstreams that are still missing after an outage.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two checks of the age of what a reader has told.
const FOLLOW_TICK: Duration = Duration::from_millis(50);

/// Watches the store and applies changes to the view and the dispatcher.
#[derive(Clone)]
pub(crate) struct Watcher {
    pub(crate) clock: Clock,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) view: Arc<View>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) feed: Arc<Feed>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

impl Watcher {
    /// Watches the configuration and the evacuations until `stop`.
    pub(crate) async fn orders(self, stop: CancellationToken) {
        let mut position = None;
        let mut outage = Outage::new("configuration");
        let mut era = EraClock::default();
        loop {
            let read = tokio::select! {
                () = stop.cancelled() => return,
                read = self.read_orders(position, &mut era) => read,
            };
            match read {
                Ok(next) => {
                    outage.record_success();
                    position = Some(next);
                }
                Err(fault) => {
                    outage.record_fault(fault);
                    // The configuration may be large, so it is read as a whole only if the store
                    // has discarded the history.
                    position = position.filter(|_| fault != Fault::Discarded);
                    tokio::time::sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    /// Reads what operators have set, or waits for changes after the position, and applies it;
    /// returns the new position.
    ///
    /// The evacuations are read before the configuration. So no configuration is in effect, and no
    /// request is sent, while they are not known. Changes are read from the earlier position of the
    /// two, because evacuations may change in between.
    ///
    /// After a restore, the store may lack an evacuation that has begun since its copy. Until
    /// [`REWRITE_TIME`] has passed, what it lists is therefore added to what is in effect.
    async fn read_orders(
        &self,
        position: Option<Position>,
        era: &mut EraClock,
    ) -> Result<Position, Fault> {
        let wait = self
            .settings
            .scale_interval(self.settings.watch_wait, self.view.hosts());
        let position = position.filter(|_| !era.is_rewritten(self.clock.now()));
        let Some(position) = position else {
            let evacuated = self.store.evacuated();
            let evacuated = self.call_with_timeout(Duration::ZERO, evacuated).await?;
            era.update(self.clock.now(), evacuated.position.era);
            if era.is_settled() {
                self.dispatcher.replace_evacuated(evacuated.content);
            } else {
                let begun = evacuated.content.into_iter().map(Evacuation::Begun);
                self.dispatcher.apply_evacuations(begun.collect());
            }
            let configuration = self.store.configuration();
            let configuration = self
                .call_with_timeout(Duration::ZERO, configuration)
                .await?;
            if let Some(snapshot) = configuration.content {
                self.apply_configuration(snapshot);
            }
            return Ok(evacuated.position.min(configuration.position));
        };
        let read = self.store.orders_after(position, wait);
        let read = self.call_with_timeout(wait, read).await?;
        self.dispatcher.apply_evacuations(read.content.evacuations);
        if let Some(snapshot) = read.content.configuration {
            self.apply_configuration(snapshot);
        }
        Ok(read.position)
    }

    /// Puts a configuration into effect if it is newer than the current one.
    fn apply_configuration(&self, snapshot: Snapshot) {
        let version = snapshot.version;
        let (routes, workspaces) = (snapshot.routes.len(), snapshot.workspaces.len());
        let cold_starts = snapshot.services.iter();
        let cold_starts = cold_starts.filter_map(|service| {
            let start = service.cold_start?;
            Some((service.name.clone(), start))
        });
        let cold_starts: Vec<_> = cold_starts.collect();
        let directory = Directory::new(snapshot);
        if self.view.update_directory(directory) {
            self.dispatcher.update_cold_starts(cold_starts);
            self.metrics.version.set(version as i64);
            log::info!(target: BELIEFS, version, routes, workspaces; "configuration in effect");
        }
    }

    /// Watches the list of upstreams until `stop`.
    pub(crate) async fn upstreams(self, stop: CancellationToken) {
        let (mut position, mut reason) = (None, "start");
        let mut outage = Outage::new("upstreams");
        let mut era = EraClock::default();
        let mut full_read_at = self.clock.now() + FULL_READ_INTERVAL;
        // After a panic, updates may have been taken and not applied.
        self.feed.restart();
        loop {
            if self.feed.is_following() {
                if stop.run_until_cancelled(self.follow()).await.is_none() {
                    return;
                }
                (position, reason) = (None, "fallback");
            }
            if self.clock.now() >= full_read_at {
                if position.take().is_some() {
                    reason = "interval";
                }
                full_read_at = self.clock.now() + FULL_READ_INTERVAL;
            }
            let read = tokio::select! {
                () = stop.cancelled() => return,
                () = self.feed.joined() => continue,
                read = self.read_upstreams(position, &mut era, reason) => read,
            };
            match read {
                Ok((next, has_changed)) => {
                    outage.record_success();
                    position = Some(next);
                    if has_changed {
                        tokio::time::sleep(BATCH_PAUSE).await;
                    }
                }
                Err(fault) => {
                    if !self.feed.record_fault(fault) {
                        continue;
                    }
                    outage.record_fault(fault);
                    if fault != Fault::Discarded {
                        lock(&self.view.roster).mark_store_lost();
                    }
                    (position, reason) = (None, "fault");
                    tokio::time::sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    /// Applies what the reader of this host's group tells, as long as the host follows it.
    async fn follow(&self) {
        // The reader is in touch with the store.
        lock(&self.view.roster).mark_store_reachable(self.clock.now());
        loop {
            self.feed.tick();
            // Read first: what is taken afterwards contains all that was received meanwhile.
            let is_following = self.feed.is_following();
            let (updates, returned_at) = self.feed.take();
            if let Some(at) = returned_at {
                lock(&self.view.roster).record_return(at);
            }
            self.apply_updates(updates);
            if !is_following {
                return;
            }
            self.feed.wait(FOLLOW_TICK).await;
        }
    }

    /// Reads the whole list for this reason or waits for updates, and applies them; returns the new
    /// position and whether the wait ended with updates.
    async fn read_upstreams(
        &self,
        position: Option<Position>,
        era: &mut EraClock,
        reason: &str,
    ) -> Result<(Position, bool), Fault> {
        let reads = &self.metrics.list_reads;
        match position {
            Some(position) => {
                reads.with_label_values(&["changes"]).inc();
                self.read_updates(position).await
            }
            None => {
                reads.with_label_values(&[reason]).inc();
                Ok((self.read_list(era).await?, false))
            }
        }
    }

    /// Reads the whole list. After a restore, upstreams that have joined since the copy register
    /// again, as after an outage.
    async fn read_list(&self, era: &mut EraClock) -> Result<Position, Fault> {
        let asked_at = self.clock.now();
        let read = self
            .call_with_timeout(Duration::ZERO, self.store.upstreams())
            .await?;
        let is_restored = era.update(self.clock.now(), read.position.era);
        if !self
            .feed
            .record_list(asked_at, read.position.change, &read.content)
        {
            return Ok(read.position);
        }
        let changes = {
            let mut roster = lock(&self.view.roster);
            if is_restored {
                roster.mark_store_lost();
            }
            roster.mark_store_reachable(self.clock.now());
            roster.replace(self.clock.now(), read.content)
        };
        self.apply_changes(changes);
        self.dispatcher.record_list();
        self.view.set_upstreams_read();
        Ok(read.position)
    }

    async fn read_updates(&self, position: Position) -> Result<(Position, bool), Fault> {
        let wait = self
            .settings
            .scale_interval(self.settings.watch_wait, self.view.hosts());
        let limit = self.feed.reader_wait();
        let wait = limit.map_or(wait, |limit| wait.min(limit));
        let asked_at = self.clock.now();
        let read = self.store.upstreams_after(position, wait);
        let read = self.call_with_timeout(wait, read).await?;
        let has_changed = !read.content.is_empty();
        if self
            .feed
            .record_updates(asked_at, read.position.change, &read.content)
        {
            self.apply_updates(read.content);
        }
        Ok((read.position, has_changed))
    }

    fn apply_updates(&self, updates: Vec<Update>) {
        let changes = {
            let mut roster = lock(&self.view.roster);
            let now = self.clock.now();
            let change = |update| match update {
                Update::Put(id, entry) => roster.put(id, entry),
                Update::Removed(id) => roster.remove(now, &id),
            };
            updates.into_iter().filter_map(change).collect()
        };
        self.apply_changes(changes);
    }

    /// Removes upstreams that are still missing some time after an outage, until `stop`.
    pub(crate) async fn expire(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(EXPIRE_INTERVAL) => {}
            }
            let changes = lock(&self.view.roster).expire(self.clock.now());
            self.apply_changes(changes);
        }
    }

    /// Logs changes of the upstreams and passes them to the dispatcher.
    fn apply_changes(&self, changes: Vec<Change>) {
        for change in changes {
            match &change {
                Change::Joined(id, entry) => log::info!(
                    target: BELIEFS,
                    upstream:% = id, service:% = entry.service, address:% = entry.address;
                    "upstream takes work"
                ),
                Change::Cold(..) => {}
                Change::Left(id) => {
                    log::info!(target: BELIEFS, upstream:% = id; "upstream takes no new work");
                }
            }
            self.dispatcher.apply(self.clock.now(), change);
        }
    }

    /// Limits the time of a call in which the store waits up to `wait`, and counts its result.
    async fn call_with_timeout<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
        let result = tokio::time::timeout(wait + TRANSFER_TIMEOUT, call).await;
        let result = result.unwrap_or(Err(Fault::Unanswered));
        let label = if result.is_ok() { "ok" } else { "fault" };
        self.metrics.store_calls.with_label_values(&[label]).inc();
        result
    }
}

/// Era of the last whole read, and until when what the store lost may be missing in it.
#[derive(Debug, Default)]
struct EraClock {
    era: Option<Era>,
    /// Time after which lost entries have been written again; `None` when none are missing.
    rewritten_at: Option<Duration>,
}

impl EraClock {
    /// Records the era of a whole read; returns whether the store was restored since the last one.
    fn update(&mut self, now: Duration, era: Option<Era>) -> bool {
        if self.is_rewritten(now) {
            self.rewritten_at = None;
        }
        let is_restored = self.era.is_some() && era.is_some() && era != self.era;
        self.era = era.or(self.era);
        if is_restored {
            self.rewritten_at = Some(now + REWRITE_TIME);
        }
        is_restored
    }

    /// Returns whether the time has passed after which a whole read is complete again.
    fn is_rewritten(&self, now: Duration) -> bool {
        self.rewritten_at.is_some_and(|at| now >= at)
    }

    /// Returns whether the last whole read was complete.
    fn is_settled(&self) -> bool {
        self.rewritten_at.is_none()
    }
}

/// Logs when reads of one kind start to fail and when they succeed again.
struct Outage {
    name: &'static str,
    is_active: bool,
}

impl Outage {
    fn new(name: &'static str) -> Self {
        let is_active = false;
        Self { name, is_active }
    }

    fn record_fault(&mut self, fault: Fault) {
        if !std::mem::replace(&mut self.is_active, true) {
            log::warn!(target: BELIEFS, read = self.name, fault:%; "store lost");
        }
    }

    fn record_success(&mut self) {
        if std::mem::take(&mut self.is_active) {
            log::info!(target: BELIEFS, read = self.name; "store regained");
        }
    }
}
