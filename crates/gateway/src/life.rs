//! Start and planned stop of a gateway process.

use {
    crate::{
        Clock,
        accept::{Registry, accept},
        body,
        dispatch::Dispatcher,
        drain::Drain,
        escrow::{Escrow, Reserver, Responder, Writer},
        frontend::Frontend,
        members::Membership,
        memory::Quota,
        metrics::Metrics,
        peers::Peers,
        permit::Permits,
        pool::Pool,
        probe,
        protocol::Protocol,
        quarantine::Quarantine,
        relief,
        request::Context,
        settings::Settings,
        store::Store,
        supervise::Supervisor,
        view::View,
        watch::Watcher,
    },
    marigoldroute_core::{admission::Admission, id::HolderId, route::Origin, throttle::Throttle},
    rand::RngCore,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time between two attempts to bind the address of the metrics.
const METRICS_BIND_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two removals of expired idle connections.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time for the connections of callers to close when their requests are cut.
const CUT_TIME: Duration = Duration::from_millis(50);

/// A running gateway. Dropping it does not stop the tasks.
pub struct Handle {
    addresses: Addresses,
    settings: Arc<Settings>,
    escrow: Arc<Escrow>,
    view: Arc<View>,
    dispatcher: Arc<Dispatcher>,
    drain: Arc<Drain>,
    /// Cancelled when the background tasks have to end.
    stop: CancellationToken,
    /// Connections of callers.
    connections: TaskTracker,
    /// Background tasks.
    tasks: TaskTracker,
}

/// Bound addresses, with the ports that the system chose for port 0.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address of the HTTP service for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check, `/readyz`.
    pub ready: SocketAddr,
}

