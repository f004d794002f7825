//! Statement of a holder's tokens and bills after a restore of the store.

use {
    super::{
        account::{self, Accounts, json},
        era::{Differences, Settlement},
        flush::Pending,
        holder::{Holder, Opening, Phase},
        journal::{self, Journal},
    },
    crate::{
        bill::Bill,
        id::{BudgetId, Era, Sequence, Tokens},
        table::{Row, Transaction},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time for which the bills of written rows are kept, before the newest row. The store is restored
/// from copies that are seconds old.
const HISTORY_TIME: Duration = Duration::from_secs(60);

/// What a written journal row stated, to state it again if the store loses the row.
#[derive(Clone, Debug)]
pub(super) struct Written {
    sequence: Sequence,
    /// When the row was made, by the holder's clock.
    made_at: Duration,
    bills: Vec<Bill>,
    /// Tokens that the row took from budget rows, less those that it returned.
    granted: Differences,
}

/// Figures of a restatement, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restated {
    /// Rows of the journal that the store has lost.
    pub lost_rows: usize,
    /// Lost rows that were too old to be stated again.
    pub forgotten_rows: usize,
    /// Bills that are stated again.
    pub bills: usize,
    /// Sum of the tokens that are added to the budget rows.
    pub added: Tokens,
    /// Sum of the tokens that are taken off.
    pub removed: Tokens,
}

/// The holder's journal as the store has it, read after [`Holder::fence_era`] has committed.
#[derive(Clone, Copy, Debug)]
pub struct Surviving<'a> {
    /// All rows of the journal, in order.
    pub journal: &'a [Row],
    /// The opening row.
    pub opening: Option<&'a Row>,
}

impl Holder {
    /// Returns the era that the holder has restated its tokens in; `None` without an era.
    pub fn era(&self) -> Option<Era> {
        self.settlement.era()
    }

    /// Returns whether a budget can be settled in the era that the holder knows.
    pub fn settlement(&self) -> &Settlement {
        &self.settlement
    }

    /// Replaces what is known of the holder's present era, for instance once it was closed.
    pub fn update_settlement(&mut self, settlement: Settlement) {
        if settlement.era() == self.era() {
            self.settlement = settlement;
        }
    }

    /// Begins an era in which the store was not restored, or in which nothing is to be restated.
    pub fn begin_era(&mut self, settlement: Settlement) {
        self.settlement = settlement;
    }

    /// Returns whether a transaction was made whose verdict is not known.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the tokens that the rows of the holder's budgets withheld when they were last read.
    pub fn withheld(&self) -> Tokens {
        self.slots.values().map(|slot| slot.withheld).sum()
    }

    /// Returns the keys of the latest rows of the journal, which the store may have lost.
    pub fn history_keys(&self) -> Vec<String> {
        let written = self.history.iter().map(|written| written.sequence);
        let sequences = written.chain([self.next_sequence]);
        let keys = sequences.map(|sequence| journal::key(&self.id, sequence));
        keys.collect()
    }

    /// Returns whether the store has lost nothing of this holder, because it has no journal yet.
    pub fn is_new(&self) -> bool {
        self.next_sequence == 1 && self.pending.is_none()
    }

