//! Which bills of this process are in the store.

use {
    super::holders::Generation,
    marigoldroute_core::id::RequestId,
    std::collections::{BTreeMap, HashMap, HashSet, VecDeque},
};

/// Attempts with a durable bill that are remembered for repeated settlements.
const DEDUP_LIMIT: usize = 65_536;

/// Bills by attempt.
#[derive(Debug, Default)]
pub(super) struct Durability {
    /// Bills that no row holds yet: the holder, and how many bills it had made with this one.
    pending: HashMap<RequestId, (Generation, u64)>,
    /// Bills made by each holder.
    bill_counts: BTreeMap<Generation, u64>,
    done: HashSet<RequestId>,
    /// The order of `done`, the oldest first.
    order: VecDeque<RequestId>,
}

impl Durability {
    /// Notes a bill that a holder just made.
    pub(super) fn record_bill(&mut self, attempt: &RequestId, generation: Generation) {
        let made = self.bill_counts.entry(generation).or_default();
        *made += 1;
        self.pending.insert(attempt.clone(), (generation, *made));
    }

    /// Takes the number of bills that a holder has not written; they are its latest.
    pub(super) fn update_written(&mut self, generation: Generation, unwritten: u64) {
        let made = self.bill_counts.get(&generation).copied().unwrap_or(0);
        let written = made.saturating_sub(unwritten);
        let is_done =
            |(holder, number): &(Generation, u64)| *holder == generation && *number <= written;
        let done = self.pending.extract_if(|_, place| is_done(place));
        let done: Vec<_> = done.map(|(attempt, _)| attempt).collect();
        done.into_iter().for_each(|attempt| self.remember(attempt));
    }

    /// Forgets the bills of a holder that no row holds; a repeated settlement makes them again.
    pub(super) fn forget(&mut self, generation: Generation) {
        self.pending.retain(|_, (holder, _)| *holder != generation);
    }

    /// Returns whether the bill of an attempt is in the store; `None` when there is none.
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
