//! Liveness of hosts, judged by the rows that they renew in the store.

use {
    crate::id::Version,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Renewals that a host may miss before it counts as gone.
const MISSED_RENEWAL_LIMIT: u32 = 3;
/// Renewals that a host may miss before its row is removed.
const REMOVAL_RENEWAL_LIMIT: u32 = 20;
/// Longest gap between two updates, in renewal intervals. After a longer one every host counts as
/// alive again: the store was unavailable, so the other hosts could not renew their rows either.
const GAP_RENEWAL_LIMIT: u32 = 2;

/// Version of a row, and when this process first read that version.
#[derive(Clone, Copy, Debug)]
struct Renewal {
    version: Version,
    at: Duration,
}

/// Rows of hosts, with the time at which each last changed, by the clock of this process.
///
/// Only the version of a row counts, so that hosts need no synchronised clocks.
#[derive(Clone, Debug)]
pub struct Census {
    /// Time after which a host renews its row.
    interval: Duration,
    /// Last change of each row, by key.
    rows: HashMap<Arc<str>, Renewal>,
    /// Time of the last update.
    updated_at: Duration,
}

impl Census {
    /// Creates a census of rows that are renewed once in each `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            rows: HashMap::new(),
            updated_at: Duration::ZERO,
        }
    }

    /// Replaces the known rows with all rows of the store, as keys and versions read at `now`.
    pub fn update(&mut self, now: Duration, rows: &[(Arc<str>, Version)]) {
        let has_gap = now.saturating_sub(self.updated_at) > self.interval * GAP_RENEWAL_LIMIT;
        self.updated_at = now;
        let keys: HashSet<_> = rows.iter().map(|(key, _)| key).collect();
        self.rows.retain(|key, _| keys.contains(key));
        for (key, version) in rows {
            let version = *version;
            let known = self.rows.entry(key.clone());
            let known = known.or_insert(Renewal { version, at: now });
            if known.version != version || has_gap {
                *known = Renewal { version, at: now };
            }
        }
    }

    /// Forgets the versions of all rows, because the store was restored from a copy and assigns the
    /// same versions again. Every host whose row is read counts as alive again.
    pub fn start_era(&mut self) {
        self.rows.clear();
    }

    /// Returns whether the host of a row counts as alive; false for an unknown row.
    pub fn is_live(&self, now: Duration, key: &str) -> bool {
        self.age(now, key)
            .is_some_and(|age| age <= self.interval * MISSED_RENEWAL_LIMIT)
    }

    /// Returns the rows that have not changed for so long that they should be removed, with the
    /// versions on which the removal is conditional.
    pub fn removable(&self, now: Duration) -> Vec<(Arc<str>, Version)> {
        let limit = self.interval * REMOVAL_RENEWAL_LIMIT;
        let is_expired = |renewal: &Renewal| now.saturating_sub(renewal.at) > limit;
        let rows = self.rows.iter().filter(|(_, renewal)| is_expired(renewal));
        rows.map(|(key, renewal)| (key.clone(), renewal.version))
            .collect()
    }

    /// Returns the time since a row last changed.
    fn age(&self, now: Duration, key: &str) -> Option<Duration> {
        let renewal = self.rows.get(key)?;
        Some(now.saturating_sub(renewal.at))
    }
}
