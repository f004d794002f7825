//! A holder of budgets.

use {
    super::{
        flush::Pending,
        grant::{Allowance, Settings},
        journal::{Share, Shares},
        slot::Slot,
    },
    crate::{
        bill::{Bill, request_of},
        id::{
            BudgetId, HolderId, ModelId, RequestId, Sequence, Tokens, UpstreamId, Version,
            WorkspaceId,
        },
    },
    derive_more::Display,
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        time::Duration,
    },
};

/// Budget rows for which a flush outside the interval is worth its journal row.
const HURRIED_BUDGETS: usize = 2;

/// Why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The budget may have more; ask again after the next flush.
    RefillPending,
    /// The budget row had no more when it was last read.
    Exhausted,
    /// The holder has as many reservations and unwritten bills, or budgets, as it may have.
    Full,
    /// The holder is stopping, or another host has taken over its journal.
    Closed,
    /// The request was billed before, or released after it was announced.
    Billed,
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

/// What the engines know of a request whose entry does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request runs, or some engine that may run it could not be asked.
    Running,
    /// Every engine that may have run the request has no record of it.
    Absent,
    /// An engine finished the request.
    Finished(Usage),
}

/// One budget as a holder sees it, for the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "{free} tokens below the mark, {within_bound} within the bound, {headroom} allocated, {unallocated} left in \
     the budget row, demand {demand} per second"
)]
pub struct Summary {
    /// Tokens below the mark.
    pub free: Tokens,
    /// Tokens that the bound allows.
    pub within_bound: Tokens,
    /// Allocated tokens that are neither spent nor reserved.
    pub headroom: Tokens,
    /// Tokens that the budget row had left when it was last read.
    pub unallocated: Tokens,
    /// Tokens per second.
    pub demand: Tokens,
}

/// Part of a holder's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes reservations.
    Open,
    /// Takes no reservations and returns its tokens.
    Draining,
    /// Another host has returned the tokens above the marks. Open reservations can still be
    /// settled.
    Fenced,
    /// Another host has returned the marked tokens too. Bills are charged from the budgets' rest.
    Lost,
    /// All tokens are spent or returned and all bills are durable.
    Closed,
}

/// An open reservation.
#[derive(Debug)]
pub(super) struct Reservation {
    pub budget: BudgetId,
    pub amount: Tokens,
    /// When it was made or last confirmed.
    pub since: Duration,
    /// Whether an upstream that keeps no records may have received the request.
    pub is_announced: bool,
}

/// What a holder knows of its opening row, see [`super::journal::opening_key`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Opening {
    /// No row of the journal is durable.
    Absent,
    /// It exists; its version has to be read.
    Unread,
    /// Its version.
    Read(Version),
    /// It was removed with the journal.
    Removed,
}

/// Holds tokens of many budgets for one process.
#[derive(Debug)]
pub struct Holder {
    pub(super) id: HolderId,
    pub(super) settings: Settings,
    /// Sequence of the next journal row.
    pub(super) next: Sequence,
    pub(super) opening: Opening,
    pub(super) slots: BTreeMap<BudgetId, Slot>,
    pub(super) reservations: HashMap<RequestId, Reservation>,
    /// Bills that no durable row holds yet, the oldest first.
    pub(super) bills: VecDeque<Bill>,
    pub(super) pending: Option<Pending>,
    pub(super) phase: Phase,
    /// Whether nothing is reserved without a row, see [`Self::require_write_ahead`].
    pub(super) is_write_ahead: bool,
    /// The store's clock in milliseconds as last seen.
    pub(super) store_ms: Option<u64>,
    /// The latest time that the holder was called with.
    pub(super) clock: Duration,
    pub(super) last_flush: Duration,
    pub(super) allowance: Allowance,
    /// The latest requests that were billed, or released after they were announced: a repeated
    /// message makes no reservation for them.
    pub(super) billed: HashSet<RequestId>,
    pub(super) billed_order: VecDeque<RequestId>,
}

impl Holder {
    /// Creates a holder; `id` must never have been used before.
    pub fn new(id: HolderId, settings: Settings) -> Self {
        Self {
            id,
            allowance: Allowance::new(),
            settings,
            next: 1,
            opening: Opening::Absent,
            slots: BTreeMap::new(),
            reservations: HashMap::new(),
            bills: VecDeque::new(),
            pending: None,
            phase: Phase::Open,
            is_write_ahead: false,
            store_ms: None,
            clock: Duration::ZERO,
            last_flush: Duration::ZERO,
            billed: HashSet::new(),
            billed_order: VecDeque::new(),
        }
    }

    /// Notes the store's clock, as in an answer that has arrived. Rows only carry bounds from then on.
    pub fn observe_store_clock(&mut self, store_ms: u64) {
        self.store_ms = self.store_ms.max(Some(store_ms));
    }

