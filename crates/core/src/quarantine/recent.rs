//! A map that keeps a bounded number of entries, the most recently inserted ones.

use std::collections::{HashMap, VecDeque};

/// Growth of the order over the entries at which outdated items are removed from it.
const ORDER_GROWTH: usize = 2;

/// A map from numbers that drops the entry which was inserted first when it is full.
#[derive(Clone, Debug)]
pub(super) struct Recent<V> {
    limit: usize,
    inserted: u64,
    /// Each entry with the number of its insertion.
    entries: HashMap<u64, (u64, V)>,
    /// Insertions in order; those whose number is not the entry's are outdated.
    order: VecDeque<(u64, u64)>,
}

impl<V> Recent<V> {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            inserted: 0,
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(super) fn get(&self, key: u64) -> Option<&V> {
        self.entries.get(&key).map(|(_, value)| value)
    }

    pub(super) fn get_mut(&mut self, key: u64) -> Option<&mut V> {
        self.entries.get_mut(&key).map(|(_, value)| value)
    }

    pub(super) fn remove(&mut self, key: u64) -> Option<V> {
        self.entries.remove(&key).map(|(_, value)| value)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &V)> {
        self.entries.iter().map(|(key, (_, value))| (*key, value))
    }

    pub(super) fn for_each(&mut self, mut change: impl FnMut(&mut V)) {
        self.entries
            .values_mut()
            .for_each(|(_, value)| change(value));
    }

    /// Inserts or replaces an entry, which becomes the newest one.
    pub(super) fn insert(&mut self, key: u64, value: V) {
        self.inserted += 1;
        self.entries.insert(key, (self.inserted, value));
        self.order.push_back((self.inserted, key));
        while self.entries.len() > self.limit {
            let Some((number, key)) = self.order.pop_front() else {
                break;
            };
            if self.is_current(number, key) {
                self.entries.remove(&key);
            }
        }
        if self.order.len() > self.limit * ORDER_GROWTH {
            let entries = &self.entries;
            let is_current = |(number, key): &(u64, u64)| {
                entries
                    .get(key)
                    .is_some_and(|(current, _)| current == number)
            };
            self.order.retain(is_current);
        }
    }

    fn is_current(&self, number: u64, key: u64) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|(current, _)| *current == number)
    }
}
