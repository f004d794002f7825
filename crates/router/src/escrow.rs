//! The task that owns this process's [`Holder`] and keeps its journal in the table service.

use {
    crate::{clock::Clock, metrics::Metrics, settings::Settings},
    marigoldroute_core::{
        bill::Bill,
        budget::{Holder, Shortage, Usage},
        id::{BudgetId, RequestId, Tokens},
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_platform::{Client, Fault},
    std::{collections::VecDeque, future::Future, pin::Pin, sync::Arc, time::Duration},
    tokio::sync::{mpsc, oneshot},
    tokio_util::sync::CancellationToken,
};

/// Commands that wait for the task.
const QUEUE_COMMANDS: usize = 1_024;
/// Reservations that wait for a refill; more are refused.
const WAITING_LIMIT: usize = 4_096;
/// Pause after a failed call to the platform.
const FAULT_PAUSE: Duration = Duration::from_millis(200);

/// Why nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The budget has no more.
    Exhausted,
    /// The holder could not refill in time.
    Unavailable,
}

type Reserved = Result<Tokens, Refusal>;

enum Command {
    Reserve {
        request: RequestId,
        budget: BudgetId,
        amount: Tokens,
        reply: oneshot::Sender<Reserved>,
    },
    Lower {
        request: RequestId,
        amount: Tokens,
    },
    Settle {
        request: RequestId,
        usage: Usage,
        reply: oneshot::Sender<Option<Bill>>,
    },
    Release {
        request: RequestId,
    },
}

/// Access to the task.
#[derive(Clone, Debug)]
pub(crate) struct Escrow(mpsc::Sender<Command>);

impl Escrow {
    /// Reserves tokens; waits for a refill, at most for the reserve timeout.
    pub(crate) async fn reserve(
        &self,
        request: RequestId,
        budget: BudgetId,
        amount: Tokens,
    ) -> Reserved {
        let (reply, answer) = oneshot::channel();
        let command = Command::Reserve {
            request,
            budget,
            amount,
            reply,
        };
        let sent = self.0.send(command).await;
        sent.map_err(|_| Refusal::Unavailable)?;
        answer.await.unwrap_or(Err(Refusal::Unavailable))
    }

    /// Lowers a reservation.
    pub(crate) async fn lower(&self, request: RequestId, amount: Tokens) {
        // The task only ends after the last request, so a failed send has nothing to lower.
        let _ = self.0.send(Command::Lower { request, amount }).await;
    }

    /// Settles a reservation; `None` when there is none.
    pub(crate) async fn settle(&self, request: RequestId, usage: Usage) -> Option<Bill> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Settle {
            request,
            usage,
            reply,
        };
        self.0.send(command).await.ok()?;
        answer.await.ok()?
    }

    /// Ends the reservation of a request that did not run.
    pub(crate) async fn release(&self, request: RequestId) {
        let _ = self.0.send(Command::Release { request }).await;
    }
}

/// Creates the task and the access to it. The task ends after `stop`, when its journal is durable
/// or the drain limit has passed.
pub(crate) fn create(
    holder: Holder,
    settings: &Settings,
    clock: Clock,
    platform: Client,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
) -> (Escrow, impl Future<Output = ()> + Send + use<>) {
    let (sender, commands) = mpsc::channel(QUEUE_COMMANDS);
    let worker = Worker {
        holder,
        clock,
        platform,
        metrics,
        waiting: VecDeque::new(),
        call: None,
        flush_interval: settings.flush_interval,
        reserve_timeout: settings.reserve_timeout,
        drain_limit: settings.drain_limit,
    };
    (Escrow(sender), worker.run(commands, stop))
}

struct Waiting {
    request: RequestId,
    budget: BudgetId,
    amount: Tokens,
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
    holder: Holder,
    clock: Clock,
    platform: Client,
    metrics: Arc<Metrics>,
    /// In order of arrival; at most [`WAITING_LIMIT`].
    waiting: VecDeque<Waiting>,
    /// The one call to the platform in progress.
    call: Option<Call>,
    flush_interval: Duration,
    reserve_timeout: Duration,
    drain_limit: Duration,
}

