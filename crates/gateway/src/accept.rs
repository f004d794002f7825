//! Connections of callers.
//!
//! They are served by hyper directly: poem ends the body of a response as complete when its source
//! fails, so that a caller would take a truncated stream for a complete one.

#[cfg(test)]
mod tests;

use {
    crate::{
        frontend::{Body, Frontend},
        listen::listen,
        pool::configure_socket,
        supervise::catch_panic,
        view::lock,
    },
    bytes::Bytes,
    hyper::{
        body::{Frame, Incoming, SizeHint},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    marigoldroute_core::id::RequestId,
    marigoldroute_process::logs::REQUESTS,
    poem::http::Request,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Bytes that a connection reads ahead and writes behind. A head that does not fit gets a response
/// with status 431.
const BUFFER_BYTES: usize = 64 << 10;
/// Pause after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of waiting connections that are accepted at a stop, so that those that arrive in
/// the meantime cannot put it off; the kernel queues no more.
const BACKLOG_LIMIT: usize = 1_024;
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
    let (connections, closing) = (tasks.clone(), stop.clone());
    let start = move |stream| {
        let (frontend, stop) = (frontend.clone(), closing.clone());
        // A panic while a response is sent closes only this connection.
        connections.spawn(async move {
            let metrics = frontend.0.metrics.clone();
            catch_panic(&metrics, "connection", serve(stream, frontend, stop)).await;
        });
    };
    tasks.spawn(run(listener, start, stop.clone()));
    Ok(address)
}

/// Accepts connections and starts each until `stop`; then starts those that are waiting.
async fn run(listener: TcpListener, start: impl Fn(TcpStream), stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(error) = accept_backlog(listener, start) {
        log::warn!("connections not accepted before the stop: {error}");
    }
}

/// Starts the connections that are established but not accepted yet, which closing the listener
/// would reset.
fn accept_backlog(listener: TcpListener, start: impl Fn(TcpStream)) -> io::Result<()> {
    // The runtime may not have seen yet that there are connections.
    let listener = listener.into_std()?;
    for _ in 0..BACKLOG_LIMIT {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                start(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Requests in progress on a connection.
struct Activity {
    running: usize,
    /// When the last request ended, or the connection was accepted.
    idle_since: Duration,
    /// Limit on the idle time that was in effect then, and by which the caller goes.
    idle_limit: Duration,
    /// Notified when a request has ended.
    ended: Arc<Notify>,
    /// Request of the last response, which may not have been sent to its end.
    answered: Option<RequestId>,
}

impl Activity {
    fn new(frontend: &Frontend) -> Self {
        Self {
            running: 0,
            idle_since: frontend.0.clock.now(),
            idle_limit: idle_limit(frontend),
            ended: Arc::default(),
            answered: None,
        }
    }

    /// Records that the connection is cut; a request in progress has a line of its own.
    fn record_cut(&self) {
        if let Some(request) = self.answered.as_ref().filter(|_| self.running == 0) {
            log::info!(target: REQUESTS, request:%, cause = "stop"; "connection cut");
        }
    }

    /// Returns whether the connection has been idle for longer than any limit that its caller may
    /// go by.
    fn is_expired(&self, frontend: &Frontend) -> bool {
        let limit = self.idle_limit.max(idle_limit(frontend));
        let idle = frontend.0.clock.now().saturating_sub(self.idle_since);
        self.running == 0 && idle > limit.mul_f64(IDLE_FACTOR)
    }
}

/// Returns the limit on the idle time of callers' connections by the configuration in effect.
fn idle_limit(frontend: &Frontend) -> Duration {
    let directory = frontend.0.view.directory().unwrap_or_default();
    directory.limits().idle_timeout
}

/// A request in progress, until its response has been sent or it was cancelled.
struct Running {
    activity: Arc<Mutex<Activity>>,
    frontend: Frontend,
}

impl Running {
    fn start(activity: &Arc<Mutex<Activity>>, frontend: &Frontend) -> Self {
        lock(activity).running += 1;
        let (activity, frontend) = (activity.clone(), frontend.clone());
        Self { activity, frontend }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut activity = lock(&self.activity);
        *activity = Activity {
            running: activity.running - 1,
            ended: activity.ended.clone(),
            answered: activity.answered.take(),
            ..Activity::new(&self.frontend)
        };
        activity.ended.notify_one();
    }
}

/// Body of a response whose request is in progress until the body has been sent.
struct RunningBody {
    body: Body,
    _running: Running,
}

impl hyper::body::Body for RunningBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves the requests of a connection.
async fn serve(stream: TcpStream, frontend: Frontend, stop: CancellationToken) {
    if let Err(error) = configure_socket(&stream) {
        log::debug!("connection lost before its first request: {error}");
        return;
    }
    let activity = Arc::new(Mutex::new(Activity::new(&frontend)));
    let (watched, service_frontend) = (activity.clone(), frontend.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let running = Running::start(&activity, &service_frontend);
        let frontend = service_frontend.clone();
        async move {
            let response = frontend.call(request).await;
            let answered = response.extensions().get().cloned();
            lock(&running.activity).answered = answered;
            Ok::<_, Infallible>(response.map(|body| RunningBody {
                body,
                _running: running,
            }))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_closing = false;
    loop {
        let close_reason = tokio::select! {
            // A request that has arrived is read before the connection is closed.
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("connection ended: {error}");
                }
                return;
            }
            () = frontend.0.drain.cut.cancelled() => {
                lock(&watched).record_cut();
                return;
            }
            () = idle_at_stop(&stop, &watched), if !is_closing => "stop",
            () = expired(&watched, &frontend), if !is_closing => "idle",
        };
        is_closing = true;
        let closed = &frontend.0.metrics.closed_connections;
        closed.with_label_values(&[close_reason]).inc();
        connection.as_mut().graceful_shutdown();
    }
}

/// Waits until the connection has been idle for too long even after the runtime has seen which
/// connections have new bytes.
async fn expired(activity: &Mutex<Activity>, frontend: &Frontend) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        if lock(activity).is_expired(frontend) {
            tokio::task::yield_now().await;
            if lock(activity).is_expired(frontend) {
                return;
            }
        }
    }
}

/// Waits for the stop, and then until no request is in progress. One that has been sent behind
/// another is in progress as well, although a connection that closes would not read it.
async fn idle_at_stop(stop: &CancellationToken, activity: &Mutex<Activity>) {
    stop.cancelled().await;
    let ended = lock(activity).ended.clone();
    loop {
        // Lets the runtime see which connections have new bytes, and this one read them.
        tokio::task::yield_now().await;
        if lock(activity).running == 0 {
            return;
        }
        ended.notified().await;
    }
}
