//! What the task takes from the settings tree.

use {super::Worker, crate::logs::TOKENS, std::time::Duration};

impl Worker {
    /// Returns whether the journals are closed once the task is to end.
    ///
    /// A closed task lingers, so that the entries learn that their settlements are durable.
    pub(super) fn end(&mut self, stop: Duration) -> Option<bool> {
        let now = self.parts.clock.now();
        let limit = self.parts.control.scene().drain_limit(self.drain_limit);
        if now >= stop + limit {
            let (reserved, bills) = self.holders.left();
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
    pub(super) fn configure(&mut self) {
        let sizes = self.parts.sizes.clone();
        let sizes = match self.parts.control.scene().catalog.limits.endurance {
            Some(endurance) => sizes.with_endurance(endurance),
            None => sizes,
        };
        self.holders.tune(&sizes);
    }
}
