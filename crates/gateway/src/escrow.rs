//! Tokens of this host: reservations by requests, and the task that writes the journal.

use {
    crate::{
        clock::Clock,
        interface::Usage,
        metrics::Metrics,
        settings::Settings,
        store::{Fault, Store},
        succession::Successor,
        view::{View, is_committed, lock},
    },
    derive_more::{Display, Error},
    marigoldroute_core::{
        budget::{self, Holder, Phase, Shortage, Statement, account},
        id::{BudgetId, HolderId, ModelId, RequestId, Tokens, UpstreamId, Version, WorkspaceId},
        table::{Row, Verdict},
    },
    marigoldroute_observe::logs::TOKENS,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
    tokio_util::sync::CancellationToken,
};

/// Pause after a failed call to the store.
const FAULT_PAUSE: Duration = Duration::from_millis(60);
/// Age from which a row that has taken effect is followed by another one at once, because what it
/// states is no longer true.
const OLD_ROW: Duration = Duration::from_millis(200);
/// Shortest time between two flushes, so that reservations that lack tokens share one.
const LEAST_PAUSE: Duration = Duration::from_millis(15);
/// Time to come back when it is not known when tokens will be within reach.
const COME_BACK: Duration = Duration::from_millis(700);
/// Most flushes in which a stopping holder tries to close its journal.
const CLOSING_FLUSHES: usize = 20;

/// Why no tokens were reserved.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The budget does not cover the request.
    #[display("the budget is exhausted")]
    Exhausted,
    /// The tokens are out of reach for now.
    #[display("the budget cannot be reached")]
    Unreachable {
        /// When tokens are expected to be within reach.
        after: Duration,
    },
}

/// Who uses tokens for what.
#[derive(Clone, Debug)]
pub(crate) struct Purpose {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) model: ModelId,
    pub(crate) usage: Usage,
}

/// The tokens of this host.
pub(crate) struct Escrow {
    clock: Clock,
    holder: Mutex<Holder>,
    /// Totals of budgets as the configuration states them, until the budget rows show them.
    statements: Mutex<BTreeMap<BudgetId, (Version, Tokens)>>,
    /// Number of flushes, so that waiting reservations try again after each.
    flushes: watch::Sender<u64>,
    /// Asks for a flush before the regular one.
    kick: Notify,
    /// Whether the last call to the store failed.
    is_cut_off: AtomicBool,
}

/// Reserved tokens of one request; dropping it bills or returns them.
pub(crate) struct Hold {
    escrow: Arc<Escrow>,
    purpose: Purpose,
    /// Upstream that may have run the request.
    upstream: Option<UpstreamId>,
    delivered: Tokens,
}

impl Hold {
    /// Notes that an upstream may run the request from now on.
    pub(crate) fn sent(&mut self, upstream: &UpstreamId) {
        self.upstream = Some(upstream.clone());
    }

    /// Notes that the request certainly has not run so far.
    pub(crate) fn not_run(&mut self) {
        self.upstream = None;
    }

    /// Adds output tokens that were handed to the caller.
    pub(crate) fn deliver(&mut self, tokens: Tokens) {
        self.delivered = (self.delivered + tokens).min(self.purpose.usage.output);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut holder = lock(&self.escrow.holder);
        let Some(upstream) = self.upstream.take() else {
            holder.release(&self.purpose.request);
            return;
        };
        let usage = budget::Usage {
            workspace: self.purpose.workspace.clone(),
            model: self.purpose.model.clone(),
            upstream,
            tokens: self.purpose.usage.prompt + self.delivered,
        };
        if holder.settle(&self.purpose.request, usage).is_none() {
            log::error!(target: TOKENS, request:% = self.purpose.request; "no reservation to settle");
        }
    }
}

impl Escrow {
    pub(crate) fn new(process: HolderId, clock: Clock, settings: &Settings) -> Self {
        Self {
            clock,
            holder: Mutex::new(Holder::new(process, settings.escrow.clone())),
            statements: Mutex::default(),
            flushes: watch::Sender::new(0),
            kick: Notify::new(),
            is_cut_off: AtomicBool::new(false),
        }
    }

