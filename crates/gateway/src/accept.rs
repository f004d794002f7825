//! Connections of callers.
//!
//! They are served by hyper directly: poem ends the body of a response as complete when its source
//! fails, so that a caller would take a truncated stream for a complete one.

mod body;
mod registry;
mod stream;
#[cfg(test)]
mod tests;

pub(crate) use registry::Registry;

use {
    self::{
        body::{Arriving, Outgoing},
        registry::Entry,
        stream::Watched,
    },
    crate::{
        frontend::{Answered, Frontend},
        listen::listen,
        pool::configure_socket,
        supervise::catch_panic,
        view::lock,
    },
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldroute_process::logs::REQUESTS,
    poem::http::Request,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        ops::RangeInclusive,
        pin::Pin,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Smallest and largest number of bytes that a connection reads ahead and writes behind. A head that
/// does not fit gets a response with status 431.
const BUFFER_BYTES: RangeInclusive<usize> = (32 << 10)..=(64 << 10);
/// Multiple of the largest head that a connection reads ahead, since a head may have spaces that do not
/// count toward its size.
const BUFFER_HEADS: usize = 2;
/// Smallest field of a head, with an empty value.
const FIELD_BYTES: usize = "a:\r\n".len();
/// Smallest limit on the number of fields, that of the HTTP library.
const LEAST_FIELDS: usize = 100;
/// Pause after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of waiting connections that are accepted at a stop, so that those that arrive in
/// the meantime cannot put it off; the kernel queues no more.
const BACKLOG_LIMIT: usize = 1_024;
/// Response to a head that is late; its request has not run.
const LATE_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Time between two checks of how long a connection has been idle or sends a head.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Reason to close a connection whose head does not arrive in time.
const LATE_HEAD_REASON: &str = "late head";
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
        let activity = Arc::new(Mutex::new(Activity::new(&frontend)));
        // Dropped, and thereby closed, when the host works for all other connections.
        let Some(entry) = frontend.0.registry.admit(activity.clone()) else {
            return true;
        };
        let is_full = frontend.0.registry.is_full();
        // A panic while a response is sent closes only this connection.
        connections.spawn(async move {
            let metrics = frontend.0.metrics.clone();
            catch_panic(
                &metrics,
                "connection",
                serve(stream, activity, entry, frontend, stop),
            )
            .await;
        });
        is_full
    };
    tasks.spawn(run(listener, start, stop.clone()));
    Ok(address)
}

/// Whether other tasks run before the next connection is accepted, so that connections that close for
/// others do so, and requests are read before their connections could close.
trait Pace {
    fn is_slow(&self) -> bool;
}

impl Pace for () {
    fn is_slow(&self) -> bool {
        false
    }
}

impl Pace for bool {
    fn is_slow(&self) -> bool {
        *self
    }
}

