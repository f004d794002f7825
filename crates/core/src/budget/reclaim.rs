//! Return of the tokens of a holder that does not answer.
//!
//! The type of a [`Tail`] states how far the reclaim has gone, and only the steps that are safe
//! then exist: a live journal can be fenced, a fenced one can be declared lost, and bills can be
//! added to a lost one.

use {
    super::{
        account::{self, Accounts, json},
        journal::{self, Entry, Journal, Reason, Share, Shares},
    },
    crate::{
        bill::Bill,
        id::{BudgetId, HolderId, Sequence, Tokens, Version},
        table::{Row, Transaction},
    },
    std::{collections::BTreeSet, marker::PhantomData, time::Duration},
};

/// Settings of the reclaim of marked tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Lease time of a host.
    pub lease: Duration,
    /// Setting `reclaim after`: the longest pause of a process that is assumed. When it is absent,
    /// only the holder itself or an operator's statement releases the marked tokens. A longer
    /// pause costs no overspend, but bills that arrive afterwards may be uncovered.
    pub after: Option<Duration>,
}

/// State of a journal that only its holder has written.
#[derive(Clone, Copy, Debug)]
pub enum Live {}
/// State of a journal whose last row is a fence.
#[derive(Clone, Copy, Debug)]
pub enum Fenced {}
/// State of a journal whose holder was declared lost.
#[derive(Clone, Copy, Debug)]
pub enum Lost {}

/// The end of a holder's journal.
#[derive(Clone, Debug)]
pub struct Tail<State> {
    holder: HolderId,
    /// Sequence of the next row.
    next: Sequence,
    /// Version of the opening row; 0 when the journal is empty.
    opening: Version,
    pub(super) shares: Shares,
    state: PhantomData<State>,
}

/// A [`Tail`] in the state in which it was read.
#[derive(Clone, Debug)]
pub enum JournalState {
    /// Not fenced.
    Live(Tail<Live>),
    /// Fenced; the marked tokens are stranded.
    Fenced(Tail<Fenced>),
    /// Declared lost.
    Lost(Tail<Lost>),
    /// Closed by the holder.
    Closed,
}

/// Reads the end of a holder's journal from its last row and its opening row, see
/// [`journal::opening_key`]; no last row stands for an empty journal.
///
/// Returns `None` when a row cannot be read, or the journal has just been removed. An old row does no harm: the transactions that
/// follow from it conflict.
pub fn read(holder: &HolderId, last: Option<&Row>, opening: Option<&Row>) -> Option<JournalState> {
    let Some(row) = last else {
        let tail = Tail::new(holder, 1, 0, Shares::new());
        return opening.is_none().then_some(JournalState::Live(tail));
    };
    let next = journal::sequence_of_key(&row.key)? + 1;
    let journal: Journal = serde_json::from_str(&row.value).ok()?;
    if matches!(journal.entry, Entry::Close { .. }) {
        return Some(JournalState::Closed);
    }
    let opening = opening?.version;
    Some(match journal.entry {
        Entry::Flush { shares, .. } => JournalState::Live(Tail::new(holder, next, opening, shares)),
        Entry::Fence { shares } => JournalState::Fenced(Tail::new(holder, next, opening, shares)),
        Entry::Lost { .. } | Entry::Late { .. } => {
            JournalState::Lost(Tail::new(holder, next, opening, Shares::new()))
        }
        Entry::Close { .. } => JournalState::Closed,
    })
}

impl<State> Tail<State> {
    fn new(holder: &HolderId, next: Sequence, opening: Version, shares: Shares) -> Self {
        Self {
            holder: holder.clone(),
            next,
            opening,
            shares,
            state: PhantomData,
        }
    }

    /// Returns the tokens that the holder has, and those of them that it had spent by its last row.
    pub fn totals(&self) -> (Tokens, Tokens) {
        let shares = self.shares.values();
        shares.fold((0, 0), |(allocated, spent), share| {
            (allocated + share.allocated, spent + share.spent)
        })
    }

    /// Returns the tokens that the holder had spent and reserved by its last row.
    pub fn used_by_last_row(&self) -> Tokens {
        let shares = self.shares.values();
        let stated = shares.map(|share| share.bound.map_or(share.mark, |bound| bound.used));
        stated.sum()
    }

    /// Returns the time between the holder's last row and `ended_ms`, in milliseconds; `None` when
    /// the row states no bound.
    pub fn age_ms(&self, ended_ms: u64) -> Option<u64> {
        let bounds = self.shares.values().filter_map(|share| share.bound);
        let made = bounds.map(|bound| bound.at_ms).max()?;
        Some(ended_ms.saturating_sub(made))
    }

    /// Returns the tokens that the holder can have used, when it ended by `ended_ms`.
    pub fn max_used(&self, ended_ms: u64) -> Tokens {
        let used = self.shares.values().map(|share| used(share, ended_ms));
        used.sum()
    }

    /// Returns the keys of the budget rows that the next step needs, with those of `bills`.
    pub fn keys(&self, bills: &[Bill]) -> Vec<String> {
        let budgets: BTreeSet<_> = self
            .shares
            .keys()
            .chain(bills.iter().map(|b| &b.budget))
            .collect();
        budgets.into_iter().map(|id| account::key(id)).collect()
    }