    /// Reserves the most tokens that a request can use, waiting for a refill until `deadline`.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        purpose: Purpose,
        deadline: Duration,
    ) -> Result<Hold, Refusal> {
        let amount = purpose.usage.most();
        let mut flushes = self.flushes.subscribe();
        loop {
            let now = self.clock.now();
            let reserved = {
                let mut holder = lock(&self.holder);
                holder.reserve(now, &purpose.request, &purpose.workspace, amount)
            };
            match reserved {
                Ok(_) => break,
                Err(Shortage::Exhausted) => {
                    return Err(self.refuse(&purpose, Refusal::Exhausted));
                }
                Err(Shortage::Refill) => {}
                Err(_) => {
                    return Err(self.refuse(&purpose, Refusal::Unreachable { after: COME_BACK }));
                }
            }
            self.kick.notify_one();
            // Without a new row, the bound of the last one allows the reservation later.
            let wait = lock(&self.holder).wait(now, &purpose.workspace, amount);
            let is_cut_off = self.is_cut_off.load(Ordering::Relaxed);
            let is_hopeless = is_cut_off && wait.is_none_or(|wait| now + wait > deadline);
            if is_hopeless || now >= deadline {
                let after = wait.unwrap_or(COME_BACK).max(COME_BACK);
                return Err(self.refuse(&purpose, Refusal::Unreachable { after }));
            }
            let wake = wait.map_or(deadline, |wait| deadline.min(now + wait));
            tokio::select! {
                _ = flushes.changed() => {}
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {}
            }
        }
        if lock(&self.holder).is_bound_low(self.clock.now(), &purpose.workspace) {
            self.kick.notify_one();
        }
        Ok(Hold {
            escrow: self.clone(),
            purpose,
            upstream: None,
            delivered: 0,
        })
    }
}

impl Escrow {
    fn refuse(&self, purpose: &Purpose, refusal: Refusal) -> Refusal {
        let view = lock(&self.holder).view(&purpose.workspace);
        let view = view.map_or_else(String::new, |view| view.to_string());
        log::info!(
            target: TOKENS,
            request:% = purpose.request, budget:% = purpose.workspace, refusal:%, view,
            amount = purpose.usage.most(), is_cut_off = self.is_cut_off.load(Ordering::Relaxed);
            "no tokens reserved"
        );
        refusal
    }
}

/// The task that writes the journal.
pub(crate) struct Writer {
    pub(crate) process: HolderId,
    pub(crate) escrow: Arc<Escrow>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) view: Arc<View>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

