//! The list of upstreams, as this host reads it at the store or gets it from another host.

use {
    crate::{
        Clock,
        metrics::Metrics,
        store::{Fault, Listing, Update},
        view::lock,
    },
    marigoldroute_core::{
        fleet::ZonedHost,
        forward::feed::{self, Fallback, Node, Settings, reader},
        id::{HolderId, HostId, Version},
        wire::{Follow, News},
    },
    marigoldroute_process::logs::BELIEFS,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Follows the reader of this host's group, and serves hosts that follow this one.
#[derive(Debug)]
pub(crate) struct Feed {
    clock: Clock,
    /// Absent when no fleet has readers; reads are not recorded then.
    settings: Option<Settings>,
    metrics: Arc<Metrics>,
    inner: Mutex<Inner>,
    /// Notifies the watcher of received updates, and of a begin or an end of following.
    changed: Notify,
    /// Notifies that followers may have to be told of changes.
    pub(crate) recorded: Notify,
    /// Notifies that the reader has more to tell.
    pub(crate) incomplete: Notify,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    /// Updates that have been received and not applied.
    updates: Vec<feed::Update>,
    /// When the store answered again after an outage, according to the reader.
    returned_at: Option<Duration>,
}

impl Feed {
    /// Creates the feed of a host that reads the list itself; without settings, it always does.
    pub(crate) fn new(clock: Clock, metrics: Arc<Metrics>, settings: Option<Settings>) -> Self {
        Self {
            clock,
            settings,
            inner: Mutex::new(Inner {
                node: Node::default(),
                updates: Vec::new(),
                returned_at: None,
            }),
            metrics,
            changed: Notify::new(),
            recorded: Notify::new(),
            incomplete: Notify::new(),
        }
    }

    /// Selects the reader among the live hosts that exchange messages. `process` returns the process
    /// of a host.
    pub(crate) fn update_hosts(
        &self,
        own: &HostId,
        hosts: &[ZonedHost],
        process: impl Fn(&HostId) -> Option<HolderId>,
    ) {
        let Some(settings) = &self.settings else {
            return;
        };
        let reader = reader(settings, own, hosts).and_then(|host| process(&host));
        let mut inner = lock(&self.inner);
        let fallback = inner.node.set_reader(reader);
        self.record_fallback(fallback);
    }

    /// Forgets what is known, so that the watcher reads the whole list first.
    pub(crate) fn restart(&self) {
        let mut inner = lock(&self.inner);
        inner.node.restart();
        inner.updates.clear();
        self.metrics.follows_reader.set(0);
    }

    /// Returns whether this host follows its reader.
    pub(crate) fn is_following(&self) -> bool {
        lock(&self.inner).node.is_following()
    }

    /// Waits until this host follows its reader.
    pub(crate) async fn joined(&self) {
        while !self.is_following() {
            self.changed.notified().await;
        }
    }

    /// Waits for updates or the end of following, but not longer than `limit`.
    pub(crate) async fn wait(&self, limit: Duration) {
        // After a timeout the caller looks at an unchanged state.
        let _ = tokio::time::timeout(limit, self.changed.notified()).await;
    }

    /// Stops following when what is known has become too old.
    pub(crate) fn tick(&self) {
        let mut inner = lock(&self.inner);
        let fallback = inner.node.tick(self.clock.now());
        self.record_fallback(fallback);
    }

    /// Returns the longest time that the store may wait for a change, unless no host follows this
    /// one.
    pub(crate) fn reader_wait(&self) -> Option<Duration> {
        let followers = lock(&self.inner).node.followers();
        (followers > 0).then_some(feed::READER_WAIT)
    }

    /// Records a read of the whole list that began at `asked_at`; returns whether it is to be
    /// applied.
    pub(crate) fn record_list(
        &self,
        asked_at: Duration,
        position: Version,
        listing: &Listing,
    ) -> bool {
        if self.settings.is_none() {
            return true;
        }
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let is_own = inner.node.record_list(now, asked_at, position, listing);
        if is_own {
            inner.updates.clear();
        }
        self.recorded.notify_one();
        is_own
    }

    /// Records a read of updates that began at `asked_at`; returns whether it is to be applied.
    pub(crate) fn record_updates(
        &self,
        asked_at: Duration,
        position: Version,
        updates: &[Update],
    ) -> bool {
        let updates = updates.iter().map(|update| match update {
            Update::Put(id, entry) => (id.clone(), Some(entry.clone())),
            Update::Removed(id) => (id.clone(), None),
        });
        if self.settings.is_none() {
            return true;
        }
        let mut inner = lock(&self.inner);
        let now = self.clock.now();
        let is_own = inner.node.record_updates(now, asked_at, position, updates);
        self.recorded.notify_one();
        is_own
    }

    /// Records a read that failed; returns false when this host follows by now, so that the fault
    /// does not matter.
    pub(crate) fn record_fault(&self, fault: Fault) -> bool {
        let is_lost = fault != Fault::Discarded;
        let is_own = lock(&self.inner).node.record_fault(is_lost);
        self.recorded.notify_one();
        is_own
    }

    /// Returns the updates to apply, and when the store answered again after an outage, according to
    /// the reader.
    pub(crate) fn take(&self) -> (Vec<Update>, Option<Duration>) {
        let mut inner = lock(&self.inner);
        let updates = std::mem::take(&mut inner.updates).into_iter();
        let updates = updates.map(|(id, entry)| match entry {
            Some(entry) => Update::Put(id, entry),
            None => Update::Removed(id),
        });
        (updates.collect(), inner.returned_at.take())
    }

    /// Returns the question to the reader, if there is one.
    pub(crate) fn ask(&self) -> Option<(HolderId, Follow)> {
        lock(&self.inner).node.ask(self.clock.now())
    }

    /// Answers a host that follows this one or wants to.
    pub(crate) fn answer(&self, from: &str, follow: &Follow) -> News {
        let mut inner = lock(&self.inner);
        let news = inner.node.answer(self.clock.now(), &from.into(), follow);
        self.count_followers(&inner);
        news
    }

    /// Returns what the followers have not been sent yet.
    pub(crate) fn publish(&self) -> Vec<(HolderId, News)> {
        let mut inner = lock(&self.inner);
        let messages = inner.node.publish(self.clock.now());
        self.count_followers(&inner);
        messages
    }

    /// Handles a message of the reader.
    pub(crate) fn receive(&self, from: &str, news: &News) {
        let mut inner = lock(&self.inner);
        let receipt = inner.node.receive(self.clock.now(), from, news);
        let has_news = !receipt.updates.is_empty() || receipt.returned_at.is_some();
        inner.updates.extend(receipt.updates);
        inner.returned_at = inner.returned_at.max(receipt.returned_at);
        if receipt.has_joined {
            log::info!(target: BELIEFS, reader:% = from; "list of upstreams followed");
            self.metrics.follows_reader.set(1);
        }
        if has_news || receipt.has_joined {
            self.changed.notify_one();
        }
        if receipt.has_more {
            self.incomplete.notify_one();
        }
        self.record_fallback(receipt.fallback);
    }

    fn record_fallback(&self, fallback: Option<Fallback>) {
        let Some(reason) = fallback else { return };
        log::info!(target: BELIEFS, reason:%; "list of upstreams read at the store");
        let label = reason.to_string();
        let count = self.metrics.list_fallbacks.with_label_values(&[&label]);
        count.inc();
        self.metrics.follows_reader.set(0);
        self.changed.notify_one();
    }

    fn count_followers(&self, inner: &Inner) {
        let followers = inner.node.followers() as i64;
        self.metrics.list_followers.set(followers);
    }
}
