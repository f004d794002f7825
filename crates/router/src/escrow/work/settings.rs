//! What the task does by the settings tree: when it ends, and how fast it refills.

use {super::Worker, crate::logs::TOKENS, std::time::Duration};

impl Worker {
    /// Returns whether the journals are closed once the task is to end.
    ///
    /// A closed task lingers, so that the entries learn that their settlements are durable.
    pub(super) fn finish_stop(&mut self, stop: Duration) -> Option<bool> {
        let now = self.parts.clock.now();
        let limit = self.parts.control.snapshot().drain_limit(self.drain_limit);
        if now >= stop + limit {
            let (reserved, bills) = self.holders.unfinished();
            log::error!(target: TOKENS, bills, reserved; "journal not closed within the drain limit");
            return Some(false);
        }
        if !self.holders.is_closed() {
            return None;
        }
        let closed = *self.closed.get_or_insert(now);
        (now >= closed + self.flush_interval).then_some(true)
    }

    /// Takes over the settings of the tree that concern holders.
    pub(super) fn apply_settings(&mut self) {
        let snapshot = self.parts.control.snapshot();
        let sizes = self.parts.sizes.clone().for_fleet(snapshot.hosts.len());
        let sizes = match snapshot.catalog.limits.endurance {
            Some(endurance) => sizes.with_endurance(endurance),
            None => sizes,
        };
        self.holders.update_settings(&sizes);
    }

    /// Refills before the next regular flush when a reservation lacks tokens.
    pub(super) fn refill_if_due(&mut self) {
        self.apply_settings();
        let now = self.parts.clock.now();
        if self
            .holders
            .iter()
            .any(|(_, holder)| holder.is_early_flush_due(now))
        {
            self.start_call();
        }
    }
}
