//! Return of the tokens of a holder that does not respond or whose process has ended.
//!
//! The type parameter of a [`Tail`] is the state of the journal, and only the steps that are safe
//! in this state exist: a live journal can be fenced or, if its process has ended, taken over; a
//! fenced one can be declared lost; and late bills can be appended to a lost one.

use {
    super::{
        account::{self, Accounts, json},
        era::Settlement,
        journal::{self, Entry, Journal, Reason, Share, Shares},
    },
    crate::{
        bill::Bill,
        id::{BudgetId, Era, HolderId, Sequence, Tokens, Version},
        table::{Row, Transaction},
    },
    std::{collections::BTreeSet, marker::PhantomData, time::Duration},
};

/// Times after which the marked tokens of a fenced holder may be returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Lease time of a host.
    pub lease: Duration,
    /// Setting `reclaim after`: the longest assumed pause of a process. When it is absent, only the
    /// holder itself or an operator's statement releases the marked tokens. A pause longer than
    /// this causes no overspend, but bills that arrive after it may be uncovered.
    pub after: Option<Duration>,
}

/// State of a journal that has rows of its holder only, and is not closed.
#[derive(Clone, Copy, Debug)]
pub enum Live {}
/// State of a journal whose last row is a fence.
#[derive(Clone, Copy, Debug)]
pub enum Fenced {}
/// State of a journal whose holder was declared lost.
#[derive(Clone, Copy, Debug)]
pub enum Lost {}

/// End of a holder's journal: what is needed to append a row.
#[derive(Clone, Debug)]
pub struct Tail<State> {
    holder: HolderId,
    /// Sequence of the next row.
    next_sequence: Sequence,
    /// Version of the opening row; 0 when the journal is empty.
    opening: Version,
    pub(super) shares: Shares,
    /// Era in the last row.
    era: Option<Era>,
    state: PhantomData<State>,
}

/// State of a journal, with the [`Tail`] that allows the next step.
#[derive(Clone, Debug)]
pub enum JournalState {
    /// The journal is neither fenced nor closed.
    Live(Tail<Live>),
    /// The journal is fenced; the marked tokens are stranded.
    Fenced(Tail<Fenced>),
    /// The holder was declared lost.
    Lost(Tail<Lost>),
    /// The holder has closed the journal.
    Closed,
}

/// Parses the state of a journal from its last row and its opening row, see
/// [`journal::opening_key`]. Without a last row, the journal is empty.
///
/// Returns `None` when a row is malformed, or the journal has just been removed. A stale row does
/// no harm: the transactions derived from it conflict.
pub fn read(holder: &HolderId, last: Option<&Row>, opening: Option<&Row>) -> Option<JournalState> {
    let Some(row) = last else {
        let tail = Tail::new(holder, 1, 0, Shares::new());
        return opening.is_none().then_some(JournalState::Live(tail));
    };
    let next_sequence = journal::sequence_of_key(&row.key)? + 1;
    let journal: Journal = serde_json::from_str(&row.value).ok()?;
    if matches!(journal.entry, Entry::Close { .. }) {
        return Some(JournalState::Closed);
    }
    let opening = opening?.version;
    let era = journal.era;
    Some(match journal.entry {
        Entry::Flush { shares, .. } => {
            JournalState::Live(Tail::new(holder, next_sequence, opening, shares).in_era(era))
        }
        Entry::Fence { shares } => {
            JournalState::Fenced(Tail::new(holder, next_sequence, opening, shares).in_era(era))
        }
        Entry::Lost { .. } | Entry::Late { .. } => {
            JournalState::Lost(Tail::new(holder, next_sequence, opening, Shares::new()))
        }
        Entry::Close { .. } => JournalState::Closed,
    })
}

impl<State> Tail<State> {
    fn new(holder: &HolderId, next_sequence: Sequence, opening: Version, shares: Shares) -> Self {
        Self {
            holder: holder.clone(),
            next_sequence,
            opening,
            shares,
            era: None,
            state: PhantomData,
        }
    }

