//! The prefix cache of the stand-in engine and the events that it publishes.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Events kept; the oldest is dropped first.
const EVENT_LIMIT: usize = 1_024;

/// One change of the prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CacheEvent {
    /// Greater by 1 than that of the event before; a gap means that events were lost.
    pub sequence: u64,
    /// Prefix hashes of blocks that were stored.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stored: Vec<u64>,
    /// Prefix hashes of blocks that were removed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<u64>,
    /// Whether the whole cache was cleared.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub cleared: bool,
}

/// Blocks with least-recently-used replacement.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Last use of each block.
    blocks: HashMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Events to lose.
    lost: u64,
    /// Blocks of prompts that were in the cache.
    pub(crate) hits: u64,
}

impl Cache {
    /// Takes a prompt and returns how many of its leading blocks were in the cache.
    pub(crate) fn take(&mut self, prefixes: &[u64], capacity: usize) -> u64 {
        let known = prefixes.iter().take_while(|p| self.blocks.contains_key(p));
        let known = known.count();
        self.hits += known as u64;
        self.uses += 1;
        for prefix in prefixes {
            self.blocks.insert(*prefix, self.uses);
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
            stored: prefixes[known..].to_vec(),
            ..CacheEvent::default()
        });
        known as u64
    }

    /// Publishes an event, whether it is true or not; one without content is left out.
    pub(crate) fn publish(&mut self, event: CacheEvent) {
        if event.stored.is_empty() && event.removed.is_empty() && !event.cleared {
            return;
        }
        self.sequence += 1;
        if self.lost > 0 {
            self.lost -= 1;
            return;
        }
        let sequence = self.sequence;
        let event = CacheEvent { sequence, ..event };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Loses events instead of publishing them.
    pub(crate) fn lose(&mut self, count: u64) {
        self.lost = count;
    }

    /// Returns the newest events after a sequence number that are old enough and have at most
    /// `hashes` hashes together.
    pub(crate) fn after(&self, sequence: u64, lag: Duration, hashes: usize) -> Vec<CacheEvent> {
        let mut left = hashes;
        let due = self.events.iter().rev();
        let due = due.skip_while(|(at, _)| at.elapsed() < lag);
        let mut events: Vec<_> = due
            .map(|(_, event)| event)
            .take_while(|event| event.sequence > sequence)
            .take_while(|event| {
                let size = event.stored.len() + event.removed.len();
                let fits = size <= left;
                left = left.saturating_sub(size);
                fits
            })
            .cloned()
            .collect();
        events.reverse();
        events
    }
}
