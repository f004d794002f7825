//! A router process from start to planned stop.

use {
    crate::{
        admin::{self, Admin},
        caller::{self, Context},
        charge::{Charger, Responder},
        clock::Clock,
        config::{Config, Follower},
        directory::{Directory, Hosts},
        escrow,
        metrics::Metrics,
        ops,
        peer::{Links, Listener},
        settings::Settings,
        upstream::Upstreams,
    },
    anyhow::Context as _,
    marigoldroute_core::budget::Holder,
    marigoldroute_platform::Client,
    poem::{
        EndpointExt, Route, Server,
        listener::{Acceptor, Listener as _, TcpListener},
    },
    rand::RngCore,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// A running router.
pub struct Handle {
    address: SocketAddr,
    peers: SocketAddr,
    drain_limit: Duration,
    /// No new work.
    draining: CancellationToken,
    /// End of the background tasks.
    stop: CancellationToken,
    requests: TaskTracker,
    deliveries: TaskTracker,
    tasks: TaskTracker,
}

/// Starts a router.
///
/// # Errors
/// When the settings have mistakes or an address cannot be bound.
pub async fn start(settings: Settings) -> anyhow::Result<Handle> {
    settings.check()?;
    let clock = Clock::new();
    let metrics = Arc::new(Metrics::new()?);
    let platform = Client::new(settings.platform.clone(), settings.platform_timeout)?;
    let (draining, stop) = (CancellationToken::new(), CancellationToken::new());
    let (requests, deliveries, tasks) =
        (TaskTracker::new(), TaskTracker::new(), TaskTracker::new());

    let incarnation: Arc<str> = format!("{:016x}", rand::rng().next_u64()).into();
    let holder = format!("{}.{incarnation}", settings.host).into();
    let holder = Holder::new(holder, settings.budget.clone());
    let (escrow, work) = escrow::create(
        holder,
        &settings,
        clock,
        platform.clone(),
        metrics.clone(),
        stop.clone(),
    );
    tasks.spawn(work);

    let keys = settings.keys();
    let own = settings.host.clone();
    let listener = Listener::bind(
        settings.listen_peers,
        own.clone(),
        keys.clone(),
        metrics.clone(),
    );
    let listener = listener.await?;
    let peers = listener.address()?;
    let responder = Arc::new(Responder(escrow.clone()));
    tasks.spawn(listener.run(responder, tasks.clone(), stop.clone()));

    let config = Config::new(settings.poll_interval, clock, metrics.clone());
    let directory = Directory::new(
        &settings,
        config.catalog(),
        peers,
        incarnation,
        platform.clone(),
        metrics.clone(),
    );
    let (directory, hosts) = directory;
    tasks.spawn(directory.run(draining.clone()));
    let follower = Follower::new(config.clone(), platform.clone());
    tasks.spawn(follower.run(stop.clone()));

    let links = Arc::new(Links::new(own, keys, settings.peer_timeout, tasks.clone()));
    tasks.spawn(prune(links.clone(), hosts.clone(), stop.clone()));
    let admin = Admin {
        host: settings.host.clone(),
        config: config.clone(),
        platform,
        hosts: hosts.clone(),
        metrics: metrics.clone(),
        initial: settings.admin_key_hash.clone(),
        ring: Default::default(),
    };
    let charger = Charger::new(&settings, escrow, links, hosts, deliveries.clone());
    let context = Arc::new(Context {
        clock,
        catalog: config.catalog(),
        config,
        charger: Arc::new(charger),
        upstreams: Arc::new(Upstreams::new(settings.upstream_timeout)?),
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
        draining,
        stop,
        requests,
        deliveries,
        tasks,
    })
}

/// Closes connections to hosts that left the list, until `stop`.
async fn prune(links: Arc<Links>, mut hosts: watch::Receiver<Arc<Hosts>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            changed = hosts.changed() => if changed.is_err() {
                return;
            },
            () = stop.cancelled() => return,
        }
        let listed = hosts.borrow_and_update().clone();
        links.retain(|host| listed.contains_key(host));
    }
}

/// Binds the callers' address and serves it until `stop`.
async fn serve(
    context: Arc<Context>,
    admin: Admin,
    tasks: &TaskTracker,
    stop: CancellationToken,
) -> anyhow::Result<SocketAddr> {
    let listen = context.settings.listen;
    let bound = TcpListener::bind(listen).into_acceptor().await;
    let acceptor = bound.with_context(|| format!("bind {listen} for callers"))?;
    let local = acceptor.local_addr().remove(0);
    let address = *local.as_socket_addr().context("not a socket address")?;
    let routes = admin::add(ops::add(caller::add(Route::new())), admin).data(context);
    let server = Server::new_with_acceptor(acceptor);
    tasks.spawn(async move {
        let serving = server.run_with_graceful_shutdown(routes, stop.cancelled_owned(), None);
        if let Err(error) = serving.await {
            log::error!("callers' interface stopped: {error}");
        }
    });
    Ok(address)
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

    /// Stops as planned: takes no new work, lets requests finish up to the drain limit, makes the
    /// journal durable.
    pub async fn stop(self) {
        log::info!(running = self.requests.len(); "planned stop");
        self.draining.cancel();
        self.wait(&self.requests, "requests cut at the drain limit")
            .await;
        self.wait(&self.deliveries, "settlements not delivered")
            .await;
        self.stop.cancel();
        self.wait(&self.tasks, "background tasks cut").await;
        log::info!("stopped");
    }

    async fn wait(&self, tasks: &TaskTracker, problem: &str) {
        tasks.close();
        let waited = tokio::time::timeout(self.drain_limit, tasks.wait()).await;
        if waited.is_err() {
            log::error!(left = tasks.len(); "{problem}");
        }
    }
}
