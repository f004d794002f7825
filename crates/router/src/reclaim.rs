//! Returns the unused tokens of dead processes to their budgets.
//!
//! A process counts as dead when no host hears it by gossip and it has not renewed its row in the
//! list of hosts for several intervals. Gossip alone would not do: a process on the other side of a
//! partition is not heard but goes on renewing its row. A wrong decision causes no overspend: the
//! process is fenced and continues with a new journal.

use {
    crate::{
        Clock,
        control::{Control, Process, Registry, remove},
        logs::TOKENS,
        settings::Settings,
    },
    marigoldroute_core::{
        budget::{
            Reason, journal,
            reclaim::{self, JournalState},
        },
        id::{HolderId, Version},
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_store::{Client, Fault},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// Largest number of journal rows read by one call.
const PAGE_ROWS: usize = 1_000;
/// Missed renewals of its row after which a process counts as dead.
const MISSED_RENEWALS: u32 = 3;
/// Longest time between two reads of the list for which missed renewals count; after a longer one
/// the store may have been unavailable to every process.
const READ_GAP_LIMIT: Duration = Duration::from_secs(90);

/// How long a process has neither been heard nor renewed its row.
#[derive(Clone, Copy, Debug)]
struct Silence {
    version: Version,
    since: Duration,
    /// Time at which its fence row was first read.
    fenced: Option<Duration>,
}

/// Fences the journals of dead processes and returns their unused tokens.
pub(crate) struct Reclaimer {
    own: HolderId,
    clock: Clock,
    platform: Client,
    control: Control,
    settings: reclaim::Settings,
    renew_interval: Duration,
    silences: HashMap<HolderId, Silence>,
    last_read: Duration,
}

impl Reclaimer {
    pub(crate) fn new(
        settings: &Settings,
        own: HolderId,
        clock: Clock,
        platform: Client,
        control: Control,
    ) -> Self {
        Self {
            own,
            clock,
            platform,
            control,
            settings: settings.reclaim,
            renew_interval: settings.renew_interval,
            silences: HashMap::new(),
            last_read: Duration::ZERO,
        }
    }

    /// Checks each new state of the list until `stop`.
    pub(crate) async fn run(
        mut self,
        mut registry: watch::Receiver<Arc<Registry>>,
        stop: CancellationToken,
    ) {
        loop {
            tokio::select! {
                changed = registry.changed() => if changed.is_err() {
                    return;
                },
                () = stop.cancelled() => return,
            }
            let registry = registry.borrow_and_update().clone();
            let dead = self.find_dead(&registry);
            for process in dead {
                if let Err(fault) = self.reclaim(&process).await {
                    log::warn!(target: TOKENS, process:%, fault:%; "reclaim interrupted");
                }
            }
        }
    }

    /// Updates the silences from the list and returns the processes that count as dead.
    fn find_dead(&mut self, registry: &Registry) -> Vec<HolderId> {
        let now = self.clock.now();
        if now.saturating_sub(self.last_read) > READ_GAP_LIMIT {
            self.silences.clear();
        }
        self.last_read = now;
        let is_listed = |id: &HolderId| registry.processes.iter().any(|process| process.id == *id);
        self.silences.retain(|id, _| is_listed(id));
        let snapshot = self.control.snapshot();
        let is_heard =
            |process: &Process| process.id == self.own || snapshot.processes.contains(&process.id);
        let mut dead = Vec::new();
        for process in &registry.processes {
            let silence = Silence {
                version: process.version,
                since: now,
                fenced: None,
            };
            let known = self.silences.entry(process.id.clone()).or_insert(silence);
            if known.version != process.version || is_heard(process) {
                *known = silence;
            }
            if now.saturating_sub(known.since) >= self.renew_interval * MISSED_RENEWALS {
                dead.push(process.id.clone());
            }
        }
        dead
    }

    /// Takes the next step for every journal of a process; removes the process from the list once
    /// nothing is left to do.
    async fn reclaim(&mut self, process: &HolderId) -> Result<(), Fault> {
        let mut is_done = true;
        for (holder, last) in self.last_rows(process).await? {
            is_done &= self.advance(process, &holder, &last).await?;
        }
        if is_done {
            remove(&self.platform, process).await?;
        }
        Ok(())
    }

    /// Returns the last row of each journal of a process.
    async fn last_rows(&self, process: &str) -> Result<BTreeMap<HolderId, Row>, Fault> {
        let prefix = format!("journal/{process}.");
        let mut last_rows = BTreeMap::new();
        let mut after = String::new();
        loop {
            let rows = self.platform.scan(&prefix, &after, PAGE_ROWS).await?;
            let is_last = rows.len() < PAGE_ROWS;
            for row in rows {
                after = row.key.to_string();
                if let Some(holder) = journal::holder_of_key(&row.key) {
                    last_rows.insert(holder.into(), row);
                }
            }
            if is_last {
                return Ok(last_rows);
            }
        }
    }

    /// Takes the next step for one journal: fences it, then, once its bound has passed, declares it
    /// lost. Returns whether nothing is left to do.
    async fn advance(
        &mut self,
        process: &HolderId,
        holder: &HolderId,
        last: &Row,
    ) -> Result<bool, Fault> {
        let opening = self.platform.get(&journal::opening_key(holder)).await?;
        let Some(found) = reclaim::read(holder, Some(last), opening.as_ref()) else {
            return Err(Fault::Malformed);
        };
        let author = self.own.clone();
        match found {
            JournalState::Closed | JournalState::Lost(_) => Ok(true),
            JournalState::Live(tail) => {
                let rows = self.platform.get_all(&tail.keys(&[])).await?;
                self.commit(holder, "fenced", tail.fence(&author, &rows))
                    .await?;
                Ok(false)
            }
            JournalState::Fenced(tail) => {
                let now = self.clock.now();
                let silence = self.silences.get_mut(process);
                let seen = silence.map_or(now, |silence| *silence.fenced.get_or_insert(now));
                if !tail.is_spent() && !tail.is_due(&self.settings, seen, now) {
                    return Ok(false);
                }
                let rows = self.platform.get_all(&tail.keys(&[])).await?;
                let transaction = tail.declare_lost(&author, Reason::Elapsed, Vec::new(), &rows);
                self.commit(holder, "released", transaction).await
            }
        }
    }

    async fn commit(
        &self,
        holder: &HolderId,
        step: &str,
        transaction: Option<Transaction>,
    ) -> Result<bool, Fault> {
        let Some(transaction) = transaction else {
            return Err(Fault::Malformed);
        };
        let verdict = self.platform.commit(&transaction).await?;
        let is_done = verdict == Verdict::Committed;
        if is_done {
            log::warn!(target: TOKENS, holder:%, step; "reclaimed the tokens of a dead holder");
        }
        Ok(is_done)
    }
}
