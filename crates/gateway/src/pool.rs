//! Connections to upstreams.
//!
//! A connection carries one request at a time and is reused only after a complete response that
//! belonged to its request. The gateway has its own pool because general HTTP clients do not report
//! whether a request was written, and do not close a connection with an unsolicited response.

use {
    crate::{
        Clock,
        body::Outgoing,
        metrics::Metrics,
        upload::{Tracked, Upload},
        view::lock,
    },
    derive_more::{Display, Error},
    hyper::{
        body::{Body, Incoming},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    marigoldroute_core::id::UpstreamId,
    poem::http::{Request, Response},
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::TcpStream, task::AbortHandle},
};

/// Idle timeout when the upstream states none, as it does when its own is below one second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Margin to the timeout that the upstream states, so that no request is sent while the upstream
/// closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Longest idle timeout.
const IDLE_TIMEOUT_LIMIT: Duration = Duration::from_secs(30);
/// Largest head of a response, and bytes read ahead of its body. Heads of healthy upstreams take
/// less than a kilobyte.
pub(crate) const READ_BUFFER_BYTES: usize = 32 << 10;
/// Idle connections kept for one upstream.
const IDLE_LIMIT_PER_UPSTREAM: usize = 16;
/// Idle time after which the kernel probes a connection, and time between its probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Why sending a request failed.
#[derive(Debug, Display, Error)]
pub(crate) enum SendError {
    /// Nothing was written, so another connection may be tried.
    #[display("nothing was sent: {reason}")]
    Unsent {
        /// Error of the connection.
        reason: String,
    },
    /// The request may have reached the upstream.
    #[display("{reason}")]
    MaybeSent {
        /// Error of the connection.
        reason: String,
    },
}

/// An open connection; dropping it closes it, which cancels the request that runs there.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Outgoing>,
    driver: AbortHandle,
    upload: Arc<Upload>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`], by whether the request may have been written.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Outgoing>,
    ) -> Result<Response<Incoming>, SendError> {
        self.upload.begin(request.body().is_end_stream());
        request.body_mut().track(self.upload.clone());
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::Unsent {
                reason: error.to_string(),
            });
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let reason = error.error().to_string();
                Err(match error.take_message() {
                    Some(_) => SendError::Unsent { reason },
                    None => SendError::MaybeSent { reason },
                })
            }
        }
    }

    /// Returns whether the last request has been written to its end.
    pub(crate) fn has_written(&self) -> bool {
        self.upload.is_written()
    }
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    address: SocketAddr,
    /// When its idle timeout ends.
    expires_at: Duration,
}

/// Idle connections by upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    metrics: Arc<Metrics>,
    connect_timeout: Duration,
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
}

impl Pool {
    pub(crate) fn new(clock: Clock, metrics: Arc<Metrics>, connect_timeout: Duration) -> Self {
        let idle = Mutex::default();
        Self {
            clock,
            metrics,
            connect_timeout,
            idle,
        }
    }

    /// Takes the most recently used idle connection.
    pub(crate) fn take(&self, upstream: &UpstreamId, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(upstream)?;
        list.retain(|idle| {
            idle.address == address && now < idle.expires_at && !idle.connection.sender.is_closed()
        });
        let found = list.pop().map(|idle| idle.connection);
        if list.is_empty() {
            idle.remove(upstream);
        }
        found
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// When the upstream does not accept it within the connect timeout.
    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        self.metrics
            .connections
            .with_label_values(&["opened"])
            .inc();
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout, connect).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_socket(&stream)?;
        let upload = Arc::new(Upload::default());
        let mut builder = http1::Builder::new();
        let handshake = builder
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(Tracked::new(stream, upload.clone())))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The request that the connection carries reports the error.
            let _ = connection.await;
        });
        let driver = driver.abort_handle();
        Ok(Connection {
            sender,
            driver,
            upload,
        })
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is the idle timeout
    /// that the upstream states.
    pub(crate) fn put(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let stated = keep_alive.map(|time| {
            time.saturating_sub(IDLE_TIMEOUT_MARGIN)
                .min(IDLE_TIMEOUT_LIMIT)
        });
        let expires_at = self.clock.now() + stated.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let mut idle = lock(&self.idle);
        let list = idle.entry(upstream.clone()).or_default();
        if list.len() < IDLE_LIMIT_PER_UPSTREAM {
            list.push(Idle {
                connection,
                address,
                expires_at,
            });
        }
    }

    /// Closes connections whose idle timeout has ended.
    pub(crate) fn remove_expired(&self) {
        let now = self.clock.now();
        lock(&self.idle).retain(|_, list| {
            list.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}

/// Disables Nagle's algorithm and enables TCP keepalive, by which the kernel detects a dead peer.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))
}
