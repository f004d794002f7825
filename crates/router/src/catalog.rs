//! Follows the configuration in effect.

use {
    crate::metrics::Metrics,
    marigoldroute_core::config::Catalog,
    marigoldroute_platform::{Client, Fault},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

const KEY: &str = "config/catalog";

/// Reads the configuration at each poll.
pub(crate) struct Follower {
    platform: Client,
    metrics: Arc<Metrics>,
    interval: Duration,
    catalog: watch::Sender<Arc<Catalog>>,
}

impl Follower {
    pub(crate) fn new(
        platform: Client,
        metrics: Arc<Metrics>,
        interval: Duration,
    ) -> (Self, watch::Receiver<Arc<Catalog>>) {
        let (catalog, receiver) = watch::channel(Arc::default());
        let follower = Self {
            platform,
            metrics,
            interval,
            catalog,
        };
        (follower, receiver)
    }

    /// Follows the configuration until `stop`.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(self.interval);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = stop.cancelled() => return,
            }
            if self.read().await.is_err() {
                self.metrics.platform_faults.inc();
            }
        }
    }

    async fn read(&self) -> Result<(), Fault> {
        let Some(row) = self.platform.get(KEY).await? else {
            return Ok(());
        };
        let catalog: Catalog = serde_json::from_str(&row.value).map_err(|_| Fault::Malformed)?;
        let version = catalog.version;
        let applied = self.catalog.send_if_modified(|current| {
            let newer = version > current.version;
            if newer {
                *current = Arc::new(catalog);
            }
            newer
        });
        if applied {
            self.metrics.config_version.set(version as i64);
            log::info!(version; "configuration in effect");
        }
        Ok(())
    }
}
