//! The part of one host: what it knows of the list, and what it tells its followers.

use {
    super::{Cursor, Fallback, Log, Position, Receipt, Update},
    crate::{
        forward::Registration,
        id::{HolderId, UpstreamId},
        wire::{Follow, News},
    },
    std::time::Duration,
};

/// A host that reads the list itself or follows another one, never both at a time. Only while it
/// reads itself, others can follow it.
#[derive(Debug, Default)]
pub struct Node {
    cursor: Cursor,
    log: Log,
}

impl Node {
    /// Sets the process that reads for the group of this host; `None` when this host does.
    pub fn set_reader(&mut self, reader: Option<HolderId>) -> Option<Fallback> {
        self.cursor.set_reader(reader)
    }

    /// Forgets what is known, so that the whole list is read next, and tells nobody more until then.
    pub fn restart(&mut self) {
        self.cursor.restart();
        self.log.close();
    }

    /// Returns whether the host follows a reader and does not read the list itself.
    pub fn is_following(&self) -> bool {
        self.cursor.is_following()
    }

    /// Returns whether this host has a reader, whether it follows it or not.
    pub fn has_reader(&self) -> bool {
        self.cursor.has_reader()
    }

    /// Returns the number of hosts that follow this one.
    pub fn followers(&self) -> usize {
        self.log.followers()
    }

    /// Records a read of the whole list that began at `asked_at`; returns whether it is to be
    /// applied.
    pub fn record_list(
        &mut self,
        now: Duration,
        asked_at: Duration,
        position: Position,
        listing: &[(UpstreamId, Registration)],
    ) -> bool {
        let is_own = self.cursor.record_read(position);
        if is_own {
            self.log.record_list(now, asked_at, position, listing);
        }
        is_own
    }

    /// Records a read of updates that began at `asked_at`; returns whether it is to be applied.
    pub fn record_updates(
        &mut self,
        now: Duration,
        asked_at: Duration,
        position: Position,
        updates: impl IntoIterator<Item = Update>,
    ) -> bool {
        let is_own = self.cursor.record_read(position);
        if is_own {
            self.log.record_updates(now, asked_at, position, updates);
        }
        is_own
    }

    /// Records an own read that failed; `is_lost` when the store did not answer. Returns false when
    /// the host follows by now, so that the fault does not matter.
    pub fn record_fault(&mut self, is_lost: bool) -> bool {
        if self.is_following() {
            return false;
        }
        self.cursor.record_fault();
        self.log.record_fault(is_lost);
        true
    }

    /// Stops following when what is known has become too old.
    pub fn tick(&mut self, now: Duration) -> Option<Fallback> {
        self.cursor.tick(now)
    }

    /// Returns the question to the reader; to be called every [`super::ASK_INTERVAL`], and at once
    /// when the reader has more to tell.
    pub fn ask(&self, now: Duration) -> Option<(HolderId, Follow)> {
        self.cursor.ask(now)
    }

    /// Answers a host that follows or wants to.
    pub fn answer(&mut self, now: Duration, from: &HolderId, follow: &Follow) -> News {
        self.log.answer(now, from, follow)
    }

    /// Returns what the followers have not been sent yet.
    pub fn publish(&mut self, now: Duration) -> Vec<(HolderId, News)> {
        self.log.publish(now)
    }

    /// Handles a message of a process.
    pub fn receive(&mut self, now: Duration, from: &str, news: &News) -> Receipt {
        let receipt = self.cursor.receive(now, from, news);
        if receipt.has_joined {
            self.log.close();
        }
        receipt
    }
}
