//! The task itself.

use {
    super::{
        Command, Escrow, QUEUE_COMMANDS, Refusal, Reservation, Reserved,
        resolve::{Purpose, resolve},
    },
    crate::{
        clock::Clock, control::Control, logs::TOKENS, metrics::Metrics, settings::Settings,
        upstream::Upstreams,
    },
    marigoldroute_core::{
        bill::Bill,
        budget::{Holder, Phase, Record, Shortage, Usage},
        id::RequestId,
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_platform::{Client, Fault},
    std::{
        collections::{HashMap, VecDeque},
        future::Future,
        pin::Pin,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
    tokio_util::sync::CancellationToken,
};

/// Reservations that wait for a refill; more are refused.
const WAITING_LIMIT: usize = 4_096;
/// Pause after a failed call to the platform.
const FAULT_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks at deadlines.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Reservations whose outcome is asked for at the same time.
const RESOLVE_LIMIT: usize = 32;

/// What the task works with.
pub(crate) struct Parts {
    pub(crate) holder: Holder,
    pub(crate) clock: Clock,
    pub(crate) platform: Client,
    pub(crate) upstreams: Arc<Upstreams>,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
}

/// Creates the task and the access to it.
///
/// After `draining` the task takes no reservations. It ends when its journal is closed, or the
/// drain limit has passed.
pub(crate) fn create(
    parts: Parts,
    settings: &Settings,
    draining: CancellationToken,
) -> (Escrow, impl Future<Output = ()> + Send + use<>) {
    let (sender, commands) = mpsc::channel(QUEUE_COMMANDS);
    let worker = Worker {
        parts,
        purposes: HashMap::new(),
        waiting: VecDeque::new(),
        call: None,
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
    reservation: Reservation,
    deadline: Duration,
    reply: oneshot::Sender<Reserved>,
}

enum Event {
    Rows(Vec<Row>),
    Verdict(Verdict),
    Failed(Fault),
}

type Call = Pin<Box<dyn Future<Output = Event> + Send>>;

struct Worker {
    parts: Parts,
    /// Of every open reservation.
    purposes: HashMap<RequestId, Purpose>,
    /// In order of arrival; at most [`WAITING_LIMIT`].
    waiting: VecDeque<Waiting>,
    /// The one call to the platform in progress.
    call: Option<Call>,
    /// No call to the platform before.
    retry_at: Duration,
    resolving: JoinSet<(RequestId, Record)>,
    flush_interval: Duration,
    reserve_timeout: Duration,
    reservation_limit: Duration,
    drain_limit: Duration,
}

impl Worker {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, draining: CancellationToken) {
        let mut tick = tokio::time::interval(self.flush_interval);
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        let mut end = None;
        while self.parts.holder.phase() != Phase::Closed {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                event = advance(&mut self.call) => self.apply(event),
                Some(resolved) = self.resolving.join_next() => if let Ok((attempt, record)) = resolved {
                    self.resolve(&attempt, record);
                },
                _ = tick.tick() => self.step(),
                _ = check.tick(), if end.is_some() || !self.waiting.is_empty() => {}
                () = draining.cancelled(), if end.is_none() => {
                    end = Some(self.parts.clock.now() + self.drain_limit);
                    self.parts.holder.stop();
                    self.begin();
                }
            }
            self.expire();
            if end.is_some_and(|end| self.parts.clock.now() >= end) {
                let bills = self.parts.holder.unwritten();
                let reserved = self.parts.holder.reserved();
                log::error!(target: TOKENS, bills, reserved; "journal not closed within the drain limit");
                return;
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Reserve { reservation, reply } => self.reserve(Waiting {
                reservation,
                deadline: self.parts.clock.now() + self.reserve_timeout,
                reply,
            }),
            Command::Lower { attempt, amount } => self.parts.holder.lower(&attempt, amount),
            Command::Release { attempt } => {
                self.purposes.remove(&attempt);
                self.parts.holder.release(&attempt);
            }
            Command::Settle {
                attempt,
                usage,
                reply,
            } => self.settle(&attempt, usage, reply),
        }
        if self.parts.holder.phase() == Phase::Draining && self.parts.holder.reserved() == 0 {
            self.begin();
        }
    }

    fn reserve(&mut self, waiting: Waiting) {
        let now = self.parts.clock.now();
        let Reservation {
            attempt,
            budget,
            amount,
            workspace,
            model,
        } = &waiting.reservation;
        let can_wait = now >= self.retry_at && self.waiting.len() < WAITING_LIMIT;
        let answer = match self.parts.holder.reserve(now, attempt, budget, *amount) {
            Ok(tokens) => Ok(tokens),
            Err(Shortage::Exhausted) => Err(Refusal::Exhausted),
            Err(Shortage::Refill) if can_wait => {
                self.waiting.push_back(waiting);
                return self.begin();
            }
            Err(_) => Err(Refusal::Unavailable),
        };
        if answer.is_ok() {
            let purpose = Purpose {
                workspace: workspace.clone(),
                model: model.clone(),
            };
            self.purposes.insert(attempt.clone(), purpose);
        }
        if waiting.reply.send(answer).is_err() {
            self.purposes.remove(&waiting.reservation.attempt);
            self.parts.holder.release(&waiting.reservation.attempt);
        }
    }

    fn settle(&mut self, attempt: &RequestId, usage: Usage, reply: oneshot::Sender<Option<Bill>>) {
        self.purposes.remove(attempt);
        let bill = self.parts.holder.settle(attempt, usage);
        self.note(attempt, bill.as_ref());
        // The bill stands also when nobody waits for it any more.
        let _ = reply.send(bill);
    }

    fn note(&self, attempt: &RequestId, bill: Option<&Bill>) {
        let Some(bill) = bill else {
            self.parts.metrics.unmatched.inc();
            return;
        };
        self.parts.metrics.charged.inc_by(bill.charged);
        self.parts.metrics.uncovered.inc_by(bill.uncovered);
        log::info!(
            target: TOKENS,
            request:% = bill.request, attempt:%, budget:% = bill.budget, charged = bill.charged,
            uncovered = bill.uncovered;
            "billed"
        );
    }

    /// Takes the outcome of a reservation whose entry did not settle it.
    fn resolve(&mut self, attempt: &RequestId, record: Record) {
        let now = self.parts.clock.now();
        let is_open = matches!(record, Record::Running);
        let bill = self.parts.holder.resolve(now, attempt, record);
        if is_open {
            return;
        }
        self.purposes.remove(attempt);
        if bill.is_some() {
            self.note(attempt, bill.as_ref());
        }
    }

    fn step(&mut self) {
        let now = self.parts.clock.now();
        let free = RESOLVE_LIMIT.saturating_sub(self.resolving.len());
        if self.resolving.is_empty() {
            let overdue = self.parts.holder.overdue(now, self.reservation_limit, free);
            for attempt in overdue {
                self.ask(attempt);
            }
        }
        self.begin();
    }

    fn ask(&mut self, attempt: RequestId) {
        let Some(purpose) = self.purposes.get(&attempt).cloned() else {
            return;
        };
        let upstreams = self.parts.upstreams.clone();
        let catalog = self.parts.control.scene().catalog.clone();
        self.resolving
            .spawn(resolve(upstreams, catalog, attempt, purpose));
    }

    /// Starts the next call to the platform, unless one is in progress.
    fn begin(&mut self) {
        if self.call.is_some() || self.parts.clock.now() < self.retry_at {
            return;
        }
        let wanted = self.parts.holder.wanted();
        if wanted.is_empty() {
            return self.commit(&[]);
        }
        let platform = self.parts.platform.clone();
        self.call = Some(Box::pin(read(platform, wanted)));
    }

    fn commit(&mut self, rows: &[Row]) {
        let now = self.parts.clock.now();
        let transaction = self.parts.holder.flush(now, rows);
        self.call = transaction.map(|transaction| {
            let platform = self.parts.platform.clone();
            Box::pin(commit(platform, transaction)) as Call
        });
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Rows(rows) => {
                self.commit(&rows);
                if self.call.is_none() {
                    self.retry();
                }
            }
            Event::Verdict(verdict) => {
                let before = self.parts.holder.phase();
                self.parts.holder.decide(&verdict);
                self.retry();
                let phase = self.parts.holder.phase();
                if phase != before {
                    log::warn!(target: TOKENS, phase:?; "the holder's phase changed");
                }
                if phase != Phase::Open && phase != Phase::Closed {
                    self.begin();
                }
            }
            Event::Failed(fault) => self.fail(fault),
        }
    }

    /// Serves waiting reservations after a refill.
    fn retry(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.reserve(waiting);
        }
    }

    /// Gives waiting reservations their final answer: the store cannot be asked.
    fn fail(&mut self, fault: Fault) {
        self.parts.metrics.platform_faults.inc();
        log::warn!(target: TOKENS, fault:%; "journal not written");
        self.retry_at = self.parts.clock.now() + FAULT_PAUSE;
        for waiting in self.waiting.drain(..) {
            let _ = waiting.reply.send(Err(Refusal::Unavailable));
        }
    }

    fn expire(&mut self) {
        let now = self.parts.clock.now();
        while let Some(waiting) = self.waiting.pop_front_if(|first| first.deadline <= now) {
            let _ = waiting.reply.send(Err(Refusal::Unavailable));
        }
    }
}

/// Completes the call in progress; pends for ever when there is none.
async fn advance(call: &mut Option<Call>) -> Event {
    let Some(future) = call.as_mut() else {
        return std::future::pending().await;
    };
    let event = future.await;
    *call = None;
    event
}

async fn read(platform: Client, keys: Vec<String>) -> Event {
    let mut rows = Vec::with_capacity(keys.len());
    for key in keys {
        match platform.get(&key).await {
            Ok(row) => rows.extend(row),
            Err(fault) => return Event::Failed(fault),
        }
    }
    Event::Rows(rows)
}

async fn commit(platform: Client, transaction: Transaction) -> Event {
    match platform.commit(&transaction).await {
        Ok(verdict) => Event::Verdict(verdict),
        Err(fault) => Event::Failed(fault),
    }
}