    /// Replaces the settings; the sizes of grants and marks follow at the next flushes.
    pub fn update_settings(&mut self, settings: &Settings) {
        if self.settings != *settings {
            self.settings = settings.clone();
        }
    }

    /// Reserves `amount` tokens for a request.
    ///
    /// # Errors
    /// [`ReserveError`] when the durable mark does not cover the amount, or the holder takes no more
    /// reservations. A repeated call for the same request returns the reservation that it has.
    pub fn reserve(
        &mut self,
        now: Duration,
        request: &RequestId,
        budget: &BudgetId,
        amount: Tokens,
    ) -> Result<Tokens, ReserveError> {
        self.clock = now;
        if let Some(reservation) = self.reservations.get(request) {
            return Ok(reservation.amount);
        }
        self.admit(request, budget)?;
        let slot = self.slots.entry(budget.clone()).or_default();
        slot.used_at = now;
        let free = slot.free();
        if amount > free && now < slot.dry_until && amount - free >= slot.dry_from {
            return Err(ReserveError::Exhausted);
        }
        if amount > free {
            slot.miss(amount - free);
        }
        if amount > free || amount > slot.within_bound(now) {
            if self.settings.bound.is_some() {
                slot.waiting.insert(request.clone(), amount);
            }
            return Err(ReserveError::RefillPending);
        }
        slot.waiting.remove(request);
        slot.reserve(amount);
        let reservation = Reservation {
            budget: budget.clone(),
            amount,
            since: now,
            is_announced: false,
        };
        self.reservations.insert(request.clone(), reservation);
        Ok(amount)
    }

    /// Reserves as many tokens as there are, up to `most`, for a request that does with `least`.
    ///
    /// # Errors
    /// As [`Self::reserve`] for the amount `least`. The next refill then takes up to `most` from a
    /// budget row that has fewer.
    pub fn reserve_up_to(
        &mut self,
        now: Duration,
        request: &RequestId,
        budget: &BudgetId,
        most: Tokens,
        least: Tokens,
    ) -> Result<Tokens, ReserveError> {
        let free = self.slots.get(budget).map_or(0, Slot::free);
        let reserved = self.reserve(now, request, budget, most.min(free.max(least)));
        if reserved == Err(ReserveError::RefillPending)
            && let Some(slot) = self.slots.get_mut(budget)
        {
            slot.partial = slot.partial.max(most - free);
        }
        reserved
    }

    /// Notes that a request no longer waits for a reservation.
    pub fn cancel_wait(&mut self, request: &RequestId, budget: &BudgetId) {
        if let Some(slot) = self.slots.get_mut(budget) {
            slot.waiting.remove(request);
        }
    }

    /// Prepares for reservations of a budget that is not in use yet, as far as its row has tokens.
    pub fn prefetch(&mut self, now: Duration, budget: &BudgetId) {
        self.clock = now;
        if self.phase != Phase::Open || self.slots.contains_key(budget) {
            return;
        }
        let slot = self.slots.entry(budget.clone()).or_default();
        slot.used_at = now;
        slot.miss(1);
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

    /// Notes that an upstream that keeps no records is about to receive a request; returns whether
    /// the request has a reservation here. Without one it must not be sent.
    pub fn announce(&mut self, request: &str) -> bool {
        let reservation = self.reservations.get_mut(request);
        reservation.is_some_and(|reservation| {
            reservation.is_announced = true;
            true
        })
    }

    /// Returns whether a request with a reservation here was announced.
    pub fn is_announced(&self, request: &str) -> bool {
        let reservation = self.reservations.get(request);
        reservation.is_some_and(|reservation| reservation.is_announced)
    }

    /// Ends the reservation of a request that did not run.
    ///
    /// The holder makes no other one for an announced request, so that a late repetition of its
    /// messages does not bill a request of which the caller was told that it did not run.
    pub fn release(&mut self, request: &str) {
        let Some((request, reservation)) = self.reservations.remove_entry(request) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&reservation.budget) {
            slot.reserved -= reservation.amount;
            slot.taken = slot.taken.saturating_sub(reservation.amount);
        }
        if reservation.is_announced {
            self.remember(&request);
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
        slot.spent += charged;
        let bill = Bill {
            request: request_of(request),
            workspace: usage.workspace,
            budget: reservation.budget,
            model: usage.model,
            upstream: usage.upstream,
            charged,
            uncovered: usage.tokens - charged,
        };
        self.bills.push_back(bill.clone());
        self.remember(request);
        Some(bill)
    }

    /// Returns up to `limit` requests whose reservations are older than `age`, the oldest first.
    /// The caller asks their entry hosts or the engines and passes the result to
    /// [`Self::resolve`].
    pub fn overdue(&self, now: Duration, age: Duration, limit: usize) -> Vec<RequestId> {
        let old = |r: &&Reservation| now.saturating_sub(r.since) > age;
        let mut requests: Vec<_> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| old(reservation))
            .map(|(request, reservation)| (reservation.since, request.clone()))
            .collect();
        requests.sort();
        requests.truncate(limit);
        requests.into_iter().map(|(_, request)| request).collect()
    }

