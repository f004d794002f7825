//! Ejection of failing upstreams.

use {
    crate::id::UpstreamId,
    std::{collections::HashMap, time::Duration},
};

/// Settings of an [`Ejector`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Failures in a row after which an upstream is ejected.
    pub failures: u32,
    /// Length of the first ejection; doubled with each further one.
    pub pause: Duration,
    /// Longest ejection.
    pub pause_limit: Duration,
    /// Successes in a row after which the length starts again at `pause`.
    pub recovery: u32,
    /// Share of the upstreams that may be ejected at a time; at least one always stays.
    pub share: f64,
    /// Most upstreams known.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures: 5,
            pause: Duration::from_secs(5),
            pause_limit: Duration::from_secs(120),
            recovery: 20,
            share: 0.5,
            capacity: 4_096,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    successes: u32,
    /// Ejections since the last recovery.
    ejections: u32,
    /// End of the ejection, if there is one.
    until: Option<Duration>,
}

/// Ejects upstreams that fail repeatedly; never all of them.
///
/// An instance covers the upstreams of one model or service, because the bound is on those that
/// can replace each other.
#[derive(Clone, Debug)]
pub struct Ejector {
    settings: Settings,
    records: HashMap<UpstreamId, Record>,
}

impl Ejector {
    /// Creates an ejector without upstreams.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: HashMap::new(),
        }
    }

    /// Adds an upstream; one beyond the capacity is not watched and thus never ejected.
    pub fn join(&mut self, upstream: &UpstreamId) {
        let is_known = self.records.contains_key(upstream);
        if !is_known && self.records.len() < self.settings.capacity {
            self.records.insert(upstream.clone(), Record::default());
        }
    }

    /// Removes an upstream, and ends ejections that are over the bound without it.
    pub fn withdraw(&mut self, now: Duration, upstream: &str) {
        self.records.remove(upstream);
        while self.ejected(now) > self.allowed() {
            let ejected = self.records.values_mut();
            let first = ejected
                .filter(|record| record.until.is_some_and(|until| until > now))
                .min_by_key(|record| record.until);
            if let Some(record) = first {
                record.until = None;
            }
        }
    }

    /// Counts a success.
    pub fn succeed(&mut self, upstream: &str) {
        let Some(record) = self.records.get_mut(upstream) else {
            return;
        };
        record.failures = 0;
        record.successes = record.successes.saturating_add(1);
        if record.successes >= self.settings.recovery {
            record.ejections = 0;
        }
    }

    /// Counts a failure and returns how long the upstream is ejected, if it now is.
    pub fn fail(&mut self, now: Duration, upstream: &str) -> Option<Duration> {
        let has_room = self.ejected(now) < self.allowed();
        let settings = &self.settings;
        let record = self.records.get_mut(upstream)?;
        record.successes = 0;
        record.failures = record.failures.saturating_add(1);
        let is_ejected = record.until.is_some_and(|until| until > now);
        if record.failures < settings.failures || is_ejected || !has_room {
            return None;
        }
        let doubled = settings.pause * 2_u32.pow(record.ejections.min(16));
        let pause = doubled.min(settings.pause_limit);
        record.ejections = record.ejections.saturating_add(1);
        record.failures = 0;
        record.until = Some(now + pause);
        Some(pause)
    }

    /// Returns whether an upstream is ejected.
    pub fn is_ejected(&self, now: Duration, upstream: &str) -> bool {
        let until = self.records.get(upstream).and_then(|record| record.until);
        until.is_some_and(|until| until > now)
    }

    /// Returns the number of ejected upstreams.
    pub fn ejected(&self, now: Duration) -> usize {
        let is_ejected = |record: &&Record| record.until.is_some_and(|until| until > now);
        self.records.values().filter(is_ejected).count()
    }

    fn allowed(&self) -> usize {
        let share = self.records.len() as f64 * self.settings.share.clamp(0.0, 1.0);
        (share as usize).min(self.records.len().saturating_sub(1))
    }
}
