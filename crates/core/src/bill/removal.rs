//! Removal of the journals of holders that have ended.

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

/// Maximum number of journal rows that one transaction of [`Ledger::remove_journal`] deletes.
pub const REMOVAL_LIMIT_ROWS: usize = 256;

impl Ledger {
    /// Returns whether a journal ended at least [`journal_retention`] ago and has no unbilled rows.
    ///
    /// [`journal_retention`]: super::Settings::journal_retention
    pub fn is_removal_due(&self, wall: Duration, page: &Page) -> bool {
        let Some(ended) = page.cursor.ended else {
            return false;
        };
        let is_idle = page.cursor.batch.is_none() && page.rows.is_empty();
        is_idle && wall >= Duration::from_secs(ended) + self.settings.journal_retention
    }

    /// Returns the next transaction of the removal of a journal for which
    /// [`Self::is_removal_due`] holds.
    ///
    /// `opening` is the opening row of the journal and `rows` are its first rows, at most
    /// [`REMOVAL_LIMIT_ROWS`], both as just read. The first transaction deletes the opening row, on
    /// which every transaction of the holder and of reclaimers is conditional. Until then a
    /// delayed message could create a consumed row again, so the remaining rows are only deleted
    /// by later transactions.
    pub fn remove_journal(&self, page: &Page, opening: Option<&Row>, rows: &[Row]) -> Transaction {
        let mut transaction = self.guarded_transaction(page);
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
