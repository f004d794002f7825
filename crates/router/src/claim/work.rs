//! Main loop of the task: batches of claims, queries to upstreams, and the backlog of updates.

use {
    super::{Claims, Command, QUEUE_COMMANDS},
    crate::{
        Clock,
        control::Control,
        metrics::Metrics,
        upstream::{Upstreams, UsageAnswer},
    },
    marigoldroute_core::{
        claim::{self, Batch, Decision, Finding, Presence, Query, Registry, Settings},
        fault::Fault as Refusal,
        id::{HolderId, RequestId},
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_store::{Client, Fault},
    std::{
        collections::HashMap,
        future::Future,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
    tokio_util::sync::CancellationToken,
};

/// Interval at which the backlog is retried while the store does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Dependencies of the task.
pub(crate) struct Dependencies {
    pub(crate) process: HolderId,
    pub(crate) clock: Clock,
    pub(crate) platform: Client,
    pub(crate) upstreams: Arc<Upstreams>,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
}

/// Creates the task and its handle. After `stop` the task ends once the backlog is in the store, or
/// after `linger` or the drain limit of the settings tree.
pub(crate) fn create(
    deps: Dependencies,
    linger: Duration,
    stop: CancellationToken,
) -> (Claims, impl Future<Output = ()> + Send + use<>) {
    let (sender, commands) = mpsc::channel(QUEUE_COMMANDS);
    let worker = Worker {
        registry: Registry::new(deps.process.clone(), Settings::default()),
        deps,
        waiting: HashMap::new(),
        calls: JoinSet::new(),
        is_committing: false,
        has_backlog_call: false,
        linger,
    };
    (Claims(sender), worker.run(commands, stop))
}

type Reply = oneshot::Sender<Result<Decision, Refusal>>;

enum Event {
    /// The verdict on a batch, or the rows read back by key if the answer to the commit was lost.
    Batch(Batch, Result<Verdict, HashMap<Arc<str>, Option<Row>>>),
    Found(Box<Query>, Finding),
    /// The claim row that an update of the backlog changes, by the update's attempt.
    UpdateRow(RequestId, Result<Option<Row>, Fault>),
    /// The verdict on the transaction of an update, by the update's attempt.
    UpdateCommitted(RequestId, Result<Verdict, Fault>),
}

struct Worker {
    deps: Dependencies,
    registry: Registry,
    /// Submissions without a decision, by attempt.
    waiting: HashMap<RequestId, Reply>,
    calls: JoinSet<Event>,
    is_committing: bool,
    /// Whether a call for the backlog is in progress.
    has_backlog_call: bool,
    linger: Duration,
}

impl Worker {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, stop: CancellationToken) {
        let mut retry = tokio::time::interval(RETRY_INTERVAL);
        let mut end = None;
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                Some(event) = self.calls.join_next() => if let Ok(event) = event {
                    self.apply(event);
                },
                _ = retry.tick() => self.process_backlog(),
                () = stop.cancelled(), if end.is_none() => {
                    let linger = self.deps.control.snapshot().drain_limit(self.linger);
                    end = Some(self.deps.clock.now() + linger);
                }
            }
            self.commit();
            let is_idle = self.registry.backlog.is_empty() && self.waiting.is_empty();
            if end.is_some_and(|end| is_idle || self.deps.clock.now() >= end) {
                return;
            }
        }
    }

    fn timestamp(&self) -> claim::Timestamp {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        claim::Timestamp {
            monotonic: self.deps.clock.now(),
            wall: wall.unwrap_or_default(),
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Submit { attempt, reply } => {
                let request = attempt.request.clone();
                match self.registry.submit(*attempt) {
                    Ok(()) => drop(self.waiting.insert(request, reply)),
                    Err(refusal) => drop(reply.send(Err(refusal))),
                }
            }
            Command::Update(update) => {
                self.registry.backlog.push(*update);
                self.process_backlog();
            }
        }
    }

    /// Commits the next batch, unless a commit is in progress.
    fn commit(&mut self) {
        if self.is_committing {
            return;
        }
        let Some(batch) = self.registry.next_batch(self.timestamp()) else {
            return;
        };
        self.is_committing = true;
        let platform = self.deps.platform.clone();
        self.calls.spawn(async move {
            let verdict = platform.commit(&batch.transaction).await;
            let verdict = match verdict {
                Ok(verdict) => Ok(verdict),
                Err(_) => Err(read_back(&platform, &batch).await),
            };
            Event::Batch(batch, verdict)
        });
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Batch(batch, verdict) => self.apply_verdict(batch, verdict),
            Event::Found(query, finding) => {
                let attempt = query.attempt().clone();
                let now = self.deps.clock.now();
                if let Some(decision) = self.registry.resolve(now, *query, finding) {
                    self.answer(&attempt, decision);
                }
            }
            Event::UpdateRow(attempt, Ok(row)) => {
                let now = self.deps.clock.now();
                let backlog = &mut self.registry.backlog;
                match backlog.transaction_for(now, &attempt, row.as_ref()) {
                    Some(transaction) => self.commit_update(attempt, transaction),
                    None => {
                        self.has_backlog_call = false;
                        self.process_backlog();
                    }
                }
            }
            Event::UpdateCommitted(attempt, Ok(verdict)) => {
                self.has_backlog_call = false;
                if verdict == Verdict::Committed {
                    let now = self.deps.clock.now();
                    self.registry.backlog.complete(now, &attempt);
                }
                self.process_backlog();
            }
            Event::UpdateRow(_, Err(fault)) | Event::UpdateCommitted(_, Err(fault)) => {
                self.has_backlog_call = false;
                self.deps.metrics.platform_faults.inc();
                log::warn!(fault:%; "claim not recorded");
            }
        }
    }

    fn apply_verdict(
        &mut self,
        batch: Batch,
        verdict: Result<Verdict, HashMap<Arc<str>, Option<Row>>>,
    ) {
        self.is_committing = false;
        let now = self.timestamp();
        let snapshot = self.deps.control.snapshot();
        let presence = move |author: &HolderId| {
            if snapshot.processes.contains(author) {
                Presence::Alive
            } else {
                Presence::Gone
            }
        };
        let decisions = match verdict {
            Ok(verdict) => self.registry.decide(now, batch, &verdict, &presence),
            Err(rows) => {
                self.deps.metrics.platform_faults.inc();
                let read = |key: &str| rows.get(key).cloned();
                self.registry
                    .decide_after_read(now, batch, &read, &presence)
            }
        };
        for (attempt, decision) in decisions {
            match decision {
                Decision::Query(query) => self.query_upstreams(query),
                decision => self.answer(&attempt, decision),
            }
        }
        self.process_backlog();
    }

    fn answer(&mut self, attempt: &RequestId, decision: Decision) {
        let Some(reply) = self.waiting.remove(attempt) else {
            return;
        };
        // If the caller has disconnected, its request is not sent and the claim is released.
        if let Err(Ok(Decision::Run(permit))) = reply.send(Ok(decision)) {
            self.registry.backlog.push(permit.release());
        }
    }

    /// Queries every upstream for the usage record of the attempt named in a claim.
    fn query_upstreams(&mut self, query: Box<Query>) {
        let upstreams = self.deps.upstreams.clone();
        let catalog = self.deps.control.snapshot().catalog.clone();
        self.calls.spawn(async move {
            let mut finding = Finding::Absent;
            for upstream in catalog.upstreams.values() {
                match upstreams.usage(&upstream.url, &query.request).await {
                    UsageAnswer::Finished(_) => return Event::Found(query, Finding::Ran),
                    UsageAnswer::Running => return Event::Found(query, Finding::Running),
                    UsageAnswer::Unanswered => finding = Finding::Unreachable,
                    UsageAnswer::Absent => {}
                }
            }
            Event::Found(query, finding)
        });
    }

    /// Reads the row of the next due update of the backlog, unless a call for one is in progress.
    fn process_backlog(&mut self) {
        if self.has_backlog_call {
            return;
        }
        let Some(update) = self.registry.backlog.next_due(self.deps.clock.now()) else {
            return;
        };
        self.has_backlog_call = true;
        let (attempt, key) = (update.request.clone(), update.key.clone());
        let platform = self.deps.platform.clone();
        self.calls
            .spawn(async move { Event::UpdateRow(attempt, platform.get(&key).await) });
    }

    fn commit_update(&mut self, attempt: RequestId, transaction: Transaction) {
        let platform = self.deps.platform.clone();
        self.calls.spawn(async move {
            // An update whose verdict is lost stays in the backlog until a later read shows its
            // effect.
            Event::UpdateCommitted(attempt, platform.commit(&transaction).await)
        });
    }
}

/// Reads back the rows of a batch after a lost answer; leaves out rows that cannot be read.
async fn read_back(platform: &Client, batch: &Batch) -> HashMap<Arc<str>, Option<Row>> {
    let mut rows = HashMap::new();
    for key in batch.keys() {
        if let Ok(row) = platform.get(key).await {
            rows.insert(key.clone(), row);
        }
    }
    rows
}
