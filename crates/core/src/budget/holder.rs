//! A holder of budgets.

use {
    super::{
        account::{self, Account},
        grant::{self, Settings},
        journal::{self, Entry, Journal, Share},
    },
    crate::{
        bill::Bill,
        id::{BudgetId, HolderId, ModelId, RequestId, Sequence, Tokens, UpstreamId, WorkspaceId},
        table::{Row, Transaction, Verdict},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The budget may have more; ask again after the next committed flush.
    Refill,
    /// The budget row had no more when it was last read.
    Exhausted,
}

/// What a finished request used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The workspace that asked.
    pub workspace: WorkspaceId,
    /// The model or service that answered.
    pub model: ModelId,
    /// The upstream that answered.
    pub upstream: UpstreamId,
    /// Prompt and answer tokens together.
    pub tokens: Tokens,
}

#[derive(Debug, Default)]
struct Slot {
    /// As in the last durable journal row; `spent` is current.
    share: Share,
    /// Tokens of open reservations; `spent + reserved ≤ share.mark`.
    reserved: Tokens,
    /// Tokens that reservations lacked since the last flush.
    shortage: Tokens,
    /// Tokens spent a second, smoothed.
    rate: f64,
    spent_at_flush: Tokens,
    /// Until then the budget counts as exhausted.
    dry_until: Duration,
}

#[derive(Debug)]
struct Reservation {
    budget: BudgetId,
    amount: Tokens,
}

#[derive(Debug)]
struct Pending {
    transaction: Transaction,
    shares: BTreeMap<BudgetId, Share>,
    bills: Vec<Bill>,
}

/// Holds tokens of many budgets for one process.
#[derive(Debug)]
pub struct Holder {
    id: HolderId,
    settings: Settings,
    /// Sequence of the next journal row.
    next: Sequence,
    slots: BTreeMap<BudgetId, Slot>,
    reservations: HashMap<RequestId, Reservation>,
    /// Bills that no durable row holds yet.
    bills: Vec<Bill>,
    pending: Option<Pending>,
    last_flush: Duration,
    fenced: bool,
}

impl Holder {
    /// Creates a holder; `id` must never have been used before.
    pub fn new(id: HolderId, settings: Settings) -> Self {
        Self {
            id,
            settings,
            next: 1,
            slots: BTreeMap::new(),
            reservations: HashMap::new(),
            bills: Vec::new(),
            pending: None,
            last_flush: Duration::ZERO,
            fenced: false,
        }
    }

    /// Reserves `amount` tokens for a request.
    ///
    /// # Errors
    /// [`Shortage`] when the durable mark does not cover the amount. A repeated call for the same
    /// request returns the reservation that it has.
    pub fn reserve(
        &mut self,
        now: Duration,
        request: &RequestId,
        budget: &BudgetId,
        amount: Tokens,
    ) -> Result<Tokens, Shortage> {
        if let Some(reservation) = self.reservations.get(request) {
            return Ok(reservation.amount);
        }
        let slot = self.slots.entry(budget.clone()).or_default();
        let free = slot.share.mark - slot.share.spent - slot.reserved;
        if amount > free {
            if now < slot.dry_until || self.fenced {
                return Err(Shortage::Exhausted);
            }
            slot.shortage = slot.shortage.max(amount - free);
            return Err(Shortage::Refill);
        }
        slot.reserved += amount;
        let budget = budget.clone();
        let reservation = Reservation { budget, amount };
        self.reservations.insert(request.clone(), reservation);
        Ok(amount)
    }

    /// Lowers the reservation of a request; a higher amount changes nothing.
    pub fn lower(&mut self, request: &str, amount: Tokens) {
        let Some(reservation) = self.reservations.get_mut(request) else {
            return;
        };
        let freed = reservation.amount.saturating_sub(amount);
        reservation.amount -= freed;
        if let Some(slot) = self.slots.get_mut(&reservation.budget) {
            slot.reserved -= freed;
        }
    }

    /// Ends the reservation of a request that did not run.
    pub fn release(&mut self, request: &str) {
        if let Some(reservation) = self.reservations.remove(request)
            && let Some(slot) = self.slots.get_mut(&reservation.budget)
        {
            slot.reserved -= reservation.amount;
        }
    }

    /// Ends the reservation of a request and bills its usage, at most what was reserved.
    ///
    /// Returns `None` when the request has no reservation here, as after an earlier settlement.
    pub fn settle(&mut self, request: &RequestId, usage: Usage) -> Option<Bill> {
        let reservation = self.reservations.remove(request)?;
        let slot = self.slots.get_mut(&reservation.budget)?;
        let charged = usage.tokens.min(reservation.amount);
        slot.reserved -= reservation.amount;
        slot.share.spent += charged;
        let bill = Bill {
            request: request.clone(),
            workspace: usage.workspace,
            budget: reservation.budget,
            model: usage.model,
            upstream: usage.upstream,
            charged,
            uncovered: usage.tokens - charged,
        };
        self.bills.push(bill.clone());
        Some(bill)
    }

