//! What the writer does after a restore of the store: it opens the new era, states the holder's
//! tokens and bills again, and takes part in ending the statements.

use {
    super::writer::Writer,
    crate::{
        store::Fault,
        view::{is_committed, lock},
    },
    marigoldroute_core::{
        budget::{
            Journal, Restated, Surviving,
            era::{self, Settlement, Witness},
            journal,
        },
        id::{BudgetId, Era, HolderId, Tokens, Version},
        table::Row,
    },
    marigoldroute_process::logs::TOKENS,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Shortest pause between two reads of the statements of other hosts.
const POLL_PAUSE: Duration = Duration::from_millis(400);
/// Addition to the pause for each host of the fleet, so that large fleets do not load the store: 141
/// hosts read 141 statements each.
const POLL_PAUSE_PER_HOST: Duration = Duration::from_millis(10);
/// Prefix of the keys of the hosts' rows.
const HOST_PREFIX: &str = "host/";

/// Progress of the writer in the present era.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraProgress {
    /// Latest era that the writer has seen, and when it saw it first.
    seen: Option<(Era, Duration)>,
    /// When to read the statements again.
    poll_at: Duration,
}

impl Writer {
    /// Returns whether the holder has restated its tokens in the era of the store's last response.
    /// Otherwise nothing may be written: versions may have been assigned again.
    pub(super) fn is_era_current(&self) -> bool {
        lock(&self.escrow.holder).era() == self.store.era()
    }

    /// Brings the holder into the era of the store's last response. Once it has restated, reads
    /// whether all others have, and ends the statements when that is due.
    pub(super) async fn follow_era(&self) -> Result<(), Fault> {
        let Some(era) = self.store.era() else {
            return Ok(());
        };
        let now = self.escrow.clock.now();
        let is_current = {
            let holder = lock(&self.escrow.holder);
            let settlement = holder.settlement();
            let is_settled = !settlement.is_restored() || settlement.closing().is_some();
            if holder.era() == Some(era) && is_settled {
                return Ok(());
            }
            holder.era() == Some(era)
        };
        if is_current && now < lock(&self.escrow.era_progress).poll_at {
            return Ok(());
        }
        let seen_at = self.record_era(now, era);
        let rows = self.call(self.store.scan(era::PREFIX.into())).await?;
        let settlement = Settlement::read(era, &rows);
        self.check_era(era)?;
        if !is_current {
            return self.enter_era(era, &rows, settlement).await;
        }
        let waited = now.saturating_sub(seen_at);
        self.close_statements(&rows, &settlement, waited).await?;
        lock(&self.escrow.holder).update_settlement(settlement);
        let hosts = self.view.hosts().unwrap_or(1) as u32;
        let pause = POLL_PAUSE + POLL_PAUSE_PER_HOST * hosts;
        // Hosts read at different times, so that one of them ends the statements.
        let pause = pause.mul_f64(0.5 + rand::random::<f64>());
        lock(&self.escrow.era_progress).poll_at = now + pause;
        Ok(())
    }

    /// Returns when the era was first seen, and logs a new one.
    fn record_era(&self, now: Duration, era: Era) -> Duration {
        let mut progress = lock(&self.escrow.era_progress);
        match progress.seen {
            Some((seen, at)) if seen == era => at,
            known => {
                progress.seen = Some((era, now));
                drop(progress);
                self.metrics.era.set(era.cast_signed());
                if let Some((known, _)) = known {
                    log::warn!(target: TOKENS, era, known; "store restored");
                }
                now
            }
        }
    }

    /// Fails when the store has been restored again.
    fn check_era(&self, era: Era) -> Result<(), Fault> {
        let is_same = self.store.era() == Some(era);
        is_same.then_some(()).ok_or(Fault::Discarded)
    }

    /// Opens the era for all hosts, then states the holder's tokens and bills in it.
    async fn enter_era(&self, era: Era, rows: &[Row], settlement: Settlement) -> Result<(), Fault> {
        let witness = Witness {
            known: self.known_processes().await?,
            configured: self.view.version(),
            has_seen_earlier: lock(&self.escrow.holder)
                .era()
                .is_some_and(|known| known < era),
        };
        if let Some(open) = settlement.open(rows, &witness) {
            self.call(self.store.commit(open)).await?;
            // The rows are read again, because another host may have opened the era.
            self.escrow.flush_requested.notify_one();
            return Ok(());
        }
        let is_new = lock(&self.escrow.holder).is_new();
        if !settlement.is_restored() || is_new && settlement.closing().is_some() {
            lock(&self.escrow.holder).begin_era(settlement);
            return Ok(());
        }
        let fence = lock(&self.escrow.holder).fence_era();
        self.call(self.store.commit(fence)).await?;
        let opening = vec![journal::opening_key(&self.process)];
        let opening = self.call(self.store.get(opening)).await?;
        if !lock(&self.escrow.holder).is_fenced_off(opening.first()) {
            return Ok(());
        }
        let journal = self.read_journal().await?;
        let surviving = Surviving {
            journal: &journal,
            opening: opening.first(),
        };
        let budgets = match settlement.closing() {
            None => Vec::new(),
            Some(_) => {
                let keys = lock(&self.escrow.holder).restated_keys(surviving);
                self.call(self.store.get(keys)).await?
            }
        };
        self.check_era(era)?;
        self.observe_store_clock();
        let now = self.escrow.clock.now();
        let restated = lock(&self.escrow.holder).restate(now, settlement, surviving, &budgets);
        let Some((transaction, figures)) = restated else {
            return Ok(());
        };
        let verdict = self.call(self.store.commit(transaction)).await?;
        self.check_era(era)?;
        lock(&self.escrow.holder).apply_verdict(&verdict);
        if is_committed(&verdict) {
            self.record_restatement(era, figures);
            self.update_configured_totals();
        }
        Ok(())
    }

