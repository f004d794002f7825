//! Budget holders of one router process, driven as its escrow task does.

use {
    super::{
        message::{Billing, HolderMessage, HolderReply, Refusal, ReservationSpec},
        simulation::record_path,
    },
    marigoldroute_core::{
        budget::{Execution, Holder, Phase, ReserveError, Settings, Usage},
        id::{BudgetId, HolderId, RequestId, Tokens},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// How long a reservation waits for tokens.
const RESERVE_LIMIT: Duration = Duration::from_secs(2);

/// A reservation that waits for a refill.
pub struct Waiting {
    pub from: usize,
    pub message: HolderMessage,
    deadline: Duration,
}

pub struct Escrow {
    process: HolderId,
    current: u64,
    pub holders: BTreeMap<u64, Holder>,
    /// Open reservations by attempt, with the generation of their holder.
    reservations: HashMap<RequestId, (u64, ReservationSpec)>,
    /// Bills by attempt: the generation of the holder, and the number of its bills up to this one.
    bills: HashMap<RequestId, (u64, usize)>,
    /// Number of bills by generation.
    bill_counts: HashMap<u64, usize>,
    waiting: Vec<Waiting>,
    is_draining: bool,
}

/// Small sizes, so that short runs reach every path.
fn settings() -> Settings {
    Settings {
        endurance: Duration::from_secs(20),
        min_endurance: Duration::from_secs(2),
        horizon: Duration::from_secs(40),
        min_grant: 60,
        divisor: 3,
        exhausted_ttl: Duration::from_secs(1),
        exhaustion_delay: Duration::from_secs(1),
        review_interval: Duration::from_secs(4),
        short_review_interval: Duration::from_secs(2),
        batch_limit: 8,
        ..Settings::default()
    }
}

impl Escrow {
    pub fn new(process: HolderId) -> Self {
        let mut escrow = Self {
            process,
            current: 0,
            holders: BTreeMap::new(),
            reservations: HashMap::new(),
            bills: HashMap::new(),
            bill_counts: HashMap::new(),
            waiting: Vec::new(),
            is_draining: false,
        };
        escrow.replace_holder();
        escrow
    }

    /// Opens a holder of the next generation, which takes new reservations.
    fn replace_holder(&mut self) {
        self.current += 1;
        let id = format!("{}.{}", self.process, self.current);
        let holder = Holder::new(id.into(), settings());
        self.holders.insert(self.current, holder);
    }

    /// Handles a message of an entry; `None` if the reply follows later or the message has none.
    pub fn handle(
        &mut self,
        now: Duration,
        from: usize,
        message: HolderMessage,
        accepts_new: bool,
    ) -> Option<HolderReply> {
        match message {
            HolderMessage::Reserve { .. } if !accepts_new => {
                Some(refusal_reply(&message, Refusal::Unavailable))
            }
            HolderMessage::Reserve { .. } => self.reserve(now, from, message, now + RESERVE_LIMIT),
            HolderMessage::Release { attempt } => {
                self.waiting
                    .retain(|waiting| waiting.message.attempt() != attempt);
                if let Some((generation, _)) = self.reservations.remove(&attempt)
                    && let Some(holder) = self.holders.get_mut(&generation)
                {
                    holder.release(&attempt);
                }
                Some(HolderReply::Released(attempt))
            }
            HolderMessage::Settle {
                attempt,
                spec,
                usage,
            } => {
                let billing = self.settle(now, &attempt, &spec, usage);
                Some(HolderReply::Settled(attempt, billing))
            }
            HolderMessage::Announce { attempt } => {
                let entry = self.reservations.get(&attempt);
                let holder = entry.and_then(|(generation, _)| self.holders.get_mut(generation));
                let is_announced = holder.is_some_and(|holder| holder.announce(&attempt));
                Some(HolderReply::Announced(attempt, is_announced))
            }
            HolderMessage::Review { budget } => {
                if let Some(holder) = self.holders.get_mut(&self.current) {
                    holder.review(&budget);
                }
                None
            }
        }
    }

    fn reserve(
        &mut self,
        now: Duration,
        from: usize,
        message: HolderMessage,
        deadline: Duration,
    ) -> Option<HolderReply> {
        let HolderMessage::Reserve {
            attempt,
            spec,
            amount,
        } = &message
        else {
            return None;
        };
        let reserved = self.try_reserve(now, attempt, spec, *amount);
        match reserved {
            Ok(()) => Some(HolderReply::Reserved(attempt.clone(), Ok(()))),
            Err(ReserveError::Exhausted) => {
                record_path("exhausted");
                Some(refusal_reply(&message, Refusal::Exhausted))
            }
            Err(ReserveError::RefillPending) if now < deadline => {
                let waiting = Waiting {
                    from,
                    message,
                    deadline,
                };
                self.waiting.push(waiting);
                None
            }
            Err(ReserveError::RefillPending) => Some(refusal_reply(&message, Refusal::Exhausted)),
            Err(_) => Some(refusal_reply(&message, Refusal::Unavailable)),
        }
    }

    fn try_reserve(
        &mut self,
        now: Duration,
        attempt: &RequestId,
        spec: &ReservationSpec,
        amount: Tokens,
    ) -> Result<(), ReserveError> {
        if self.reservations.contains_key(attempt) {
            return Ok(());
        }
        let holder = self.holders.get_mut(&self.current);
        let holder = holder.ok_or(ReserveError::Closed)?;
        holder.reserve(now, attempt, &spec.budget, amount)?;
        let entry = (self.current, spec.clone());
        self.reservations.insert(attempt.clone(), entry);
        Ok(())
    }

    /// Retries waiting reservations. Returns the replies, and the budgets of the reservations that
    /// still wait for tokens.
    pub fn retry(&mut self, now: Duration) -> (Vec<(usize, HolderReply)>, Vec<BudgetId>) {
        let mut replies = Vec::new();
        for Waiting {
            from,
            message,
            deadline,
        } in std::mem::take(&mut self.waiting)
        {
            let reply = self.reserve(now, from, message, deadline);
            replies.extend(reply.map(|reply| (from, reply)));
        }
        let budgets = self
            .waiting
            .iter()
            .filter_map(|waiting| match &waiting.message {
                HolderMessage::Reserve { spec, .. } => Some(spec.budget.clone()),
                _ => None,
            });
        (replies, budgets.collect())
    }

    fn settle(
        &mut self,
        now: Duration,
        attempt: &RequestId,
        spec: &ReservationSpec,
        usage: Usage,
    ) -> Billing {
        if self.bills.contains_key(attempt) {
            return self.billing(attempt);
        }
        let mut amount = usage.tokens;
        while !self.reservations.contains_key(attempt) {
            match self.try_reserve(now, attempt, spec, amount) {
                Ok(()) => {}
                Err(ReserveError::Exhausted) if amount > 0 => amount = 0,
                Err(ReserveError::RefillPending) => return Billing::Pending,
                Err(ReserveError::Billed) => return Billing::Durable,
                Err(_) => return Billing::Refused,
            }
        }
        self.bill(attempt, usage);
        Billing::Pending
    }

    fn bill(&mut self, attempt: &RequestId, usage: Usage) {
        let Some((generation, _)) = self.reservations.remove(attempt) else {
            return;
        };
        let holder = self.holders.get_mut(&generation);
        if holder.is_some_and(|holder| holder.settle(attempt, usage).is_some()) {
            let count = self.bill_counts.entry(generation).or_default();
            *count += 1;
            self.bills.insert(attempt.clone(), (generation, *count));
        }
    }

    /// Returns whether the bill of an attempt is in the store.
    pub fn billing(&self, attempt: &str) -> Billing {
        let Some((generation, number)) = self.bills.get(attempt) else {
            return Billing::Refused;
        };
        let holder = self.holders.get(generation);
        let unwritten = holder.map_or(0, Holder::unwritten_bills);
        match self.bill_counts[generation] - unwritten >= *number {
            true => Billing::Durable,
            false => Billing::Pending,
        }
    }

    /// Returns whether this process has a reservation or a bill for an attempt.
    pub fn has_attempt(&self, attempt: &str) -> bool {
        self.reservations.contains_key(attempt) || self.bills.contains_key(attempt)
    }

    /// Returns the attempts with an open reservation or an unwritten bill, of which no other
    /// process may know.
    pub fn pending_attempts(&self) -> impl Iterator<Item = &RequestId> {
        let bills = self.bills.keys();
        let unwritten = bills.filter(|attempt| self.billing(attempt) == Billing::Pending);
        self.reservations.keys().chain(unwritten)
    }

    /// Returns whether a service may have received an attempt.
    pub fn is_announced(&self, attempt: &str) -> bool {
        let mut holders = self.holders.values();
        holders.any(|holder| holder.is_announced(attempt))
    }

    pub fn overdue(&self, now: Duration, age: Duration) -> Vec<(RequestId, ReservationSpec)> {
        let holders = self.holders.values();
        let overdue = holders.flat_map(|holder| holder.overdue(now, age, 8));
        let specs = overdue.filter_map(|attempt| {
            let (_, spec) = self.reservations.get(&attempt)?;
            Some((attempt, spec.clone()))
        });
        specs.collect()
    }

    pub fn resolve(&mut self, now: Duration, attempt: &RequestId, execution: Execution) {
        let Some((generation, _)) = self.reservations.get(attempt) else {
            return;
        };
        match execution {
            Execution::Finished(usage) => self.bill(attempt, usage),
            Execution::Running | Execution::Absent => {
                if let Some(holder) = self.holders.get_mut(generation) {
                    holder.resolve(now, attempt, execution.clone());
                }
                if execution == Execution::Absent {
                    self.reservations.remove(attempt);
                }
            }
        }
    }

    pub fn stop(&mut self) {
        self.is_draining = true;
        self.holders.values_mut().for_each(Holder::stop);
    }

    /// Removes closed holders. Replaces the current holder if it is no longer open, for example
    /// because it was fenced, unless the process is draining.
    pub fn replace_closed(&mut self) {
        self.holders
            .retain(|_, holder| holder.phase() != Phase::Closed);
        let current = self.holders.get(&self.current);
        let is_open = current.is_some_and(|holder| holder.phase() == Phase::Open);
        if !is_open && !self.is_draining {
            self.replace_holder();
        }
    }
}

fn refusal_reply(message: &HolderMessage, refusal: Refusal) -> HolderReply {
    HolderReply::Reserved(message.attempt(), Err(refusal))
}
