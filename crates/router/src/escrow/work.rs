//! Main loop of the task: commands, refills, flushes and resolved reservations.

mod settings;

use {
    super::{
        Command, Escrow, QUEUE_COMMANDS, Refusal, ReservationSpec, Reserved, Settlement,
        holders::{Generation, Holders},
        resolve::{BillingContext, resolve},
        review::Reviews,
        store::{Call, Event, advance, commit, read},
    },
    crate::{
        Clock, control::Control, logs::TOKENS, metrics::Metrics, peer::Links, settings::Settings,
        upstream::Upstreams,
    },
    marigoldroute_core::{
        budget::{Execution, Holder, Phase, ReserveError, Settings as Sizes},
        id::{HolderId, RequestId},
        table::{Row, Verdict},
        wire::Billing,
    },
    marigoldroute_store::{Client, Fault},
    std::{
        collections::{HashMap, VecDeque},
        future::Future,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
    tokio_util::sync::CancellationToken,
};

/// Largest number of reservations that wait for a refill; more are refused.
const WAITING_LIMIT: usize = 4_096;
/// Delay after a failed call to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which the deadlines of waiting reservations are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of reservations whose outcome is queried at the same time.
const RESOLVE_LIMIT: usize = 32;

/// Dependencies of the task.
pub(crate) struct Dependencies {
    /// Id of the process that the holders belong to; must never have been used before.
    pub(crate) process: HolderId,
    /// Sizes of grants.
    pub(crate) sizes: Sizes,
    pub(crate) clock: Clock,
    pub(crate) platform: Client,
    pub(crate) upstreams: Arc<Upstreams>,
    pub(crate) control: Control,
    pub(crate) links: Arc<Links>,
    pub(crate) metrics: Arc<Metrics>,
    /// Cancelled when this host's own settlements are durable.
    pub(crate) settled: CancellationToken,
}

/// Creates the task and its handle.
///
/// After `draining` the task accepts no reservations. Once this host's own settlements are durable
/// it closes its journals and ends, at the latest when the drain limit has passed; it returns
/// whether the journals are closed.
pub(crate) fn create(
    deps: Dependencies,
    settings: &Settings,
    draining: CancellationToken,
) -> (Escrow, impl Future<Output = bool> + Send + use<>) {
    let (sender, commands) = mpsc::channel(QUEUE_COMMANDS);
    let worker = Worker {
        holders: Holders::new(deps.process.clone(), deps.sizes.clone()),
        reviews: Reviews {
            own: settings.host.clone(),
            region: settings.region.clone(),
            holders_per_region: settings.holders_per_region,
            links: deps.links.clone(),
            control: deps.control.clone(),
            next: HashMap::new(),
            calls: JoinSet::new(),
        },
        deps,
        waiting: VecDeque::new(),
        call: None,
        is_draining: false,
        closed: None,
        retry_at: Duration::ZERO,
        resolving: JoinSet::new(),
        flush_interval: settings.flush_interval,
        reserve_timeout: settings.reserve_timeout,
        reservation_limit: settings.reservation_limit,
        drain_limit: settings.drain_limit,
    };
    (Escrow(sender), worker.run(commands, draining))
}

struct Waiting {
    spec: ReservationSpec,
    deadline: Duration,
    reply: oneshot::Sender<Reserved>,
}

struct Worker {
    deps: Dependencies,
    holders: Holders,
    reviews: Reviews,
    /// In order of arrival; at most [`WAITING_LIMIT`].
    waiting: VecDeque<Waiting>,
    /// The one call to the platform in progress.
    call: Option<Call>,
    /// Whether new reservations are refused.
    is_draining: bool,
    /// Time at which the journals were closed.
    closed: Option<Duration>,
    /// Time before which no call to the platform is made.
    retry_at: Duration,
    resolving: JoinSet<(RequestId, Execution)>,
    flush_interval: Duration,
    reserve_timeout: Duration,
    reservation_limit: Duration,
    drain_limit: Duration,
}

impl Worker {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
        draining: CancellationToken,
    ) -> bool {
        let mut tick = tokio::time::interval(self.flush_interval);
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        let settled = self.deps.settled.clone();
        let (mut stop, mut is_settled) = (None, false);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return false,
                },
                event = advance(&mut self.call) => self.apply(event),
                Some(resolved) = self.resolving.join_next() => if let Ok((attempt, record)) = resolved {
                    self.resolve(&attempt, record);
                },
                _ = tick.tick() => self.step(),
                _ = check.tick(), if stop.is_some() || !self.waiting.is_empty() => match stop {
                    Some(_) => self.start_call(),
                    None => self.refill_if_due(),
                },
                () = draining.cancelled(), if stop.is_none() => {
                    stop = Some(self.deps.clock.now());
                    self.is_draining = true;
                }
                () = settled.cancelled(), if stop.is_some() && !is_settled => {
                    is_settled = true;
                    self.holders.stop();
                    self.start_call();
                }
            }
            self.expire();
            if let Some(is_closed) = stop.and_then(|stop| self.finish_stop(stop)) {
                return is_closed;
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Reserve { spec, reply } => {
                let deadline = self.deps.clock.now() + self.reserve_timeout;
                self.reserve(Waiting {
                    spec,
                    deadline,
                    reply,
                });
                self.refill_if_due();
            }
            Command::Lower { attempt, amount } => self.holders.lower(&attempt, amount),
            Command::Release { attempt, reply } => {
                self.release(&attempt);
                // The reservation has ended even if nobody waits for the reply.
                let _ = reply.send(());
            }
            Command::Announce { attempt, reply } => {
                let is_open = self.holders.announce(&attempt);
                if reply.send(is_open).is_err() {
                    log::debug!(target: TOKENS, attempt:%; "reply to an announcement dropped: the caller has gone");
                }
            }
            Command::Review { budget } => {
                self.holders.review(&budget);
                self.start_call();
            }
            Command::Settle { items, reply } => self.settle(&items, reply),
        }
        if self.holders.iter().any(|(_, holder)| can_close(holder)) {
            self.start_call();
        }
    }

    fn reserve(&mut self, waiting: Waiting) {
        let now = self.deps.clock.now();
        let ReservationSpec {
            attempt,
            budget,
            amount,
            least,
            workspace,
            model,
        } = &waiting.spec;
        let context = BillingContext {
            workspace: workspace.clone(),
            model: model.clone(),
            is_announced: false,
        };
        let can_wait = now >= self.retry_at && self.waiting.len() < WAITING_LIMIT;
        let reserved = match self.is_draining {
            true => Err(ReserveError::Closed),
            false if least < amount => {
                let range = (*least, *amount);
                self.holders
                    .reserve_up_to(now, attempt, budget, range, &context)
            }
            false => self
                .holders
                .reserve(now, attempt, budget, *amount, &context),
        };
        let answer = match reserved {
            Ok(tokens) => Ok(tokens),
            Err(ReserveError::Exhausted) => Err(Refusal::Exhausted),
            Err(ReserveError::RefillPending) if can_wait => {
                self.waiting.push_back(waiting);
                return;
            }
            Err(_) => Err(Refusal::Unavailable),
        };
        if waiting.reply.send(answer).is_err() {
            self.holders.release(&waiting.spec.attempt);
        }
    }

    /// Ends a reservation, including one that still waits for a refill. Otherwise the refill would
    /// make the reservation after its release.
    fn release(&mut self, attempt: &RequestId) {
        self.waiting
            .retain(|waiting| waiting.spec.attempt != *attempt);
        self.holders.release(attempt);
    }

    fn settle(&mut self, items: &[Settlement], reply: oneshot::Sender<Vec<Billing>>) {
        let now = self.deps.clock.now();
        let settled = items
            .iter()
            .map(|item| self.holders.settle(now, item))
            .collect();
        self.report_new_bills();
        // The bills are made even if nobody waits for the reply.
        let _ = reply.send(settled);
        self.refill_if_short();
    }

    /// Logs and counts the bills made since the last call.
    fn report_new_bills(&mut self) {
        for bill in self.holders.take_new_bills() {
            self.deps.metrics.charged.inc_by(bill.charged);
            self.deps.metrics.uncovered.inc_by(bill.uncovered);
            log::info!(
                target: TOKENS,
                request:% = bill.request, budget:% = bill.budget, charged = bill.charged,
                uncovered = bill.uncovered;
                "billed"
            );
        }
    }

    /// Starts a call to the platform if a holder needs budget rows, as after a settlement above its
    /// tokens.
    fn refill_if_short(&mut self) {
        if self
            .holders
            .iter()
            .any(|(_, holder)| !holder.required_keys().is_empty())
        {
            self.start_call();
        }
    }

    /// Applies the outcome of a reservation that its entry has not settled.
    fn resolve(&mut self, attempt: &RequestId, execution: Execution) {
        let now = self.deps.clock.now();
        self.holders.resolve(now, attempt, execution);
        self.report_new_bills();
    }

    fn step(&mut self) {
        let now = self.deps.clock.now();
        self.apply_settings();
        if self.resolving.is_empty() {
            let overdue = self
                .holders
                .overdue(now, self.reservation_limit, RESOLVE_LIMIT);
            for (attempt, context) in overdue {
                self.query_upstreams(attempt, context);
            }
        }
        self.start_call();
    }

    fn query_upstreams(&mut self, attempt: RequestId, context: BillingContext) {
        let upstreams = self.deps.upstreams.clone();
        let catalog = self.deps.control.snapshot().catalog.clone();
        self.resolving
            .spawn(resolve(upstreams, catalog, attempt, context));
    }

    /// Starts the next call to the platform, unless one is in progress.
    fn start_call(&mut self) {
        if self.call.is_some() || self.deps.clock.now() < self.retry_at {
            return;
        }
        let generations: Vec<_> = self.holders.iter().map(|(number, _)| number).collect();
        for generation in generations {
            let holder = self.holders.get_mut(generation);
            let keys = holder.map_or_else(Vec::new, |holder| holder.required_keys());
            if keys.is_empty() {
                self.commit(generation, &[]);
            } else {
                let platform = self.deps.platform.clone();
                self.call = Some(Box::pin(read(platform, generation, keys)));
            }
            if self.call.is_some() {
                return;
            }
        }
        self.holders.replace_closed();
    }

    fn commit(&mut self, generation: Generation, rows: &[Row]) {
        let now = self.deps.clock.now();
        let holder = self.holders.get_mut(generation);
        let transaction = holder.and_then(|holder| holder.flush(now, rows));
        self.call = transaction.map(|transaction| {
            let platform = self.deps.platform.clone();
            Box::pin(commit(platform, generation, transaction)) as Call
        });
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Rows(generation, rows) => {
                self.commit(generation, &rows);
                if self.call.is_none() {
                    self.retry();
                }
            }
            Event::Verdict(generation, verdict) => {
                self.apply_verdict(generation, &verdict);
                self.retry();
            }
            Event::Failed(fault) => self.fail(fault),
        }
    }

    fn apply_verdict(&mut self, generation: Generation, verdict: &Verdict) {
        let Some(holder) = self.holders.get_mut(generation) else {
            return;
        };
        let before = holder.phase();
        holder.apply_verdict(verdict);
        let phase = holder.phase();
        self.holders.update_durability(generation);
        if phase != before {
            log::warn!(target: TOKENS, generation, phase:?; "holder changed its phase");
        }
        self.holders.replace_closed();
        if phase != Phase::Open {
            self.start_call();
        }
    }

    /// Retries waiting reservations after a refill. Those that the budget row did not cover wait
    /// until other holders return tokens.
    fn retry(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.reserve(waiting);
        }
        let now = self.deps.clock.now();
        for waiting in &self.waiting {
            self.reviews.request(now, &waiting.spec.budget);
        }
    }

    /// Refuses the waiting reservations and delays further calls: the store did not answer.
    fn fail(&mut self, fault: Fault) {
        self.deps.metrics.platform_faults.inc();
        log::warn!(target: TOKENS, fault:%; "journal not written");
        self.retry_at = self.deps.clock.now() + RETRY_DELAY;
        for waiting in self.waiting.drain(..) {
            let _ = waiting.reply.send(Err(Refusal::Unavailable));
        }
    }

    /// Refuses waiting reservations whose deadline has passed.
    fn expire(&mut self) {
        let now = self.deps.clock.now();
        while let Some(waiting) = self.waiting.pop_front_if(|first| first.deadline <= now) {
            let _ = waiting.reply.send(Err(Refusal::Exhausted));
        }
    }
}

/// Returns whether a holder that takes no reservations has none open, so that its journal can be
/// closed.
fn can_close(holder: &Holder) -> bool {
    holder.phase() != Phase::Open && holder.open_reservations() == 0
}
