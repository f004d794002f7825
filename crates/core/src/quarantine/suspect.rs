//! An accused part and a quarantined one.

use {
    super::{CRASH_LIMIT, PartId, TERM},
    std::time::Duration,
};

/// Ends of upstreams within this time count once, as they may have a common cause; covers the
/// spread with which hosts see them.
const SAME_INSTANT: Duration = Duration::from_millis(100);
/// Time for which an accusation counts.
const ACCUSATION_TIME: Duration = Duration::from_secs(120);

/// The end of a process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Hash of the upstream and the start of its process.
    pub(super) process: u64,
    pub(super) at: Duration,
    /// Parts of the same prompt that were accused with it.
    pub(super) companions: Vec<PartId>,
}

/// An accused part.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// The newest ends at which it was accused, each at another instant and of another process.
    pub(super) crashes: Vec<Crash>,
    /// Whether this host has told others.
    pub(super) is_published: bool,
}

impl Suspect {
    /// Returns the parts that were accused with it each time.
    pub(super) fn common(&self) -> Vec<PartId> {
        let Some((first, others)) = self.crashes.split_first() else {
            return Vec::new();
        };
        let mut common = first.companions.clone();
        common.retain(|part| others.iter().all(|other| other.companions.contains(part)));
        common
    }

    /// Returns whether one of its accusations counts.
    pub(super) fn is_recent(&self, now: Duration) -> bool {
        let mut ages = self
            .crashes
            .iter()
            .map(|crash| now.saturating_sub(crash.at));
        ages.any(|age| age <= ACCUSATION_TIME)
    }

    /// Adds an end; returns whether it is another one than those that are known.
    pub(super) fn add(&mut self, now: Duration, crash: Crash) -> bool {
        self.crashes
            .retain(|known| now.saturating_sub(known.at) <= ACCUSATION_TIME);
        let is_known = self.crashes.iter().any(|known| {
            known.process == crash.process || known.at.abs_diff(crash.at) < SAME_INSTANT
        });
        if is_known || now.saturating_sub(crash.at) > ACCUSATION_TIME {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        let surplus = self.crashes.len().saturating_sub(CRASH_LIMIT);
        self.crashes.drain(..surplus);
        true
    }
}

/// A quarantined part.
#[derive(Clone, Debug)]
pub(super) struct Block {
    pub(super) until: Duration,
    pub(super) suspect: Suspect,
    /// Parts that were accused with it each time. Any of them may be the deadly one, so only
    /// prompts with all of them are kept from upstreams.
    pub(super) common: Vec<PartId>,
}

impl Block {
    pub(super) fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    pub(super) fn started_at(&self) -> Duration {
        self.until.saturating_sub(TERM)
    }
}
