//! Which bills of this process are in the store.

use {
    super::holders::Generation,
    marigoldroute_core::id::RequestId,
    std::collections::{BTreeMap, HashMap, HashSet, VecDeque},
};

/// Attempts with a durable bill that are remembered for repeated settlements.
const REMEMBERED: usize = 65_536;

/// Bills by attempt.
#[derive(Debug, Default)]
pub(super) struct Durable {
    /// Bills that no row holds yet: the holder, and how many bills it had made with this one.
    open: HashMap<RequestId, (Generation, u64)>,
    /// Bills made by each holder.
    made: BTreeMap<Generation, u64>,
    done: HashSet<RequestId>,
    /// The order of `done`, the oldest first.
    order: VecDeque<RequestId>,
}

impl Durable {
    /// Notes a bill that a holder just made.
    pub(super) fn made(&mut self, attempt: &RequestId, generation: Generation) {
        let made = self.made.entry(generation).or_default();
        *made += 1;
        self.open.insert(attempt.clone(), (generation, *made));
    }

    /// Takes the number of bills that a holder has not written; they are its latest.
    pub(super) fn written(&mut self, generation: Generation, unwritten: u64) {
        let made = self.made.get(&generation).copied().unwrap_or(0);
        let written = made.saturating_sub(unwritten);
        let is_done =
            |(holder, number): &(Generation, u64)| *holder == generation && *number <= written;
        let done = self.open.extract_if(|_, place| is_done(place));
        let done: Vec<_> = done.map(|(attempt, _)| attempt).collect();
        done.into_iter().for_each(|attempt| self.remember(attempt));
    }

    /// Forgets the bills of a holder that no row holds; a repeated settlement makes them again.
    pub(super) fn forget(&mut self, generation: Generation) {
        self.open.retain(|_, (holder, _)| *holder != generation);
    }

    /// Returns whether the bill of an attempt is in the store; `None` when there is none.
    pub(super) fn get(&self, attempt: &str) -> Option<bool> {
        if self.open.contains_key(attempt) {
            return Some(false);
        }
        self.done.contains(attempt).then_some(true)
    }

    fn remember(&mut self, attempt: RequestId) {
        if self.order.len() >= REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.done.remove(&oldest);
        }
        self.order.push_back(attempt.clone());
        self.done.insert(attempt);
    }
}
