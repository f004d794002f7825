//! Rows of a holder's journal.

use {
    crate::{
        bill::Bill,
        id::{BudgetId, HolderId, Sequence, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What a holder has of one budget, cumulative over the holder's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens moved from the budget to the holder.
    pub allocated: Tokens,
    /// The holder may spend up to here; at most `allocated`.
    pub mark: Tokens,
    /// Tokens billed; at most `mark`.
    pub spent: Tokens,
}

/// Row `journal/{holder}/{sequence}`, created once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Who wrote the row: the holder itself, or the host that fenced it.
    pub author: HolderId,
    /// Content.
    pub entry: Entry,
}

/// Content of a [`Journal`] row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// The holder's shares and the bills since its last row.
    Flush {
        /// Every share of the holder.
        shares: BTreeMap<BudgetId, Share>,
        /// Bills made since the last row.
        bills: Vec<Bill>,
    },
}

/// Returns the key of a journal row; keys sort by sequence.
pub fn key(holder: &str, sequence: Sequence) -> String {
    format!("journal/{holder}/{sequence:012}")
}