/// Accepts connections and starts each until `stop`; then starts those that are waiting.
async fn run<P: Pace>(
    listener: TcpListener,
    start: impl Fn(TcpStream) -> P,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if start(stream).is_slow() {
                    tokio::task::yield_now().await;
                }
            }
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
fn accept_backlog<P>(listener: TcpListener, start: impl Fn(TcpStream) -> P) -> io::Result<()> {
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
#[derive(Debug)]
pub(crate) struct Activity {
    running: usize,
    /// When the last request ended, or the connection was accepted.
    idle_since: Duration,
    /// Limit on the idle time that was in effect then, and by which the caller goes.
    idle_limit: Duration,
    /// Notified when a request has ended, or a response no longer waits for its caller.
    ended: Arc<Notify>,
    /// Notified when a response no longer waits for its caller.
    read: Arc<Notify>,
    /// The last response, which may not have been sent to its end; absent once the next request has
    /// begun.
    answered: Option<Answered>,
    /// When the first bytes of a head arrived that is incomplete.
    head_since: Option<Duration>,
    /// Whether the caller does not read what is to be written.
    is_write_blocked: bool,
    /// Since when there has always been something that the caller had not read.
    unread_since: Option<Duration>,
    /// Since when a body is arriving that is incomplete.
    body_since: Option<Duration>,
    /// Whether a request has been responded to.
    has_responded: bool,
}

impl Activity {
    fn new(frontend: &Frontend) -> Self {
        Self {
            running: 0,
            idle_since: frontend.0.clock.now(),
            idle_limit: idle_limit(frontend),
            ended: Arc::default(),
            read: Arc::default(),
            answered: None,
            head_since: None,
            is_write_blocked: false,
            unread_since: None,
            body_since: None,
            has_responded: false,
        }
    }

    /// Records that the connection is cut; a stream in progress has a line of its own.
    fn record_cut(&self) {
        let is_running = self.running > 0;
        let answered = self.answered.as_ref();
        let cut = answered.filter(|answered| !(answered.is_stream && is_running));
        if let Some(Answered { request, .. }) = cut {
            log::info!(target: REQUESTS, request:%, cause = "stop"; "connection cut");
        }
    }

    /// Records that bytes have arrived; without a request in progress, they belong to a head.
    fn record_bytes(&mut self, now: Duration) {
        if self.running == 0 {
            self.head_since.get_or_insert(now);
        }
    }

    /// Returns whether a head has been incomplete for too long. While responses wait for their
    /// caller, no head counts as late.
    fn is_head_late(&self, frontend: &Frontend) -> bool {
        let directory = frontend.0.view.directory().unwrap_or_default();
        let limit = directory.limits().header_timeout;
        let now = frontend.0.clock.now();
        let is_late = |since| now.saturating_sub(since) > limit;
        self.is_idle() && self.head_since.is_some_and(is_late)
    }

    /// Returns whether the connection has been idle for longer than any limit that its caller may
    /// go by.
    fn is_expired(&self, frontend: &Frontend) -> bool {
        let limit = self.idle_limit.max(idle_limit(frontend));
        let idle = frontend.0.clock.now().saturating_sub(self.idle_since);
        let has_head = self.head_since.is_some();
        self.is_idle() && !has_head && idle > limit.mul_f64(IDLE_FACTOR)
    }

    /// Returns whether no request is in progress and no response waits for its caller.
    fn is_idle(&self) -> bool {
        self.running == 0 && !self.is_write_blocked
    }

    /// Returns whether a request has been responded to.
    fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Returns since when a response has waited for its caller.
    fn unread_since(&self) -> Option<Duration> {
        self.unread_since
    }

    /// Returns since when the host has waited for the caller: for a request, the rest of its body, or
    /// that it reads its responses. `None` while the host works on a request.
    fn waiting_since(&self) -> Option<Duration> {
        let idle = (self.running == 0).then_some(self.idle_since);
        self.unread_since.or(self.body_since).or(idle)
    }

    /// Records that all has been written, as far as the kernel takes it.
    fn record_flush(&mut self) {
        self.unread_since = None;
    }

    /// Records whether a write waits for the caller.
    fn record_write(&mut self, is_blocked: bool, now: Duration) {
        if is_blocked {
            self.unread_since.get_or_insert(now);
        }
        let was_blocked = std::mem::replace(&mut self.is_write_blocked, is_blocked);
        if was_blocked && !is_blocked {
            self.read.notify_one();
            self.ended.notify_one();
        }
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
        let mut state = lock(activity);
        state.running += 1;
        state.head_since = None;
        state.answered = None;
        drop(state);
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
            read: activity.read.clone(),
            answered: activity.answered.take(),
            is_write_blocked: activity.is_write_blocked,
            unread_since: activity.unread_since,
            has_responded: true,
            ..Activity::new(&self.frontend)
        };
        activity.ended.notify_one();
    }
}