    /// Sets the era of the last row.
    fn in_era(self, era: Option<Era>) -> Self {
        Self { era, ..self }
    }

    /// Returns the sums of the allocated and of the spent tokens in the last row.
    pub fn totals(&self) -> (Tokens, Tokens) {
        let shares = self.shares.values();
        shares.fold((0, 0), |(allocated, spent), share| {
            (allocated + share.allocated, spent + share.spent)
        })
    }

    /// Returns the tokens that the holder had spent and reserved by its last row; for shares
    /// without a bound, their marks.
    pub fn used_by_last_row(&self) -> Tokens {
        let shares = self.shares.values();
        let stated = shares.map(|share| share.bound.map_or(share.mark, |bound| bound.used));
        stated.sum()
    }

    /// Returns the time in milliseconds from the holder's last row to `ended_ms`, a time of the
    /// store's clock; `None` when the row has no bound.
    pub fn age_ms(&self, ended_ms: u64) -> Option<u64> {
        let bounds = self.shares.values().filter_map(|share| share.bound);
        let made_ms = bounds.map(|bound| bound.at_ms).max()?;
        Some(ended_ms.saturating_sub(made_ms))
    }

    /// Returns the most tokens that the holder can have used if its process had ended by `ended_ms`
    /// of the store's clock.
    pub fn max_used(&self, ended_ms: u64) -> Tokens {
        let used = self
            .shares
            .values()
            .map(|share| max_used_of(share, ended_ms));
        used.sum()
    }

    /// Returns the keys of the budget rows that the next step needs, including those of `bills`.
    pub fn keys(&self, bills: &[Bill]) -> Vec<String> {
        let budgets: BTreeSet<_> = self
            .shares
            .keys()
            .chain(bills.iter().map(|b| &b.budget))
            .collect();
        budgets.into_iter().map(|id| account::key(id)).collect()
    }

    /// Returns the transaction that appends `entry` and writes the changed budget rows.
    fn append(
        &self,
        author: &HolderId,
        entry: Entry,
        accounts: &Accounts,
        settlement: &Settlement,
    ) -> Transaction {
        let mut transaction = Transaction::default();
        let key = journal::key(&self.holder, self.next_sequence);
        let author = author.clone();
        transaction.require(key.as_str(), 0);
        let opening = journal::opening_key(&self.holder);
        transaction.require(opening.as_str(), self.opening);
        if self.opening == 0 {
            transaction.put(opening, json(&self.holder));
        }
        accounts.write(&mut transaction);
        settlement.require(&mut transaction);
        let era = settlement.era();
        transaction.put(key, json(&Journal { author, entry, era }));
        transaction
    }
}

impl Tail<Live> {
    /// Returns the transaction that fences the holder and returns its tokens above the marks.
    ///
    /// `rows` are the budget rows of [`Self::keys`]; the result is `None` when one is missing.
    /// `author` identifies the reclaiming host and must differ from the holder's id.
    pub fn fence(&self, author: &HolderId, rows: &[Row]) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows, &Settlement::default());
        let mut shares = self.shares.clone();
        for (budget, share) in &mut shares {
            let unmarked = share.allocated - share.mark;
            accounts.deallocate(budget, unmarked)?;
            share.allocated = share.mark;
        }
        Some(self.append(
            author,
            Entry::Fence { shares },
            &accounts,
            &Settlement::default(),
        ))
    }
}

impl Tail<Live> {
    /// Returns the transaction that ends the journal of a process that has certainly ended, and
    /// returns all its tokens except those that it can have used. `ended_ms` is a time of the
    /// store's clock at or after the end of the process.
    ///
    /// When the last row is of an era before the latest restore, nothing is returned: the store has
    /// lost what the process stated later, and its bills.
    ///
    /// `rows` are the budget rows of [`Self::keys`]; the result is `None` when one is missing or
    /// cannot be settled yet.
    pub fn take_over(
        &self,
        author: &HolderId,
        ended_ms: u64,
        rows: &[Row],
        settlement: &Settlement,
    ) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows, settlement);
        for (budget, share) in &self.shares {
            let unused = share.allocated - max_used_of(share, ended_ms);
            let returned = if self.is_outdated(settlement) {
                0
            } else {
                unused
            };
            accounts.deallocate(budget, returned)?;
        }
        let reason = Reason::Succeeded;
        let bills = Vec::new();
        Some(self.append(author, Entry::Lost { reason, bills }, &accounts, settlement))
    }

    /// Returns whether the last row is of an era before the latest restore.
    pub fn is_outdated(&self, settlement: &Settlement) -> bool {
        settlement.is_restored() && self.era != settlement.era()
    }
}

