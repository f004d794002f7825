//! Tracks which bills of this process are in the store.

use {
    super::holders::Generation,
    marigoldroute_core::id::RequestId,
    std::collections::{BTreeMap, HashMap, HashSet, VecDeque},
};

/// Largest number of attempts with a durable bill that are kept to recognise repeated settlements.
const DEDUP_LIMIT: usize = 65_536;

/// State of each bill, by attempt.
#[derive(Debug, Default)]
pub(super) struct Durability {
    /// Bills that are not in the store yet: their holder, and the number of bills that the holder
    /// had made including this one.
    pending: HashMap<RequestId, (Generation, u64)>,
    /// Number of bills that each holder has made.
    bill_counts: BTreeMap<Generation, u64>,
    /// Attempts whose bill is in the store.
    done: HashSet<RequestId>,
    /// The attempts of `done`, the oldest first.
    order: VecDeque<RequestId>,
}

impl Durability {
    /// Records a bill that a holder has just made.
    pub(super) fn record_bill(&mut self, attempt: &RequestId, generation: Generation) {
        let made = self.bill_counts.entry(generation).or_default();
        *made += 1;
        self.pending.insert(attempt.clone(), (generation, *made));
    }

    /// Updates which bills of a holder are in the store: all but its latest `unwritten` ones.
    pub(super) fn update_written(&mut self, generation: Generation, unwritten: u64) {
        let made = self.bill_counts.get(&generation).copied().unwrap_or(0);
        let written = made.saturating_sub(unwritten);
        let is_done =
            |(holder, number): &(Generation, u64)| *holder == generation && *number <= written;
        let done = self.pending.extract_if(|_, place| is_done(place));
        let done: Vec<_> = done.map(|(attempt, _)| attempt).collect();
        done.into_iter().for_each(|attempt| self.remember(attempt));
    }

    /// Removes the bills of a holder that are not in the store; repeated settlements make them
    /// again.
    pub(super) fn forget(&mut self, generation: Generation) {
        self.pending.retain(|_, (holder, _)| *holder != generation);
    }

    /// Returns whether the bill of an attempt is in the store; `None` when no bill is known.
    pub(super) fn get(&self, attempt: &str) -> Option<bool> {
        if self.pending.contains_key(attempt) {
            return Some(false);
        }
        self.done.contains(attempt).then_some(true)
    }

    fn remember(&mut self, attempt: RequestId) {
        if self.order.len() >= DEDUP_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.done.remove(&oldest);
        }
        self.order.push_back(attempt.clone());
        self.done.insert(attempt);
    }
}
