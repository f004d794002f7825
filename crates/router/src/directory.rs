//! The hosts of the fleet as registered in the table service.

use {
    crate::{metrics::Metrics, settings::Settings},
    marigoldroute_core::{
        config::Catalog,
        id::{HostId, Region, Version, Zone},
        table::Transaction,
    },
    marigoldroute_platform::{Client, Fault},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

const PREFIX: &str = "host/";
/// Hosts read per call.
const PAGE_ROWS: usize = 1_000;

/// Row `host/{host}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Host {
    /// Address of the internal protocol.
    pub(crate) peers: SocketAddr,
    pub(crate) region: Region,
    pub(crate) zone: Zone,
    /// Start of the process, unique per host.
    pub(crate) incarnation: Arc<str>,
    /// Version of the configuration in effect.
    #[serde(default)]
    pub(crate) version: Version,
}

/// Hosts by name.
pub(crate) type Hosts = BTreeMap<HostId, Host>;

/// The list of hosts, read again at each poll.
pub(crate) struct Directory {
    own: HostId,
    host: Host,
    platform: Client,
    metrics: Arc<Metrics>,
    interval: Duration,
    catalog: watch::Receiver<Arc<Catalog>>,
    hosts: watch::Sender<Arc<Hosts>>,
}

impl Directory {
    pub(crate) fn new(
        settings: &Settings,
        catalog: watch::Receiver<Arc<Catalog>>,
        peers: SocketAddr,
        incarnation: Arc<str>,
        platform: Client,
        metrics: Arc<Metrics>,
    ) -> (Self, watch::Receiver<Arc<Hosts>>) {
        let host = Host {
            peers,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            incarnation,
            version: 0,
        };
        let only = Hosts::from([(settings.host.clone(), host.clone())]);
        let (hosts, receiver) = watch::channel(Arc::new(only));
        let directory = Self {
            own: settings.host.clone(),
            host,
            platform,
            metrics,
            interval: settings.poll_interval,
            catalog,
            hosts,
        };
        (directory, receiver)
    }

    /// Registers this host, with the version in effect, and follows the list until `stop`; then
    /// removes the host's row.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(self.interval);
        let mut registered = None;
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = stop.cancelled() => break,
            }
            let version = self.catalog.borrow().version;
            self.host.version = version;
            if registered != Some(version) && self.register().await.is_ok() {
                registered = Some(version);
            }
            if self.read().await.is_err() {
                self.metrics.platform_faults.inc();
            }
        }
        // A row that stays is found dead by the other hosts.
        let _ = self.remove().await;
    }

    async fn register(&self) -> Result<(), Fault> {
        let mut transaction = Transaction::default();
        let value = serde_json::to_string(&self.host).unwrap_or_default();
        transaction.put(key(&self.own), value);
        self.platform.commit(&transaction).await.map(drop)
    }

    /// Removes the row, unless a later process of this host has replaced it.
    async fn remove(&self) -> Result<(), Fault> {
        let Some(row) = self.platform.get(&key(&self.own)).await? else {
            return Ok(());
        };
        let listed = serde_json::from_str::<Host>(&row.value).ok();
        if listed.is_none_or(|listed| listed.incarnation != self.host.incarnation) {
            return Ok(());
        }
        let mut transaction = Transaction::default();
        transaction.require(key(&self.own), row.version);
        transaction.delete(key(&self.own));
        self.platform.commit(&transaction).await.map(drop)
    }

    async fn read(&self) -> Result<(), Fault> {
        let rows = self.platform.scan(PREFIX, "", PAGE_ROWS).await?;
        let mut hosts: Hosts = rows
            .iter()
            .filter_map(|row| {
                let name = row.key.strip_prefix(PREFIX)?.into();
                Some((name, serde_json::from_str(&row.value).ok()?))
            })
            .collect();
        hosts.insert(self.own.clone(), self.host.clone());
        let hosts = Arc::new(hosts);
        self.hosts.send_if_modified(|current| {
            let changed = *current != hosts;
            *current = hosts;
            changed
        });
        Ok(())
    }
}

/// Returns the key of a host's row.
pub(crate) fn key(host: &str) -> String {
    format!("{PREFIX}{host}")
}
