//! The configuration in effect on this host, and the task that follows the log in the store.

use {
    crate::{clock::Clock, metrics::Metrics},
    marigoldroute_core::{
        config::{self, Ask, Catalog, Hold, LOG_PREFIX, Log, Read, Role, SNAPSHOT_KEY, log_key},
        id::Version,
        table::Row,
    },
    marigoldroute_platform::{Client, Fault},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// Time between two looks at what to ask the store for.
const TICK: Duration = Duration::from_millis(200);
/// Log rows read per call when an operator's write waits for them.
const CATCH_UP_ROWS: usize = 64;

/// The configuration as this host has applied it. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct Config(Arc<State>);

#[derive(Debug)]
struct State {
    clock: Clock,
    log: Mutex<Log>,
    catalog: watch::Sender<Arc<Catalog>>,
    metrics: Arc<Metrics>,
}

impl Config {
    /// Creates the state of a host that has no configuration.
    pub(crate) fn new(poll: Duration, clock: Clock, metrics: Arc<Metrics>) -> Self {
        let settings = config::Settings {
            poll_interval: poll,
            ..config::Settings::default()
        };
        Self(Arc::new(State {
            clock,
            log: Mutex::new(Log::new(settings, clock.now())),
            catalog: watch::Sender::new(Arc::default()),
            metrics,
        }))
    }

    /// Returns the compiled configuration as it changes.
    pub(crate) fn catalog(&self) -> watch::Receiver<Arc<Catalog>> {
        self.0.catalog.subscribe()
    }

    /// Reads the log; `read` must be short, because the log is locked meanwhile.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Log) -> T) -> T {
        read(&self.0.log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether new work may be taken.
    pub(crate) fn permit(&self) -> Result<(), Hold> {
        self.read(|log| log.permit(self.0.clock.now()))
    }

    /// Gives the log an input and publishes what it puts into effect.
    fn feed<T>(&self, input: impl FnOnce(&mut Log, Duration) -> T) -> T {
        let now = self.0.clock.now();
        let mut log = self.0.log.lock().unwrap_or_else(PoisonError::into_inner);
        let output = input(&mut log, now);
        let catalog = log.catalog().clone();
        drop(log);
        let version = catalog.version;
        let applied = self.0.catalog.send_if_modified(|current| {
            let is_newer = version > current.version;
            if is_newer {
                *current = catalog;
            }
            is_newer
        });
        if applied {
            self.0.metrics.config_version.set(version as i64);
            log::info!(version; "configuration in effect");
        }
        output
    }

    /// Reads the versions that follow the one in effect and applies them.
    ///
    /// # Errors
    /// When the store does not answer.
    pub(crate) async fn catch_up(&self, platform: &Client) -> Result<Version, Fault> {
        loop {
            let before = self.read(Log::version);
            let after = log_key(before);
            let rows = platform.scan(LOG_PREFIX, &after, CATCH_UP_ROWS).await?;
            self.feed(|log, now| log.rows(now, &rows));
            let version = self.read(Log::version);
            if version == before || rows.len() < CATCH_UP_ROWS {
                return Ok(version);
            }
        }
    }
}

/// The task that reads the log from the store.
pub(crate) struct Follower {
    config: Config,
    platform: Client,
    random: SmallRng,
}

impl Follower {
    pub(crate) fn new(config: Config, platform: Client) -> Self {
        Self {
            config,
            platform,
            random: SmallRng::from_rng(&mut rand::rng()),
        }
    }

    /// Follows the log until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = stop.cancelled() => return,
            }
            if self.step().await.is_err() {
                self.config.feed(|log, _| log.failed());
                self.config.0.metrics.platform_faults.inc();
            }
        }
    }

    async fn step(&mut self) -> Result<(), Fault> {
        let before = self.config.read(Log::version);
        let random = &mut self.random;
        let tick = |log: &mut Log, now| log.tick(now, Role::Poller, &[], random);
        for ask in self.config.feed(tick) {
            if let Ask::Read(read) = ask {
                self.answer(&read).await?;
            }
        }
        if self.config.read(Log::version) > before {
            self.snapshot().await?;
        }
        Ok(())
    }

    async fn answer(&self, read: &Read) -> Result<(), Fault> {
        let (config, key) = (&self.config, read.key());
        match read {
            Read::Head => {
                let row = self.platform.get(key).await?;
                config.feed(|log, now| log.head(now, row.as_ref()));
            }
            Read::Pointer => {
                let row = self.platform.get(key).await?;
                config.feed(|log, now| log.pointer(now, row.as_ref()));
            }
            Read::Rows { after, limit } => {
                let rows = self.platform.scan(key, after, *limit).await?;
                config.feed(|log, now| log.rows(now, &rows));
            }
            Read::Parts { after, limit, .. } => {
                let rows = self.platform.scan(key, after, *limit).await?;
                config.feed(|log, now| log.parts(now, &rows));
            }
        }
        Ok(())
    }

    /// Writes a snapshot when the last one is old, and removes the log rows that it covers.
    async fn snapshot(&self) -> Result<(), Fault> {
        let pointer = self.platform.get(SNAPSHOT_KEY).await?;
        let row: Option<&Row> = pointer.as_ref();
        if let Some(transaction) = self.config.read(|log| log.snapshot(row)) {
            // A conflict means that another host was faster.
            self.platform.commit(&transaction).await?;
            let pointer = self.platform.get(SNAPSHOT_KEY).await?;
            let oldest = self
                .platform
                .scan(LOG_PREFIX, "", config::TRIM_ROWS)
                .await?;
            if let Some(transaction) = Log::trim(pointer.as_ref(), &oldest) {
                self.platform.commit(&transaction).await?;
            }
        }
        Ok(())
    }
}
