//! The holders of one router process, driven as its escrow task does it.

use {
    super::{
        message::{Answer, Ask, Billing, Purpose, Refusal},
        world::reach,
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
    pub ask: Ask,
    deadline: Duration,
}

pub struct Escrow {
    process: HolderId,
    current: u64,
    pub holders: BTreeMap<u64, Holder>,
    open: HashMap<RequestId, (u64, Purpose)>,
    /// Bills by attempt: the holder and the number of its bills up to this one.
    made: HashMap<RequestId, (u64, usize)>,
    counts: HashMap<u64, usize>,
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
            open: HashMap::new(),
            made: HashMap::new(),
            counts: HashMap::new(),
            waiting: Vec::new(),
            is_draining: false,
        };
        escrow.succeed();
        escrow
    }

    fn succeed(&mut self) {
        self.current += 1;
        let id = format!("{}.{}", self.process, self.current);
        let holder = Holder::new(id.into(), settings());
        self.holders.insert(self.current, holder);
    }

    /// Takes a message of an entry; `None` when the answer follows later.
    pub fn take(&mut self, now: Duration, from: usize, ask: Ask, is_open: bool) -> Option<Answer> {
        match ask {
            Ask::Reserve { .. } if !is_open => Some(refused(&ask, Refusal::Unavailable)),
            Ask::Reserve { .. } => self.reserve(now, from, ask, now + RESERVE_LIMIT),
            Ask::Release { attempt } => {
                self.waiting
                    .retain(|waiting| waiting.ask.attempt() != attempt);
                if let Some((generation, _)) = self.open.remove(&attempt)
                    && let Some(holder) = self.holders.get_mut(&generation)
                {
                    holder.release(&attempt);
                }
                Some(Answer::Released(attempt))
            }
            Ask::Settle {
                attempt,
                purpose,
                usage,
            } => {
                let billing = self.settle(now, &attempt, &purpose, usage);
                Some(Answer::Settled(attempt, billing))
            }
            Ask::Announce { attempt } => {
                let open = self.open.get(&attempt);
                let holder = open.and_then(|(generation, _)| self.holders.get_mut(generation));
                let is_open = holder.is_some_and(|holder| holder.announce(&attempt));
                Some(Answer::Announced(attempt, is_open))
            }
            Ask::Review { budget } => {
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
        ask: Ask,
        deadline: Duration,
    ) -> Option<Answer> {
        let Ask::Reserve {
            attempt,
            purpose,
            amount,
        } = &ask
        else {
            return None;
        };
        let reserved = self.try_reserve(now, attempt, purpose, *amount);
        match reserved {
            Ok(()) => Some(Answer::Reserved(attempt.clone(), Ok(()))),
            Err(ReserveError::Exhausted) => {
                reach("exhausted");
                Some(refused(&ask, Refusal::Exhausted))
            }
            Err(ReserveError::RefillPending) if now < deadline => {
                let waiting = Waiting {
                    from,
                    ask,
                    deadline,
                };
                self.waiting.push(waiting);
                None
            }
            Err(ReserveError::RefillPending) => Some(refused(&ask, Refusal::Exhausted)),
            Err(_) => Some(refused(&ask, Refusal::Unavailable)),
        }
    }

    fn try_reserve(
        &mut self,
        now: Duration,
        attempt: &RequestId,
        purpose: &Purpose,
        amount: Tokens,
    ) -> Result<(), ReserveError> {
        if self.open.contains_key(attempt) {
            return Ok(());
        }
        let holder = self.holders.get_mut(&self.current);
        let holder = holder.ok_or(ReserveError::Closed)?;
        holder.reserve(now, attempt, &purpose.budget, amount)?;
        let entry = (self.current, purpose.clone());
        self.open.insert(attempt.clone(), entry);
        Ok(())
    }

    /// Answers reservations that wait; returns the budgets that lack tokens too.
    pub fn retry(&mut self, now: Duration) -> (Vec<(usize, Answer)>, Vec<BudgetId>) {
        let mut answers = Vec::new();
        for Waiting {
            from,
            ask,
            deadline,
        } in std::mem::take(&mut self.waiting)
        {
            let answer = self.reserve(now, from, ask, deadline);
            answers.extend(answer.map(|answer| (from, answer)));
        }
        let budgets = self
            .waiting
            .iter()
            .filter_map(|waiting| match &waiting.ask {
                Ask::Reserve { purpose, .. } => Some(purpose.budget.clone()),
                _ => None,
            });
        (answers, budgets.collect())
    }

    fn settle(
        &mut self,
        now: Duration,
        attempt: &RequestId,
        purpose: &Purpose,
        usage: Usage,
    ) -> Billing {
        if self.made.contains_key(attempt) {
            return self.billing(attempt);
        }
        let mut amount = usage.tokens;
        while !self.open.contains_key(attempt) {
            match self.try_reserve(now, attempt, purpose, amount) {
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
        let Some((generation, _)) = self.open.remove(attempt) else {
            return;
        };
        let holder = self.holders.get_mut(&generation);
        if holder.is_some_and(|holder| holder.settle(attempt, usage).is_some()) {
            let count = self.counts.entry(generation).or_default();
            *count += 1;
            self.made.insert(attempt.clone(), (generation, *count));
        }
    }

    /// Returns whether the bill of an attempt is in the store.
    pub fn billing(&self, attempt: &str) -> Billing {
        let Some((generation, number)) = self.made.get(attempt) else {
            return Billing::Refused;
        };
        let holder = self.holders.get(generation);
        let unwritten = holder.map_or(0, Holder::unwritten_bills);
        match self.counts[generation] - unwritten >= *number {
            true => Billing::Durable,
            false => Billing::Pending,
        }
    }

    /// Returns whether this process knows of an attempt that it has not billed durably.
    pub fn knows(&self, attempt: &str) -> bool {
        self.open.contains_key(attempt) || self.made.contains_key(attempt)
    }

    /// Returns the attempts of which this process alone may know.
    pub fn attempts(&self) -> impl Iterator<Item = &RequestId> {
        let made = self.made.keys();
        let unwritten = made.filter(|attempt| self.billing(attempt) == Billing::Pending);
        self.open.keys().chain(unwritten)
    }

    /// Returns whether a service may have received an attempt.
    pub fn is_announced(&self, attempt: &str) -> bool {
        let mut holders = self.holders.values();
        holders.any(|holder| holder.is_announced(attempt))
    }

    pub fn overdue(&self, now: Duration, age: Duration) -> Vec<(RequestId, Purpose)> {
        let holders = self.holders.values();
        let overdue = holders.flat_map(|holder| holder.overdue(now, age, 8));
        let purposes = overdue.filter_map(|attempt| {
            let (_, purpose) = self.open.get(&attempt)?;
            Some((attempt, purpose.clone()))
        });
        purposes.collect()
    }

    pub fn resolve(&mut self, now: Duration, attempt: &RequestId, execution: Execution) {
        let Some((generation, _)) = self.open.get(attempt) else {
            return;
        };
        match execution {
            Execution::Finished(usage) => self.bill(attempt, usage),
            Execution::Running | Execution::Absent => {
                if let Some(holder) = self.holders.get_mut(generation) {
                    holder.resolve(now, attempt, execution.clone());
                }
                if execution == Execution::Absent {
                    self.open.remove(attempt);
                }
            }
        }
    }

    pub fn stop(&mut self) {
        self.is_draining = true;
        self.holders.values_mut().for_each(Holder::stop);
    }

    /// Forgets closed holders, and replaces a fenced one.
    pub fn renew(&mut self) {
        self.holders
            .retain(|_, holder| holder.phase() != Phase::Closed);
        let current = self.holders.get(&self.current);
        let is_open = current.is_some_and(|holder| holder.phase() == Phase::Open);
        if !is_open && !self.is_draining {
            self.succeed();
        }
    }
}

fn refused(ask: &Ask, refusal: Refusal) -> Answer {
    Answer::Reserved(ask.attempt(), Err(refusal))
}
