//! The upstreams that register themselves in the store.

use {
    crate::id::{Region, ServiceId, UpstreamId, Zone},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// After an outage of the store, upstreams that live register again within about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: Zone,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Start of the process in milliseconds of Unix time; an upstream that starts again knows
    /// nothing of before.
    pub started_ms: u64,
}

impl Registration {
    /// Returns whether the upstream takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }
}

/// What a change of the list means for the choice of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Takes new work, or has started again or moved.
    Joined(UpstreamId, Registration),
    /// Takes no new work.
    Left(UpstreamId),
}

/// The known upstreams.
///
/// An entry that disappears means that the upstream leaves, except shortly after an outage of the
/// store, in which entries lapse although their upstreams live.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<UpstreamId, Registration>,
    /// When entries that are missing count as gone.
    missing: BTreeMap<UpstreamId, Duration>,
    is_store_lost: bool,
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

    /// Notes that the store does not answer.
    pub fn mark_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Notes that the store answers.
    pub fn mark_store_reachable(&mut self, now: Duration) {
        if std::mem::take(&mut self.is_store_lost) {
            self.store_returned_at = Some(now);
        }
    }

    /// Takes the whole list.
    pub fn replace(
        &mut self,
        now: Duration,
        entries: impl IntoIterator<Item = (UpstreamId, Registration)>,
    ) -> Vec<Change> {
        let listed: BTreeMap<_, _> = entries.into_iter().collect();
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = listed
            .into_iter()
            .filter_map(|(id, entry)| self.put(id, entry))
            .collect();
        changes.extend(gone.into_iter().filter_map(|id| self.remove(now, &id)));
        changes
    }

    /// Takes a new or changed entry.
    pub fn put(&mut self, id: UpstreamId, entry: Registration) -> Option<Change> {
        self.missing.remove(&id);
        let known = self.entries.insert(id.clone(), entry.clone());
        if known.as_ref() == Some(&entry) {
            return None;
        }
        if entry.is_ready() {
            return Some(Change::Joined(id, entry));
        }
        known
            .is_some_and(|known| known.is_ready())
            .then_some(Change::Left(id))
    }

    /// Notes that an entry is missing from the list.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<Change> {
        let (id, entry) = self.entries.get_key_value(id)?;
        let until = self.store_returned_at.map(|at| at + RETURN_TIME);
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

    /// Removes the entries that have not come back after an outage.
    pub fn expire(&mut self, now: Duration) -> Vec<Change> {
        if self.is_store_lost {
            return Vec::new();
        }
        let due = self.missing.iter().filter(|(_, until)| now >= **until);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.remove(now, id)).collect()
    }
}