impl Writer {
    /// Runs until `stop`, then returns all tokens that are not spent.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut changes = self.view.changes();
        changes.mark_changed();
        let mut successor = Some(self.successor());
        loop {
            successor = self.succeed(successor).await;
            tokio::select! {
                () = stop.cancelled() => break,
                () = self.escrow.kick.notified() => {}
                Ok(()) = changes.changed() => self.note_statements(),
                () = tokio::time::sleep(self.flush_interval()) => {}
            }
            let pause = match self.step().await {
                Ok(()) => LEAST_PAUSE,
                Err(_) => FAULT_PAUSE,
            };
            tokio::time::sleep(pause).await;
        }
        self.close().await;
    }

    /// Returns the time until the next regular flush, and paces the holder's writes.
    fn flush_interval(&self) -> Duration {
        let hosts = self.view.hosts();
        let sizes = self.settings.escrow.clone().paced(hosts.unwrap_or(1));
        lock(&self.escrow.holder).tune(&sizes);
        self.settings.paced(self.settings.flush_interval, hosts)
    }

    fn successor(&self) -> Successor<'_> {
        Successor {
            process: &self.process,
            place: &self.settings.place,
            store: &*self.store,
            clock: self.escrow.clock,
        }
    }

    /// Takes over from the processes before this one, until the store has answered.
    async fn succeed<'a>(&self, successor: Option<Successor<'a>>) -> Option<Successor<'a>> {
        let successor = successor?;
        match self.call(successor.run()).await {
            Ok(()) => None,
            Err(_) => Some(successor),
        }
    }

    async fn close(&self) {
        lock(&self.escrow.holder).stop();
        for _ in 0..CLOSING_FLUSHES {
            let result = self.step().await;
            if lock(&self.escrow.holder).phase() == Phase::Closed {
                log::info!(target: TOKENS, "journal closed");
                return;
            }
            let pause = if result.is_ok() {
                LEAST_PAUSE
            } else {
                FAULT_PAUSE
            };
            tokio::time::sleep(pause).await;
        }
        log::warn!(target: TOKENS, "journal not closed");
    }

    /// Takes the totals that the present configuration states.
    fn note_statements(&self) {
        let Some(directory) = self.view.directory() else {
            return;
        };
        let mut statements = lock(&self.escrow.statements);
        let mut holder = lock(&self.escrow.holder);
        statements.clear();
        for workspace in directory.workspaces() {
            if let Some(total) = workspace.purchased {
                statements.insert(workspace.name.clone(), (directory.version(), total));
                holder.expect(self.escrow.clock.now(), &workspace.name);
            }
        }
    }

    /// Reads what the holder needs, states totals and flushes.
    async fn step(&self) -> Result<(), Fault> {
        let mut result = self.exchange().await;
        if result.as_ref().is_ok_and(|age| *age >= OLD_ROW) {
            result = self.exchange().await;
        }
        let result = result.map(drop);
        let is_cut_off = result.is_err();
        if self.escrow.is_cut_off.swap(is_cut_off, Ordering::Relaxed) != is_cut_off {
            match &result {
                Ok(()) => log::info!(target: TOKENS, "journal reachable"),
                Err(fault) => log::warn!(target: TOKENS, fault:%; "journal out of reach"),
            }
        }
        self.escrow.flushes.send_modify(|count| *count += 1);
        result
    }

    /// Reads and writes; returns the age of the row that took effect, zero without one.
    async fn exchange(&self) -> Result<Duration, Fault> {
        let mut keys = lock(&self.escrow.holder).wanted();
        let stated: Vec<_> = lock(&self.escrow.statements)
            .keys()
            .map(|id| account::key(id))
            .collect();
        keys.extend(stated);
        keys.sort();
        keys.dedup();
        let rows = if keys.is_empty() {
            Vec::new()
        } else {
            self.call(self.store.get(keys)).await?
        };
        self.state(&rows).await?;
        if let Some(store_ms) = self.store.clock_ms() {
            lock(&self.escrow.holder).see_clock(store_ms);
        }
        let age = lock(&self.escrow.holder).pending_age(self.escrow.clock.now());
        if !self.write(&rows).await? {
            // Another host has changed a budget row. A row without budgets renews the bounds at
            // least, and the refill is tried again with rows that are read again.
            self.write(&[]).await?;
            self.escrow.kick.notify_one();
        }
        Ok(age)
    }

    /// Writes the next row, if there is something to state; returns whether it took effect.
    async fn write(&self, rows: &[Row]) -> Result<bool, Fault> {
        let now = self.escrow.clock.now();
        let transaction = lock(&self.escrow.holder).flush(now, rows);
        let Some(transaction) = transaction else {
            return Ok(true);
        };
        let verdict = self.call(self.store.commit(transaction)).await?;
        lock(&self.escrow.holder).decide(&verdict);
        Ok(is_committed(&verdict))
    }

    /// Puts the stated totals into effect.
    async fn state(&self, rows: &[Row]) -> Result<(), Fault> {
        let statements = lock(&self.escrow.statements).clone();
        for (budget, (version, total)) in statements {
            let key = account::key(&budget);
            let row = rows.iter().find(|row| *row.key == *key);
            let statement = Statement {
                budget: budget.clone(),
                version,
                total,
            };
            match statement.propose(row) {
                Ok(None) => self.forget(&budget, version),
                Ok(Some(transaction)) => {
                    let verdict = self.call(self.store.commit(transaction)).await?;
                    if is_committed(&verdict) {
                        log::info!(target: TOKENS, budget:%, version, total; "budget stated");
                    }
                    if let Verdict::Conflict(_) = verdict {
                        self.escrow.kick.notify_one();
                    }
                }
                Err(fault) => log::error!(target: TOKENS, budget:%, fault:%; "budget not stated"),
            }
        }
        Ok(())
    }

    fn forget(&self, budget: &BudgetId, version: Version) {
        let mut statements = lock(&self.escrow.statements);
        if statements
            .get(budget)
            .is_some_and(|(stated, _)| *stated == version)
        {
            statements.remove(budget);
        }
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T, Fault>>) -> Result<T, Fault> {
        let result = tokio::time::timeout(self.settings.store_timeout, call).await;
        let result = result.unwrap_or(Err(Fault::Unanswered));
        let label = if result.is_ok() { "ok" } else { "fault" };
        self.metrics.store_calls.with_label_values(&[label]).inc();
        result
    }
}
