//! Prefix cache of an engine model.

use std::{
    collections::{HashMap, VecDeque},
    mem::take,
};

/// A cache of prompt blocks that drops the least recently used one when it is full.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    /// Time of the last use of each block, in uses.
    blocks: HashMap<u64, u64>,
    /// Uses in order; an entry counts only if it is the last use of its block.
    uses: VecDeque<(u64, u64)>,
    clock: u64,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

impl Cache {
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            uses: VecDeque::new(),
            clock: 0,
            stored: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// Returns how many leading blocks are cached.
    pub fn hit(&self, prefixes: &[u64]) -> usize {
        let cached = |prefix: &&u64| self.blocks.contains_key(prefix);
        prefixes.iter().take_while(cached).count()
    }

    /// Stores the blocks of a processed prompt.
    pub fn store(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            self.clock += 1;
            if self.blocks.insert(*prefix, self.clock).is_none() {
                self.stored.push(*prefix);
            }
            self.uses.push_back((*prefix, self.clock));
        }
        while self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    /// Returns the blocks stored and removed since the last call.
    pub fn changes(&mut self) -> (Vec<u64>, Vec<u64>) {
        (take(&mut self.stored), take(&mut self.removed))
    }

    fn evict(&mut self) {
        while let Some((prefix, at)) = self.uses.pop_front() {
            if self.blocks.get(&prefix) == Some(&at) {
                self.blocks.remove(&prefix);
                self.removed.push(prefix);
                return;
            }
        }
    }
}
