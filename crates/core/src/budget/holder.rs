//! Reservations and bills of a process against the budgets that it holds tokens of.

use {
    super::{
        era::Settlement,
        flush::Pending,
        grant::{Allowance, Settings},
        journal::{Share, Shares},
        restate::Written,
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
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
        time::Duration,
    },
};

/// Number of budget rows that a flush outside the interval must be able to write to justify its
/// journal row.
const MIN_EARLY_FLUSH_BUDGETS: usize = 2;

/// Why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The budget may have more tokens, or the bound allows them later. Retry after the next flush.
    RefillPending,
    /// The budget row had too few tokens when it was last read.
    Exhausted,
    /// The limit of reservations and unwritten bills, or of budgets, is reached.
    Full,
    /// The holder is stopping, or another host has taken over its journal.
    Closed,
    /// The request was billed before, or was announced and then released.
    Billed,
}

/// Tokens that a finished request used, and what it used them for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model or service that answered.
    pub model: ModelId,
    /// Upstream that answered.
    pub upstream: UpstreamId,
    /// Sum of the prompt and the output tokens.
    pub tokens: Tokens,
}

/// Execution of a request according to the engines, asked when its entry host does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request is running, or an engine that may run it could not be reached.
    Running,
    /// None of the engines that may have run the request has a record of it.
    Absent,
    /// An engine has finished the request.
    Finished(Usage),
}

/// Figures of one budget at a holder, for the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "{free} tokens below the mark, {}, {headroom} allocated, {unallocated} left in the budget row, \
     demand {demand} per second",
    within_bound.map_or_else(|| "no bound".into(), |tokens| format!("{tokens} within the bound"))
)]
pub struct Summary {
    /// Unreserved tokens below the mark.
    pub free: Tokens,
    /// Tokens that the bounds of the rows allow to reserve; `None` when no row has a bound.
    pub within_bound: Option<Tokens>,
    /// Allocated tokens that are neither spent nor reserved.
    pub headroom: Tokens,
    /// Tokens of the budget that no holder had when its row was last read.
    pub unallocated: Tokens,
    /// Estimated demand in tokens per second.
    pub demand: Tokens,
}

/// Phase of a holder's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The holder accepts reservations.
    Open,
    /// The holder accepts no reservations and returns its tokens.
    Draining,
    /// Another host has returned the tokens above the marks. Open reservations can still be
    /// settled.
    Fenced,
    /// Another host has also returned the marked tokens. Bills are charged from the unallocated
    /// tokens of the budgets.
    Lost,
    /// All tokens are spent or returned and all bills are durable, or the journal was removed.
    Closed,
}

/// An open reservation of a request.
#[derive(Debug)]
pub(super) struct Reservation {
    pub budget: BudgetId,
    pub amount: Tokens,
    /// When the reservation was made, or the request was last known to run.
    pub confirmed_at: Duration,
    /// Whether an upstream that keeps no records may have received the request.
    pub is_announced: bool,
}

/// State of a holder's opening row as far as the holder knows it, see
/// [`super::journal::opening_key`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Opening {
    /// The journal has no durable row, hence no opening row.
    Absent,
    /// The row exists, but its version has not been read.
    Unread,
    /// The row exists with this version.
    Read(Version),
    /// The row was removed together with the journal.
    Removed,
}

