//! A gateway process from start to planned stop.

use {
    crate::{
        Clock,
        accept::accept,
        dispatch::Dispatcher,
        escrow::{Escrow, Reserver, Responder, Writer},
        front::Front,
        job::Context,
        listen::acceptor,
        members::Members,
        memory::Memory,
        metrics::Metrics,
        peers::Peers,
        pool::Pool,
        protocol::Protocol,
        settings::Settings,
        store::Store,
        supervise::Supervisor,
        view::View,
        watch::Watch,
    },
    marigoldroute_core::{id::HolderId, route::Origin},
    poem::{
        Endpoint, EndpointExt, IntoResponse, Response, Route, Server, endpoint::make_sync, get,
        http::StatusCode,
    },
    rand::RngCore,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(300);

/// A running gateway.
pub struct Handle {
    addresses: Addresses,
    settings: Arc<Settings>,
    escrow: Arc<Escrow>,
    view: Arc<View>,
    /// No new connections, and idle ones are closed.
    leave: CancellationToken,
    /// End of the background tasks.
    stop: CancellationToken,
    serving: TaskTracker,
    tasks: TaskTracker,
}

/// The bound addresses.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the readiness check.
    pub ready: SocketAddr,
}

/// Starts a gateway.
///
/// # Errors
/// When an address cannot be bound.
pub fn start(
    settings: Settings,
    store: Arc<dyn Store>,
    protocol: Arc<dyn Protocol>,
) -> anyhow::Result<Handle> {
    let settings = Arc::new(settings);
    let clock = Clock::new();
    let metrics = Arc::new(Metrics::new()?);
    let view = Arc::new(View::new(settings.link.clone()));
    let process = process(&settings);
    let origin = Origin {
        host: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let dispatcher = Dispatcher::new(clock, origin, settings.routing.clone(), settings.retries);
    let dispatcher = Arc::new(dispatcher);
    let escrow = Arc::new(Escrow::new(process.clone(), clock, &settings));
    let pool = Arc::new(Pool::new(clock, metrics.clone(), settings.connect_timeout));
    let (leave, stop) = (CancellationToken::new(), CancellationToken::new());
    let (serving, tasks) = (TaskTracker::new(), TaskTracker::new());
    let peers = match settings.listen_peers {
        Some(address) => Some(Arc::new(Peers::bind(
            address,
            process.clone(),
            dispatcher.clone(),
        )?)),
        None => None,
    };
    let own = settings.instance.clone();
    let reserver = Reserver::new(
        clock,
        own,
        escrow.clone(),
        peers.clone(),
        metrics.clone(),
        tasks.clone(),
    );
    let reserver = Arc::new(reserver);
    let context = Arc::new(Context {
        clock,
        protocol,
        view: view.clone(),
        dispatcher: dispatcher.clone(),
        pool: pool.clone(),
        reserver: reserver.clone(),
        memory: Memory::new(settings.answer_memory),
        metrics: metrics.clone(),
        settings: settings.clone(),
    });
    let callers = accept(settings.listen, Front(context), &serving, &leave)?;
    let ready = serve(
        settings.listen_ready,
        readiness(clock, view.clone()),
        &tasks,
        &stop,
    )?;
    if let Some(address) = settings.listen_metrics {
        serve(address, exposition(metrics.clone()), &tasks, &stop)?;
    }
    let supervisor = Supervisor {
        metrics: metrics.clone(),
        tasks: tasks.clone(),
        stop: stop.clone(),
    };
    if let Some(peers) = peers.clone() {
        let responder = Responder::new(clock, escrow.clone(), view.clone(), tasks.clone());
        let responder = Arc::new(responder);
        let expiring = responder.clone();
        supervisor.start("responder", move |stop| expiring.clone().run(stop));
        supervisor.start("peers", move |stop| {
            peers.clone().run(responder.clone(), stop)
        });
    }
    let watch = Watch {
        clock,
        store: store.clone(),
        view: view.clone(),
        dispatcher: dispatcher.clone(),
        metrics: metrics.clone(),
        settings: settings.clone(),
    };
    let watches = (watch.clone(), watch.clone());
    supervisor.start("configuration", move |stop| {
        watches.0.clone().configuration(stop)
    });
    supervisor.start("upstreams", move |stop| watches.1.clone().upstreams(stop));
    supervisor.start("expiry", move |stop| watch.clone().expire(stop));
    let members = Members {
        process: process.clone(),
        clock,
        store: store.clone(),
        view: view.clone(),
        dispatcher,
        peers,
        reserver: reserver.clone(),
        metrics: metrics.clone(),
        settings: settings.clone(),
    };
    supervisor.start("members", move |stop| members.clone().run(stop));
    let writer = Writer {
        process: process.clone(),
        escrow: escrow.clone(),
        reserver,
        store,
        view: view.clone(),
        metrics,
        settings: settings.clone(),
    };
    supervisor.start("journal", move |stop| writer.clone().run(stop));
    supervisor.start("connections", move |stop| sweep(pool.clone(), stop));
    log::info!(host:% = settings.host, process:%, callers:%, ready:%; "started");
    Ok(Handle {
        addresses: Addresses { callers, ready },
        settings,
        escrow,
        view,
        leave,
        stop,
        serving,
        tasks,
    })
}

impl Handle {
    /// Returns the bound addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops as planned: reports not ready, accepts connections until the balancer has taken the
    /// host out, lets requests finish, and returns unspent tokens.
    pub async fn stop(self) {
        log::info!("planned stop");
        self.view.drain();
        self.escrow.require_write_ahead();
        tokio::time::sleep(self.settings.deregistration_delay).await;
        self.leave.cancel();
        let rest = self
            .settings
            .drain_limit
            .saturating_sub(self.settings.deregistration_delay);
        wait(&self.serving, rest, "requests cut at the drain limit").await;
        self.stop.cancel();
        wait(
            &self.tasks,
            self.settings.store_timeout,
            "background tasks cut",
        )
        .await;
        log::info!("stopped");
    }
}

async fn wait(tasks: &TaskTracker, limit: Duration, problem: &str) {
    tasks.close();
    if tokio::time::timeout(limit, tasks.wait()).await.is_err() {
        log::warn!(left = tasks.len(); "{problem}");
    }
}

/// Names this start of the process; never used before.
fn process(settings: &Settings) -> HolderId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = since.unwrap_or_default().as_millis();
    let random = rand::rng().next_u32();
    format!("{}.{started:x}{random:08x}", settings.instance).into()
}

/// Binds an address and serves it until `stop`; then idle connections are closed, and the others
/// after their answers.
fn serve(
    address: SocketAddr,
    endpoint: impl Endpoint + 'static,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> anyhow::Result<SocketAddr> {
    let (acceptor, address) = acceptor(address)?;
    let stop = stop.clone();
    tasks.spawn(async move {
        let server = Server::new_with_acceptor(acceptor);
        let serving = server.run_with_graceful_shutdown(endpoint, stop.cancelled_owned(), None);
        if let Err(error) = serving.await {
            log::error!("server stopped: {error}");
        }
    });
    Ok(address)
}

fn readiness(clock: Clock, view: Arc<View>) -> impl Endpoint {
    let check = make_sync(move |_| match view.is_ready(clock.now()) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    });
    Route::new().at("/readyz", get(check.map_to_response()))
}

fn exposition(metrics: Arc<Metrics>) -> impl Endpoint {
    let text = make_sync(move |_| Response::builder().body(metrics.text()).into_response());
    Route::new().at("/metrics", get(text))
}

async fn sweep(pool: Arc<Pool>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => pool.sweep(),
        }
    }
}
