//! Membership of this host in the fleet, by a row of each host in the store.

use {
    crate::{
        Clock,
        dispatch::Dispatcher,
        escrow::Reserver,
        feed::Feed,
        metrics::Metrics,
        peers::{Endpoint, Peers},
        quarantine::{PartRows, Quarantine},
        settings::Settings,
        store::Store,
        view::{View, is_committed},
    },
    marigoldroute_core::{
        budget::Assignment,
        fleet::{Census, WeightedHost, ZonedHost},
        id::{Era, HolderId, HostId, Version, Zone},
        table::{Row, Transaction},
    },
    marigoldroute_process::logs::BELIEFS,
    rand::RngCore,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Time until the second count of the hosts, by which those that started together have written
/// their rows.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Prefix of the keys of the hosts' rows.
const HOST_PREFIX: &str = "host/";
/// Key of the row with the secret that authenticates messages between hosts.
const FLEET_KEY_ROW: &str = "fleet/key";
/// Time during which news for the row are collected before it is renewed early.
const NEWS_DELAY: Duration = Duration::from_millis(100);
/// Time between two checks for a new era of the store.
const ERA_INTERVAL: Duration = Duration::from_millis(150);
/// Length of the secret before it is written in hexadecimal.
const KEY_BYTES: usize = 32;

/// Renews this host's row and follows the rows of the others.
#[derive(Clone)]
pub(crate) struct Membership {
    pub(crate) process: HolderId,
    pub(crate) clock: Clock,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) view: Arc<View>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) feed: Arc<Feed>,
    pub(crate) peers: Option<Arc<Peers>>,
    pub(crate) reserver: Arc<Reserver>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

/// Value of the row `host/{process}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Member {
    /// Instance of the process; earlier processes of the same instance have ended.
    #[serde(rename = "place")]
    instance: HostId,
    /// Availability zone of the host.
    zone: Zone,
    /// Size of the host relative to others.
    weight: u32,
    /// Address at which the host receives messages of other hosts, if it does.
    peers: Option<SocketAddr>,
    /// Parts of prompts that crash upstreams; few rows have any.
    #[serde(flatten)]
    parts: PartRows,
}

/// The newest row of each instance: its version, the process and the value.
type Members = HashMap<HostId, (Version, HolderId, Member)>;