/// Holds tokens of budgets for one process, makes reservations and builds the rows of its journal.
///
/// The holder does no I/O: the caller reads the rows of [`Self::required_keys`], passes them to
/// [`Self::flush`], commits the transaction and passes the result to [`Self::apply_verdict`].
#[derive(Debug)]
pub struct Holder {
    pub(super) id: HolderId,
    pub(super) settings: Settings,
    /// Sequence of the next journal row.
    pub(super) next_sequence: Sequence,
    pub(super) opening: Opening,
    pub(super) slots: BTreeMap<BudgetId, Slot>,
    pub(super) reservations: HashMap<RequestId, Reservation>,
    /// Bills that are in no durable row yet, the oldest first.
    pub(super) bills: VecDeque<Bill>,
    pub(super) pending: Option<Pending>,
    /// What the store says about the era in which the holder's journal is up to date.
    pub(super) settlement: Settlement,
    /// Latest rows of the journal; empty without an era.
    pub(super) history: VecDeque<Written>,
    /// Sequences of the rows with which the holder restated its tokens, one in each era.
    pub(super) restatements: BTreeSet<Sequence>,
    pub(super) phase: Phase,
    /// Whether a row must state each reservation first, see [`Self::require_write_ahead`].
    pub(super) is_write_ahead: bool,
    /// Latest observed time of the store's clock in milliseconds.
    pub(super) store_ms: Option<u64>,
    /// Time of the latest call, by the process's clock.
    pub(super) last_now: Duration,
    /// When the demand was last sampled.
    pub(super) last_sample: Duration,
    /// Limits the rate of row writes.
    pub(super) allowance: Allowance,
    /// Latest requests that were billed, or announced and then released. A repeated message does
    /// not make a reservation for them.
    pub(super) ended_requests: HashSet<RequestId>,
    /// Elements of `ended_requests`, the oldest first.
    pub(super) ended_order: VecDeque<RequestId>,
}

impl Holder {
    /// Creates a holder without tokens; `id` must never have been used before.
    pub fn new(id: HolderId, settings: Settings) -> Self {
        Self {
            id,
            allowance: Allowance::new(),
            settings,
            next_sequence: 1,
            opening: Opening::Absent,
            slots: BTreeMap::new(),
            reservations: HashMap::new(),
            bills: VecDeque::new(),
            pending: None,
            settlement: Settlement::default(),
            history: VecDeque::new(),
            restatements: BTreeSet::new(),
            phase: Phase::Open,
            is_write_ahead: false,
            store_ms: None,
            last_now: Duration::ZERO,
            last_sample: Duration::ZERO,
            ended_requests: HashSet::new(),
            ended_order: VecDeque::new(),
        }
    }

    /// Records the time of the store's clock from one of its answers. Rows carry bounds only after
    /// the first call.
    pub fn observe_store_clock(&mut self, store_ms: u64) {
        self.store_ms = self.store_ms.max(Some(store_ms));
    }

    /// Replaces the settings. The sizes of grants and marks change with the next flushes.
    pub fn update_settings(&mut self, settings: &Settings) {
        if self.settings != *settings {
            self.settings = settings.clone();
        }
    }

    /// Reserves `amount` tokens for a request and returns the reserved tokens. A repeated call for
    /// the same request returns the tokens of its existing reservation.
    ///
    /// # Errors
    /// [`ReserveError`] when the mark or the bound does not cover the amount, or the holder accepts
    /// no reservations.
    pub fn reserve(
        &mut self,
        now: Duration,
        request: &RequestId,
        budget: &BudgetId,
        amount: Tokens,
    ) -> Result<Tokens, ReserveError> {
        self.last_now = now;
        if let Some(reservation) = self.reservations.get(request) {
            return Ok(reservation.amount);
        }
        self.check_admission(request, budget)?;
        let slot = self.slots.entry(budget.clone()).or_default();
        slot.last_used = now;
        let free = slot.free();
        if amount > free && now < slot.exhausted_until && amount - free >= slot.exhausted_amount {
            return Err(ReserveError::Exhausted);
        }
        if amount > free {
            slot.record_shortage(amount - free);
        }
        if amount > free || !slot.is_within_bound(now, amount) {
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
            confirmed_at: now,
            is_announced: false,
        };
        self.reservations.insert(request.clone(), reservation);
        Ok(amount)
    }

    /// Reserves as many tokens as are free, up to `max`, for a request that accepts `min` or more.
    ///
    /// # Errors
    /// As [`Self::reserve`] for the amount `min`. The next refill then requests up to `max` tokens,
    /// and takes fewer if the budget row has fewer.
    pub fn reserve_up_to(
        &mut self,
        now: Duration,
        request: &RequestId,
        budget: &BudgetId,
        max: Tokens,
        min: Tokens,
    ) -> Result<Tokens, ReserveError> {
        let free = self.slots.get(budget).map_or(0, Slot::free);
        let reserved = self.reserve(now, request, budget, max.min(free.max(min)));
        if reserved == Err(ReserveError::RefillPending)
            && let Some(slot) = self.slots.get_mut(budget)
        {
            slot.desired_shortage = slot.desired_shortage.max(max - free);
        }
        reserved
    }

