//! Incoming connections from other hosts.

use {
    crate::metrics::Metrics,
    anyhow::Context,
    futures_util::{SinkExt, StreamExt, stream::FuturesUnordered},
    marigoldroute_core::{
        id::HostId,
        wire::{Body, Codec, Frame, Keys, size},
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::net::{TcpListener, TcpStream},
    tokio_util::{codec::Framed, sync::CancellationToken, task::TaskTracker},
};

/// Largest number of messages of one connection that are handled at the same time.
const CONCURRENT_MESSAGES: usize = 256;

/// Handler of messages from other hosts.
pub(crate) trait Service: Send + Sync + 'static {
    /// Returns the answer to a message; `None` if it gets no answer.
    fn answer(&self, from: HostId, body: Body) -> impl Future<Output = Option<Body>> + Send;
}

/// Accepts connections from other hosts.
pub(crate) struct Listener {
    listener: TcpListener,
    own: HostId,
    keys: Keys,
    metrics: Arc<Metrics>,
}

impl Listener {
    /// Binds the address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        own: HostId,
        keys: Keys,
        metrics: Arc<Metrics>,
    ) -> anyhow::Result<Self> {
        let bound = TcpListener::bind(address).await;
        let listener = bound.with_context(|| format!("bind {address} for other hosts"))?;
        Ok(Self {
            listener,
            own,
            keys,
            metrics,
        })
    }

    pub(crate) fn address(&self) -> anyhow::Result<SocketAddr> {
        self.listener.local_addr().context("read the bound address")
    }

    /// Accepts connections until `stop`.
    pub(crate) async fn run(
        self,
        service: Arc<impl Service>,
        tasks: TaskTracker,
        stop: CancellationToken,
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            // Small frames must not wait for more data. Without the option calls are only slower,
            // so a failure is ignored.
            let _ = stream.set_nodelay(true);
            let connection = Connection {
                own: self.own.clone(),
                metrics: self.metrics.clone(),
                framed: Framed::new(stream, Codec::new(self.keys.clone())),
            };
            tasks.spawn(connection.run(service.clone(), stop.clone()));
        }
    }
}

struct Connection {
    own: HostId,
    metrics: Arc<Metrics>,
    framed: Framed<TcpStream, Codec>,
}

impl Connection {
    async fn run(mut self, service: Arc<impl Service>, stop: CancellationToken) {
        let mut answers = FuturesUnordered::new();
        loop {
            tokio::select! {
                Some(answer) = answers.next() => {
                    let Some(frame) = answer else { continue };
                    self.metrics.peer_sent.inc_by(size(&frame) as u64);
                    if self.framed.send(frame).await.is_err() {
                        return;
                    }
                }
                frame = self.framed.next(), if answers.len() < CONCURRENT_MESSAGES => {
                    let Some(frame) = frame else { return };
                    let Some(frame) = self.accept(frame) else { return };
                    answers.push(answer(service.clone(), frame));
                }
                () = stop.cancelled() => return,
            }
        }
    }

    /// Returns the frame if it is authentic and addressed to this host; otherwise counts it as
    /// refused.
    fn accept(&self, frame: Result<Frame, marigoldroute_core::wire::Fault>) -> Option<Frame> {
        match frame {
            Ok(frame) if frame.to == *self.own => {
                self.metrics.peer_received.inc_by(size(&frame) as u64);
                return Some(frame);
            }
            Ok(frame) => log::warn!("refused a frame for host {}", frame.to),
            Err(fault) => log::warn!("refused a frame: {fault}"),
        }
        self.metrics.refused_frames.inc();
        None
    }
}

async fn answer(service: Arc<impl Service>, frame: Frame) -> Option<Frame> {
    let body = service
        .answer(frame.from.as_str().into(), frame.body?)
        .await?;
    Some(Frame {
        from: frame.to,
        to: frame.from,
        correlation: frame.correlation,
        body: Some(body),
    })
}
