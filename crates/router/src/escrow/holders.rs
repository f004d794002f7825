//! The holders of one process.
//!
//! One holder at a time takes reservations. When another host has fenced it, as after a pause, the
//! process continues with a new holder; the old one stays until its journal is closed.

use {
    super::{Settlement, durability::Durability, resolve::BillingContext},
    marigoldroute_core::{
        bill::Bill,
        budget::{Execution, Holder, Phase, ReserveError, Settings, Usage},
        id::{BudgetId, HolderId, RequestId, Tokens},
        wire::Billing,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Number of a holder within its process, from 1.
pub(super) type Generation = u64;

/// All holders of a process that are not closed.
#[derive(Debug)]
pub(super) struct Holders {
    process: HolderId,
    settings: Settings,
    holders: BTreeMap<Generation, Holder>,
    /// The holder that takes reservations.
    current: Generation,
    /// Open reservations: their holder and billing context.
    open: HashMap<RequestId, (Generation, BillingContext)>,
    durability: Durability,
    /// Bills made since the last call of [`Self::take_new_bills`].
    new_bills: Vec<Bill>,
    is_draining: bool,
}

impl Holders {
    pub(super) fn new(process: HolderId, settings: Settings) -> Self {
        let mut holders = Self {
            process,
            settings,
            holders: BTreeMap::new(),
            current: 0,
            open: HashMap::new(),
            durability: Durability::default(),
            new_bills: Vec::new(),
            is_draining: false,
        };
        holders.open_next();
        holders
    }

    pub(super) fn reserve(
        &mut self,
        now: Duration,
        attempt: &RequestId,
        budget: &BudgetId,
        amount: Tokens,
        context: &BillingContext,
    ) -> Result<Tokens, ReserveError> {
        if self.open.contains_key(attempt) {
            return Ok(amount);
        }
        let holder = self.holders.get_mut(&self.current);
        let holder = holder.ok_or(ReserveError::Closed)?;
        let tokens = holder.reserve(now, attempt, budget, amount)?;
        let entry = (self.current, context.clone());
        self.open.insert(attempt.clone(), entry);
        Ok(tokens)
    }

    /// Reserves the tokens that the current holder has, at most `most` and not less than `least`.
    pub(super) fn reserve_up_to(
        &mut self,
        now: Duration,
        attempt: &RequestId,
        budget: &BudgetId,
        (least, most): (Tokens, Tokens),
        context: &BillingContext,
    ) -> Result<Tokens, ReserveError> {
        let holder = self.holders.get_mut(&self.current);
        let holder = holder.ok_or(ReserveError::Closed)?;
        let tokens = holder.reserve_up_to(now, attempt, budget, most, least)?;
        let entry = (self.current, context.clone());
        self.open.insert(attempt.clone(), entry);
        Ok(tokens)
    }

    pub(super) fn lower(&mut self, attempt: &str, amount: Tokens) {
        if let Some((generation, _)) = self.open.get(attempt)
            && let Some(holder) = self.holders.get_mut(generation)
        {
            holder.lower(attempt, amount);
        }
    }

    /// Records that a plain service is about to receive a request; returns whether the request has
    /// an open reservation here.
    pub(super) fn announce(&mut self, attempt: &str) -> bool {
        let Some((generation, context)) = self.open.get_mut(attempt) else {
            return false;
        };
        let holder = self.holders.get_mut(generation);
        context.is_announced = holder.is_some_and(|holder| holder.announce(attempt));
        context.is_announced
    }

    pub(super) fn release(&mut self, attempt: &str) {
        if let Some(holder) = self.take_open(attempt) {
            holder.release(attempt);
        }
    }

    /// Bills an attempt, including one without a reservation here because its holder was lost.
    pub(super) fn settle(&mut self, now: Duration, item: &Settlement) -> Billing {
        if let Some(is_durable) = self.durability.get(&item.attempt) {
            return if is_durable {
                Billing::Durable
            } else {
                Billing::Pending
            };
        }
        if !self.open.contains_key(&item.attempt)
            && let Err(billing) = self.reserve_unknown(now, item)
        {
            return billing;
        }
        match self.bill(&item.attempt, item.usage.clone()) {
            Some(_) => Billing::Pending,
            None => Billing::Durable,
        }
    }

    /// Reserves the tokens used by an attempt that has no reservation here. If the budget does not
    /// cover them, they are billed as uncovered. The ledger drops the bill if the lost holder made
    /// one too.
    fn reserve_unknown(&mut self, now: Duration, item: &Settlement) -> Result<(), Billing> {
        let context = BillingContext {
            workspace: item.usage.workspace.clone(),
            model: item.usage.model.clone(),
            is_announced: true,
        };
        let mut amount = item.usage.tokens;
        loop {
            let reserved = self.reserve(now, &item.attempt, &item.budget, amount, &context);
            match reserved {
                Ok(_) => return Ok(()),
                Err(ReserveError::Exhausted) if amount > 0 => amount = 0,
                Err(ReserveError::RefillPending) => return Err(Billing::Pending),
                Err(ReserveError::Billed) => return Err(Billing::Durable),
                Err(_) => return Err(Billing::Refused),
            }
        }
    }

    fn bill(&mut self, attempt: &RequestId, usage: Usage) -> Option<Bill> {
        let (generation, _) = self.open.remove(attempt)?;
        let bill = self.holders.get_mut(&generation)?.settle(attempt, usage)?;
        self.durability.record_bill(attempt, generation);
        self.new_bills.push(bill.clone());
        Some(bill)
    }

    /// Returns the bills made since the last call.
    pub(super) fn take_new_bills(&mut self) -> Vec<Bill> {
        std::mem::take(&mut self.new_bills)
    }

    /// Updates which bills of a holder are in the store.
    pub(super) fn update_durability(&mut self, generation: Generation) {
        if let Some(holder) = self.holders.get(&generation) {
            self.durability
                .update_written(generation, holder.unwritten_bills() as u64);
        }
    }

    /// Applies the outcome of an attempt as reported by the upstreams.
    pub(super) fn resolve(&mut self, now: Duration, attempt: &RequestId, execution: Execution) {
        match execution {
            Execution::Finished(usage) => drop(self.bill(attempt, usage)),
            Execution::Absent => self.release(attempt),
            Execution::Running => {
                let open = self.open.get(attempt);
                let holder = open.and_then(|(generation, _)| self.holders.get_mut(generation));
                if let Some(holder) = holder {
                    holder.resolve(now, attempt, execution);
                }
            }
        }
    }

    /// Returns up to `limit` attempts whose reservations are older than `age`, with their billing
    /// context.
    pub(super) fn overdue(
        &self,
        now: Duration,
        age: Duration,
        limit: usize,
    ) -> Vec<(RequestId, BillingContext)> {
        let holders = self.holders.values();
        let overdue = holders.flat_map(|holder| holder.overdue(now, age, limit));
        overdue
            .filter_map(|attempt| {
                let (_, context) = self.open.get(&attempt)?;
                Some((attempt, context.clone()))
            })
            .take(limit)
            .collect()
    }

    /// Marks a budget, of which another holder lacks tokens, for a read of its row at the next
    /// flush.
    pub(super) fn review(&mut self, budget: &str) {
        if let Some(holder) = self.holders.get_mut(&self.current) {
            holder.review(budget);
        }
    }

    /// Stops taking reservations; every holder returns its unused tokens.
    pub(super) fn stop(&mut self) {
        self.is_draining = true;
        self.holders.values_mut().for_each(Holder::stop);
    }

    /// Updates the sizes of grants of every holder.
    pub(super) fn update_settings(&mut self, settings: &Settings) {
        self.settings = settings.clone();
        self.holders
            .values_mut()
            .for_each(|holder| holder.update_settings(settings));
    }

    /// Returns the holders, the oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Generation, &Holder)> {
        self.holders
            .iter()
            .map(|(generation, holder)| (*generation, holder))
    }

    pub(super) fn get_mut(&mut self, generation: Generation) -> Option<&mut Holder> {
        self.holders.get_mut(&generation)
    }

    /// Removes closed holders, and opens a new one if the current one takes no reservations.
    pub(super) fn replace_closed(&mut self) {
        let removed = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_removed());
        let removed: Vec<_> = removed.map(|(generation, _)| *generation).collect();
        for generation in removed {
            // The entries repeat these settlements until some holder has written the bills.
            self.durability.forget(generation);
            self.open.retain(|_, (holder, _)| *holder != generation);
        }
        self.holders
            .retain(|_, holder| holder.phase() != Phase::Closed);
        let current = self.holders.get(&self.current);
        let is_open = current.is_some_and(|holder| holder.phase() == Phase::Open);
        if !is_open && !self.is_draining {
            self.open_next();
        }
    }

    /// Returns whether every journal is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the number of open reservations and of bills that are not in the store.
    pub(super) fn unfinished(&self) -> (usize, usize) {
        let bills = self.holders.values().map(Holder::unwritten_bills).sum();
        (self.open.len(), bills)
    }

    fn open_next(&mut self) {
        self.current += 1;
        let id = format!("{}.{}", self.process, self.current);
        let holder = Holder::new(id.into(), self.settings.clone());
        self.holders.insert(self.current, holder);
    }

    fn take_open(&mut self, attempt: &str) -> Option<&mut Holder> {
        let (generation, _) = self.open.remove(attempt)?;
        self.holders.get_mut(&generation)
    }
}
