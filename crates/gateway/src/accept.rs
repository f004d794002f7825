//! Connections of callers.
//!
//! They are served by hyper directly: poem ends the body of a response as complete when its source
//! fails, so that a caller would take a truncated stream for a complete one.

use {
    crate::{
        Clock, frontend::Frontend, listen::listen, pool::configure_socket, supervise::catch_panic,
        view::lock,
    },
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    poem::http::Request,
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two checks of how long a connection has been idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Multiple of the idle limit after which a connection is closed, so that a request sent right at
/// the limit does not arrive while the connection closes.
const IDLE_FACTOR: f64 = 1.3;

/// Binds an address and serves callers there until `stop`; then closes idle connections at once,
/// and the others after their responses.
pub(crate) fn accept(
    address: SocketAddr,
    frontend: Frontend,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> anyhow::Result<SocketAddr> {
    let (listener, address) = listen(address)?;
    tasks.spawn(run(listener, frontend, tasks.clone(), stop.clone()));
    Ok(address)
}

async fn run(
    listener: TcpListener,
    frontend: Frontend,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // A panic while a response is sent closes only this connection.
                let (frontend, stop) = (frontend.clone(), stop.clone());
                tasks.spawn(async move {
                    let metrics = frontend.0.metrics.clone();
                    catch_panic(&metrics, "connection", serve(stream, frontend, stop)).await;
                });
            }
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Requests in progress on a connection.
struct Activity {
    running: usize,
    /// When the last request ended, or the connection was accepted.
    idle_since: Duration,
}

/// A request in progress, until its response has been handed to hyper or the request was cancelled.
struct Running {
    activity: Arc<Mutex<Activity>>,
    clock: Clock,
}

impl Running {
    fn start(activity: &Arc<Mutex<Activity>>, clock: Clock) -> Self {
        lock(activity).running += 1;
        let activity = activity.clone();
        Self { activity, clock }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut activity = lock(&self.activity);
        activity.running -= 1;
        activity.idle_since = self.clock.now();
    }
}

/// Serves the requests of a connection.
async fn serve(stream: TcpStream, frontend: Frontend, stop: CancellationToken) {
    if let Err(error) = configure_socket(&stream) {
        log::debug!("connection lost before its first request: {error}");
        return;
    }
    let clock = frontend.0.clock;
    let activity = Activity {
        running: 0,
        idle_since: clock.now(),
    };
    let activity = Arc::new(Mutex::new(activity));
    let (watched, limits) = (activity.clone(), frontend.clone());
    let closed = frontend.0.metrics.closed_connections.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let running = Running::start(&activity, clock);
        let frontend = frontend.clone();
        async move {
            let response = frontend.call(request).await;
            drop(running);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("connection ended: {error}");
                }
                return;
            }
            () = stop.cancelled(), if !is_closing => {
                is_closing = true;
                closed.with_label_values(&["stop"]).inc();
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL), if !is_closing => {
                let limit = limits.0.view.directory().unwrap_or_default().limits().idle_timeout;
                let activity = lock(&watched);
                let idle = clock.now().saturating_sub(activity.idle_since);
                if activity.running == 0 && idle > limit.mul_f64(IDLE_FACTOR) {
                    is_closing = true;
                    closed.with_label_values(&["idle"]).inc();
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
