//! Bounded queue of requests that wait for an upstream.

use {
    super::Fairness,
    crate::{
        fault::{Fault, Kind},
        id::WorkspaceId,
        route::PRIORITY_CLASSES,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of a new interval in the average interval between served entries.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Settings of a [`Queue`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of waiting entries.
    pub capacity: usize,
    /// One in this many served entries is from the lowest class that has entries, so that lower
    /// classes progress while higher ones are busy; 0 disables this.
    pub lower_class_interval: u32,
    /// Assumed interval between served entries before it is measured; assumed again once the queue
    /// has been empty.
    pub interval: Duration,
    /// Factor by which the recent rate of served entries may rise: an entry is refused only if it
    /// would not be served by its deadline even then. At least 1.
    pub margin: f64,
    /// Minimum of the time after which a dropped request should be repeated.
    pub min_retry_after: Duration,
    /// Maximum of that time.
    pub max_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 1_024,
            lower_class_interval: 8,
            interval: Duration::from_millis(5),
            margin: 1.0,
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Returns settings for callers that compete for upstreams of uneven speed.
    ///
    /// The most urgent class is served strictly first. Nothing is refused before the rate is
    /// measured, and then only what four times the rate would not serve: rates rise when a burst
    /// ends, and with smaller margins a model of 60 hosts refused requests that would have been
    /// served. A burst lasts for some seconds, which bounds the time after which callers return.
    pub fn strict() -> Self {
        Self {
            lower_class_interval: 0,
            interval: Duration::ZERO,
            margin: 4.0,
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(10),
            ..Self::default()
        }
    }
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Workspace; served fairly with respect to the others.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: u32,
    /// Priority class; 0 is served first.
    pub class: u8,
    /// Cost in tokens; above 0.
    pub cost: u64,
    /// Time by which the request must be taken from the queue.
    pub deadline: Duration,
    /// The waiting request itself, or a handle of it.
    pub item: T,
}

/// Position of an entry; unique over the life of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    class: u8,
    tag: u64,
    sequence: u64,
}

impl Key {
    /// Returns the priority class of the entry.
    pub fn class(self) -> u8 {
        self.class
    }
}

/// An entry that is not served, and the fault that its caller receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shed<T> {
    /// Item of the entry.
    pub item: T,
    /// [`Kind::Overloaded`] with the time after which to repeat the request, which did not run.
    pub fault: Fault,
}

