//! What the ledger needs to know about the rows of the `budget` slice.

use {
    super::Bill,
    crate::{
        budget::{Account, Entry},
        id::{Sequence, Tokens},
    },
};

/// Returns the bills of a journal entry.
pub fn bills(entry: &Entry) -> &[Bill] {
    entry.bills()
}

/// Returns the key of a journal row.
pub fn journal_key(holder: &str, sequence: Sequence) -> String {
    format!("journal/{holder}/{sequence:012}")
}

/// Returns the key of a budget row.
pub fn account_key(budget: &str) -> String {
    format!("budget/{budget}")
}

/// Takes tokens back into a budget row; `None` when fewer are allocated.
pub fn restore(account: &mut Account, tokens: Tokens) -> Option<()> {
    account.restore(tokens)
}