    /// Returns the transaction that comes before [`Self::restate`] reads the journal. It writes the
    /// opening row again, so that transactions of an earlier era or attempt that are still under way
    /// fail on its version.
    pub fn fence_era(&self) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.put(journal::opening_key(&self.id), json(&self.id));
        transaction
    }

    /// Returns whether the opening row, as read after [`Self::fence_era`], has another version than
    /// that in earlier transactions. Otherwise the fence has to be repeated: the version was
    /// assigned again by chance.
    pub fn is_fenced_off(&self, opening: Option<&Row>) -> bool {
        opening.is_some_and(|row| self.opening != Opening::Read(row.version))
    }

    /// Returns the budget rows that [`Self::restate`] needs after the closing of the statements.
    pub fn restated_keys(&self, surviving: Surviving<'_>) -> Vec<String> {
        let stated = read_journal(surviving.journal);
        let stated = stated.values().filter_map(|row| row.entry.shares());
        let mut budgets: BTreeSet<_> = stated.flat_map(|shares| shares.keys().cloned()).collect();
        budgets.extend(self.slots.keys().cloned());
        let bills = self.history.iter().flat_map(|written| &written.bills);
        budgets.extend(bills.map(|bill| bill.budget.clone()));
        budgets.iter().map(|id| account::key(id)).collect()
    }

    /// Returns the transaction that states the holder's shares, the bills that the store has lost
    /// and the differences to the surviving journal in a new era; the caller commits it and calls
    /// [`Self::apply_verdict`]. Returns `None` when it cannot be made now, or when nothing is to be
    /// stated, which [`Self::era`] tells apart.
    ///
    /// `accounts` are the rows of [`Self::restated_keys`], needed after the closing. Until the
    /// transaction has committed, [`Self::flush`] makes no transactions and the holder reserves
    /// below its last durable marks.
    pub fn restate(
        &mut self,
        now: Duration,
        settlement: Settlement,
        surviving: Surviving<'_>,
        accounts: &[Row],
    ) -> Option<(Transaction, Restated)> {
        self.last_now = now;
        let rows = read_journal(surviving.journal);
        self.resolve_pending(&rows);
        self.opening = match surviving.opening {
            Some(row) => Opening::Read(row.version),
            None => Opening::Absent,
        };
        let foreign = rows.values().find(|row| row.author != self.id);
        if let Some(row) = foreign {
            self.apply_foreign_row(&row.entry);
        }
        let is_stateable = matches!(self.phase, Phase::Open | Phase::Draining);
        if !is_stateable || settlement.has_restated(&self.id) {
            self.settlement = settlement;
            return None;
        }
        let mut figures = self.recover_bills(&rows);
        let differences = self.differences(&rows);
        for difference in differences.values() {
            let amount = difference.unsigned_abs();
            match difference {
                0.. => figures.added += amount,
                _ => figures.removed += amount,
            }
        }
        let pending = self.build_restatement(now, settlement, differences, accounts)?;
        let transaction = pending.transaction.clone();
        self.pending = Some(pending);
        Some((transaction, figures))
    }

    /// Applies or reverts the pending transaction, whose row the store has or has not.
    fn resolve_pending(&mut self, rows: &BTreeMap<Sequence, Journal>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let row = rows.get(&self.next_sequence);
        if row.is_some_and(|row| row.author == self.id) {
            self.apply_committed(pending);
        } else {
            self.revert(&pending);
            self.give_up_returned(&pending);
        }
    }

    /// Gives up the tokens that a lost transaction returned: it may have committed before the
    /// restore, and another holder may have taken them.
    fn give_up_returned(&mut self, pending: &Pending) {
        for (budget, share) in &pending.shares {
            if let Some(slot) = self.slots.get_mut(budget) {
                let allocated = share.allocated.min(slot.durable.allocated);
                slot.durable.allocated = allocated;
                slot.durable.mark = slot.durable.mark.min(allocated);
                slot.ceiling = slot.ceiling.min(slot.durable.mark);
            }
        }
    }

    /// Puts the bills of lost rows in front of the unwritten ones.
    fn recover_bills(&mut self, rows: &BTreeMap<Sequence, Journal>) -> Restated {
        let last = self.last_surviving(rows);
        let lost: Vec<_> = (last + 1..self.next_sequence)
            .filter(|sequence| !rows.contains_key(sequence))
            .collect();
        let (mut bills, mut recovered) = (Vec::new(), 0);
        for written in &mut self.history {
            if lost.contains(&written.sequence) {
                bills.append(&mut written.bills);
                recovered += 1;
            }
        }
        for bill in &bills {
            let slot = self.slots.entry(bill.budget.clone()).or_default();
            let known = bill.charged.min(slot.durable.spent);
            slot.durable.spent -= known;
            // The counts began again at 0 after the bill.
            let earlier = bill.charged - known;
            slot.durable.allocated += earlier;
            slot.durable.mark += earlier;
            slot.ceiling += earlier;
            slot.spent += earlier;
        }
        let count = bills.len();
        for bill in bills.into_iter().rev() {
            self.bills.push_front(bill);
        }
        Restated {
            lost_rows: lost.len(),
            forgotten_rows: lost.len() - recovered,
            bills: count,
            ..Restated::default()
        }
    }

    /// Returns the sequence of the last row that the journal had at the time of the copy; 0 without
    /// rows. Rows after a gap were written in the new era. The gaps before earlier restatements are
    /// those of earlier restores.
    fn last_surviving(&self, rows: &BTreeMap<Sequence, Journal>) -> Sequence {
        let mut last = rows.keys().next().copied().unwrap_or(0);
        for sequence in rows.keys().copied() {
            if sequence > last + 1 && !self.restatements.contains(&sequence) {
                break;
            }
            last = sequence;
        }
        last
    }

    /// Returns the differences between what the holder has or used and what the surviving journal
    /// and the budget rows of its time say.
    fn differences(&self, rows: &BTreeMap<Sequence, Journal>) -> Differences {
        let mut differences = Differences::new();
        let mut add = |budget: &BudgetId, amount: i64| {
            *differences.entry(budget.clone()).or_default() += amount;
        };
        for (budget, slot) in &self.slots {
            let unspent = slot.durable.allocated - slot.durable.spent;
            add(budget, unspent.cast_signed());
        }
        let last = self.last_surviving(rows);
        let shares = rows.get(&last).and_then(|row| row.entry.shares());
        for (budget, share) in shares.into_iter().flatten() {
            add(budget, -(share.allocated - share.spent).cast_signed());
        }
        // Rows after a gap were written in the new era: their bills are in the store, and the budget
        // rows know what they took.
        for (_, row) in rows.range(last + 1..) {
            for bill in row.entry.bills() {
                add(&bill.budget, bill.charged.cast_signed());
            }
        }
        for written in &self.history {
            if written.sequence > last && rows.contains_key(&written.sequence) {
                written
                    .granted
                    .iter()
                    .for_each(|(id, tokens)| add(id, -tokens));
            }
        }
        differences.retain(|_, difference| *difference != 0);
        differences
    }

    /// Returns the transaction with the next journal row and the statement. After the closing, it
    /// also changes the budget rows by the differences.
    fn build_restatement(
        &mut self,
        now: Duration,
        settlement: Settlement,
        differences: Differences,
        accounts: &[Row],
    ) -> Option<Pending> {
        let is_closed = settlement.closing().is_some();
        let mut changed = Accounts::read(if is_closed { accounts } else { &[] }, &settlement);
        if is_closed {
            let missing = settlement.closing().map(|row| &row.missing);
            let is_missing = missing.is_some_and(|missing| missing.contains(&self.id));
            let is_complete = missing.is_some_and(BTreeSet::is_empty);
            for (budget, difference) in &differences {
                let account = changed.get_mut(budget)?;
                account.correct(*difference, is_missing);
                if *difference < 0 && !is_complete {
                    account.withhold(difference.unsigned_abs());
                }
            }
        }
        let stated = if is_closed {
            Differences::new()
        } else {
            differences
        };
        let known = std::mem::replace(&mut self.settlement, settlement);
        let mut pending = self.build_statement_row(now, &changed);
        let settlement = std::mem::replace(&mut self.settlement, known);
        if !changed.is_used() {
            settlement.require(&mut pending.transaction);
        }
        settlement.state(&mut pending.transaction, &self.id, stated);
        pending.settlement = Some(settlement);
        Some(pending)
    }

    /// Adds a committed row to the history and drops old ones.
    pub(super) fn remember_written(
        &mut self,
        made_at: Duration,
        bills: Vec<Bill>,
        granted: Differences,
    ) {
        if self.settlement.era().is_none() {
            return;
        }
        let sequence = self.next_sequence;
        self.history.push_back(Written {
            sequence,
            made_at,
            bills,
            granted,
        });
        let is_old = |written: &Written| made_at.saturating_sub(written.made_at) > HISTORY_TIME;
        while self.history.front().is_some_and(is_old) {
            self.history.pop_front();
        }
    }
}

fn read_journal(rows: &[Row]) -> BTreeMap<Sequence, Journal> {
    let parse = |row: &Row| {
        let sequence = journal::sequence_of_key(&row.key)?;
        Some((sequence, serde_json::from_str(&row.value).ok()?))
    };
    rows.iter().filter_map(parse).collect()
}