    /// Applies what the engines know of a request: bills it, ends its reservation, or keeps the
    /// reservation for another period.
    pub fn resolve(
        &mut self,
        now: Duration,
        request: &RequestId,
        record: Execution,
    ) -> Option<Bill> {
        match record {
            Execution::Finished(usage) => self.settle(request, usage),
            Execution::Absent => {
                self.release(request);
                None
            }
            Execution::Running => {
                if let Some(reservation) = self.reservations.get_mut(request) {
                    reservation.since = now;
                }
                None
            }
        }
    }

    /// Reserves nothing without a row from now on, and says so in the next one. A process that is
    /// about to end calls this, so that its successor charges nothing for the time after its last
    /// row if the store is away at the end.
    pub fn require_write_ahead(&mut self) {
        self.is_write_ahead = true;
    }

    /// Starts a planned stop: no new reservations; the next flushes return all tokens that are
    /// not reserved, and the last one closes the journal.
    pub fn stop(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Draining;
        }
    }

    /// Makes the next flush read the row of a budget of which another host reports a shortage.
    pub fn review(&mut self, budget: &str) {
        if let Some(slot) = self.slots.get_mut(budget) {
            slot.review_at = Duration::ZERO;
        }
    }

    /// Returns whether a reservation lacks tokens and the holder may refill before its next regular
    /// flush.
    pub fn is_early_flush_due(&self, now: Duration) -> bool {
        // A journal row for a single budget row would take half of the writes.
        let may = self.allowance.budgets(now, &self.settings) >= HURRIED_BUDGETS;
        may && self
            .slots
            .values()
            .any(|slot| slot.shortage > 0 || !slot.waiting.is_empty())
    }

    /// Returns whether a new row should soon renew the bound of a budget.
    pub fn is_bound_low(&self, budget: &str) -> bool {
        let meter = self.slots.get(budget).and_then(|slot| slot.meter.as_ref());
        meter.is_some_and(super::bound::Meter::is_low)
    }

    /// Returns whether requests wait that a row without a change of budget rows would admit.
    pub fn is_row_awaited(&self, now: Duration) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| {
            slot.admitted(slot.ceiling) > 0 && slot.within_bound(now) < slot.most_waiting()
        })
    }

    /// Returns how long to wait until tokens can be reserved without a new row, or `None` when the
    /// mark does not cover them.
    pub fn wait_time(&self, now: Duration, budget: &str, amount: Tokens) -> Option<Duration> {
        self.slots.get(budget)?.wait_time(now, amount)
    }

    /// Describes a budget for the log.
    pub fn summary(&self, budget: &str) -> Option<Summary> {
        let slot = self.slots.get(budget)?;
        Some(Summary {
            free: slot.free(),
            within_bound: slot.within_bound(self.clock),
            headroom: slot.headroom(),
            unallocated: slot.unallocated,
            demand: slot.demand.during(Duration::from_secs(1)),
        })
    }

    /// Returns the part of the life cycle.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the journal was removed. The holder is closed then, and its unwritten bills
    /// and open reservations have to be settled at another holder.
    pub fn is_removed(&self) -> bool {
        self.opening == Opening::Removed
    }

    /// Returns whether another host has taken over the journal.
    pub fn is_fenced(&self) -> bool {
        matches!(self.phase, Phase::Fenced | Phase::Lost)
    }

    /// Returns the current figures of every budget; `spent` includes bills that are not durable.
    pub fn shares(&self) -> Shares {
        let share = |slot: &Slot| Share {
            spent: slot.spent,
            ..slot.durable
        };
        let slots = self.slots.iter();
        slots.map(|(id, slot)| (id.clone(), share(slot))).collect()
    }

    /// Returns the number of open reservations.
    pub fn open_reservations(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the number of bills that no durable row holds.
    pub fn unwritten_bills(&self) -> usize {
        self.bills.len()
    }

    fn admit(&self, request: &RequestId, budget: &BudgetId) -> Result<(), ReserveError> {
        if self.phase != Phase::Open {
            return Err(ReserveError::Closed);
        }
        if self.billed.contains(request) {
            return Err(ReserveError::Billed);
        }
        // Each reservation has room for its bill, so a settlement never has to be refused.
        let full = self.reservations.len() + self.bills.len() >= self.settings.reservation_limit;
        let many =
            self.slots.len() >= self.settings.budget_limit && !self.slots.contains_key(budget);
        if full || many {
            return Err(ReserveError::Full);
        }
        Ok(())
    }

    fn remember(&mut self, request: &RequestId) {
        self.billed.insert(request.clone());
        self.billed_order.push_back(request.clone());
        if self.billed_order.len() > self.settings.dedup_limit
            && let Some(oldest) = self.billed_order.pop_front()
        {
            self.billed.remove(&oldest);
        }
    }
}
