//! Rows of a holder's journal.

use {
    super::bound::Bound,
    crate::{
        bill::Bill,
        id::{BudgetId, HolderId, Sequence, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What a holder has of one budget.
///
/// Counts start at 0 again when a budget comes back after all its tokens were spent or returned,
/// because rows leave out shares of which nothing is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens moved from the budget to the holder, less what the holder returned.
    pub allocated: Tokens,
    /// The holder may spend up to here; at most `allocated`.
    pub mark: Tokens,
    /// Tokens billed in this and earlier rows; at most `mark`.
    pub spent: Tokens,
    /// What can have been used since the row was made; at most `mark` in any case.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Bound>,
}

/// Shares of one holder by budget.
pub type Shares = BTreeMap<BudgetId, Share>;

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
        /// Every share of which tokens are left.
        shares: Shares,
        /// Bills made since the last row.
        bills: Vec<Bill>,
    },
    /// Another host took over the journal and returned the tokens above the marks.
    Fence {
        /// Shares after the return; `allocated` equals `mark`.
        shares: Shares,
    },
    /// The holder's last row: all its tokens are spent or returned.
    Close {
        /// Bills made since the last row.
        bills: Vec<Bill>,
    },
    /// Another host returned the marked tokens of a fenced holder that is taken as lost.
    Lost {
        /// Why the holder is taken as lost.
        reason: Reason,
        /// Bills rebuilt from usage records, charged from the holder's marked tokens.
        bills: Vec<Bill>,
    },
    /// Bills that arrived after the [`Entry::Lost`] row, charged from the rest of the budgets.
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

    /// Returns whether only late bills can follow.
    pub fn is_terminal(&self) -> bool {
        matches!(
            self,
            Self::Close { .. } | Self::Lost { .. } | Self::Late { .. }
        )
    }

    /// Returns the shares that the holder has after the row.
    pub fn shares(&self) -> Option<&Shares> {
        match self {
            Self::Flush { shares, .. } | Self::Fence { shares } => Some(shares),
            Self::Close { .. } | Self::Lost { .. } | Self::Late { .. } => None,
        }
    }
}

/// Why a fenced holder is taken as lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// An operator stated that the host is permanently lost.
    Statement {
        /// Name of the operator's key.
        operator: String,
    },
    /// The host's next process has started, so the holder's has certainly ended.
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
/// Every later journal row requires it. It is removed together with the journal, so that nobody
/// who still takes the journal as his own, or as that of a dead holder, can append to it.
pub fn opening_key(holder: &str) -> String {
    format!("holder/{holder}")
}

/// Returns the prefix of the keys of a holder's journal.
pub fn prefix(holder: &str) -> String {
    format!("journal/{holder}/")
}

/// Returns the holder in the key of a journal row.
pub fn holder_of_key(key: &str) -> Option<&str> {
    let (holder, _) = key.strip_prefix("journal/")?.rsplit_once('/')?;
    Some(holder)
}

/// Returns the sequence in the key of a journal row.
pub fn sequence_of_key(key: &str) -> Option<Sequence> {
    key.rsplit('/').next()?.parse().ok()
}

/// Returns the first row of a holder's journal that must not be deleted: the last one that the
/// holder itself wrote.
///
/// The holder repeats a transaction whose response was lost, and create-if-absent only recognises
/// it while the row exists. The same holds for the rows of other hosts that follow, which a holder
/// has to find when it returns.
pub fn first_retained<'a>(
    holder: &str,
    rows: impl IntoIterator<Item = (Sequence, &'a Journal)>,
) -> Option<Sequence> {
    let own = rows.into_iter().filter(|(_, row)| *row.author == *holder);
    own.map(|(sequence, _)| sequence).max()
}
