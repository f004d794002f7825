//! The hosts of the fleet.

use {
    crate::{
        Clock, dispatch::Dispatch, metrics::Metrics, peers::Peers, settings::Settings,
        store::Store, view::View,
    },
    marigoldroute_core::{
        id::{HolderId, Version, Zone},
        table::Transaction,
    },
    marigoldroute_process::logs::BELIEFS,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
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
    pub(crate) peers: Option<Arc<Peers>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

/// Row `host/{process}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Member {
    /// Availability zone.
    zone: Zone,
    /// Address at which the host hears others.
    peers: Option<SocketAddr>,
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
        let peers = self.peers.as_ref().and_then(|peers| peers.address().ok());
        let member = Member {
            zone: self.settings.zone.clone(),
            peers,
        };
        match serde_json::to_string(&member) {
            Ok(text) => {
                transaction.put(self.key(), text);
                self.commit(transaction).await;
            }
            Err(error) => log::error!(target: BELIEFS, "host row cannot be written: {error}"),
        }
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
        let is_live = |seen: &Seen| age(seen) <= limit(MISSED_RENEWALS);
        let live = seen.values().filter(|seen| is_live(seen)).count();
        if let Some(peers) = &self.peers {
            let live = rows
                .iter()
                .filter(|row| seen.get(&row.key).is_some_and(is_live));
            let others = live.filter(|row| *row.key != *self.key());
            let members = others.filter_map(|row| serde_json::from_str::<Member>(&row.value).ok());
            peers.set_addresses(members.filter_map(|member| member.peers).collect());
        }
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