    /// Returns the keys of the budget rows that the next flush needs.
    pub fn wanted(&self) -> Vec<String> {
        if self.pending.is_some() || self.fenced {
            return Vec::new();
        }
        let low = |slot: &&Slot| slot.shortage > 0;
        let wanting = self.slots.iter().filter(|(_, slot)| low(slot));
        wanting.map(|(budget, _)| account::key(budget)).collect()
    }

    /// Returns the next store transaction, or the one whose verdict is still unknown.
    ///
    /// `rows` are the budget rows named by [`Self::wanted`]. Returns `None` when there is nothing
    /// to write.
    pub fn flush(&mut self, now: Duration, rows: &[Row]) -> Option<Transaction> {
        if let Some(pending) = &self.pending {
            return Some(pending.transaction.clone());
        }
        if self.fenced {
            return None;
        }
        self.measure(now);
        let mut transaction = Transaction::default();
        let mut shares: BTreeMap<_, _> = self.shares();
        self.refill(now, rows, &mut shares, &mut transaction);
        self.raise(&mut shares);
        if shares == self.shares() && self.bills.is_empty() {
            return None;
        }
        let bills = std::mem::take(&mut self.bills);
        let key = journal::key(&self.id, self.next);
        transaction.require(key.as_str(), 0);
        transaction.put(key, self.row(&shares, &bills));
        self.pending = Some(Pending {
            transaction: transaction.clone(),
            shares,
            bills,
        });
        Some(transaction)
    }

    /// Takes the store's verdict on the pending transaction.
    pub fn decide(&mut self, verdict: &Verdict) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Verdict::Conflict(rows) = verdict else {
            return self.adopt(&pending);
        };
        let key = journal::key(&self.id, self.next);
        match rows.iter().find(|row| *row.key == *key) {
            Some(row) if self.is_own(row) => self.adopt(&pending),
            Some(_) => self.fenced = true,
            None => self.bills.splice(0..0, pending.bills).for_each(drop),
        }
    }

    /// Returns whether another host has taken over the journal.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns whether a transaction waits for its verdict or there is something to write.
    pub fn is_dirty(&self) -> bool {
        self.pending.is_some() || !self.bills.is_empty() || !self.wanted().is_empty()
    }

    fn shares(&self) -> BTreeMap<BudgetId, Share> {
        let shares = self.slots.iter();
        shares.map(|(id, slot)| (id.clone(), slot.share)).collect()
    }

    fn measure(&mut self, now: Duration) {
        let seconds = now.saturating_sub(self.last_flush).as_secs_f64();
        if seconds < 1.0 {
            return;
        }
        self.last_flush = now;
        for slot in self.slots.values_mut() {
            let rate = (slot.share.spent - slot.spent_at_flush) as f64 / seconds;
            slot.rate = slot.rate * 0.7 + rate * 0.3;
            slot.spent_at_flush = slot.share.spent;
        }
    }

    fn refill(
        &mut self,
        now: Duration,
        rows: &[Row],
        shares: &mut BTreeMap<BudgetId, Share>,
        transaction: &mut Transaction,
    ) {
        for (budget, slot) in &mut self.slots {
            if slot.shortage == 0 {
                continue;
            }
            let key = account::key(budget);
            let row = rows.iter().find(|row| *row.key == *key);
            let account = row.and_then(|row| serde_json::from_str::<Account>(&row.value).ok());
            let rest = account.as_ref().map_or(0, Account::rest);
            let amount = grant::size(&self.settings, rest, slot.shortage, slot.rate);
            if amount < slot.shortage {
                slot.dry_until = now + self.settings.dry_pause;
            }
            slot.shortage = 0;
            let (Some(row), Some(account), 1..) = (row, account, amount) else {
                continue;
            };
            let account = Account {
                allocated: account.allocated + amount,
                ..account
            };
            transaction.require(key.as_str(), row.version);
            transaction.put(key, json(&account));
            shares.entry(budget.clone()).or_default().allocated += amount;
        }
    }

    fn raise(&self, shares: &mut BTreeMap<BudgetId, Share>) {
        for share in shares.values_mut() {
            share.mark = share.allocated;
        }
    }

    fn row(&self, shares: &BTreeMap<BudgetId, Share>, bills: &[Bill]) -> String {
        json(&Journal {
            author: self.id.clone(),
            entry: Entry::Flush {
                shares: shares.clone(),
                bills: bills.to_vec(),
            },
        })
    }

    fn is_own(&self, row: &Row) -> bool {
        serde_json::from_str::<Journal>(&row.value).is_ok_and(|journal| journal.author == self.id)
    }

    fn adopt(&mut self, pending: &Pending) {
        self.next += 1;
        for (budget, share) in &pending.shares {
            let slot = self.slots.entry(budget.clone()).or_default();
            slot.share.allocated = share.allocated;
            slot.share.mark = share.mark;
        }
    }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
