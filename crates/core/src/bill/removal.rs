//! Removal of journals that have ended.

use {
    super::{
        cursor::{Page, cursor_key},
        ledger::Ledger,
    },
    crate::{
        budget::journal::{key as journal_key, opening_key},
        table::{Row, Transaction},
    },
    std::time::Duration,
};

/// Rows of an ended journal that one transaction removes at most.
pub const REMOVAL_LIMIT_ROWS: usize = 256;

impl Ledger {
    /// Returns whether a journal has ended so long ago that it is to be removed.
    pub fn is_removal_due(&self, wall: Duration, page: &Page) -> bool {
        let Some(ended) = page.cursor.ended else {
            return false;
        };
        let is_idle = page.cursor.batch.is_none() && page.rows.is_empty();
        is_idle && wall >= Duration::from_secs(ended) + self.settings.journal_retention
    }

    /// Returns the next step of the removal of a journal that is due.
    ///
    /// `opening` is its opening row and `rows` are its first rows, at most [`REMOVAL_LIMIT_ROWS`], as just
    /// read. First the opening row goes: from then on no transaction of the holder or of a
    /// reclaimer takes effect. Only then it is certain which rows there are, because a message that
    /// was delayed can create a consumed row again.
    pub fn remove_journal(&self, page: &Page, opening: Option<&Row>, rows: &[Row]) -> Transaction {
        let mut transaction = self.conditions(page);
        let next = journal_key(&page.holder, page.cursor.next);
        transaction.require(next, 0);
        let key = opening_key(&page.holder);
        if let Some(row) = opening {
            transaction.require(key.as_str(), row.version);
            transaction.delete(key);
            return transaction;
        }
        transaction.require(key, 0);
        for row in rows {
            transaction.delete(row.key.clone());
        }
        if rows.len() < REMOVAL_LIMIT_ROWS {
            transaction.delete(cursor_key(&page.holder));
        }
        transaction
    }
}
