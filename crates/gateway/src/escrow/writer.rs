//! The task that writes the journal of this host's tokens.

use {
    super::{Escrow, Reserver},
    crate::{
        metrics::Metrics,
        settings::Settings,
        store::{Fault, Store},
        succession::Successor,
        view::{View, is_committed, lock},
    },
    marigoldroute_core::{
        budget::{ConfiguredTotal, Phase, account},
        id::{BudgetId, HolderId, Version},
        table::{Row, Verdict},
    },
    marigoldroute_process::logs::TOKENS,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Pause after a failed call to the store.
const FAULT_PAUSE: Duration = Duration::from_millis(60);
/// Age from which a row that has taken effect is followed by another one at once, because what it
/// states is no longer true.
const OLD_ROW: Duration = Duration::from_millis(200);
/// Shortest time between two flushes, so that reservations that lack tokens share one.
const LEAST_PAUSE: Duration = Duration::from_millis(15);
/// Pause between the flushes of a stopping holder.
const CLOSING_PAUSE: Duration = Duration::from_millis(15);
/// Unwritten bills from which another row follows at once, as after an outage.
const MANY_BILLS: usize = 100;
/// Calls of a takeover of journals, each of which may take as long as the store may.
const SUCCESSION_CALLS: u32 = 4;
/// Most flushes in which a stopping holder tries to close its journal.
const CLOSING_FLUSHES: usize = 20;

/// The task that writes the journal.
#[derive(Clone)]
pub(crate) struct Writer {
    pub(crate) process: HolderId,
    pub(crate) escrow: Arc<Escrow>,
    pub(crate) reserver: Arc<Reserver>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) view: Arc<View>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

impl Writer {
    /// Runs until `stop`, then returns all tokens that are not spent.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut changes = self.view.subscribe();
        changes.mark_changed();
        let mut places = self.reserver.subscribe();
        let mut successor = Some(self.successor());
        loop {
            successor = self.succeed(successor).await;
            tokio::select! {
                () = stop.cancelled() => break,
                () = self.escrow.kick.notified() => {}
                Ok(()) = changes.changed() => self.note_statements(),
                Ok(()) = places.changed() => self.note_statements(),
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

    /// Returns the time until the next regular flush.
    fn flush_interval(&self) -> Duration {
        self.settings
            .scale_interval(self.settings.flush_interval, self.view.hosts())
    }

    fn successor(&self) -> Successor<'_> {
        Successor {
            process: &self.process,
            instance: &self.settings.instance,
            store: &*self.store,
            clock: self.escrow.clock,
        }
    }

    /// Takes over from the processes before this one, until nothing of theirs is left.
    async fn succeed<'a>(&self, successor: Option<Successor<'a>>) -> Option<Successor<'a>> {
        let successor = successor?;
        // Several calls, most of them to parts that nobody else uses.
        let limit = self.settings.store_timeout * SUCCESSION_CALLS;
        match tokio::time::timeout(limit, successor.run()).await {
            Ok(Ok(true)) => None,
            Ok(Ok(false)) => Some(successor),
            Ok(Err(fault)) => {
                log::warn!(target: TOKENS, fault:%; "journals before this process not taken over yet");
                Some(successor)
            }
            Err(_) => {
                log::warn!(target: TOKENS, "journals before this process not taken over in time");
                Some(successor)
            }
        }
    }

    async fn close(&self) {
        lock(&self.escrow.holder).stop();
        for _ in 0..CLOSING_FLUSHES {
            // The process has little time left to return its tokens.
            *lock(&self.escrow.refill_at) = Duration::ZERO;
            let result = self.step().await;
            if lock(&self.escrow.holder).phase() == Phase::Closed {
                log::info!(target: TOKENS, "journal closed");
                return;
            }
            let pause = if result.is_ok() {
                CLOSING_PAUSE
            } else {
                FAULT_PAUSE
            };
            tokio::time::sleep(pause).await;
        }
        log::warn!(target: TOKENS, "journal not closed");
    }

    /// Takes the totals that the present configuration states, for the budgets of this host.
    fn note_statements(&self) {
        let Some(directory) = self.view.directory() else {
            return;
        };
        let changes = self.reserver.subscribe();
        let places = changes.borrow();
        let mut statements = lock(&self.escrow.statements);
        let mut holder = lock(&self.escrow.holder);
        statements.clear();
        let workspaces = directory.workspaces().iter();
        for workspace in workspaces.filter(|workspace| places.is_holder(&workspace.name)) {
            if let Some(total) = workspace.purchased {
                statements.insert(workspace.name.clone(), (directory.version(), total));
                if places.is_settled() {
                    holder.prefetch(self.escrow.clock.now(), &workspace.name);
                }
            }
        }
    }

    /// Flushes, notes whether the store is reached, and wakes those that wait.
    async fn step(&self) -> Result<(), Fault> {
        let result = self.flush().await;
        let now = self.escrow.clock.now();
        let is_cut_off = result.is_err() && lock(&self.escrow.store_timeout).is_unreachable(now);
        if self.escrow.is_cut_off.swap(is_cut_off, Ordering::Relaxed) != is_cut_off {
            match &result {
                Ok(()) => log::info!(target: TOKENS, "journal reachable"),
                Err(fault) => log::warn!(target: TOKENS, fault:%; "journal out of reach"),
            }
        }
        self.escrow.flushes.send_modify(|count| *count += 1);
        result
    }

    /// Writes a row for requests that wait, and one that changes budget rows when that is due.
    ///
    /// All hosts change the same few budget rows, which the store does one after the other. So a row
    /// for requests that wait goes without them, and they are changed with a pause.
    async fn flush(&self) -> Result<(), Fault> {
        let now = self.escrow.clock.now();
        lock(&self.escrow.holder).update_settings(&self.settings.escrow_for(self.view.hosts()));
        let is_due = *lock(&self.escrow.refill_at) <= now;
        let is_waited_for = lock(&self.escrow.holder).is_row_awaited(now);
        if is_waited_for || !is_due {
            self.see_clock();
            self.write(&[]).await?;
        }
        if !is_due {
            return Ok(());
        }
        if self.exchange().await? >= OLD_ROW {
            self.exchange().await?;
        }
        let pause = self.settings.refill_interval(self.view.hosts());
        *lock(&self.escrow.refill_at) = self.escrow.clock.now() + pause;
        Ok(())
    }

    fn see_clock(&self) {
        if let Some(store_ms) = self.store.clock_ms() {
            lock(&self.escrow.holder).observe_store_clock(store_ms);
        }
    }

    /// Reads and writes; returns the age of the row that took effect, zero without one.
    async fn exchange(&self) -> Result<Duration, Fault> {
        let mut keys = lock(&self.escrow.holder).required_keys();
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
        self.see_clock();
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
        let mut holder = lock(&self.escrow.holder);
        holder.apply_verdict(&verdict);
        if holder.unwritten_bills() >= MANY_BILLS {
            self.escrow.kick.notify_one();
        }
        Ok(is_committed(&verdict))
    }

    /// Puts the stated totals into effect.
    async fn state(&self, rows: &[Row]) -> Result<(), Fault> {
        let statements = lock(&self.escrow.statements).clone();
        for (budget, (version, total)) in statements {
            let key = account::key(&budget);
            let row = rows.iter().find(|row| *row.key == *key);
            let statement = ConfiguredTotal {
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
        let patience = lock(&self.escrow.store_timeout).current();
        let start = self.escrow.clock.now();
        let result = tokio::time::timeout(patience, call).await;
        let result = result.unwrap_or(Err(Fault::Unanswered));
        let now = self.escrow.clock.now();
        match &result {
            Ok(_) => lock(&self.escrow.store_timeout).record_answer(now.saturating_sub(start)),
            Err(_) => lock(&self.escrow.store_timeout).record_failure(now),
        }
        let label = if result.is_ok() { "ok" } else { "fault" };
        self.metrics.store_calls.with_label_values(&[label]).inc();
        result
    }
}
