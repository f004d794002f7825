//! Outgoing connections to other hosts.

use {
    crate::metrics::Metrics,
    derive_more::{Display, Error},
    futures_util::{SinkExt, StreamExt},
    marigoldroute_core::{
        id::HostId,
        wire::{Body, Codec, Frame, Keys, size},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        time::timeout,
    },
    tokio_util::{codec::Framed, task::TaskTracker},
};

/// Capacity of the queue of calls of one connection; further calls fail.
const QUEUE_CALLS: usize = 1_024;

/// The other host did not answer; it may have received the message.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the host did not answer")]
pub(crate) struct Unanswered;

struct Call {
    body: Body,
    reply: oneshot::Sender<Body>,
}

struct Link {
    address: SocketAddr,
    calls: mpsc::Sender<Call>,
}

/// Connections to other hosts, opened on demand and multiplexed.
pub(crate) struct Links {
    own: HostId,
    keys: Keys,
    timeout: Duration,
    metrics: Arc<Metrics>,
    links: Mutex<HashMap<HostId, Link>>,
    tasks: TaskTracker,
}

impl Links {
    pub(crate) fn new(
        own: HostId,
        keys: Keys,
        timeout: Duration,
        metrics: Arc<Metrics>,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            own,
            keys,
            timeout,
            metrics,
            links: Mutex::default(),
            tasks,
        }
    }

    /// Sends a message and waits for the answer, up to the peer timeout.
    pub(crate) async fn call(
        &self,
        host: &HostId,
        address: SocketAddr,
        body: Body,
    ) -> Result<Body, Unanswered> {
        self.call_within(host, address, body, self.timeout).await
    }

    /// Sends a message and waits for the answer, up to `limit`.
    pub(crate) async fn call_within(
        &self,
        host: &HostId,
        address: SocketAddr,
        body: Body,
        limit: Duration,
    ) -> Result<Body, Unanswered> {
        let (reply, answer) = oneshot::channel();
        let calls = self.open(host, address);
        calls
            .try_send(Call { body, reply })
            .map_err(|_| Unanswered)?;
        let answer = timeout(limit, answer).await;
        answer.map_err(|_| Unanswered)?.map_err(|_| Unanswered)
    }

    /// Closes connections to hosts that are no longer listed.
    pub(crate) fn retain(&self, listed: impl Fn(&HostId) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|host, _| listed(host));
    }

    fn open(&self, host: &HostId, address: SocketAddr) -> mpsc::Sender<Call> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(host)
            && link.address == address
            && !link.calls.is_closed()
        {
            return link.calls.clone();
        }
        let (sender, calls) = mpsc::channel(QUEUE_CALLS);
        let task = Task {
            own: self.own.clone(),
            host: host.clone(),
            address,
            keys: self.keys.clone(),
            timeout: self.timeout,
            metrics: self.metrics.clone(),
        };
        self.tasks.spawn(task.run(calls));
        let calls = sender.clone();
        links.insert(host.clone(), Link { address, calls });
        sender
    }
}

/// The task that owns one connection.
struct Task {
    own: HostId,
    host: HostId,
    address: SocketAddr,
    keys: Keys,
    timeout: Duration,
    metrics: Arc<Metrics>,
}

impl Task {
    /// Serves calls until every sender is dropped; after a failure the next call reconnects.
    async fn run(self, mut calls: mpsc::Receiver<Call>) {
        while let Some(call) = calls.recv().await {
            let connect = timeout(self.timeout, TcpStream::connect(self.address));
            let Ok(Ok(stream)) = connect.await else {
                continue;
            };
            // Small frames must not wait for more data. Without the option calls are only slower,
            // so a failure is ignored.
            let _ = stream.set_nodelay(true);
            let framed = Framed::new(stream, Codec::new(self.keys.clone()));
            self.serve(framed, call, &mut calls).await;
        }
    }

    async fn serve(
        &self,
        mut framed: Framed<TcpStream, Codec>,
        first: Call,
        calls: &mut mpsc::Receiver<Call>,
    ) {
        let mut open = HashMap::new();
        let mut correlation = 0;
        let mut next = Some(first);
        loop {
            if let Some(call) = next.take() {
                open.retain(|_, reply: &mut oneshot::Sender<Body>| !reply.is_closed());
                correlation += 1;
                open.insert(correlation, call.reply);
                let frame = self.frame(correlation, call.body);
                self.metrics.peer_sent.inc_by(size(&frame) as u64);
                if framed.send(frame).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => next = Some(call),
                    None => return,
                },
                frame = framed.next() => {
                    let Some(Ok(frame)) = frame else { return };
                    self.metrics.peer_received.inc_by(size(&frame) as u64);
                    if let Some(reply) = open.remove(&frame.correlation)
                        && frame.to == *self.own
                        && let Some(body) = frame.body
                    {
                        // The caller may no longer wait.
                        let _ = reply.send(body);
                    }
                }
            }
        }
    }

    fn frame(&self, correlation: u64, body: Body) -> Frame {
        Frame {
            from: self.own.to_string(),
            to: self.host.to_string(),
            correlation,
            body: Some(body),
        }
    }
}