    /// Removes a request from those that wait for a row.
    pub fn cancel_wait(&mut self, request: &RequestId, budget: &BudgetId) {
        if let Some(slot) = self.slots.get_mut(budget) {
            slot.waiting.remove(request);
        }
    }

    /// Makes the next flush request tokens of a budget that is not in use yet, ahead of the first
    /// reservation.
    pub fn prefetch(&mut self, now: Duration, budget: &BudgetId) {
        self.last_now = now;
        if self.phase != Phase::Open || self.slots.contains_key(budget) {
            return;
        }
        let slot = self.slots.entry(budget.clone()).or_default();
        slot.last_used = now;
        slot.record_shortage(1);
    }

    /// Lowers the reservation of a request to `amount`; a higher amount has no effect.
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

    /// Records that a request is about to be sent to an upstream that keeps no records. Returns
    /// whether the request has a reservation here; without one it must not be sent.
    pub fn announce(&mut self, request: &str) -> bool {
        let reservation = self.reservations.get_mut(request);
        reservation.is_some_and(|reservation| {
            reservation.is_announced = true;
            true
        })
    }

    /// Returns whether a request has a reservation here and was announced.
    pub fn is_announced(&self, request: &str) -> bool {
        let reservation = self.reservations.get(request);
        reservation.is_some_and(|reservation| reservation.is_announced)
    }

