//! Takeover of the journals of earlier processes of the same instance, which returns their tokens.

use {
    crate::{
        escrow::Escrow,
        store::{Fault, Store},
        view::is_committed,
    },
    marigoldroute_core::{
        budget::{
            era::Settlement,
            journal,
            reclaim::{self, JournalState, Live, Tail},
        },
        id::HolderId,
    },
    marigoldroute_process::logs::TOKENS,
    std::time::Duration,
};

/// Attempts at one journal before the next journal is tried. An attempt conflicts with a late row
/// of the old process, or with another host that changes the same budgets: after the loss of a
/// whole fleet all hosts take over at the same time.
const ATTEMPTS: usize = 3;
/// Longest pause between two attempts; the pauses are random.
const PAUSE_LIMIT: Duration = Duration::from_millis(40);

/// Takes over the journals of earlier processes of the same instance.
pub(crate) struct Successor<'a> {
    /// Id of the current process.
    pub(crate) process: &'a HolderId,
    /// Instance that the processes share.
    pub(crate) instance: &'a str,
    pub(crate) store: &'a dyn Store,
    /// Holder of the current process, and a clock whose origin is its start.
    pub(crate) escrow: &'a Escrow,
}

impl Successor<'_> {
    /// Closes every journal that earlier processes have left open; returns whether none is left.
    pub(crate) async fn run(&self) -> Result<bool, Fault> {
        let settlement = self.escrow.settlement();
        if settlement.is_restored() && settlement.closing().is_none() {
            return Ok(false);
        }
        let prefix = journal::opening_key(&format!("{}.", self.instance));
        let openings = self.store.scan(prefix).await?;
        let holders = openings.iter().filter_map(|row| row.key.split_once('/'));
        let mut is_done = true;
        for (_, holder) in holders.filter(|(_, holder)| **holder != **self.process) {
            is_done &= self.take_over(&holder.into(), &settlement).await?;
        }
        Ok(is_done)
    }

    /// Closes a journal and returns its unspent tokens; returns whether nothing is left to do.
    async fn take_over(&self, holder: &HolderId, settlement: &Settlement) -> Result<bool, Fault> {
        for _ in 0..ATTEMPTS {
            let Some(tail) = self.tail(holder).await? else {
                return Ok(true);
            };
            let rows = self.store.get(tail.keys(&[])).await?;
            // The old process ended before this one started, so the start bounds its end.
            let uptime = self.escrow.clock.now().as_millis() as u64;
            let Some(ended_ms) = self.store.clock_ms().map(|now| now.saturating_sub(uptime)) else {
                return Ok(false);
            };
            if self.store.era() != settlement.era() {
                // The holder enters the era of these rows first.
                return Ok(false);
            }
            let transaction = tail.take_over(self.process, ended_ms, &rows, settlement);
            let Some(transaction) = transaction else {
                log::error!(target: TOKENS, holder:%; "journal not taken over: a budget is missing");
                return Ok(true);
            };
            if is_committed(&self.store.commit(transaction).await?) {
                let ((allocated, spent), used) = (tail.totals(), tail.max_used(ended_ms));
                let (stated, age_ms) = (tail.used_by_last_row(), tail.age_ms(ended_ms));
                log::info!(
                    target: TOKENS,
                    holder:%, ended_ms, age_ms, allocated, spent, stated, used,
                    is_outdated = tail.is_outdated(settlement);
                    "journal taken over"
                );
                return Ok(true);
            }
            let fraction = rand::random::<f64>();
            tokio::time::sleep(PAUSE_LIMIT.mul_f64(fraction)).await;
        }
        log::warn!(target: TOKENS, holder:%; "journal not taken over yet");
        Ok(false)
    }

    /// Returns the last state of a journal, or `None` if it is closed.
    async fn tail(&self, holder: &HolderId) -> Result<Option<Tail<Live>>, Fault> {
        let rows = self.store.scan(journal::prefix(holder)).await?;
        let opening = self.store.get(vec![journal::opening_key(holder)]).await?;
        Ok(match reclaim::read(holder, rows.last(), opening.first()) {
            Some(JournalState::Live(tail)) => Some(tail),
            _ => None,
        })
    }
}