    fn append(&self, author: &HolderId, entry: Entry, accounts: &Accounts) -> Transaction {
        let mut transaction = Transaction::default();
        let key = journal::key(&self.holder, self.next);
        let author = author.clone();
        transaction.require(key.as_str(), 0);
        let opening = journal::opening_key(&self.holder);
        transaction.require(opening.as_str(), self.opening);
        if self.opening == 0 {
            transaction.put(opening, json(&self.holder));
        }
        accounts.write(&mut transaction);
        transaction.put(key, json(&Journal { author, entry }));
        transaction
    }
}

impl Tail<Live> {
    /// Fences the holder and returns its tokens above the marks.
    ///
    /// `rows` are the budget rows of [`Self::keys`]; `None` when one is missing. `author` is the
    /// name of the reclaiming host, never the holder's id.
    pub fn fence(&self, author: &HolderId, rows: &[Row]) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows);
        let mut shares = self.shares.clone();
        for (budget, share) in &mut shares {
            let above = share.allocated - share.mark;
            accounts.deallocate(budget, above)?;
            share.allocated = share.mark;
        }
        Some(self.append(author, Entry::Fence { shares }, &accounts))
    }
}

impl Tail<Live> {
    /// Ends the journal of a process that has certainly ended, and returns its tokens but for those
    /// that it can have used. `ended_ms` is the store's clock at or after the end of the process.
    ///
    /// `rows` are the budget rows of [`Self::keys`]; `None` when one is missing.
    pub fn take_over(&self, author: &HolderId, ended_ms: u64, rows: &[Row]) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows);
        for (budget, share) in &self.shares {
            accounts.deallocate(budget, share.allocated - used(share, ended_ms))?;
        }
        let reason = Reason::Succeeded;
        let bills = Vec::new();
        Some(self.append(author, Entry::Lost { reason, bills }, &accounts))
    }
}

impl Tail<Fenced> {
    /// Returns whether no marked token is left, so that [`Self::declare_lost`] returns nothing.
    pub fn is_spent(&self) -> bool {
        self.shares.values().all(|share| share.spent == share.mark)
    }

    /// Returns whether the setting `reclaim after` allows [`Self::declare_lost`] without an operator.
    ///
    /// `seen` is when this process first saw the fence row, by its own clock.
    pub fn is_due(&self, settings: &Settings, seen: Duration, now: Duration) -> bool {
        let Some(after) = settings.after else {
            return false;
        };
        now.saturating_sub(seen) >= settings.lease + after
    }

    /// Declares the holder lost and returns its marked tokens, less the `bills` that were rebuilt
    /// from usage records and are in none of the holder's rows.
    ///
    /// `rows` are the budget rows of [`Tail::keys`]; `None` when one is missing.
    pub fn declare_lost(
        &self,
        author: &HolderId,
        reason: Reason,
        bills: Vec<Bill>,
        rows: &[Row],
    ) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows);
        let mut marked = self.shares.clone();
        let bills: Vec<_> = bills
            .into_iter()
            .map(|bill| charge(&mut marked, bill))
            .collect();
        for (budget, share) in &marked {
            accounts.deallocate(budget, share.mark - share.spent)?;
        }
        let mut covered = Vec::with_capacity(bills.len());
        for (bill, excess) in bills {
            let account = accounts.get(&bill.budget)?;
            let moved = account.grant(excess);
            covered.push(Bill {
                charged: bill.charged + moved,
                uncovered: bill.uncovered + (excess - moved),
                ..bill
            });
        }
        let bills = covered;
        Some(self.append(author, Entry::Lost { reason, bills }, &accounts))
    }
}

impl Tail<Lost> {
    /// Appends bills that arrived late, charged from what the budgets have left.
    ///
    /// `rows` are the budget rows of [`Tail::keys`]; `None` when one is missing.
    pub fn append_late_bills(
        &self,
        author: &HolderId,
        bills: Vec<Bill>,
        rows: &[Row],
    ) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows);
        let mut late = Vec::with_capacity(bills.len());
        for bill in bills {
            let account = accounts.get(&bill.budget)?;
            late.push(account.charge(bill));
        }
        Some(self.append(author, Entry::Late { bills: late }, &accounts))
    }
}

/// Returns the tokens of a share that can have been used by `ended_ms`.
fn used(share: &Share, ended_ms: u64) -> Tokens {
    let used = share
        .bound
        .map_or(share.mark, |bound| bound.max_used(ended_ms));
    used.min(share.mark).max(share.spent)
}

/// Charges a bill from the marked tokens and returns it with the part that they do not cover.
fn charge(marked: &mut Shares, bill: Bill) -> (Bill, Tokens) {
    let mut none = Share::default();
    let share = marked
        .get_mut::<BudgetId>(&bill.budget)
        .unwrap_or(&mut none);
    let charged = bill.charged.min(share.mark - share.spent);
    share.spent += charged;
    let excess = bill.charged - charged;
    (Bill { charged, ..bill }, excess)
}
