//! Starts a router process and performs its planned stop.

use {
    crate::{
        Clock,
        admin::{self, Admin},
        caller::{self, Context},
        claim, control,
        dispatch::Dispatcher,
        escrow,
        gate::Gate,
        ledger,
        metrics::Metrics,
        ops, outbox,
        peer::{Links, Listener},
        placement,
        reclaim::Reclaimer,
        reserver::{Reserver, Responder},
        settings::Settings,
        tls::{self, Watcher},
        upstream::Upstreams,
    },
    anyhow::Context as _,
    marigoldroute_core::{
        config::{Change, Proposal, Rebase, Submission},
        fleet::Host,
        id::{HolderId, Version},
        route::Origin,
    },
    marigoldroute_store::{Client, http_client_builder, listen},
    poem::{Endpoint, EndpointExt, Route, Server, listener::Acceptor},
    rand::RngCore,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Number of random low bits of an incarnation; the bits above them are the start time in
/// milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// A running router.
pub struct Handle {
    address: SocketAddr,
    peers: SocketAddr,
    drain_limit: Duration,
    control: control::Control,
    platform: Client,
    process: HolderId,
    /// Whether the journals were closed.
    is_closed: Arc<AtomicBool>,
    /// Cancelled when the host stops taking new work.
    draining: CancellationToken,
    /// Cancelled when no more settlements arrive.
    finished: CancellationToken,
    /// Cancelled when all settlements are durable.
    settled: CancellationToken,
    /// Cancelled when the background tasks have to end.
    stop: CancellationToken,
    requests: TaskTracker,
    deliveries: TaskTracker,
    /// The task that owns the holder of this process.
    escrow: TaskTracker,
    tasks: TaskTracker,
}

/// Starts a router.
///
/// # Errors
/// If the settings have mistakes or an address cannot be bound.
pub async fn start(settings: Settings) -> anyhow::Result<Handle> {
    settings.check()?;
    let clock = Clock::new();
    let metrics = Arc::new(Metrics::new()?);
    let platform = Client::new(settings.platform.clone(), settings.platform_timeout)?;
    let (draining, stop) = (CancellationToken::new(), CancellationToken::new());
    let (requests, deliveries, tasks) =
        (TaskTracker::new(), TaskTracker::new(), TaskTracker::new());

    let keys = settings.keys();
    let listener = Listener::bind(
        settings.listen_peers,
        settings.host.clone(),
        keys.clone(),
        metrics.clone(),
    );
    let listener = listener.await?;
    let peers = listener.address()?;
    let host = identify(&settings, settings.advertise_peers.unwrap_or(peers));
    let process = control::process(&host);
    let links = Links::new(
        settings.host.clone(),
        keys,
        settings.peer_timeout,
        metrics.clone(),
        tasks.clone(),
    );
    let links = Arc::new(links);

    let origin = Origin {
        host: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let dispatcher = Arc::new(Dispatcher::new(clock, origin, settings.policy));
    let gate = Gate::new(clock, settings.running_limit);
    tasks.spawn(gate.clone().run(stop.clone()));

    let (control, registry, work) = control::create(control::Dependencies {
        dispatcher: dispatcher.clone(),
        host,
        process: process.clone(),
        clock,
        platform: platform.clone(),
        http: http_client_builder().build()?,
        links: links.clone(),
        metrics: metrics.clone(),
        renew_interval: settings.renew_interval,
        draining: draining.clone(),
        stop: stop.clone(),
    });
    tasks.spawn(work);

    let reclaimer = Reclaimer::new(
        &settings,
        process.clone(),
        clock,
        platform.clone(),
        control.clone(),
    );
    tasks.spawn(reclaimer.run(registry, stop.clone()));
    let upstreams = Arc::new(Upstreams::new(settings.upstream_timeout)?);
    let settled = CancellationToken::new();
    let deps = escrow::Dependencies {
        process: process.clone(),
        sizes: settings.preset.settings(),
        clock,
        platform: platform.clone(),
        upstreams: upstreams.clone(),
        control: control.clone(),
        links: links.clone(),
        metrics: metrics.clone(),
        settled: settled.clone(),
    };
    let ledger = ledger::Worker {
        process: process.clone(),
        host: settings.host.clone(),
        region: settings.region.clone(),
        platform: platform.clone(),
        control: control.clone(),
        metrics: metrics.clone(),
        interval: settings.ledger_interval,
    };
    tasks.spawn(ledger.run(stop.clone()));
    let placement = placement::Worker {
        process: process.clone(),
        host: settings.host.clone(),
        region: settings.region.clone(),
        clock,
        platform: platform.clone(),
        control: control.clone(),
        metrics: metrics.clone(),
        http: http_client_builder().build()?,
        times: placement::Times {
            interval: settings.placement_interval,
            lease: settings.placement_lease,
            pause_bound: settings.pause_bound,
        },
    };
    tasks.spawn(placement.run(draining.clone()));
    let claims = claim::Dependencies {
        process: process.clone(),
        clock,
        platform: platform.clone(),
        upstreams: upstreams.clone(),
        control: control.clone(),
        metrics: metrics.clone(),
    };
    let (claims, work) = claim::create(claims, settings.drain_limit, stop.clone());
    tasks.spawn(work);
    let (escrow, work) = escrow::create(deps, &settings, draining.clone());
    let escrow_task = TaskTracker::new();
    let is_closed = Arc::new(AtomicBool::new(false));
    let closed = is_closed.clone();
    escrow_task.spawn(async move { closed.store(work.await, Ordering::Release) });

    let responder = Responder {
        escrow: escrow.clone(),
        control: control.clone(),
        dispatcher: dispatcher.clone(),
    };
    tasks.spawn(listener.run(Arc::new(responder), tasks.clone(), stop.clone()));
    let outbox = outbox::Dependencies {
        own: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        holders_per_region: settings.holders_per_region,
        escrow: escrow.clone(),
        links: links.clone(),
        control: control.clone(),
        interval: settings.flush_interval / 2,
    };
    let finished = CancellationToken::new();
    let (outbox, work) = outbox::create(outbox, finished.clone());
    deliveries.spawn(work);
    let reserver = Reserver::new(
        &settings,
        escrow,
        links.clone(),
        control.clone(),
        outbox,
        deliveries.clone(),
    );
    let (shared, store) = (control.clone(), platform.clone());
    let admin = Admin {
        host: settings.host.clone(),
        control: control.clone(),
        platform: platform.clone(),
        metrics: metrics.clone(),
        initial: settings.admin_key_hash.clone(),
        ring: Default::default(),
        clock,
        listed: Default::default(),
        dispatcher: dispatcher.clone(),
        links,
        counts: Default::default(),
    };
    let context = Arc::new(Context {
        clock,
        control,
        platform,
        reserver: Arc::new(reserver),
        claims,
        upstreams,
        dispatcher,
        gate,
        metrics,
        requests: requests.clone(),
        draining: draining.clone(),
        settings: settings.clone(),
    });
    let address = serve(context, admin, &tasks, stop.clone()).await?;
    log::info!(host:% = settings.host, address:%, peers:%; "started");
    Ok(Handle {
        address,
        peers,
        drain_limit: settings.drain_limit,
        control: shared,
        platform: store,
        process,
        is_closed,
        draining,
        finished,
        settled,
        stop,
        requests,
        deliveries,
        escrow: escrow_task,
        tasks,
    })
}

/// Returns the identity of this process for the other hosts. The incarnation increases with each
/// start.
fn identify(settings: &Settings, peers: SocketAddr) -> Host {
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = started.unwrap_or_default().as_millis() as u64;
    Host {
        id: settings.host.clone(),
        incarnation: started << INCARNATION_RANDOM_BITS
            | rand::rng().next_u64() >> (u64::BITS - INCARNATION_RANDOM_BITS),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        address: peers.to_string().into(),
        weight: settings.weight,
    }
}

/// Binds the callers' address and serves it until `stop`.
async fn serve(
    context: Arc<Context>,
    admin: Admin,
    tasks: &TaskTracker,
    stop: CancellationToken,
) -> anyhow::Result<SocketAddr> {
    let (acceptor, address) =
        listen(context.settings.listen).context("open the callers' interface")?;
    let (files, interval) = (context.settings.tls()?, context.settings.tls_interval);
    let metrics = context.metrics.clone();
    let routes = admin::add(ops::add(caller::add(Route::new())), admin).data(context);
    match files {
        Some(files) => {
            let (watcher, configs) = Watcher::new(files, metrics)?;
            tasks.spawn(watcher.run(interval, stop.clone()));
            tasks.spawn(answer(tls::secure(acceptor, configs), routes, stop));
        }
        None => {
            tasks.spawn(answer(acceptor, routes, stop));
        }
    }
    Ok(address)
}

async fn answer(
    acceptor: impl Acceptor + 'static,
    routes: impl Endpoint + 'static,
    stop: CancellationToken,
) {
    let server = Server::new_with_acceptor(acceptor);
    let serving = server.run_with_graceful_shutdown(routes, stop.cancelled_owned(), None);
    if let Err(error) = serving.await {
        log::error!("callers' interface stopped: {error}");
    }
}

impl Handle {
    /// Returns the address for callers and operators.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for other hosts.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Proposes a change on top of the version in effect on this host; returns its version.
    ///
    /// # Errors
    /// If the change is refused or the store does not answer.
    pub async fn propose(
        &self,
        change: Change,
        author: &str,
        request: &str,
    ) -> anyhow::Result<Version> {
        let (base, _) = self.control.tree().await;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let proposal = Proposal::new(Submission {
            change,
            author: author.into(),
            request: request.into(),
            time_ms: since.unwrap_or_default().as_millis() as u64,
            base,
            rebase: Rebase::Never,
        });
        Ok(self.control.propose(proposal).await?)
    }

    /// Returns the configuration version in effect on this host.
    pub fn version(&self) -> Version {
        self.control.snapshot().catalog.version
    }

    /// Performs a planned stop: takes no new work, waits for running requests up to the drain
    /// limit, then closes the journals.
    pub async fn stop(self) {
        log::info!(running = self.requests.len(); "planned stop");
        self.draining.cancel();
        self.wait(&self.requests, "requests cut at the drain limit")
            .await;
        self.finished.cancel();
        self.wait(&self.deliveries, "settlements not delivered")
            .await;
        self.settled.cancel();
        self.wait(&self.escrow, "the journal was not closed").await;
        if self.is_closed.load(Ordering::Acquire) {
            // If the removal fails, another host finds the closed journals and removes the row.
            let _ = control::remove(&self.platform, &self.process).await;
        }
        self.stop.cancel();
        self.wait(&self.tasks, "background tasks cut").await;
        log::info!("stopped");
    }

    async fn wait(&self, tasks: &TaskTracker, problem: &str) {
        tasks.close();
        let limit = self.control.snapshot().drain_limit(self.drain_limit);
        let waited = tokio::time::timeout(limit, tasks.wait()).await;
        if waited.is_err() {
            log::error!(left = tasks.len(); "{problem}");
        }
    }
}
