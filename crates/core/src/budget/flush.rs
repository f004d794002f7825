//! Transactions with which a holder writes its journal and changes budget rows.

use {
    super::{
        account::{self, Accounts, json},
        bound::Meter,
        era::{Differences, Settlement},
        holder::{Holder, Opening, Phase},
        journal::{self, Entry, Journal, Share, Shares},
    },
    crate::{
        bill::request_of,
        id::{BudgetId, RequestId, Tokens, Version},
        table::{Row, Transaction, Verdict},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Minimum length of a demand sample; shorter ones are mostly noise.
const MIN_SAMPLE: Duration = Duration::from_secs(1);

/// Version that no row ever has. When the opening row could not be read, the transaction requires
/// this version of it and conflicts, and the conflict returns the row.
const NO_VERSION: Version = (1 << 53) - 1;

/// A transaction whose verdict is not known yet.
#[derive(Debug)]
pub(super) struct Pending {
    pub transaction: Transaction,
    /// Shares of the holder once the transaction has committed.
    pub shares: Shares,
    /// When the transaction was made, by the holder's clock.
    made_at: Duration,
    /// Number of bills in the row, from the front of the holder's queue.
    bill_count: usize,
    /// Shortages that the transaction covers, in tokens.
    shortages: BTreeMap<BudgetId, Tokens>,
    /// Phase of the holder once the transaction has committed.
    phase: Phase,
    /// New era of the holder once the transaction has committed; `None` when it does not change.
    pub settlement: Option<Settlement>,
}

impl Holder {
    /// Returns the keys of the rows that the next flush needs; none while a transaction is pending.
    pub fn required_keys(&self) -> Vec<String> {
        if self.pending.is_some() {
            return Vec::new();
        }
        let mut keys = self.required_budget_keys();
        if self.opening == Opening::Unread {
            keys.push(journal::opening_key(&self.id));
        }
        keys
    }

    fn required_budget_keys(&self) -> Vec<String> {
        let now = self.last_now;
        let mut slots: Vec<_> = match self.phase {
            Phase::Open => self
                .slots
                .iter()
                .filter(|(_, slot)| slot.is_read_due(now, &self.settings))
                .collect(),
            Phase::Draining => self
                .slots
                .iter()
                .filter(|(_, slot)| slot.headroom() > 0)
                .collect(),
            Phase::Fenced if self.reservations.is_empty() => self
                .slots
                .iter()
                .filter(|(_, slot)| slot.headroom() > 0)
                .collect(),
            Phase::Lost => return self.billed_budget_keys(),
            Phase::Fenced | Phase::Closed => return Vec::new(),
        };
        if self.phase == Phase::Open {
            let budgets = self.allowance.budget_rows(now, &self.settings);
            slots.sort_by_key(|(_, slot)| {
                (
                    slot.refill_needed() == 0,
                    Reverse(slot.total_shortage),
                    slot.review_at,
                )
            });
            slots.truncate(self.settings.batch_limit.min(budgets));
        }
        let budgets = slots.into_iter();
        budgets.map(|(budget, _)| account::key(budget)).collect()
    }

    /// Returns the next store transaction, or the pending one whose verdict is still unknown.
    /// Returns `None` when there is nothing to write.
    ///
    /// `rows` are the rows of [`Self::required_keys`] that could be read. A stale row does no harm,
    /// because the transaction then conflicts.
    pub fn flush(&mut self, now: Duration, rows: &[Row]) -> Option<Transaction> {
        self.last_now = now;
        if let Some(pending) = &self.pending {
            return Some(pending.transaction.clone());
        }
        self.update_demand(now);
        if self.opening == Opening::Unread {
            let key = journal::opening_key(&self.id);
            if let Some(row) = rows.iter().find(|row| *row.key == *key) {
                self.opening = Opening::Read(row.version);
            }
        }
        let accounts = Accounts::read(rows, &self.settlement);
        let pending = match self.phase {
            Phase::Open => self.build_flush(now, accounts),
            Phase::Draining if self.reservations.is_empty() && self.is_last_row() => {
                self.build_close(accounts)
            }
            Phase::Draining => self.build_flush(now, accounts),
            Phase::Fenced if self.reservations.is_empty() => self.build_close(accounts),
            Phase::Lost => self.build_late_bills(accounts),
            Phase::Fenced | Phase::Closed => None,
        }?;
        for (budget, share) in &pending.shares {
            if let Some(slot) = self.slots.get_mut(budget) {
                slot.ceiling = slot.ceiling.min(share.mark);
            }
        }
        let transaction = pending.transaction.clone();
        let writes = transaction.writes.len();
        self.allowance.spend(now, &self.settings, writes);
        self.pending = Some(pending);
        Some(transaction)
    }

    /// Applies the store's verdict on the pending transaction.
    ///
    /// On a conflict, the journal row with the next sequence decides: a row by this holder means
    /// that an earlier attempt has committed, a row by another host that the journal was taken
    /// over.
    pub fn apply_verdict(&mut self, verdict: &Verdict) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Verdict::Conflict(rows) = verdict else {
            return self.apply_committed(pending);
        };
        let key = journal::key(&self.id, self.next_sequence);
        let row = rows.iter().find(|row| *row.key == *key);
        let Some(row) = row else {
            self.revert(&pending);
            return self.update_opening(rows);
        };
        match serde_json::from_str::<Journal>(&row.value) {
            Ok(journal) if journal.author == self.id => self.apply_committed(pending),
            Ok(journal) => {
                self.revert(&pending);
                self.apply_foreign_row(&journal.entry);
            }
            Err(_) => {
                self.revert(&pending);
                self.phase = Phase::Lost;
            }
        }
    }

    /// Returns the time since the pending transaction was made; zero without one.
    pub fn pending_age(&self, now: Duration) -> Duration {
        let pending = self.pending.as_ref();
        pending.map_or(Duration::ZERO, |pending| {
            now.saturating_sub(pending.made_at)
        })
    }

    /// Returns whether a transaction or bills are pending, or a budget row should be read.
    pub fn is_dirty(&self) -> bool {
        self.pending.is_some() || !self.bills.is_empty() || !self.required_keys().is_empty()
    }

    fn billed_budget_keys(&self) -> Vec<String> {
        let bills = self.bills.iter().take(self.next_bill_count());
        let budgets: BTreeSet<_> = bills.map(|bill| &bill.budget).collect();
        budgets.into_iter().map(|id| account::key(id)).collect()
    }

    /// Returns how many bills fit into the next row; at least one if there are any.
    fn next_bill_count(&self) -> usize {
        let mut bytes = 0;
        let bills = self.bills.iter().take(self.settings.batch_limit);
        let fitting = bills.take_while(|bill| {
            bytes += bill.size_bound();
            bytes <= self.settings.bill_bytes_limit
        });
        fitting.count().max(1).min(self.bills.len())
    }

    /// Returns whether all unwritten bills fit into the next row.
    fn is_last_row(&self) -> bool {
        self.next_bill_count() == self.bills.len()
    }

    /// Adds a demand sample to each slot and removes idle slots.
    fn update_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_sample);
        if elapsed < MIN_SAMPLE {
            return;
        }
        self.last_sample = now;
        for slot in self.slots.values_mut() {
            let reserved = slot.total_reserved.saturating_sub(slot.sampled_reserved);
            slot.demand.record(&self.settings, reserved, elapsed);
            slot.sampled_reserved = slot.total_reserved;
        }
        let settings = &self.settings;
        self.slots.retain(|_, slot| !slot.is_idle(now, settings));
    }

    /// Returns a transaction with an [`Entry::Flush`] row, whether there is something to state or
    /// not. It writes the changes of `accounts`, but moves no tokens itself.
    pub(super) fn build_statement_row(&mut self, now: Duration, accounts: &Accounts) -> Pending {
        let bill_count = self.next_bill_count();
        let mut shares = self.billed_shares(bill_count);
        self.set_bounds(now, &mut shares);
        let entry = Entry::Flush {
            shares: unspent_shares(&shares),
            bills: self.bills.iter().take(bill_count).cloned().collect(),
        };
        self.build_pending(entry, accounts, shares, bill_count, self.phase)
    }

    /// Returns a transaction with an [`Entry::Flush`] row, or `None` when there is nothing to
    /// state.
    fn build_flush(&mut self, now: Duration, mut accounts: Accounts) -> Option<Pending> {
        let bill_count = self.next_bill_count();
        let mut shares = self.billed_shares(bill_count);
        let mut is_due = bill_count > 0;
        let mut shortages = BTreeMap::new();
        for (budget, slot) in &mut self.slots {
            let share = shares.entry(budget.clone()).or_default();
            is_due |= slot.is_mark_low(&self.settings);
            let is_read = accounts.get_mut(budget).is_some();
            if self.phase == Phase::Draining {
                if accounts.deallocate(budget, slot.headroom()).is_some() {
                    share.allocated = slot.used();
                }
            } else if let Some(account) = accounts.get_mut(budget) {
                share.allocated = slot.balance(now, &self.settings, &self.id, account);
            }
            is_due |= share.allocated != slot.durable.allocated;
            share.mark = slot.next_mark(&self.settings, share.allocated);
            is_due |= self.settings.bound.is_some_and(|settings| {
                let must_restrict_bound = self.is_write_ahead && slot.can_reserve_ahead();
                slot.admissible(share.mark) > 0
                    || slot.is_bound_stale(now, &settings)
                    || must_restrict_bound
            });
            let covered = slot.clear_shortage(now, &self.settings, share.mark, is_read);
            if let Some(covered) = covered {
                shortages.insert(budget.clone(), covered);
            }
        }
        if !is_due && !accounts.is_changed() {
            return None;
        }
        self.set_bounds(now, &mut shares);
        let entry = Entry::Flush {
            shares: unspent_shares(&shares),
            bills: self.bills.iter().take(bill_count).cloned().collect(),
        };
        let mut pending = self.build_pending(entry, &accounts, shares, bill_count, self.phase);
        pending.shortages = shortages;
        Some(pending)
    }

    /// Sets the bounds in the shares of the next row, and the meters that enforce them.
    fn set_bounds(&mut self, now: Duration, shares: &mut Shares) {
        let (Some(settings), Some(at_ms)) = (self.settings.bound, self.store_ms) else {
            return;
        };
        for (budget, share) in shares {
            let Some(slot) = self.slots.get_mut(budget) else {
                continue;
            };
            let waiting = slot.admissible(share.mark);
            let lead = share.mark.saturating_sub(slot.used()) as f64;
            let even_rate = (lead / self.settings.endurance.as_secs_f64().max(1.0)) as Tokens;
            let mut bound = settings.bound(at_ms, slot.used(), &slot.demand, waiting, even_rate);
            if self.is_write_ahead {
                (bound.burst, bound.rate, bound.early_rate) = (waiting, 0, 0);
            }
            share.bound = Some(bound);
            slot.pending_meter = Some(Meter::new(bound, now, waiting));
        }
    }

    /// Returns a transaction with an [`Entry::Close`] row that returns all unspent tokens; `None`
    /// when a budget row is missing.
    fn build_close(&self, mut accounts: Accounts) -> Option<Pending> {
        let mut shares = Shares::new();
        for (budget, slot) in &self.slots {
            if slot.headroom() > 0 {
                accounts.deallocate(budget, slot.headroom())?;
            }
            let share = Share {
                allocated: slot.spent,
                mark: slot.spent,
                spent: slot.spent,
                bound: None,
            };
            shares.insert(budget.clone(), share);
        }
        let bills: Vec<_> = self.bills.iter().cloned().collect();
        let count = bills.len();
        let entry = Entry::Close { bills };
        Some(self.build_pending(entry, &accounts, shares, count, Phase::Closed))
    }

    /// Returns a transaction with an [`Entry::Late`] row, charged from the unallocated tokens of
    /// the budgets. Closes the holder when no bills and reservations are left.
    fn build_late_bills(&mut self, mut accounts: Accounts) -> Option<Pending> {
        if self.bills.is_empty() {
            if self.reservations.is_empty() {
                self.phase = Phase::Closed;
            }
            return None;
        }
        let count = self.next_bill_count();
        let bills = self.bills.iter().take(count).cloned();
        let mut late = Vec::with_capacity(count);
        for bill in bills {
            late.push(accounts.get_mut(&bill.budget.clone())?.charge(bill));
        }
        let entry = Entry::Late { bills: late };
        Some(self.build_pending(entry, &accounts, Shares::new(), count, Phase::Lost))
    }

    /// Returns the transaction that appends `entry` to the journal and writes the changed budget
    /// rows.
    fn build_pending(
        &self,
        entry: Entry,
        accounts: &Accounts,
        shares: Shares,
        bill_count: usize,
        phase: Phase,
    ) -> Pending {
        let mut transaction = Transaction::default();
        let key = journal::key(&self.id, self.next_sequence);
        let author = self.id.clone();
        transaction.require(key.as_str(), 0);
        let opening = journal::opening_key(&self.id);
        match self.opening {
            Opening::Read(version) => transaction.require(opening, version),
            Opening::Unread => transaction.require(opening, NO_VERSION),
            Opening::Absent | Opening::Removed => {
                transaction.require(opening.as_str(), 0);
                transaction.put(opening, json(&self.id));
            }
        }
        accounts.write(&mut transaction);
        if accounts.is_used() {
            self.settlement.require(&mut transaction);
        }
        let era = self.era();
        transaction.put(key, json(&Journal { author, entry, era }));
        Pending {
            transaction,
            shares,
            made_at: self.last_now,
            bill_count,
            shortages: BTreeMap::new(),
            phase,
            settlement: None,
        }
    }

    /// Returns the durable shares with the first `count` bills added.
    fn billed_shares(&self, count: usize) -> Shares {
        let slots = self.slots.iter();
        let mut shares: Shares = slots.map(|(id, slot)| (id.clone(), slot.durable)).collect();
        for bill in self.bills.iter().take(count) {
            if let Some(share) = shares.get_mut(&bill.budget) {
                share.spent += bill.charged;
            }
        }
        shares
    }

    /// Applies a transaction that has committed.
    pub(super) fn apply_committed(&mut self, pending: Pending) {
        let bills = self.bills.drain(..pending.bill_count).collect();
        let granted = self.granted(&pending.shares);
        self.remember_written(pending.made_at, bills, granted);
        if pending.settlement.is_some() {
            self.restatements.insert(self.next_sequence);
        }
        self.advance();
        if let Some(settlement) = pending.settlement {
            self.settlement = settlement;
        }
        for (budget, share) in pending.shares {
            if let Some(slot) = self.slots.get_mut(&budget) {
                slot.durable = share;
                slot.ceiling = share.mark;
                slot.meter = slot.pending_meter.take();
                if pending.shortages.contains_key(&budget) {
                    slot.starved_since = None;
                }
            }
        }
        if pending.phase == Phase::Closed {
            self.phase = Phase::Closed;
        }
    }

    /// Returns the tokens by which the allocations of new shares differ from the durable ones.
    fn granted(&self, shares: &Shares) -> Differences {
        let slots = shares.iter().filter_map(|(budget, share)| {
            let durable = self.slots.get(budget)?.durable;
            let granted = share.allocated.cast_signed() - durable.allocated.cast_signed();
            (granted != 0).then(|| (budget.clone(), granted))
        });
        slots.collect()
    }

    /// Moves on to the next sequence, because the journal has a row with the present one.
    fn advance(&mut self) {
        self.next_sequence += 1;
        if self.opening == Opening::Absent {
            self.opening = Opening::Unread;
        }
    }

    /// Updates the state of the opening row after a conflict that shows no new row of the journal.
    /// The holder closes when the journal was removed.
    fn update_opening(&mut self, rows: &[Row]) {
        let key = journal::opening_key(&self.id);
        let row = rows.iter().find(|row| *row.key == *key);
        // A conflict has the rows of the failed conditions and leaves out absent ones.
        match (self.opening, row) {
            (Opening::Unread, Some(row)) => self.opening = Opening::Read(row.version),
            (Opening::Unread, None) => self.opening = Opening::Removed,
            // The failed condition concerns an absent row, and no other required row is ever
            // removed.
            (Opening::Read(_), None) if rows.is_empty() => self.opening = Opening::Removed,
            _ => {}
        }
        if self.opening == Opening::Removed {
            self.phase = Phase::Closed;
        }
    }

    /// Reverts the changes that the holder made for a transaction which did not commit.
    pub(super) fn revert(&mut self, pending: &Pending) {
        for (budget, share) in &pending.shares {
            let Some(slot) = self.slots.get_mut(budget) else {
                continue;
            };
            slot.ceiling = slot.durable.mark;
            slot.pending_meter = None;
            if share.allocated != slot.durable.allocated {
                slot.review_at = Duration::ZERO;
            }
            let shortage = pending.shortages.get(budget).copied().unwrap_or(0);
            if shortage > 0 {
                slot.record_shortage(shortage);
            }
        }
    }

    /// Applies a row that another host appended to the journal. Bills and reservations that the row
    /// has billed are removed.
    pub(super) fn apply_foreign_row(&mut self, entry: &Entry) {
        self.advance();
        self.phase = match entry {
            Entry::Fence { .. } => Phase::Fenced,
            _ => Phase::Lost,
        };
        if self.phase == Phase::Fenced {
            let slots = self.slots.values_mut();
            slots.for_each(|slot| slot.durable.allocated = slot.durable.mark);
        }
        let billed: BTreeSet<_> = entry.bills().iter().map(|bill| &bill.request).collect();
        self.bills.retain(|bill| !billed.contains(&bill.request));
        let open = self.reservations.keys();
        let is_billed = |attempt: &&RequestId| billed.contains(&request_of(attempt));
        let released: Vec<_> = open.filter(is_billed).cloned().collect();
        released.iter().for_each(|request| self.release(request));
    }
}

/// Returns the shares with unspent tokens.
fn unspent_shares(shares: &Shares) -> Shares {
    let unspent = shares.iter().filter(|(_, s)| s.allocated > s.spent);
    unspent.map(|(id, share)| (id.clone(), *share)).collect()
}
