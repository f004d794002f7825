//! Connections to upstreams.
//!
//! A connection carries one request at a time and is used again only after a complete answer that
//! belonged to its request. The pool is the gateway's own because a general client does not say
//! whether a request was written, and does not let go of a connection with a stray answer.

use {
    crate::{Clock, metrics::Metrics, view::lock},
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::Full,
    hyper::{
        body::Incoming,
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

/// Time for which an idle connection is kept when the upstream does not state its own. Timeouts
/// below a second are not stated.
const KEPT: Duration = Duration::from_millis(400);
/// Margin to the upstream's own timeout, so that a request does not cross its close.
const MARGIN: Duration = Duration::from_millis(700);
/// Longest time for which an idle connection is kept.
const KEPT_LIMIT: Duration = Duration::from_secs(30);
/// Largest head of an answer, and bytes read ahead of its body. Heads of sound upstreams take less than
/// a kilobyte.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Idle connections kept for one upstream.
const IDLE_LIMIT: usize = 16;
/// Silence after which the kernel probes a connection, and time between its probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection has failed.
const KEEPALIVE_PROBES: u32 = 2;

/// Why a request got no answer.
#[derive(Debug, Display, Error)]
pub(crate) enum Broken {
    /// Nothing was written.
    #[display("nothing was sent: {reason}")]
    Unsent {
        /// What went wrong.
        reason: String,
    },
    /// The request may have arrived.
    #[display("{reason}")]
    Sent {
        /// What went wrong.
        reason: String,
    },
}

/// An open connection; dropping it closes it, and with it what runs there.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`Broken`].
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Broken> {
        if let Err(error) = self.sender.ready().await {
            return Err(Broken::Unsent {
                reason: error.to_string(),
            });
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let reason = error.error().to_string();
                Err(match error.take_message() {
                    Some(_) => Broken::Unsent { reason },
                    None => Broken::Sent { reason },
                })
            }
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    address: SocketAddr,
    until: Duration,
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

    /// Returns an idle connection, the one used last.
    pub(crate) fn take(&self, upstream: &UpstreamId, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(upstream)?;
        list.retain(|idle| {
            idle.address == address && now < idle.until && !idle.connection.sender.is_closed()
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
    /// When the upstream does not accept it in time.
    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        self.metrics
            .connections
            .with_label_values(&["opened"])
            .inc();
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout, connect).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        watch_silence(&stream)?;
        let mut builder = http1::Builder::new();
        let handshake = builder
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The error reaches the request that the connection carries.
            let _ = connection.await;
        });
        let driver = driver.abort_handle();
        Ok(Connection { sender, driver })
    }

    /// Keeps a connection whose answer is complete.
    pub(crate) fn put(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let stated = keep_alive.map(|time| time.saturating_sub(MARGIN).min(KEPT_LIMIT));
        let until = self.clock.now() + stated.unwrap_or(KEPT);
        let mut idle = lock(&self.idle);
        let list = idle.entry(upstream.clone()).or_default();
        if list.len() < IDLE_LIMIT {
            list.push(Idle {
                connection,
                address,
                until,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        lock(&self.idle).retain(|_, list| {
            list.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}

/// Makes the kernel notice a peer that has gone silent for good.
pub(crate) fn watch_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))
}
