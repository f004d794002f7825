//! Behaviour of the task that depends on the settings tree: the drain limit and the sizes of
//! grants.

use {super::Worker, crate::logs::TOKENS, std::time::Duration};

impl Worker {
    /// Returns whether the journals are closed, once the task has to end; `None` before.
    ///
    /// After it has closed its journals the task stays for one flush interval, so that the entries
    /// learn that their settlements are durable.
    pub(super) fn finish_stop(&mut self, stop: Duration) -> Option<bool> {
        let now = self.deps.clock.now();
        let limit = self.deps.control.snapshot().drain_limit(self.drain_limit);
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

    /// Applies the settings of the tree that concern holders.
    pub(super) fn apply_settings(&mut self) {
        let snapshot = self.deps.control.snapshot();
        let sizes = self.deps.sizes.clone().for_fleet(snapshot.hosts.len());
        let sizes = match snapshot.catalog.limits.endurance {
            Some(endurance) => sizes.with_endurance(endurance),
            None => sizes,
        };
        self.holders.update_settings(&sizes);
    }

    /// Starts a call before the next regular flush if a holder is due for an early one.
    pub(super) fn refill_if_due(&mut self) {
        self.apply_settings();
        let now = self.deps.clock.now();
        if self
            .holders
            .iter()
            .any(|(_, holder)| holder.is_early_flush_due(now))
        {
            self.start_call();
        }
    }
}
