//! A host of the simulation: its reads at the store and what it knows.

use {
    super::Store,
    crate::{
        forward::{
            Roster,
            feed::{ASK_INTERVAL, Fallback, Node, Position, READER_WAIT, Update},
        },
        id::{HolderId, UpstreamId},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time of a call to the store.
const CALL_TIME: Duration = Duration::from_millis(10);
/// As in the gateway's `watch.rs` and the store's client.
const PAUSE: Duration = Duration::from_millis(150);
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);
const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
const WATCH_WAIT: Duration = Duration::from_millis(2_100);

pub(super) enum Read {
    Pausing(Duration),
    /// Asked at the first time; the store answers, or the host gives up, by the second.
    Asked(Duration, Duration),
    /// Asked at this time, and answered with the position and the entries or updates.
    Answered(Duration, Position, Vec<Update>),
}

/// A host that reads the list itself unless it follows.
pub(super) struct Host {
    pub(super) id: HolderId,
    pub(super) node: Node,
    pub(super) roster: Roster,
    pub(super) position: Option<Position>,
    pub(super) full_read_at: Duration,
    pub(super) read: Read,
    pub(super) next_ask: Duration,
    pub(super) died_at: Option<Duration>,
    pub(super) paused_until: Duration,
    /// Until when it does not reach the store, and other hosts.
    pub(super) cut_until: Duration,
    pub(super) alone_until: Duration,
    pub(super) fallbacks: BTreeMap<String, usize>,
}

impl Host {
    pub(super) fn new(id: HolderId, index: u32) -> Self {
        Self {
            id,
            node: Node::default(),
            roster: Roster::default(),
            position: None,
            full_read_at: FULL_READ_INTERVAL,
            read: Read::Pausing(Duration::ZERO),
            next_ask: ASK_INTERVAL * (index % 10) / 10,
            died_at: None,
            paused_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            alone_until: Duration::ZERO,
            fallbacks: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, now: Duration, updates: Vec<Update>) {
        for (id, entry) in updates {
            match entry {
                Some(entry) => self.roster.put(id, entry),
                None => self.roster.remove(now, &id),
            };
        }
    }

    pub(super) fn fall_back(&mut self, fallback: Option<Fallback>) {
        let Some(reason) = fallback else { return };
        *self.fallbacks.entry(reason.to_string()).or_default() += 1;
        self.position = None;
        self.read = Read::Pausing(Duration::ZERO);
    }

    /// Reads the list at the store, unless the host follows.
    pub(super) fn watch(&mut self, now: Duration, store: &mut Store) {
        if self.node.is_following() {
            return;
        }
        match self.read {
            Read::Pausing(until) if now >= until => {
                if now >= self.full_read_at {
                    self.position = None;
                    self.full_read_at = now + FULL_READ_INTERVAL;
                }
                let wait = match (self.position, self.node.has_reader()) {
                    (None, _) => Duration::ZERO,
                    (Some(_), true) => WATCH_WAIT,
                    (Some(_), false) => READER_WAIT,
                };
                store.reads += 1;
                self.read = Read::Asked(now, now + wait);
            }
            Read::Asked(_, until) if store.is_down || now >= until + HEAD_TIMEOUT => {
                self.node.record_fault(true);
                self.roster.mark_store_lost();
                self.position = None;
                self.read = Read::Pausing(now + PAUSE);
            }
            Read::Answered(..) => self.finish(now),
            Read::Asked(..) | Read::Pausing(_) => {}
        }
    }

    /// Receives an answer of the store, also while the host is paused and cannot use it.
    pub(super) fn receive_answer(&mut self, now: Duration, store: &Store) {
        let Read::Asked(asked_at, until) = self.read else {
            return;
        };
        let since = self.position.unwrap_or(0);
        let is_due = now >= until || store.position() > since;
        if self.cut_until > asked_at || store.is_down || now < asked_at + CALL_TIME || !is_due {
            return;
        }
        let entry = |id: &UpstreamId| (id.clone(), store.entries.get(id).cloned());
        let updates = if self.position.is_none() {
            store.entries.keys().map(entry).collect()
        } else {
            let changes = store.changes[since as usize..].iter();
            changes.map(|(_, id)| entry(id)).collect()
        };
        self.read = Read::Answered(asked_at, store.position(), updates);
    }

    fn finish(&mut self, now: Duration) {
        let read = std::mem::replace(&mut self.read, Read::Pausing(now));
        let Read::Answered(asked_at, position, updates) = read else {
            return;
        };
        if self.position.is_none() {
            let listed = updates.into_iter();
            let listed: Vec<_> = listed
                .filter_map(|(id, entry)| Some((id, entry?)))
                .collect();
            if self.node.record_list(now, asked_at, position, &listed) {
                self.roster.mark_store_reachable(now);
                self.roster.replace(now, listed);
            }
        } else {
            if !updates.is_empty() {
                self.read = Read::Pausing(now + PAUSE);
            }
            let recorded = updates.clone();
            if self.node.record_updates(now, asked_at, position, recorded) {
                self.apply(now, updates);
            }
        }
        self.position = Some(position);
    }
}
