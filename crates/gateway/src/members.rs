//! The hosts of the fleet.

use {
    crate::{
        clock::Clock, dispatch::Dispatch, metrics::Metrics, settings::Settings, store::Store,
        view::View,
    },
    marigoldroute_core::{
        id::{HolderId, Version},
        table::Transaction,
    },
    marigoldroute_observe::logs::BELIEFS,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Renewals that a host may miss before it is taken as gone.
const MISSED_RENEWALS: u32 = 3;
/// Renewals that a host may miss before its row is removed.
const REMOVED_RENEWALS: u32 = 20;
/// Start of the keys of the hosts' rows.
const PREFIX: &str = "host/";

/// Renews this host's row and counts the others.
pub(crate) struct Members {
    pub(crate) process: HolderId,
    pub(crate) clock: Clock,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) view: Arc<View>,
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

/// When a row was last seen to change.
struct Seen {
    version: Version,
    at: Duration,
}

impl Members {
    /// Runs until `stop`, then removes this host's row.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut seen = HashMap::new();
        loop {
            self.renew().await;
            self.count(&mut seen).await;
            tokio::select! {
                () = stop.cancelled() => break,
                () = tokio::time::sleep(self.settings.renew_interval) => {}
            }
        }
        let mut transaction = Transaction::default();
        transaction.delete(self.key());
        self.commit(transaction).await;
    }

    fn key(&self) -> String {
        format!("{PREFIX}{}", self.process)
    }

    async fn renew(&self) {
        let mut transaction = Transaction::default();
        transaction.put(self.key(), format!("\"{}\"", self.settings.zone));
        self.commit(transaction).await;
    }

    async fn commit(&self, transaction: Transaction) {
        let call = self.store.commit(transaction);
        match tokio::time::timeout(self.settings.store_timeout, call).await {
            Ok(Ok(_)) => {}
            Ok(Err(fault)) => log::debug!(target: BELIEFS, fault:%; "host row not written"),
            Err(_) => log::debug!(target: BELIEFS, "host row not written in time"),
        }
    }

    async fn count(&self, seen: &mut HashMap<Arc<str>, Seen>) {
        let call = self.store.scan(PREFIX.into());
        let Ok(Ok(rows)) = tokio::time::timeout(self.settings.store_timeout, call).await else {
            // The number of hosts stays as it was while the store is away.
            return;
        };
        let now = self.clock.now();
        seen.retain(|key, _| rows.iter().any(|row| row.key == *key));
        for row in &rows {
            let known = seen.entry(row.key.clone()).or_insert(Seen {
                version: 0,
                at: now,
            });
            if known.version != row.version {
                *known = Seen {
                    version: row.version,
                    at: now,
                };
            }
        }
        let limit = |renewals: u32| self.settings.renew_interval * renewals;
        let age = |seen: &Seen| now.saturating_sub(seen.at);
        let live = seen
            .values()
            .filter(|seen| age(seen) <= limit(MISSED_RENEWALS))
            .count();
        if self.view.hosts() != Some(live.max(1)) {
            log::info!(target: BELIEFS, hosts = live; "fleet counted");
            self.view.set_hosts(live);
            self.metrics.hosts.set(live as i64);
            self.dispatch.set_hosts(live);
        }
        let dead = seen
            .iter()
            .filter(|(_, seen)| age(seen) > limit(REMOVED_RENEWALS));
        let mut transaction = Transaction::default();
        for (key, seen) in dead {
            transaction.require(key.clone(), seen.version);
            transaction.delete(key.clone());
        }
        if !transaction.writes.is_empty() {
            self.commit(transaction).await;
        }
    }
}