    /// Ends the reservation of a request that did not run.
    ///
    /// An announced request cannot be reserved again: the caller was told that it did not run, and
    /// a late repetition of its messages must not bill it.
    pub fn release(&mut self, request: &str) {
        let Some((request, reservation)) = self.reservations.remove_entry(request) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&reservation.budget) {
            slot.reserved -= reservation.amount;
            slot.total_reserved = slot.total_reserved.saturating_sub(reservation.amount);
        }
        if reservation.is_announced {
            self.remember_ended(&request);
        }
    }

    /// Ends the reservation of a request and bills its usage. Usage above the reserved amount is
    /// recorded as uncovered.
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
        self.remember_ended(request);
        Some(bill)
    }

    /// Returns up to `limit` requests whose reservations are older than `age`, the oldest first.
    /// The caller asks their entry hosts or the engines and passes the result to [`Self::resolve`].
    pub fn overdue(&self, now: Duration, age: Duration, limit: usize) -> Vec<RequestId> {
        let is_old = |r: &&Reservation| now.saturating_sub(r.confirmed_at) > age;
        let mut requests: Vec<_> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| is_old(reservation))
            .map(|(request, reservation)| (reservation.confirmed_at, request.clone()))
            .collect();
        requests.sort();
        requests.truncate(limit);
        requests.into_iter().map(|(_, request)| request).collect()
    }

    /// Applies the answer of the engines about a request: bills it, releases its reservation, or
    /// keeps the reservation until it is overdue again.
    pub fn resolve(
        &mut self,
        now: Duration,
        request: &RequestId,
        execution: Execution,
    ) -> Option<Bill> {
        match execution {
            Execution::Finished(usage) => self.settle(request, usage),
            Execution::Absent => {
                self.release(request);
                None
            }
            Execution::Running => {
                if let Some(reservation) = self.reservations.get_mut(request) {
                    reservation.confirmed_at = now;
                }
                None
            }
        }
    }

    /// From the next row on, reserves only tokens of requests that a row states, and states that in
    /// the bound. A process that is about to end calls this, so that its successor charges nothing
    /// for the time after its last row if the store is unreachable at the end.
    pub fn require_write_ahead(&mut self) {
        self.is_write_ahead = true;
    }

    /// Starts a planned stop: the holder refuses new reservations, the next flushes return all
    /// tokens that are not reserved, and the last one closes the journal.
    pub fn stop(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Draining;
        }
    }

    /// Makes the next flush read the row of a budget, because another host reports a shortage.
    pub fn review(&mut self, budget: &str) {
        if let Some(slot) = self.slots.get_mut(budget) {
            slot.review_at = Duration::ZERO;
        }
    }

    /// Returns whether a reservation lacks tokens and the write rate permits a refill before the
    /// next regular flush.
    pub fn is_early_flush_due(&self, now: Duration) -> bool {
        // If each journal row came with one budget row only, half of the writes would be journal
        // rows.
        let is_permitted =
            self.allowance.budget_rows(now, &self.settings) >= MIN_EARLY_FLUSH_BUDGETS;
        is_permitted
            && self
                .slots
                .values()
                .any(|slot| slot.shortage > 0 || !slot.waiting.is_empty())
    }

    /// Returns whether more than half of a budget's spare burst is used, so that a new row should
    /// renew its bound soon.
    pub fn is_bound_low(&self, budget: &str) -> bool {
        let meter = self.slots.get(budget).and_then(|slot| slot.meter.as_ref());
        meter.is_some_and(super::bound::Meter::is_low)
    }

    /// Returns whether requests wait that a journal row alone would admit, without a refill.
    pub fn is_row_awaited(&self, now: Duration) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| {
            slot.admissible(slot.ceiling) > 0 && !slot.is_within_bound(now, slot.max_waiting())
        })
    }

    /// Returns the time until `amount` tokens can be reserved without a new row, or `None` when the
    /// mark does not cover them or the bound never allows them.
    pub fn wait_time(&self, now: Duration, budget: &str, amount: Tokens) -> Option<Duration> {
        self.slots.get(budget)?.wait_time(now, amount)
    }

    /// Returns the figures of a budget for the log; `None` when the holder has no state of it.
    pub fn summary(&self, budget: &str) -> Option<Summary> {
        let slot = self.slots.get(budget)?;
        Some(Summary {
            free: slot.free(),
            within_bound: slot.within_bound(self.last_now),
            headroom: slot.headroom(),
            unallocated: slot.unallocated,
            demand: slot.demand.during(Duration::from_secs(1)),
        })
    }

    /// Returns the phase of the holder's life cycle.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the journal was removed. The holder is then closed, and its unwritten bills
    /// and open reservations have to be settled at another holder.
    pub fn is_removed(&self) -> bool {
        self.opening == Opening::Removed
    }

    /// Returns whether another host has taken over the journal.
    pub fn is_fenced(&self) -> bool {
        matches!(self.phase, Phase::Fenced | Phase::Lost)
    }

    /// Returns the current share of each budget; `spent` includes bills that are not durable.
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

    /// Returns the number of bills that are in no durable row yet.
    pub fn unwritten_bills(&self) -> usize {
        self.bills.len()
    }

    /// Checks that a new reservation may be made.
    ///
    /// # Errors
    /// [`ReserveError`] when the holder is not open, the request has ended, or a limit is reached.
    fn check_admission(&self, request: &RequestId, budget: &BudgetId) -> Result<(), ReserveError> {
        if self.phase != Phase::Open {
            return Err(ReserveError::Closed);
        }
        if self.ended_requests.contains(request) {
            return Err(ReserveError::Billed);
        }
        // The limit counts reservations and bills together, so a settlement is never refused.
        let is_full = self.reservations.len() + self.bills.len() >= self.settings.reservation_limit;
        let has_too_many_budgets =
            self.slots.len() >= self.settings.budget_limit && !self.slots.contains_key(budget);
        if is_full || has_too_many_budgets {
            return Err(ReserveError::Full);
        }
        Ok(())
    }

    /// Adds a request to those that are not reserved again, and drops the oldest over the limit.
    fn remember_ended(&mut self, request: &RequestId) {
        self.ended_requests.insert(request.clone());
        self.ended_order.push_back(request.clone());
        if self.ended_order.len() > self.settings.dedup_limit
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended_requests.remove(&oldest);
        }
    }
}