impl Worker {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, stop: CancellationToken) {
        let mut tick = tokio::time::interval(self.flush_interval);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => break,
                },
                event = advance(&mut self.call) => self.apply(event).await,
                _ = tick.tick() => self.begin(),
                () = stop.cancelled() => break,
            }
            self.expire();
        }
        let flushed = tokio::time::timeout(self.drain_limit, self.finish()).await;
        if flushed.is_err() {
            log::error!(target: crate::logs::TOKENS, "journal not flushed within the drain limit");
        }
    }

    /// Writes what is left to write.
    async fn finish(&mut self) {
        self.waiting.clear();
        while self.holder.is_dirty() || self.call.is_some() {
            self.begin();
            match self.call.take() {
                Some(call) => {
                    let event = call.await;
                    self.apply(event).await;
                }
                None => break,
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Reserve {
                request,
                budget,
                amount,
                reply,
            } => self.reserve(Waiting {
                request,
                budget,
                amount,
                deadline: self.clock.now() + self.reserve_timeout,
                reply,
            }),
            Command::Lower { request, amount } => self.holder.lower(&request, amount),
            Command::Release { request } => self.holder.release(&request),
            Command::Settle {
                request,
                usage,
                reply,
            } => self.settle(&request, usage, reply),
        }
    }

    fn reserve(&mut self, waiting: Waiting) {
        let now = self.clock.now();
        let Waiting {
            request,
            budget,
            amount,
            ..
        } = &waiting;
        let answer = match self.holder.reserve(now, request, budget, *amount) {
            Ok(tokens) => Ok(tokens),
            Err(Shortage::Exhausted) => Err(Refusal::Exhausted),
            Err(Shortage::Full | Shortage::Closed | Shortage::Billed) => Err(Refusal::Unavailable),
            Err(Shortage::Refill) if self.waiting.len() < WAITING_LIMIT => {
                self.waiting.push_back(waiting);
                return self.begin();
            }
            Err(Shortage::Refill) => Err(Refusal::Unavailable),
        };
        if waiting.reply.send(answer).is_err() {
            self.holder.release(&waiting.request);
        }
    }

    fn settle(&mut self, request: &RequestId, usage: Usage, reply: oneshot::Sender<Option<Bill>>) {
        let bill = self.holder.settle(request, usage);
        match &bill {
            Some(bill) => {
                self.metrics.charged.inc_by(bill.charged);
                self.metrics.uncovered.inc_by(bill.uncovered);
            }
            None => self.metrics.unmatched.inc(),
        }
        // The bill stands also when nobody waits for it any more.
        let _ = reply.send(bill);
    }

    /// Starts the next call to the platform, unless one is in progress.
    fn begin(&mut self) {
        if self.call.is_some() {
            return;
        }
        let wanted = self.holder.wanted();
        if wanted.is_empty() {
            return self.commit(&[]);
        }
        let platform = self.platform.clone();
        self.call = Some(Box::pin(read(platform, wanted)));
    }

    fn commit(&mut self, rows: &[Row]) {
        let transaction = self.holder.flush(self.clock.now(), rows);
        self.call = transaction.map(|transaction| {
            let platform = self.platform.clone();
            Box::pin(commit(platform, transaction)) as Call
        });
    }

    async fn apply(&mut self, event: Event) {
        match event {
            Event::Rows(rows) => {
                self.commit(&rows);
                if self.call.is_none() {
                    self.retry();
                }
            }
            Event::Verdict(verdict) => {
                self.holder.decide(&verdict);
                self.retry();
            }
            Event::Failed(fault) => self.fail(fault).await,
        }
    }

    /// Serves waiting reservations after a refill.
    fn retry(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.reserve(waiting);
        }
    }

    /// Gives waiting reservations their final answer: the store cannot be asked.
    async fn fail(&mut self, fault: Fault) {
        self.metrics.platform_faults.inc();
        log::warn!(target: crate::logs::TOKENS, "journal not written: {fault}");
        for waiting in self.waiting.drain(..) {
            let _ = waiting.reply.send(Err(Refusal::Unavailable));
        }
        tokio::time::sleep(FAULT_PAUSE).await;
    }

    fn expire(&mut self) {
        let now = self.clock.now();
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