    /// Returns the processes that may have taken tokens: those that this one has seen lately, and
    /// those in the restored store.
    async fn known_processes(&self) -> Result<BTreeSet<HolderId>, Fault> {
        let mut known = self.view.known_processes(self.escrow.clock.now());
        let hosts = self.call(self.store.scan(HOST_PREFIX.into())).await?;
        let keys = hosts
            .iter()
            .filter_map(|row| row.key.strip_prefix(HOST_PREFIX));
        known.extend(keys.map(HolderId::from));
        Ok(known)
    }

    /// Returns the latest rows of the journal, or all of them if the store has lost these.
    async fn read_journal(&self) -> Result<Vec<Row>, Fault> {
        let keys = lock(&self.escrow.holder).history_keys();
        let first = keys.first().cloned();
        let rows = self.call(self.store.get(keys)).await?;
        if rows.iter().any(|row| Some(&*row.key) == first.as_deref()) {
            return Ok(rows);
        }
        let prefix = journal::prefix(&self.process);
        self.call(self.store.scan(prefix)).await
    }

    fn record_restatement(&self, era: Era, figures: Restated) {
        let Restated {
            lost_rows,
            forgotten_rows,
            bills,
            added,
            removed,
        } = figures;
        log::info!(
            target: TOKENS,
            era, lost_rows, bills, added, removed;
            "tokens and bills stated again"
        );
        if forgotten_rows > 0 {
            log::error!(target: TOKENS, era, forgotten_rows; "bills of old rows are lost");
        }
        self.metrics.restated_bills.inc_by(bills as u64);
        self.metrics.restated_tokens.inc_by(added + removed);
    }

    /// Records the tokens that the rows of this host's budgets withhold, and logs a change.
    pub(super) fn record_withheld(&self, tokens: Tokens) {
        let known = self.metrics.withheld_tokens.get();
        if known != tokens.cast_signed() {
            self.metrics.withheld_tokens.set(tokens.cast_signed());
            log::info!(target: TOKENS, tokens; "tokens withheld in the budgets of this host");
        }
    }

    /// Ends the statements once every process has restated or counts as dead.
    async fn close_statements(
        &self,
        rows: &[Row],
        settlement: &Settlement,
        waited: Duration,
    ) -> Result<(), Fault> {
        let missing = settlement.missing();
        if !missing.is_empty() && waited < era::PATIENCE {
            return Ok(());
        }
        let missing = self.without_ended(settlement, missing).await?;
        let (version, totals) = self.configured_budgets();
        let close = settlement.close(rows, waited, missing.clone(), version, totals);
        let Some(close) = close else {
            return Ok(());
        };
        if let Some(era) = settlement.era() {
            self.check_era(era)?;
        }
        if is_committed(&self.call(self.store.commit(close)).await?) {
            let era = settlement.era();
            log::info!(
                target: TOKENS,
                era, missing = missing.len(), waited_ms = waited.as_millis() as u64;
                "statements of the era ended"
            );
            for holder in missing {
                log::warn!(
                    target: TOKENS, holder:%, era;
                    "process has not restated, unallocated tokens are withheld"
                );
            }
        }
        Ok(())
    }

    /// Removes the processes whose journals ended before the restore: they have taken no tokens
    /// since the copy.
    async fn without_ended(
        &self,
        settlement: &Settlement,
        missing: BTreeSet<HolderId>,
    ) -> Result<BTreeSet<HolderId>, Fault> {
        let mut left = BTreeSet::new();
        for holder in missing {
            let rows = self.call(self.store.scan(journal::prefix(&holder))).await?;
            let last = rows.last();
            let last = last.and_then(|row| serde_json::from_str::<Journal>(&row.value).ok());
            let has_ended =
                last.is_some_and(|row| row.entry.is_terminal() && row.era != settlement.era());
            if !has_ended {
                left.insert(holder);
            }
        }
        Ok(left)
    }

    /// Returns the version of the configuration in effect and the totals of its budgets.
    fn configured_budgets(&self) -> (Version, BTreeMap<BudgetId, (Version, Tokens)>) {
        let Some(directory) = self.view.directory() else {
            return (0, BTreeMap::new());
        };
        let version = directory.version();
        let totals = directory.workspaces().iter().filter_map(|workspace| {
            let total = workspace.purchased?;
            Some((workspace.name.clone(), (version, total)))
        });
        (version, totals.collect())
    }
}
