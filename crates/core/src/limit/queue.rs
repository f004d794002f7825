//! Bounded queue of requests that wait for a place at an upstream.

use {
    super::Fairness,
    crate::{
        fault::{Fault, Kind},
        id::WorkspaceId,
        route::CLASSES,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of a new interval between two served entries in the average.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Settings of a [`Queue`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Most entries waiting.
    pub capacity: usize,
    /// One in this many entries is served from the last class that has entries, so that lower
    /// classes progress while higher ones are busy; 0 for never.
    pub lower_turn: u32,
    /// Assumed time between served entries before any was served.
    pub interval: Duration,
    /// Shortest time to come back that is stated.
    pub retry_least: Duration,
    /// Longest time to come back that is stated.
    pub retry_most: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 1_024,
            lower_turn: 8,
            interval: Duration::from_millis(5),
            retry_least: Duration::from_secs(1),
            retry_most: Duration::from_secs(60),
        }
    }
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Workspace, between which the places are divided.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: u32,
    /// Priority class; 0 is served first.
    pub class: u8,
    /// Cost in tokens.
    pub cost: u64,
    /// Time by which the request must be served.
    pub deadline: Duration,
    /// What waits.
    pub item: T,
}

/// Position of an entry; unique over the life of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    class: u8,
    tag: u64,
    sequence: u64,
}

/// An entry that is given up: its caller gets the fault at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shed<T> {
    /// What waited.
    pub item: T,
    /// [`Kind::Overloaded`] with the time after which to come back; the request was not run.
    pub fault: Fault,
}

/// Bounded queue with priorities, deadlines and weighted fairness between workspaces.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    entries: BTreeMap<Key, Entry<T>>,
    fairness: [Fairness; CLASSES],
    sequence: u64,
    served: u32,
    /// Mean time between served entries while others wait, in seconds.
    interval: f64,
    last: Option<Duration>,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        let clock = || Fairness::new(settings.capacity);
        Self {
            fairness: [clock(), clock(), clock()],
            entries: BTreeMap::new(),
            sequence: 0,
            served: 0,
            interval: settings.interval.as_secs_f64(),
            last: None,
            settings,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry. In a full queue it replaces the newest entry of the workspace that has the
    /// most entries waiting for its weight in the last class; that entry is returned.
    ///
    /// # Errors
    /// The entry itself, when it would not be served by its deadline or has no place.
    pub fn push(
        &mut self,
        now: Duration,
        entry: Entry<T>,
    ) -> Result<(Key, Option<Shed<T>>), Shed<T>> {
        let class = entry.class.min(CLASSES as u8 - 1);
        let entry = Entry { class, ..entry };
        let wait = self.wait(class);
        if now + wait > entry.deadline {
            return Err(self.shed(entry, "the queue is longer than the request may wait"));
        }
        let mut victim = None;
        if self.entries.len() >= self.settings.capacity {
            let Some(key) = self.victim(&entry) else {
                return Err(self.shed(entry, "the queue is full"));
            };
            victim = self.drop_newest(key);
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

    /// Takes the next entry to serve. Entries past their deadline are not served; they are
    /// returned by [`Self::expire`].
    pub fn pop(&mut self, now: Duration) -> Option<(Key, T)> {
        let is_live = |(_, entry): &(&Key, &Entry<T>)| entry.deadline > now;
        let first = *self.entries.iter().find(is_live)?.0;
        self.served = self.served.wrapping_add(1);
        let turn = self.settings.lower_turn;
        let mut key = first;
        if turn > 0 && self.served.is_multiple_of(turn) {
            let last = self.entries.iter().rev().find(is_live)?.0.class;
            let lower = Key {
                class: last,
                tag: 0,
                sequence: 0,
            };
            key = *self.entries.range(lower..).find(is_live)?.0;
        }
        let entry = self.entries.remove(&key)?;
        self.fairness[usize::from(key.class)].serve(&entry.workspace, key.tag);
        self.measure(now);
        Some((key, entry.item))
    }

    /// Removes an entry whose caller has gone.
    pub fn cancel(&mut self, key: Key) -> Option<T> {
        let entry = self.entries.remove(&key)?;
        self.fairness[usize::from(key.class)].forget(&entry.workspace);
        Some(entry.item)
    }

    /// Removes the entries past their deadline.
    pub fn expire(&mut self, now: Duration) -> Vec<Shed<T>> {
        let late = |(key, entry): (&Key, &Entry<T>)| (entry.deadline <= now).then_some(*key);
        let keys: Vec<Key> = self.entries.iter().filter_map(late).collect();
        let mut shed = Vec::with_capacity(keys.len());
        for key in keys {
            if let Some(entry) = self.entries.remove(&key) {
                self.fairness[usize::from(key.class)].forget(&entry.workspace);
                shed.push(self.shed(entry, "no place became free in time"));
            }
        }
        shed
    }

    /// Returns the earliest deadline, at which [`Self::expire`] is due.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.entries.values().map(|entry| entry.deadline).min()
    }

    /// Estimates how long a new entry of a class waits.
    pub fn wait(&self, class: u8) -> Duration {
        let behind = Key {
            class: class.saturating_add(1),
            tag: 0,
            sequence: 0,
        };
        let ahead = self.entries.range(..behind).count();
        Duration::from_secs_f64(ahead as f64 * self.interval)
    }

    fn shed(&self, entry: Entry<T>, message: &str) -> Shed<T> {
        let wait = self.wait(entry.class);
        let after = wait.clamp(self.settings.retry_least, self.settings.retry_most);
        Shed {
            item: entry.item,
            fault: Fault::new(Kind::Overloaded, message).with_retry_after(after),
        }
    }

    /// Returns the entry that a new one may replace: of the last class, the newest entry of the
    /// workspace with the most entries for its weight, unless the new one ranks after it.
    fn victim(&self, new: &Entry<T>) -> Option<Key> {
        let last = self.entries.keys().next_back()?.class;
        let fairness = &self.fairness[usize::from(last)];
        let load = |entry: &Entry<T>| {
            let waiting = u64::from(fairness.waiting(&entry.workspace));
            waiting * u64::from(u32::MAX) / u64::from(entry.weight.max(1))
        };
        let start = Key {
            class: last,
            tag: 0,
            sequence: 0,
        };
        let worst = self
            .entries
            .range(start..)
            .max_by_key(|(key, entry)| (load(entry), key.sequence));
        let (key, entry) = worst?;
        if last < new.class {
            return None;
        }
        let waiting = u64::from(fairness.waiting(&new.workspace)) + 1;
        let own = waiting * u64::from(u32::MAX) / u64::from(new.weight.max(1));
        (last > new.class || load(entry) > own).then_some(*key)
    }

    fn drop_newest(&mut self, key: Key) -> Option<Shed<T>> {
        let entry = self.entries.remove(&key)?;
        self.fairness[usize::from(key.class)].undo(&entry.workspace, key.tag);
        Some(self.shed(entry, "a request with a higher claim took the place"))
    }

    fn measure(&mut self, now: Duration) {
        let last = self.last.replace(now);
        if self.entries.is_empty() {
            self.last = None;
        }
        if let Some(last) = last {
            let interval = now.saturating_sub(last).as_secs_f64();
            self.interval += INTERVAL_WEIGHT * (interval - self.interval);
        }
    }
}
