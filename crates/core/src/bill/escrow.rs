//! What the ledger needs to know about the rows of the `budget` slice.

use {
    super::Bill,
    crate::{
        budget::{Account, Entry},
        id::Tokens,
    },
};

pub use crate::budget::{account::key as account_key, journal::key as journal_key};

/// Returns the bills of a journal entry.
pub fn bills(entry: &Entry) -> &[Bill] {
    entry.bills()
}

/// Takes tokens back into a budget row; `None` when fewer are allocated.
pub fn restore(account: &mut Account, tokens: Tokens) -> Option<()> {
    account.restore(tokens)
}