/// Starts a gateway on the current Tokio runtime.
///
/// # Errors
/// When an address other than that of the metrics cannot be bound, or a metric cannot be registered.
pub fn start(
    settings: Settings,
    store: Arc<dyn Store>,
    protocol: Arc<dyn Protocol>,
) -> anyhow::Result<Handle> {
    let settings = Arc::new(settings);
    let clock = Clock::new();
    let metrics = Arc::new(Metrics::new()?);
    let view = Arc::new(View::new(settings.link.clone()));
    let process = new_process_id(&settings);
    let origin = Origin {
        host: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let throttle = Throttle::new(settings.instance.clone(), settings.view_term());
    let admission = Admission::new(settings.instance.clone(), throttle, settings.cold);
    let dispatcher = Arc::new(Dispatcher::new(
        clock,
        metrics.clone(),
        origin,
        settings.routing.clone(),
        settings.retries,
        admission,
    ));
    let escrow = Arc::new(Escrow::new(process.clone(), clock, &settings));
    let pool = Arc::new(Pool::new(clock, metrics.clone(), settings.connect_timeout));
    let quarantine = Arc::new(Quarantine::new(clock, metrics.clone()));
    let drain = Arc::new(Drain::new(clock, &settings));
    let stop = CancellationToken::new();
    let (connections, tasks) = (TaskTracker::new(), TaskTracker::new());
    let peers = match settings.listen_peers {
        Some(address) => Some(Arc::new(Peers::bind(
            address,
            process.clone(),
            dispatcher.clone(),
            quarantine.clone(),
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
        permits: Permits::new(dispatcher.clone(), peers.clone(), metrics.clone()),
        quarantine: quarantine.clone(),
        pool: pool.clone(),
        reserver: reserver.clone(),
        quota: Quota::new(settings.answer_memory),
        body_quota: body::Quota::new(settings.body_memory).with_stall(settings.body_stall),
        head_quota: Quota::new(settings.head_memory),
        registry: Arc::new(Registry::new(
            clock,
            metrics.clone(),
            settings.caller_connections,
        )),
        metrics: metrics.clone(),
        settings: settings.clone(),
        drain: drain.clone(),
    });
    let relief = context.clone();
    let callers = accept(
        settings.listen,
        Frontend(context),
        &connections,
        &drain.close,
    )?;
    let probes = settings.probe_connections;
    let ready = probe::serve(
        settings.listen_ready,
        probe::readiness(clock, view.clone()),
        probes,
        &tasks,
        &stop,
    )?;
    let supervisor = Supervisor {
        metrics: metrics.clone(),
        tasks: tasks.clone(),
        stop: stop.clone(),
    };
    if let Some(address) = settings.listen_metrics {
        let (metrics, tasks) = (metrics.clone(), tasks.clone());
        supervisor.start("metrics", move |stop| {
            serve_metrics(address, metrics.clone(), probes, tasks.clone(), stop)
        });
    }
    supervisor.start("relief", move |stop| relief::run(relief.clone(), stop));
    if let Some(peers) = peers.clone() {
        let responder = Responder::new(clock, escrow.clone(), view.clone(), tasks.clone());
        let responder = Arc::new(responder);
        let expiring = responder.clone();
        supervisor.start("responder", move |stop| expiring.clone().run(stop));
        supervisor.start("peers", move |stop| {
            peers.clone().run(responder.clone(), stop)
        });
    }
    let watcher = Watcher {
        clock,
        store: store.clone(),
        view: view.clone(),
        dispatcher: dispatcher.clone(),
        metrics: metrics.clone(),
        settings: settings.clone(),
    };
    let watchers = (watcher.clone(), watcher.clone());
    supervisor.start("configuration", move |stop| watchers.0.clone().orders(stop));
    supervisor.start("upstreams", move |stop| watchers.1.clone().upstreams(stop));
    supervisor.start("expiry", move |stop| watcher.clone().expire(stop));
    let membership = Membership {
        process: process.clone(),
        clock,
        store: store.clone(),
        view: view.clone(),
        dispatcher: dispatcher.clone(),
        quarantine,
        peers,
        reserver: reserver.clone(),
        metrics: metrics.clone(),
        settings: settings.clone(),
    };
    supervisor.start("members", move |stop| membership.clone().run(stop));
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
    supervisor.start("connections", move |stop| {
        expire_connections(pool.clone(), stop)
    });
    log::info!(host:% = settings.host, process:%, callers:%, ready:%; "started");
    Ok(Handle {
        addresses: Addresses { callers, ready },
        settings,
        escrow,
        view,
        dispatcher,
        drain,
        stop,
        connections,
        tasks,
    })
}

impl Handle {
    /// Returns the bound addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Performs a planned stop: reports not ready, accepts connections until the load balancer has
    /// taken the host out, lets requests finish, and returns unspent tokens.
    pub async fn stop(self) {
        log::info!("planned stop");
        self.drain.start();
        self.view.start_draining();
        self.escrow.require_write_ahead();
        // Requests that wait for a place look again whether there is time for them, now and when
        // less is taken.
        self.dispatcher.capacity_freed.notify_waiters();
        tokio::time::sleep(self.settings.deregistration_delay).await;
        self.drain.close.cancel();
        self.dispatcher.capacity_freed.notify_waiters();
        self.connections.close();
        let ended = tokio::time::timeout(self.drain.patience(), self.connections.wait()).await;
        if ended.is_err() {
            log::info!(left = self.connections.len(); "requests without a response end");
            self.drain.ending.cancel();
            let left = self.drain.time_left().unwrap_or_default();
            wait(&self.connections, left, "requests cut at the drain limit").await;
            self.drain.cut.cancel();
            wait(&self.connections, CUT_TIME, "connections not closed").await;
        }
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

/// Waits for tasks to end; logs the warning if some are left after `limit`.
async fn wait(tasks: &TaskTracker, limit: Duration, warning: &str) {
    tasks.close();
    if tokio::time::timeout(limit, tasks.wait()).await.is_err() {
        log::warn!(left = tasks.len(); "{warning}");
    }
}

/// Returns a unique id for this process: the instance, the start time in milliseconds and a random
/// number.
fn new_process_id(settings: &Settings) -> HolderId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = since.unwrap_or_default().as_millis();
    let random = rand::rng().next_u32();
    format!("{}.{started:x}{random:08x}", settings.instance).into()
}

/// Serves the metrics. While their address is taken, the rest of the process goes on without them.
async fn serve_metrics(
    address: SocketAddr,
    metrics: Arc<Metrics>,
    connections: usize,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    let exposition = || probe::exposition(metrics.clone());
    while let Err(error) = probe::serve(address, exposition(), connections, &tasks, &stop) {
        log::warn!("metrics not served: {error:#}");
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(METRICS_BIND_INTERVAL) => {}
        }
    }
}

/// Removes expired connections from the pool until `stop`.
async fn expire_connections(pool: Arc<Pool>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(EXPIRE_INTERVAL) => pool.remove_expired(),
        }
    }
}