/// Bounded queue with priorities, deadlines and weighted fairness between workspaces.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    entries: BTreeMap<Key, Entry<T>>,
    fairness: [Fairness; PRIORITY_CLASSES],
    /// Sequence number of the last added entry.
    sequence: u64,
    /// Number of served entries; wraps around.
    served: u32,
    /// Average interval between served entries while others wait, in seconds.
    interval: f64,
    /// When the last entry was served; absent when none waited after it.
    last_served: Option<Duration>,
    /// Time to which the last refused caller was asked to return.
    last_return: Duration,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        let fairness = || Fairness::new(settings.capacity);
        Self {
            fairness: [fairness(), fairness(), fairness()],
            entries: BTreeMap::new(),
            sequence: 0,
            served: 0,
            interval: settings.interval.as_secs_f64(),
            last_served: None,
            last_return: Duration::ZERO,
            settings,
        }
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry. In a full queue it replaces the newest entry of the workspace with the most
    /// waiting entries for its weight in the lowest class; the replaced entry is returned.
    ///
    /// # Errors
    /// The entry itself, when it is not expected to be served by its deadline or the queue is full
    /// and it cannot replace another.
    pub fn push(
        &mut self,
        now: Duration,
        entry: Entry<T>,
    ) -> Result<(Key, Option<Shed<T>>), Shed<T>> {
        let class = entry.class.min(PRIORITY_CLASSES as u8 - 1);
        let entry = Entry { class, ..entry };
        let wait_time = self.wait_time(class, &entry.workspace);
        if now + wait_time.div_f64(self.settings.margin.max(1.0)) > entry.deadline {
            return Err(self.shed(now, entry, "the queue is longer than the request may wait"));
        }
        let mut victim = None;
        if self.entries.len() >= self.settings.capacity {
            let Some(key) = self.victim(&entry) else {
                return Err(self.shed(now, entry, "the queue is full"));
            };
            victim = self.drop_newest(now, key);
        }
        let tag = self.fairness[usize::from(class)].tag(&entry.workspace, entry.weight, entry.cost);
        self.sequence += 1;
        let key = Key {
            class,
            tag,
            sequence: self.sequence,
        };
        self.entries.insert(key, entry);
        Ok((key, victim))
    }

    /// Removes and returns the next entry to serve. Entries past their deadline are skipped;
    /// [`Self::expire`] returns them.
    pub fn pop(&mut self, now: Duration) -> Option<(Key, T)> {
        let is_live = |(_, entry): &(&Key, &Entry<T>)| entry.deadline > now;
        let first = *self.entries.iter().find(is_live)?.0;
        self.served = self.served.wrapping_add(1);
        let interval = self.settings.lower_class_interval;
        let mut key = first;
        if interval > 0 && self.served.is_multiple_of(interval) {
            let lowest = self.entries.iter().rev().find(is_live)?.0.class;
            let start = Key {
                class: lowest,
                tag: 0,
                sequence: 0,
            };
            key = *self.entries.range(start..).find(is_live)?.0;
        }
        Some((key, self.take(now, key)?))
    }

    /// Returns the first entry in the order that is not past its deadline and for which `fits`
    /// holds. `fits` is called for the entries in their order, up to that one.
    pub fn find(&self, now: Duration, mut fits: impl FnMut(&T) -> bool) -> Option<Key> {
        let live = self.entries.iter().filter(|(_, e)| e.deadline > now);
        let mut live = live.skip_while(|(_, entry)| !fits(&entry.item));
        live.next().map(|(key, _)| *key)
    }

    /// Removes and returns an entry that is served.
    pub fn take(&mut self, now: Duration, key: Key) -> Option<T> {
        let entry = self.entries.remove(&key)?;
        self.fairness[usize::from(key.class)].serve(&entry.workspace, key.tag);
        self.record_interval(now);
        Some(entry.item)
    }

    /// Removes an entry whose caller has disconnected.
    pub fn cancel(&mut self, key: Key) -> Option<T> {
        let entry = self.entries.remove(&key)?;
        self.fairness[usize::from(key.class)].remove(&entry.workspace);
        self.reset_if_empty();
        Some(entry.item)
    }

    /// Removes the entries past their deadline.
    pub fn expire(&mut self, now: Duration) -> Vec<Shed<T>> {
        let late = |(key, entry): (&Key, &Entry<T>)| (entry.deadline <= now).then_some(*key);
        let keys: Vec<Key> = self.entries.iter().filter_map(late).collect();
        let mut shed = Vec::with_capacity(keys.len());
        for key in keys {
            if let Some(entry) = self.entries.remove(&key) {
                self.fairness[usize::from(key.class)].remove(&entry.workspace);
                shed.push(self.shed(now, entry, "no place became free in time"));
            }
        }
        self.reset_if_empty();
        shed
    }

    /// Returns the earliest deadline, at which [`Self::expire`] is due.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.entries.values().map(|entry| entry.deadline).min()
    }

    /// Estimates the wait of a new entry from the recent rate of served entries and the entries
    /// ahead of it in the order.
    pub fn wait_time(&self, class: u8, workspace: &WorkspaceId) -> Duration {
        let class = class.min(PRIORITY_CLASSES as u8 - 1);
        let behind = Key {
            class,
            tag: self.fairness[usize::from(class)].start(workspace),
            sequence: u64::MAX,
        };
        let ahead = self.entries.range(..behind).count();
        Duration::from_secs_f64(ahead as f64 * self.interval)
    }

    /// Returns callers at the rate at which entries are served, one after the other, so that those
    /// refused together do not come back together.
    fn shed(&mut self, now: Duration, entry: Entry<T>, message: &str) -> Shed<T> {
        let Settings {
            min_retry_after,
            max_retry_after,
            ..
        } = self.settings;
        let first = now
            + self
                .wait_time(entry.class, &entry.workspace)
                .max(min_retry_after);
        let next = self.last_return + Duration::from_secs_f64(self.interval);
        self.last_return = first.max(next).min(now + max_retry_after);
        let after = self.last_return.saturating_sub(now);
        let after = after.clamp(min_retry_after, max_retry_after);
        Shed {
            item: entry.item,
            fault: Fault::new(Kind::Overloaded, message).with_retry_after(after),
        }
    }

    /// Returns the entry that a new one replaces in a full queue: in the lowest class, the newest
    /// entry of the workspace with the most waiting entries for its weight. Returns `None` when the
    /// new entry ranks below it.
    fn victim(&self, new: &Entry<T>) -> Option<Key> {
        let lowest = self.entries.keys().next_back()?.class;
        let fairness = &self.fairness[usize::from(lowest)];
        let load = |entry: &Entry<T>| {
            let waiting = u64::from(fairness.waiting(&entry.workspace));
            waiting * u64::from(u32::MAX) / u64::from(entry.weight.max(1))
        };
        let start = Key {
            class: lowest,
            tag: 0,
            sequence: 0,
        };
        let worst = self
            .entries
            .range(start..)
            .max_by_key(|(key, entry)| (load(entry), key.sequence));
        let (key, entry) = worst?;
        if lowest < new.class {
            return None;
        }
        let waiting = u64::from(fairness.waiting(&new.workspace)) + 1;
        let own = waiting * u64::from(u32::MAX) / u64::from(new.weight.max(1));
        (lowest > new.class || load(entry) > own).then_some(*key)
    }

    fn drop_newest(&mut self, now: Duration, key: Key) -> Option<Shed<T>> {
        let entry = self.entries.remove(&key)?;
        self.fairness[usize::from(key.class)].refund(&entry.workspace, key.tag);
        Some(self.shed(now, entry, "a request with a higher claim took the place"))
    }

    fn record_interval(&mut self, now: Duration) {
        if let Some(last_served) = self.last_served.replace(now) {
            let interval = now.saturating_sub(last_served).as_secs_f64();
            self.interval += INTERVAL_WEIGHT * (interval - self.interval);
        }
        self.reset_if_empty();
    }

    /// Forgets the rate once nothing waits: that of an earlier overload says nothing about the next
    /// one, and a rate that was slow would refuse what could be served.
    fn reset_if_empty(&mut self) {
        if self.entries.is_empty() {
            self.last_served = None;
            self.interval = self.settings.interval.as_secs_f64();
        }
    }
}
