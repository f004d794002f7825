//! Transactions of a holder.

use {
    super::{
        account::{self, Accounts, json},
        bound::Meter,
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

/// Demand is measured over at least this time, because shorter samples are mostly noise.
const SAMPLE: Duration = Duration::from_secs(1);

/// No row ever has this version. A transaction that requires it of the opening row, because that
/// could not be read, conflicts, and the conflict shows the row.
const NO_VERSION: Version = (1 << 53) - 1;

/// A transaction whose verdict is not known.
#[derive(Debug)]
pub(super) struct Pending {
    transaction: Transaction,
    /// Shares when the transaction has committed.
    shares: Shares,
    /// When the transaction was made.
    made: Duration,
    /// Number of bills in the row, from the front of the holder's queue.
    bills: usize,
    /// Shortages that the transaction covers.
    shortages: BTreeMap<BudgetId, Tokens>,
    /// Phase when the transaction has committed.
    phase: Phase,
}

impl Holder {
    /// Returns the keys of the rows that the next flush needs.
    pub fn required_keys(&self) -> Vec<String> {
        if self.pending.is_some() {
            return Vec::new();
        }
        let mut keys = self.wanted_budgets();
        if self.opening == Opening::Unread {
            keys.push(journal::opening_key(&self.id));
        }
        keys
    }

    fn wanted_budgets(&self) -> Vec<String> {
        let now = self.clock;
        let mut slots: Vec<_> = match self.phase {
            Phase::Open => self
                .slots
                .iter()
                .filter(|(_, slot)| slot.is_wanting(now, &self.settings))
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
            Phase::Lost => return self.late_keys(),
            Phase::Fenced | Phase::Closed => return Vec::new(),
        };
        if self.phase == Phase::Open {
            let budgets = self.allowance.budgets(now, &self.settings);
            slots.sort_by_key(|(_, slot)| (slot.lack() == 0, Reverse(slot.missed), slot.review_at));
            slots.truncate(self.settings.batch_limit.min(budgets));
        }
        let budgets = slots.into_iter();
        budgets.map(|(budget, _)| account::key(budget)).collect()
    }

    /// Returns the next store transaction, or the one whose verdict is still unknown.
    ///
    /// `rows` are the rows named by [`Self::required_keys`], as far as they could be read; an old
    /// row does no harm. Returns `None` when there is nothing to write.
    pub fn flush(&mut self, now: Duration, rows: &[Row]) -> Option<Transaction> {
        self.clock = now;
        if let Some(pending) = &self.pending {
            return Some(pending.transaction.clone());
        }
        self.measure(now);
        if self.opening == Opening::Unread {
            let key = journal::opening_key(&self.id);
            if let Some(row) = rows.iter().find(|row| *row.key == *key) {
                self.opening = Opening::Read(row.version);
            }
        }
        let accounts = Accounts::read(rows);
        let pending = match self.phase {
            Phase::Open => self.append(now, accounts),
            Phase::Draining if self.reservations.is_empty() && self.is_last_row() => {
                self.close(accounts)
            }
            Phase::Draining => self.append(now, accounts),
            Phase::Fenced if self.reservations.is_empty() => self.close(accounts),
            Phase::Lost => self.charge(accounts),
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

    /// Takes the store's verdict on the pending transaction.
    pub fn apply_verdict(&mut self, verdict: &Verdict) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Verdict::Conflict(rows) = verdict else {
            return self.adopt(pending);
        };
        let key = journal::key(&self.id, self.next);
        let row = rows.iter().find(|row| *row.key == *key);
        let Some(row) = row else {
            self.undo(&pending);
            return self.reopen(rows);
        };
        match serde_json::from_str::<Journal>(&row.value) {
            Ok(journal) if journal.author == self.id => self.adopt(pending),
            Ok(journal) => {
                self.undo(&pending);
                self.yield_to(&journal.entry);
            }
            Err(_) => {
                self.undo(&pending);
                self.phase = Phase::Lost;
            }
        }
    }

    /// Returns for how long a transaction has waited for its verdict; zero without one.
    pub fn pending_age(&self, now: Duration) -> Duration {
        let pending = self.pending.as_ref();
        pending.map_or(Duration::ZERO, |pending| now.saturating_sub(pending.made))
    }

    /// Returns whether a transaction waits for its verdict or there is something to write.
    pub fn is_dirty(&self) -> bool {
        self.pending.is_some() || !self.bills.is_empty() || !self.required_keys().is_empty()
    }

    fn late_keys(&self) -> Vec<String> {
        let bills = self.bills.iter().take(self.next_bills());
        let budgets: BTreeSet<_> = bills.map(|bill| &bill.budget).collect();
        budgets.into_iter().map(|id| account::key(id)).collect()
    }

    /// Returns how many bills the next row takes: as many as fit, and at least one.
    fn next_bills(&self) -> usize {
        let mut bytes = 0;
        let bills = self.bills.iter().take(self.settings.batch_limit);
        let fitting = bills.take_while(|bill| {
            bytes += bill.size_bound();
            bytes <= self.settings.bill_bytes_limit
        });
        fitting.count().max(1).min(self.bills.len())
    }

    /// Returns whether the next row takes all bills.
    fn is_last_row(&self) -> bool {
        self.next_bills() == self.bills.len()
    }

    fn measure(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_flush);
        if elapsed < SAMPLE {
            return;
        }
        self.last_flush = now;
        for slot in self.slots.values_mut() {
            let taken = slot.taken.saturating_sub(slot.measured);
            slot.demand.add(&self.settings, taken, elapsed);
            slot.measured = slot.taken;
        }
        let settings = &self.settings;
        self.slots.retain(|_, slot| !slot.is_idle(now, settings));
    }

    fn append(&mut self, now: Duration, mut accounts: Accounts) -> Option<Pending> {
        let bills = self.next_bills();
        let mut shares = self.billed_shares(bills);
        let mut due = bills > 0;
        let mut shortages = BTreeMap::new();
        for (budget, slot) in &mut self.slots {
            let share = shares.entry(budget.clone()).or_default();
            due |= slot.is_mark_low(&self.settings);
            if self.phase == Phase::Draining {
                if accounts.deallocate(budget, slot.headroom()).is_some() {
                    share.allocated = slot.used();
                }
            } else if let Some(account) = accounts.get(budget) {
                share.allocated = slot.balance(now, &self.settings, &self.id, account);
            }
            due |= share.allocated != slot.durable.allocated;
            share.mark = slot.raise(&self.settings, share.allocated);
            due |= self.settings.bound.is_some_and(|settings| {
                let is_lead_over = self.is_write_ahead && slot.has_lead();
                slot.admitted(share.mark) > 0 || slot.is_bound_old(now, &settings) || is_lead_over
            });
            if let Some(covered) = slot.take_shortage(now, &self.settings, share.mark) {
                shortages.insert(budget.clone(), covered);
            }
        }
        if !due && !accounts.is_changed() {
            return None;
        }
        self.bind(now, &mut shares);
        let entry = Entry::Flush {
            shares: left(&shares),
            bills: self.bills.iter().take(bills).cloned().collect(),
        };
        let mut pending = self.pending(entry, &accounts, shares, bills, self.phase);
        pending.shortages = shortages;
        Some(pending)
    }

    /// States in the next row what the holder can use after it.
    fn bind(&mut self, now: Duration, shares: &mut Shares) {
        let (Some(settings), Some(at_ms)) = (self.settings.bound, self.store_ms) else {
            return;
        };
        for (budget, share) in shares {
            let Some(slot) = self.slots.get_mut(budget) else {
                continue;
            };
            let waiting = slot.admitted(share.mark);
            let lead = share.mark.saturating_sub(slot.used()) as f64;
            let even = (lead / self.settings.endurance.as_secs_f64().max(1.0)) as Tokens;
            let mut bound = settings.bound(at_ms, slot.used(), &slot.demand, waiting, even);
            if self.is_write_ahead {
                (bound.burst, bound.rate, bound.early_rate) = (waiting, 0, 0);
            }
            share.bound = Some(bound);
            slot.next_meter = Some(Meter::new(bound, now, waiting));
        }
    }

    fn close(&self, mut accounts: Accounts) -> Option<Pending> {
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
        Some(self.pending(entry, &accounts, shares, count, Phase::Closed))
    }

    fn charge(&mut self, mut accounts: Accounts) -> Option<Pending> {
        if self.bills.is_empty() {
            if self.reservations.is_empty() {
                self.phase = Phase::Closed;
            }
            return None;
        }
        let count = self.next_bills();
        let bills = self.bills.iter().take(count).cloned();
        let mut late = Vec::with_capacity(count);
        for bill in bills {
            late.push(accounts.get(&bill.budget.clone())?.charge(bill));
        }
        let entry = Entry::Late { bills: late };
        Some(self.pending(entry, &accounts, Shares::new(), count, Phase::Lost))
    }

    fn pending(
        &self,
        entry: Entry,
        accounts: &Accounts,
        shares: Shares,
        bills: usize,
        phase: Phase,
    ) -> Pending {
        let mut transaction = Transaction::default();
        let key = journal::key(&self.id, self.next);
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
        transaction.put(key, json(&Journal { author, entry }));
        Pending {
            transaction,
            shares,
            made: self.clock,
            bills,
            shortages: BTreeMap::new(),
            phase,
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

    fn adopt(&mut self, pending: Pending) {
        self.advance();
        self.bills.drain(..pending.bills);
        for (budget, share) in pending.shares {
            if let Some(slot) = self.slots.get_mut(&budget) {
                slot.durable = share;
                slot.ceiling = share.mark;
                slot.meter = slot.next_meter.take();
                if pending.shortages.contains_key(&budget) {
                    slot.starving = None;
                }
            }
        }
        if pending.phase == Phase::Closed {
            self.phase = Phase::Closed;
        }
    }

    /// Notes that the next row is in the journal.
    fn advance(&mut self) {
        self.next += 1;
        if self.opening == Opening::Absent {
            self.opening = Opening::Unread;
        }
    }

    /// Finds out from a conflict without a further row of the journal whether it was removed.
    fn reopen(&mut self, rows: &[Row]) {
        let key = journal::opening_key(&self.id);
        let row = rows.iter().find(|row| *row.key == *key);
        match (self.opening, row) {
            (Opening::Unread, Some(row)) => self.opening = Opening::Read(row.version),
            // Absent rows are left out of a conflict, and no other required row is ever removed.
            (Opening::Unread, None) => self.opening = Opening::Removed,
            (Opening::Read(_), None) if rows.is_empty() => self.opening = Opening::Removed,
            _ => {}
        }
        if self.opening == Opening::Removed {
            self.phase = Phase::Closed;
        }
    }

    /// Takes back what a transaction without effect changed.
    fn undo(&mut self, pending: &Pending) {
        for (budget, share) in &pending.shares {
            let Some(slot) = self.slots.get_mut(budget) else {
                continue;
            };
            slot.ceiling = slot.durable.mark;
            slot.next_meter = None;
            if share.allocated != slot.durable.allocated {
                slot.review_at = Duration::ZERO;
            }
            let shortage = pending.shortages.get(budget).copied().unwrap_or(0);
            if shortage > 0 {
                slot.miss(shortage);
            }
        }
    }

    /// Accepts a row that another host appended.
    fn yield_to(&mut self, entry: &Entry) {
        self.advance();
        self.phase = match entry {
            Entry::Fence { .. } => Phase::Fenced,
            _ => Phase::Lost,
        };
        if self.phase == Phase::Fenced {
            let slots = self.slots.values_mut();
            slots.for_each(|slot| slot.durable.allocated = slot.durable.mark);
        }
        let known: BTreeSet<_> = entry.bills().iter().map(|bill| &bill.request).collect();
        self.bills.retain(|bill| !known.contains(&bill.request));
        let open = self.reservations.keys();
        let is_known = |attempt: &&RequestId| known.contains(&request_of(attempt));
        let known: Vec<_> = open.filter(is_known).cloned().collect();
        known.iter().for_each(|request| self.release(request));
    }
}

/// Returns the shares of which tokens are left.
fn left(shares: &Shares) -> Shares {
    let some = shares.iter().filter(|(_, s)| s.allocated > s.spent);
    some.map(|(id, share)| (id.clone(), *share)).collect()
}
