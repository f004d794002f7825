//! Requests that the rest of a budget covers in part.

use {
    super::{super::demand::Job, World},
    marigoldroute_core::{
        budget::ReserveError,
        id::{RequestId, Tokens},
    },
    std::time::Duration,
};

impl World {
    /// Asks the holders for what they have, at least the tokens of the least useful answer. A holder
    /// that lacks them may refill once, whatever it did in this second.
    pub(super) fn shorten(
        &mut self,
        second: u64,
        candidates: &[usize],
        request: &RequestId,
        job: &Job,
    ) -> Option<(usize, Tokens)> {
        let now = Duration::from_secs(second);
        let budget = self.names[job.budget].clone();
        let (most, least) = (job.amount, job.least);
        for index in candidates.iter().copied() {
            let node = &mut self.nodes[index];
            let mut part = node.reserve_part(now, request, &budget, most, least);
            if part == Err(ReserveError::RefillPending) {
                self.flush(second, index);
                let node = &mut self.nodes[index];
                part = node.reserve_part(now, request, &budget, most, least);
            }
            if let Ok(amount) = part {
                return Some((index, amount));
            }
        }
        None
    }
}
