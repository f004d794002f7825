//! Which hosts are alive, by the rows that they renew.

use {
    crate::id::Version,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Renewals that a host may miss before it is taken as gone.
const MISSED_RENEWALS: u32 = 3;
/// Renewals that a host may miss before its row is removed.
const REMOVED_RENEWALS: u32 = 20;
/// Renewals between two reads after which nobody is taken as gone: the store was away, and others
/// could not renew their rows either.
const GAP_RENEWALS: u32 = 2;

/// When a row was last seen to change.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: Version,
    at: Duration,
}

/// Rows of hosts, with the times of their renewals on this process's clock.
#[derive(Clone, Debug)]
pub struct Census {
    /// Time between renewals.
    interval: Duration,
    rows: HashMap<Arc<str>, Seen>,
    /// Time of the last read.
    read_at: Duration,
}

impl Census {
    /// Creates a census of rows that are renewed after each `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            rows: HashMap::new(),
            read_at: Duration::ZERO,
        }
    }

    /// Takes all rows by key and version, as read now.
    pub fn update(&mut self, now: Duration, rows: &[(Arc<str>, Version)]) {
        let has_gap = now.saturating_sub(self.read_at) > self.interval * GAP_RENEWALS;
        self.read_at = now;
        self.rows
            .retain(|key, _| rows.iter().any(|(other, _)| other == key));
        for (key, version) in rows {
            let version = *version;
            let known = self.rows.entry(key.clone());
            let known = known.or_insert(Seen { version, at: now });
            if known.version != version || has_gap {
                *known = Seen { version, at: now };
            }
        }
    }

    /// Returns whether the host of a row is taken as alive.
    pub fn is_live(&self, now: Duration, key: &str) -> bool {
        self.misses(now, key)
            .is_some_and(|missed| missed <= self.interval * MISSED_RENEWALS)
    }

    /// Returns the rows that should be removed, with their versions.
    pub fn removable(&self, now: Duration) -> Vec<(Arc<str>, Version)> {
        let limit = self.interval * REMOVED_RENEWALS;
        let old = |seen: &Seen| now.saturating_sub(seen.at) > limit;
        let rows = self.rows.iter().filter(|(_, seen)| old(seen));
        rows.map(|(key, seen)| (key.clone(), seen.version))
            .collect()
    }

    fn misses(&self, now: Duration, key: &str) -> Option<Duration> {
        let seen = self.rows.get(key)?;
        Some(now.saturating_sub(seen.at))
    }
}
