//! Upstreams that register themselves in the store.

use {
    crate::id::{Region, ServiceId, UpstreamId, Zone},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// How long entries may be missing after an outage of the store; running upstreams register again
/// within about two seconds.
pub(super) const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Finishes its running requests and takes no new work.
    Draining,
}

/// What an upstream states about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Region that it runs in.
    pub region: Region,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Start of the process in milliseconds of Unix time; a restarted upstream has lost its state,
    /// such as its prefix cache.
    pub started_ms: u64,
    /// Time for which it stays cold and takes few requests, from when it wrote the entry.
    pub cold_left: Duration,
}

impl Registration {
    /// Returns whether the upstream takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Returns whether another entry differs in nothing but the time for which it stays cold.
    pub(super) fn is_similar(&self, other: &Self) -> bool {
        let cold_left = other.cold_left;
        Self {
            cold_left,
            ..self.clone()
        } == *other
    }
}

/// A change of the upstreams that take new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream takes new work, or its registration changed, as after a restart.
    Joined(UpstreamId, Registration),
    /// The upstream is cold, by a registration that is otherwise the same.
    Cold(UpstreamId, Registration),
    /// The upstream takes no new work.
    Left(UpstreamId),
}

/// The registered upstreams.
///
/// An entry that disappears means that its upstream left, except shortly after an outage of the
/// store, during which entries expire although their upstreams run.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<UpstreamId, Registration>,
    /// Times at which missing entries are removed.
    missing: BTreeMap<UpstreamId, Duration>,
    is_store_lost: bool,
    /// When the store answered again after its last outage.
    store_returned_at: Option<Duration>,
}

impl Roster {
    /// Returns the entry of an upstream.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.entries.get(id)
    }

    /// Returns every upstream that takes new work.
    pub fn ready(&self) -> impl Iterator<Item = (&UpstreamId, &Registration)> {
        self.entries.iter().filter(|(_, entry)| entry.is_ready())
    }

    /// Records that the store does not answer.
    pub fn mark_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store answers.
    pub fn mark_store_reachable(&mut self, now: Duration) {
        if std::mem::take(&mut self.is_store_lost) {
            self.store_returned_at = Some(now);
        }
    }

    /// Records when the store answered again after an outage that another host saw.
    pub fn record_return(&mut self, returned_at: Duration) {
        self.store_returned_at = self.store_returned_at.max(Some(returned_at));
    }

    /// Replaces all entries with a complete list from the store.
    pub fn replace(
        &mut self,
        now: Duration,
        entries: impl IntoIterator<Item = (UpstreamId, Registration)>,
    ) -> Vec<Change> {
        let listed: BTreeMap<_, _> = entries.into_iter().collect();
        let unlisted: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = listed
            .into_iter()
            .filter_map(|(id, entry)| self.put(id, entry))
            .collect();
        changes.extend(unlisted.into_iter().filter_map(|id| self.remove(now, &id)));
        changes
    }

    /// Inserts or replaces an entry.
    pub fn put(&mut self, id: UpstreamId, entry: Registration) -> Option<Change> {
        self.missing.remove(&id);
        let known = self.entries.insert(id.clone(), entry.clone());
        if known.as_ref().is_some_and(|known| known.is_similar(&entry)) {
            let is_cold = entry.is_ready() && !entry.cold_left.is_zero();
            return is_cold.then_some(Change::Cold(id, entry));
        }
        if entry.is_ready() {
            return Some(Change::Joined(id, entry));
        }
        known
            .is_some_and(|known| known.is_ready())
            .then_some(Change::Left(id))
    }

    /// Removes an entry that is no longer in the store; shortly after an outage only schedules the
    /// removal of a ready one.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<Change> {
        let (id, entry) = self.entries.get_key_value(id)?;
        let until = self.store_returned_at.map(|at| at + REREGISTRATION_TIME);
        if entry.is_ready()
            && let Some(until) = until.filter(|until| now < *until)
        {
            let id = id.clone();
            self.missing.entry(id).or_insert(until);
            return None;
        }
        let id = id.clone();
        self.missing.remove(&id);
        let entry = self.entries.remove(&id)?;
        entry.is_ready().then_some(Change::Left(id))
    }

    /// Removes the entries that were not registered again in time after an outage.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        if self.is_store_lost {
            return Vec::new();
        }
        let due = self.missing.iter().filter(|(_, until)| now >= **until);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.remove(now, id)).collect()
    }
}