impl Membership {
    /// Renews the row and counts the hosts until `stop`, then removes the row.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut census = Census::new(self.settings.renew_interval);
        let mut pause = SETTLE_TIME.min(self.settings.renew_interval);
        let mut era = None;
        let mut is_key_lost = false;
        loop {
            let started = self.clock.now();
            let is_renewed = self.renew().await;
            let is_restored = era.is_some() && self.store.era() != era;
            era = self.store.era().or(era);
            is_key_lost |= is_restored;
            is_key_lost &= !self.fetch_key(is_key_lost).await;
            if is_restored {
                // The other hosts write their rows again meanwhile.
                log::info!(target: BELIEFS, era; "store restored, host row written again");
                census.start_era();
                pause = SETTLE_TIME.min(self.settings.renew_interval);
            } else {
                let confirmed_at = is_renewed.then_some(started);
                self.count_hosts(&mut census, confirmed_at).await;
            }
            if !self.wait(pause, era, &stop).await {
                break;
            }
            pause = self.settings.renew_interval;
        }
        let mut transaction = Transaction::default();
        transaction.delete(self.key());
        self.commit(transaction).await;
    }

    /// Waits for the next round, which a new era of the store starts early, and renews the row
    /// meanwhile when it has news for other hosts. Returns false on `stop`.
    async fn wait(&self, pause: Duration, era: Option<Era>, stop: &CancellationToken) -> bool {
        let next = tokio::time::sleep(pause);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = stop.cancelled() => return false,
                () = &mut next => return true,
                () = self.until_restored(era) => return true,
                () = self.quarantine.row_changed.notified() => {}
            }
            tokio::time::sleep(NEWS_DELAY).await;
            self.renew().await;
        }
    }

    /// Returns once the store states another era than `era`.
    async fn until_restored(&self, era: Option<Era>) {
        while era.is_none() || self.store.era() == era {
            tokio::time::sleep(ERA_INTERVAL).await;
        }
    }

    /// Returns the key of this host's row.
    fn key(&self) -> String {
        format!("{HOST_PREFIX}{}", self.process)
    }

    /// Writes this host's row, whose new version shows that the process is alive; returns whether it
    /// was written.
    async fn renew(&self) -> bool {
        let mut transaction = Transaction::default();
        let peers = self.peers.as_ref().and_then(|peers| peers.address().ok());
        let member = Member {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            weight: self.settings.weight,
            peers,
            parts: self.quarantine.rows(),
        };
        match serde_json::to_string(&member) {
            Ok(text) => {
                transaction.put(self.key(), text);
                self.commit(transaction).await
            }
            Err(error) => {
                log::error!(target: BELIEFS, "host row cannot be written: {error}");
                false
            }
        }
    }

    /// Commits a transaction and returns whether it took effect; a failure is only logged, as the
    /// next round repeats the write.
    async fn commit(&self, transaction: Transaction) -> bool {
        let call = self.store.commit(transaction);
        match tokio::time::timeout(self.settings.store_timeout, call).await {
            Ok(Ok(verdict)) => return is_committed(&verdict),
            Ok(Err(fault)) => log::debug!(target: BELIEFS, fault:%; "membership row not written"),
            Err(_) => log::debug!(target: BELIEFS, "membership row not written in time"),
        }
        false
    }

    /// Reads the rows of all hosts, applies those of live ones and deletes those of dead ones.
    async fn count_hosts(&self, census: &mut Census, confirmed_at: Option<Duration>) {
        let call = self.store.scan(HOST_PREFIX.into());
        let Ok(Ok(rows)) = tokio::time::timeout(self.settings.store_timeout, call).await else {
            // Keep the last known hosts while the store is unavailable.
            return;
        };
        let now = self.clock.now();
        let processes = rows
            .iter()
            .filter_map(|row| row.key.strip_prefix(HOST_PREFIX));
        self.view
            .record_processes(now, processes.map(HolderId::from));
        let versions = rows.iter().map(|row| (row.key.clone(), row.version));
        census.update(now, &versions.collect::<Vec<_>>());
        self.learn_parts(&rows);
        let live: Vec<_> = rows
            .iter()
            .filter(|row| census.is_live(now, &row.key))
            .collect();
        let live = self.apply_members(&live, confirmed_at);
        if self.view.hosts() != Some(live.max(1)) {
            log::info!(target: BELIEFS, hosts = live; "fleet counted");
            self.view.set_hosts(live);
            self.metrics.hosts.set(live as i64);
            self.dispatcher.set_hosts(live);
            self.quarantine.set_other_hosts(live.saturating_sub(1));
        }
        let mut transaction = Transaction::default();
        for (key, version) in census.removable(now) {
            transaction.require(key.clone(), version);
            transaction.delete(key);
        }
        if !transaction.writes.is_empty() {
            self.commit(transaction).await;
        }
    }

    /// Learns of accused and quarantined parts of prompts from all rows, also those of dead
    /// processes.
    fn learn_parts(&self, rows: &[Row]) {
        let own = self.key();
        let has_parts = |row: &&Row| *row.key != *own && PartRows::may_be_in(&row.value);
        for row in rows.iter().filter(has_parts) {
            if let Ok(member) = serde_json::from_str::<Member>(&row.value) {
                self.quarantine.learn_rows(&row.key, &member.parts);
            }
        }
    }

    /// Updates the assignment of budgets, the hosts that share rates and the endpoints of other hosts
    /// from the rows of the live hosts, and returns the number of these hosts. Of the rows of one
    /// instance only the newest counts.
    fn apply_members(&self, rows: &[&Row], confirmed_at: Option<Duration>) -> usize {
        let mut members = Members::new();
        for row in rows {
            let process = row.key.strip_prefix(HOST_PREFIX);
            let member = serde_json::from_str::<Member>(&row.value);
            let (Some(process), Ok(member)) = (process, member) else {
                log::warn!(target: BELIEFS, key:% = row.key; "host row cannot be read");
                continue;
            };
            let known = members.get(&member.instance);
            if known.is_none_or(|(version, ..)| *version < row.version) {
                let instance = member.instance.clone();
                members.insert(instance, (row.version, process.into(), member));
            }
        }
        let live = members.len();
        let zoned = members.values().map(|(_, _, member)| ZonedHost {
            weighted: WeightedHost {
                host: member.instance.clone(),
                weight: member.weight,
            },
            zone: member.zone.clone(),
        });
        let mut hosts: Vec<_> = zoned.collect();
        hosts.sort_by(|a, b| a.weighted.host.cmp(&b.weighted.host));
        let weighted = hosts.iter().map(|host| host.weighted.clone()).collect();
        self.dispatcher.update_hosts(weighted, confirmed_at);
        let own = self.settings.instance.clone();
        if self.peers.is_some() {
            self.select_reader(&hosts, &members);
        }
        let assignment = Assignment::new(own.clone(), self.settings.zone.clone(), hosts);
        self.reserver
            .set_assignment(match self.clock.now() < SETTLE_TIME {
                true => assignment,
                false => assignment.mark_settled(),
            });
        if let Some(peers) = &self.peers {
            let others = members.into_iter().filter(|(instance, _)| *instance != own);
            let endpoints = others.filter_map(|(instance, (_, process, member))| {
                let address = member.peers?;
                Some((instance, Endpoint { process, address }))
            });
            peers.set_endpoints(endpoints.collect());
        }
        live
    }

    /// Selects the host that reads the list of upstreams for this one, among those that receive
    /// messages.
    fn select_reader(&self, hosts: &[ZonedHost], members: &Members) {
        let process = |host: &HostId| {
            let (_, process, member) = members.get(host)?;
            member.peers.map(|_| process.clone())
        };
        let reachable = hosts.iter().cloned();
        let reachable: Vec<_> = reachable
            .filter(|host| process(&host.weighted.host).is_some())
            .collect();
        let own = &self.settings.instance;
        self.feed.update_hosts(own, &reachable, process);
    }

    /// Reads the secret that authenticates messages between hosts; the first host creates it. After
    /// a restore, the first host that knows the secret writes it again if the store has lost it.
    /// Returns whether the secret was read or need not be.
    async fn fetch_key(&self, is_lost: bool) -> bool {
        let is_due = |peers: &&Arc<Peers>| is_lost || !peers.has_keys();
        let Some(peers) = self.peers.as_ref().filter(is_due) else {
            return true;
        };
        let key = peers.key_text().unwrap_or_else(|| new_key().into());
        let mut transaction = Transaction::default();
        transaction.require(FLEET_KEY_ROW, 0);
        transaction.put(FLEET_KEY_ROW, key);
        self.commit(transaction).await;
        let read = self.store.get(vec![FLEET_KEY_ROW.into()]);
        match tokio::time::timeout(self.settings.store_timeout, read).await {
            Ok(Ok(rows)) => {
                if let Some(row) = rows.first() {
                    peers.set_key(&row.value);
                    return true;
                }
            }
            Ok(Err(fault)) => log::debug!(target: BELIEFS, fault:%; "fleet key not read"),
            Err(_) => log::debug!(target: BELIEFS, "fleet key not read in time"),
        }
        false
    }
}

/// Returns a random secret in hexadecimal.
fn new_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