impl Tail<Fenced> {
    /// Returns whether no unspent marked tokens are left, so that [`Self::declare_lost`] would
    /// return none.
    pub fn is_spent(&self) -> bool {
        self.shares.values().all(|share| share.spent == share.mark)
    }

    /// Returns whether the setting `reclaim after` allows [`Self::declare_lost`] without an
    /// operator.
    ///
    /// `first_seen` is the time at which this process first read the fence row, by its own clock.
    pub fn is_due(&self, settings: &Settings, first_seen: Duration, now: Duration) -> bool {
        let Some(after) = settings.after else {
            return false;
        };
        now.saturating_sub(first_seen) >= settings.lease + after
    }

    /// Returns the transaction that declares the holder lost and returns its marked tokens, less
    /// the `bills` that were rebuilt from usage records and are in none of the holder's rows.
    ///
    /// `rows` are the budget rows of [`Tail::keys`]; the result is `None` when one is missing.
    pub fn declare_lost(
        &self,
        author: &HolderId,
        reason: Reason,
        bills: Vec<Bill>,
        rows: &[Row],
    ) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows, &Settlement::default());
        let mut marked = self.shares.clone();
        let bills: Vec<_> = bills
            .into_iter()
            .map(|bill| charge_marked(&mut marked, bill))
            .collect();
        for (budget, share) in &marked {
            accounts.deallocate(budget, share.mark - share.spent)?;
        }
        let mut covered = Vec::with_capacity(bills.len());
        for (bill, excess) in bills {
            let account = accounts.get_mut(&bill.budget)?;
            let granted = account.grant(excess);
            covered.push(Bill {
                charged: bill.charged + granted,
                uncovered: bill.uncovered + (excess - granted),
                ..bill
            });
        }
        let bills = covered;
        Some(self.append(
            author,
            Entry::Lost { reason, bills },
            &accounts,
            &Settlement::default(),
        ))
    }
}

impl Tail<Lost> {
    /// Returns the transaction that appends late bills, charged from the unallocated tokens of the
    /// budgets.
    ///
    /// `rows` are the budget rows of [`Tail::keys`]; the result is `None` when one is missing.
    pub fn append_late_bills(
        &self,
        author: &HolderId,
        bills: Vec<Bill>,
        rows: &[Row],
    ) -> Option<Transaction> {
        let mut accounts = Accounts::read(rows, &Settlement::default());
        let mut late = Vec::with_capacity(bills.len());
        for bill in bills {
            let account = accounts.get_mut(&bill.budget)?;
            late.push(account.charge(bill));
        }
        Some(self.append(
            author,
            Entry::Late { bills: late },
            &accounts,
            &Settlement::default(),
        ))
    }
}

/// Returns the most tokens of a share that can have been used by `ended_ms`.
fn max_used_of(share: &Share, ended_ms: u64) -> Tokens {
    let used = share
        .bound
        .map_or(share.mark, |bound| bound.max_used(ended_ms));
    used.min(share.mark).max(share.spent)
}

/// Charges a bill from the marked tokens; returns it with the number of tokens that they do not
/// cover.
fn charge_marked(marked: &mut Shares, bill: Bill) -> (Bill, Tokens) {
    let mut none = Share::default();
    let share = marked
        .get_mut::<BudgetId>(&bill.budget)
        .unwrap_or(&mut none);
    let charged = bill.charged.min(share.mark - share.spent);
    share.spent += charged;
    let excess = bill.charged - charged;
    (Bill { charged, ..bill }, excess)
}
