//! The prefix cache of the stand-in engine and the events that it publishes.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Maximum number of retained events; the oldest is dropped first.
const EVENT_LIMIT: usize = 1_024;

/// One change of the prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CacheEvent {
    /// Greater by 1 than that of the previous event; a gap means that events were lost.
    pub sequence: u64,
    /// Prefix hashes of blocks that were added.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stored: Vec<u64>,
    /// Prefix hashes of blocks that were evicted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<u64>,
    /// Whether the whole cache was cleared.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub cleared: bool,
}

/// Cache of prompt blocks with least-recently-used eviction.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Value of `prompts` at the last use of each block, by prefix hash.
    blocks: HashMap<u64, u64>,
    /// Number of prompts so far.
    prompts: u64,
    /// Sequence number of the last event, including dropped ones.
    sequence: u64,
    /// Retained events with their times, oldest first.
    events: VecDeque<(Instant, CacheEvent)>,
    /// Number of further events to drop.
    to_drop: u64,
    /// Total number of prompt blocks that were found in the cache.
    pub(crate) hits: u64,
}

impl Cache {
    /// Inserts the blocks of a prompt; returns the number of leading blocks that were cached
    /// before.
    pub(crate) fn insert(&mut self, prefixes: &[u64], capacity: usize) -> u64 {
        let cached = prefixes.iter().take_while(|p| self.blocks.contains_key(p));
        let cached = cached.count();
        self.hits += cached as u64;
        self.prompts += 1;
        for prefix in prefixes {
            self.blocks.insert(*prefix, self.prompts);
        }
        let mut removed = Vec::new();
        while self.blocks.len() > capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some(oldest) = oldest.map(|(prefix, _)| *prefix) else {
                break;
            };
            self.blocks.remove(&oldest);
            removed.push(oldest);
        }
        self.publish(CacheEvent {
            removed,
            ..CacheEvent::default()
        });
        self.publish(CacheEvent {
            stored: prefixes[cached..].to_vec(),
            ..CacheEvent::default()
        });
        cached as u64
    }

    /// Publishes an event without a check against the cache's content; an empty one is ignored.
    pub(crate) fn publish(&mut self, event: CacheEvent) {
        if event.stored.is_empty() && event.removed.is_empty() && !event.cleared {
            return;
        }
        self.sequence += 1;
        if self.to_drop > 0 {
            self.to_drop -= 1;
            return;
        }
        let sequence = self.sequence;
        let event = CacheEvent { sequence, ..event };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Drops the next `count` events, whose sequence numbers are used up, instead of publishing
    /// them.
    pub(crate) fn drop_next(&mut self, count: u64) {
        self.to_drop = count;
    }

    /// Returns events after a sequence number, oldest first: of those at least `lag` old, the
    /// newest that together have at most `hash_limit` hashes.
    pub(crate) fn events_after(
        &self,
        sequence: u64,
        lag: Duration,
        hash_limit: usize,
    ) -> Vec<CacheEvent> {
        let mut remaining = hash_limit;
        let due = self.events.iter().rev();
        let due = due.skip_while(|(at, _)| at.elapsed() < lag);
        let mut events: Vec<_> = due
            .map(|(_, event)| event)
            .take_while(|event| event.sequence > sequence)
            .take_while(|event| {
                let size = event.stored.len() + event.removed.len();
                let fits = size <= remaining;
                remaining = remaining.saturating_sub(size);
                fits
            })
            .cloned()
            .collect();
        events.reverse();
        events
    }
}
