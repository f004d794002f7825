//! The task that writes the journal of this host's holder.

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
        budget::{ConfiguredTotal, Phase, account, journal},
        fault::Kind,
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
/// Age at which a row that has just committed is followed by another one at once, because its
/// figures are out of date.
const STALE_ROW_AGE: Duration = Duration::from_millis(200);
/// Minimum pause between two flushes, so that several waiting reservations share one.
const MIN_FLUSH_PAUSE: Duration = Duration::from_millis(15);
/// Pause between the flushes of a stopping holder.
const CLOSING_PAUSE: Duration = Duration::from_millis(15);
/// Number of unwritten bills at which another row follows at once, as after an outage.
const BILL_BACKLOG: usize = 100;
/// Number of store calls, each up to the store's timeout, that a takeover of journals has time for.
const SUCCESSION_CALLS: u32 = 4;
/// Limit of flushes in which a stopping holder tries to close its journal.
const CLOSE_FLUSH_LIMIT: usize = 20;

/// Writes the journal and changes budget rows.
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
    /// Runs until `stop`, then returns the unspent tokens and closes the journal.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut changes = self.view.subscribe();
        changes.mark_changed();
        let mut assignments = self.reserver.subscribe();
        let mut successor = Some(self.successor());
        loop {
            if let Err(fault) = self.follow_era().await {
                log::debug!(target: TOKENS, fault:%; "era of the store not entered yet");
            }
            successor = self.take_over(successor).await;
            tokio::select! {
                () = stop.cancelled() => break,
                () = self.escrow.flush_requested.notified() => {}
                Ok(()) = changes.changed() => self.update_configured_totals(),
                Ok(()) = assignments.changed() => self.update_configured_totals(),
                () = tokio::time::sleep(self.flush_interval()) => {}
            }
            let pause = match self.flush_and_notify().await {
                Ok(()) => MIN_FLUSH_PAUSE,
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
            escrow: &self.escrow,
            process: &self.process,
            instance: &self.settings.instance,
            store: &*self.store,
        }
    }

    /// Takes over the journals of earlier processes of this instance. Returns the successor for
    /// another attempt, or `None` when no open journal is left.
    async fn take_over<'a>(&self, successor: Option<Successor<'a>>) -> Option<Successor<'a>> {
        let successor = successor?;
        // A takeover makes several calls, most of them for rows that no other host uses.
        let limit = self.settings.store_timeout * SUCCESSION_CALLS;
        match tokio::time::timeout(limit, successor.run()).await {
            Ok(Ok(true)) => None,
            Ok(Ok(false)) => Some(successor),
            Ok(Err(fault)) => {
                log::warn!(target: TOKENS, fault:%; "journals of earlier processes not taken over yet");
                Some(successor)
            }
            Err(_) => {
                log::warn!(target: TOKENS, "journals of earlier processes not taken over in time");
                Some(successor)
            }
        }
    }

    /// Returns the unspent tokens and closes the journal.
    async fn close(&self) {
        lock(&self.escrow.holder).stop();
        for _ in 0..CLOSE_FLUSH_LIMIT {
            // The process has little time left and does not wait for the refill interval.
            *lock(&self.escrow.refill_at) = Duration::ZERO;
            let result = self.flush_and_notify().await;
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

    /// Reads the totals of this host's budgets from the configuration in effect, and prefetches
    /// their tokens.
    pub(super) fn update_configured_totals(&self) {
        let Some(directory) = self.view.directory() else {
            return;
        };
        let assignments = self.reserver.subscribe();
        let assignment = assignments.borrow();
        let mut totals = lock(&self.escrow.configured_totals);
        let mut holder = lock(&self.escrow.holder);
        totals.clear();
        let workspaces = directory.workspaces().iter();
        for workspace in workspaces.filter(|workspace| assignment.is_holder(&workspace.name)) {
            if let Some(total) = workspace.purchased {
                totals.insert(workspace.name.clone(), (directory.version(), total));
                if assignment.is_settled() {
                    holder.prefetch(self.escrow.clock.now(), &workspace.name);
                }
            }
        }
    }

    /// Flushes, updates whether the store counts as unreachable, and wakes waiting reservations.
    async fn flush_and_notify(&self) -> Result<(), Fault> {
        let result = self.flush().await;
        let now = self.escrow.clock.now();
        let is_store_unreachable =
            result.is_err() && lock(&self.escrow.store_timeout).is_unreachable(now);
        if self
            .escrow
            .is_store_unreachable
            .swap(is_store_unreachable, Ordering::Relaxed)
            != is_store_unreachable
        {
            match &result {
                Ok(()) => log::info!(target: TOKENS, "journal reachable"),
                Err(fault) => log::warn!(target: TOKENS, fault:%; "journal out of reach"),
            }
        }
        self.escrow.flushes.send_modify(|count| *count += 1);
        result
    }

    /// Writes a journal row for waiting requests, and changes budget rows when that is due.
    ///
    /// All hosts change the same few budget rows, and the store serialises these changes. Therefore
    /// rows for waiting requests do not change budget rows, which are only changed at intervals.
    async fn flush(&self) -> Result<(), Fault> {
        self.follow_era().await?;
        if !self.is_era_current() {
            return Ok(());
        }
        let now = self.escrow.clock.now();
        lock(&self.escrow.holder).update_settings(&self.settings.escrow_for(self.view.hosts()));
        let is_due = *lock(&self.escrow.refill_at) <= now;
        let is_row_awaited = lock(&self.escrow.holder).is_row_awaited(now);
        if is_row_awaited || !is_due {
            self.observe_store_clock();
            self.write(&[]).await?;
        }
        if !is_due {
            return Ok(());
        }
        if self.flush_budget_rows().await? >= STALE_ROW_AGE {
            self.flush_budget_rows().await?;
        }
        let pause = self.settings.refill_interval(self.view.hosts());
        *lock(&self.escrow.refill_at) = self.escrow.clock.now() + pause;
        Ok(())
    }

    /// Passes the store's clock to the holder.
    pub(super) fn observe_store_clock(&self) {
        if let Some(store_ms) = self.store.clock_ms() {
            lock(&self.escrow.holder).observe_store_clock(store_ms);
        }
    }

    /// Reads budget rows, applies configured totals, and writes a row that refills or returns
    /// tokens. Returns the age of the transaction that was pending before, zero without one.
    async fn flush_budget_rows(&self) -> Result<Duration, Fault> {
        let mut keys = lock(&self.escrow.holder).required_keys();
        let total_keys: Vec<_> = lock(&self.escrow.configured_totals)
            .keys()
            .map(|id| account::key(id))
            .collect();
        keys.extend(total_keys);
        keys.sort();
        keys.dedup();
        let rows = if keys.is_empty() {
            Vec::new()
        } else {
            self.call(self.store.get(keys)).await?
        };
        if !self.is_era_current() {
            return Err(Fault::Discarded);
        }
        self.apply_configured_totals(&rows).await?;
        self.observe_store_clock();
        let age = lock(&self.escrow.holder).pending_age(self.escrow.clock.now());
        if !self.write(&rows).await? {
            // Another host has changed a budget row. A row without budget changes at least renews
            // the bounds, and the next flush reads the budget rows again.
            self.write(&[]).await?;
            self.escrow.flush_requested.notify_one();
        }
        Ok(age)
    }

    /// Writes the next journal row, if there is something to state. Returns whether it has
    /// committed or none was due.
    async fn write(&self, rows: &[Row]) -> Result<bool, Fault> {
        if self.store.era().is_some() && lock(&self.escrow.holder).is_pending() {
            // A repeated transaction must not be the first call in a new era, in which the versions
            // that it requires may have been assigned again.
            let key = journal::opening_key(&self.process);
            self.call(self.store.get(vec![key])).await?;
        }
        if !self.is_era_current() {
            return Err(Fault::Discarded);
        }
        let now = self.escrow.clock.now();
        let transaction = lock(&self.escrow.holder).flush(now, rows);
        let Some(transaction) = transaction else {
            return Ok(true);
        };
        let verdict = self.call(self.store.commit(transaction)).await?;
        if !self.is_era_current() {
            // Whether the row exists is found out when the holder restates its tokens.
            return Err(Fault::Discarded);
        }
        let mut holder = lock(&self.escrow.holder);
        holder.apply_verdict(&verdict);
        self.record_withheld(holder.withheld());
        if holder.unwritten_bills() >= BILL_BACKLOG {
            self.escrow.flush_requested.notify_one();
        }
        Ok(is_committed(&verdict))
    }

    /// Writes the configured totals to those budget rows that do not have them yet.
    async fn apply_configured_totals(&self, rows: &[Row]) -> Result<(), Fault> {
        let totals = lock(&self.escrow.configured_totals).clone();
        for (budget, (version, total)) in totals {
            let key = account::key(&budget);
            let row = rows.iter().find(|row| *row.key == *key);
            let configured = ConfiguredTotal {
                budget: budget.clone(),
                version,
                total,
            };
            if !self.is_era_current() {
                return Err(Fault::Discarded);
            }
            let proposal = {
                let holder = lock(&self.escrow.holder);
                configured.propose(row, holder.settlement())
            };
            match proposal {
                Ok(None) => self.remove_configured_total(&budget, version),
                Ok(Some(transaction)) => {
                    let verdict = self.call(self.store.commit(transaction)).await?;
                    if is_committed(&verdict) {
                        log::info!(target: TOKENS, budget:%, version, total; "budget stated");
                    }
                    if let Verdict::Conflict(_) = verdict {
                        self.escrow.flush_requested.notify_one();
                    }
                }
                // The other hosts have not restated their tokens yet.
                Err(fault) if fault.kind == Kind::Conflict => {}
                Err(fault) => log::error!(target: TOKENS, budget:%, fault:%; "budget not stated"),
            }
        }
        Ok(())
    }

    /// Removes a total that is in effect, unless a newer configuration has replaced it.
    fn remove_configured_total(&self, budget: &BudgetId, version: Version) {
        let mut totals = lock(&self.escrow.configured_totals);
        if totals
            .get(budget)
            .is_some_and(|(stated, _)| *stated == version)
        {
            totals.remove(budget);
        }
    }

    /// Makes a call to the store with the adaptive timeout, and records its outcome.
    pub(super) async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
        let timeout = lock(&self.escrow.store_timeout).current();
        let start = self.escrow.clock.now();
        let result = tokio::time::timeout(timeout, call).await;
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