/// Serves the requests of a connection.
async fn serve(
    stream: TcpStream,
    activity: Arc<Mutex<Activity>>,
    entry: Entry,
    frontend: Frontend,
    stop: CancellationToken,
) {
    if let Err(error) = configure_socket(&stream) {
        log::debug!("connection lost before its first request: {error}");
        return;
    }
    let stream = Watched::new(stream, frontend.0.clock, activity.clone());
    let (watched, service_frontend) = (activity.clone(), frontend.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let running = Running::start(&activity, &service_frontend);
        let (frontend, activity) = (service_frontend.clone(), activity.clone());
        async move {
            // Otherwise responses without a body would pile up behind one that is not read.
            wait_until_read(&activity).await;
            let clock = frontend.0.clock;
            let request = request.map(|body| Arriving::new(body, clock, activity));
            let response = frontend.call(request).await;
            let answered = response.extensions().get().cloned();
            lock(&running.activity).answered = answered;
            Ok::<_, Infallible>(response.map(|body| Outgoing {
                body,
                _running: running,
            }))
        }
    });
    let head_limit = frontend.head_limit();
    let buffer = head_limit.saturating_mul(BUFFER_HEADS);
    let mut connection = http1::Builder::new()
        .max_buf_size(buffer.clamp(*BUFFER_BYTES.start(), *BUFFER_BYTES.end()))
        .max_headers((head_limit.min(*BUFFER_BYTES.end()) / FIELD_BYTES).max(LEAST_FIELDS))
        .serve_connection(TokioIo::new(stream), service);
    let mut is_closing = false;
    loop {
        let close_reason = tokio::select! {
            // A request that has arrived is read before the connection is closed.
            biased;
            () = entry.cut.cancelled() => return,
            result = &mut connection => {
                let Err(error) = result else {
                    return;
                };
                log::debug!("connection ended: {error}");
                if error.is_parse_too_large() {
                    connection.into_parts().io.into_inner().close(b"").await;
                }
                return;
            }
            () = frontend.0.drain.cut.cancelled() => {
                lock(&watched).record_cut();
                return;
            }
            () = idle_at_stop(&stop, &watched), if !is_closing => "stop",
            reason = overdue(&watched, &frontend, is_closing) => reason,
        };
        is_closing = true;
        let closed = &frontend.0.metrics.closed_connections;
        closed.with_label_values(&[close_reason]).inc();
        if close_reason == LATE_HEAD_REASON {
            connection
                .into_parts()
                .io
                .into_inner()
                .close(LATE_HEAD)
                .await;
            return;
        }
        Pin::new(&mut connection).graceful_shutdown();
    }
}

/// Waits until the caller has read the earlier responses of its connection.
async fn wait_until_read(activity: &Mutex<Activity>) {
    let read = lock(activity).read.clone();
    while lock(activity).is_write_blocked {
        read.notified().await;
    }
}

/// Waits until the connection has to be closed even after the runtime has seen which connections
/// have new bytes; returns why.
async fn overdue(
    activity: &Mutex<Activity>,
    frontend: &Frontend,
    is_closing: bool,
) -> &'static str {
    let check = || {
        let activity = lock(activity);
        if activity.is_head_late(frontend) {
            Some(LATE_HEAD_REASON)
        } else {
            let is_idle = !is_closing && activity.is_expired(frontend);
            is_idle.then_some("idle")
        }
    };
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        if check().is_some() {
            tokio::task::yield_now().await;
            if let Some(reason) = check() {
                return reason;
            }
        }
    }
}

/// Waits for the stop, and then until no request is in progress and no response waits for its
/// caller. A request that has been sent behind another is in progress as well, although a connection
/// that closes would not read it.
async fn idle_at_stop(stop: &CancellationToken, activity: &Mutex<Activity>) {
    stop.cancelled().await;
    let ended = lock(activity).ended.clone();
    loop {
        // Lets the runtime see which connections have new bytes, and this one read them.
        tokio::task::yield_now().await;
        if lock(activity).is_idle() {
            return;
        }
        ended.notified().await;
    }
}
