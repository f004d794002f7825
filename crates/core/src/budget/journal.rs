//! Rows of a holder's journal, and their keys.

use {
    super::bound::Bound,
    crate::{
        bill::Bill,
        id::{BudgetId, Era, HolderId, Sequence, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Tokens of one budget at a holder.
///
/// Rows omit shares without unspent tokens, so the counts start at 0 again when the holder receives
/// tokens of the budget later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens moved from the budget to the holder, less those that the holder returned.
    pub allocated: Tokens,
    /// Limit of the tokens that the holder may spend; at most `allocated`.
    pub mark: Tokens,
    /// Tokens billed in this and earlier rows; at most `mark`.
    pub spent: Tokens,
    /// Bound on the tokens used since the row was made, which also never exceed `mark`. Absent when
    /// bounds are off or the store's clock is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Bound>,
}

/// Shares of a holder by budget.
pub type Shares = BTreeMap<BudgetId, Share>;

/// Row `journal/{holder}/{sequence}`, created once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Process that wrote the row: the holder itself, or the one that took the journal over.
    pub author: HolderId,
    /// Content of the row.
    pub entry: Entry,
    /// Era of the store that the author knew. Later eras do not know what the holder took between
    /// the row and the restore.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
}

/// Content of a [`Journal`] row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// The holder's shares and the bills since its last row.
    Flush {
        /// All shares with unspent tokens.
        shares: Shares,
        /// Bills since the previous row.
        bills: Vec<Bill>,
    },
    /// Another host fenced the holder and returned the tokens above the marks.
    Fence {
        /// Shares after the return; `allocated` equals `mark`.
        shares: Shares,
    },
    /// The holder's last row: all its tokens are spent or returned.
    Close {
        /// Bills since the previous row.
        bills: Vec<Bill>,
    },
    /// Another process declared the holder lost and returned its tokens: the marked ones after a
    /// fence, or at a takeover all but those that the holder can have used.
    Lost {
        /// Why the holder was declared lost.
        reason: Reason,
        /// Bills rebuilt from usage records, charged from the holder's marked tokens.
        bills: Vec<Bill>,
    },
    /// Bills that arrived after the [`Entry::Lost`] row, charged from the unallocated tokens of the
    /// budgets.
    Late {
        /// Bills in the order of arrival.
        bills: Vec<Bill>,
    },
}

impl Entry {
    /// Returns the bills of the row.
    pub fn bills(&self) -> &[Bill] {
        match self {
            Self::Flush { bills, .. }
            | Self::Close { bills }
            | Self::Lost { bills, .. }
            | Self::Late { bills } => bills,
            Self::Fence { .. } => &[],
        }
    }

    /// Returns whether the only rows that can follow are those with late bills.
    pub fn is_terminal(&self) -> bool {
        matches!(
            self,
            Self::Close { .. } | Self::Lost { .. } | Self::Late { .. }
        )
    }

    /// Returns the shares of the holder after the row; `None` when it has no tokens.
    pub fn shares(&self) -> Option<&Shares> {
        match self {
            Self::Flush { shares, .. } | Self::Fence { shares } => Some(shares),
            Self::Close { .. } | Self::Lost { .. } | Self::Late { .. } => None,
        }
    }
}

/// Why a holder was declared lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// An operator stated that the host is permanently lost.
    Statement {
        /// Name of the operator's key.
        operator: String,
    },
    /// The host's next process has started, so the process of the holder has certainly ended.
    Succeeded,
    /// The time of the setting `reclaim after` has passed since the fence row.
    Elapsed,
}

/// Returns the key of a journal row; keys sort by sequence.
pub fn key(holder: &str, sequence: Sequence) -> String {
    format!("journal/{holder}/{sequence:012}")
}

/// Returns the key of a holder's opening row, which is created with the first row of its journal
/// and never changed.
///
/// The transaction of every later journal row requires it. It is removed together with the journal,
/// so that neither the holder nor a process that takes over from it can append to a removed
/// journal.
pub fn opening_key(holder: &str) -> String {
    format!("holder/{holder}")
}

/// Returns the prefix of the keys of a holder's journal.
pub fn prefix(holder: &str) -> String {
    format!("journal/{holder}/")
}

/// Returns the holder in the key of a journal row; `None` for other keys.
pub fn holder_of_key(key: &str) -> Option<&str> {
    let (holder, _) = key.strip_prefix("journal/")?.rsplit_once('/')?;
    Some(holder)
}

/// Returns the sequence in the key of a journal row; `None` when the key does not end in a number.
pub fn sequence_of_key(key: &str) -> Option<Sequence> {
    key.rsplit('/').next()?.parse().ok()
}

/// Returns the sequence of the first row of a holder's journal that must be retained: the last row
/// that the holder itself wrote.
///
/// The holder repeats a transaction whose response was lost, and create-if-absent detects the
/// repetition only while the row exists. The later rows by other hosts are retained too, because
/// the holder has to find them when it resumes after a pause.
pub fn first_retained<'a>(
    holder: &str,
    rows: impl IntoIterator<Item = (Sequence, &'a Journal)>,
) -> Option<Sequence> {
    let own = rows.into_iter().filter(|(_, row)| *row.author == *holder);
    own.map(|(sequence, _)| sequence).max()
}
