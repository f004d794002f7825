//! Messages between hosts, as datagrams.
//!
//! Each datagram is one frame, authenticated with the fleet's key. A call is repeated until it is
//! answered, so whoever answers has to expect repetitions.

use {
    crate::{dispatch::Dispatcher, escrow::Responder, view::lock},
    anyhow::Context,
    bytes::BytesMut,
    marigoldroute_core::{
        id::{HolderId, HostId},
        wire::{Body, Codec, Frame, Keys, Pending, Prompts, Refusal},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::mpsc, time::Instant},
    tokio_util::{
        codec::{Decoder, Encoder},
        sync::CancellationToken,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Time for which changes of pending prompts are collected into one datagram.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// Time after which pending prompts are confirmed; receivers forget them after a second.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Largest datagram in bytes, below the usual size of a packet.
const DATAGRAM_BYTES: usize = 1_400;
/// Upstreams in one datagram.
const DATAGRAM_UPSTREAMS: usize = 24;
/// Other hosts up to which hosts tell one another of pending prompts. A larger fleet spreads an
/// engine's load over so many hosts that the part of each matters little.
const TOLD_LIMIT: usize = 16;
/// Time after which a call without an answer is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Time without any answer after which a host counts as silent. A host whose share of a core is used
/// up stands still for up to 100 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(180);
/// Answers to one call that wait to be read.
const ANSWERS: usize = 4;

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Called {
    /// The final answer.
    Answered(Body),
    /// The host has said that an answer follows; it did not within the limit.
    Waiting,
    /// There was no answer.
    Silent,
}

/// Where a host is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Endpoint {
    /// Its process; a later one at the same address refuses the frames.
    pub(crate) process: HolderId,
    /// Address.
    pub(crate) address: SocketAddr,
}

/// The exchange with the other hosts.
pub(crate) struct Peers {
    socket: UdpSocket,
    process: HolderId,
    dispatcher: Arc<Dispatcher>,
    /// Absent until they were read from the store.
    keys: Mutex<Option<Keys>>,
    endpoints: Mutex<HashMap<HostId, Endpoint>>,
    next: AtomicU64,
    calls: Mutex<HashMap<u64, mpsc::Sender<Body>>>,
}

impl Peers {
    /// Binds the address at which other hosts are heard.
    pub(crate) fn bind(
        address: SocketAddr,
        process: HolderId,
        dispatcher: Arc<Dispatcher>,
    ) -> anyhow::Result<Self> {
        let socket = std::net::UdpSocket::bind(address);
        let socket = socket.with_context(|| format!("bind {address} for other hosts"))?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            process,
            dispatcher,
            keys: Mutex::default(),
            endpoints: Mutex::default(),
            next: AtomicU64::default(),
            calls: Mutex::default(),
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns whether frames can be sent and read.
    pub(crate) fn has_keys(&self) -> bool {
        lock(&self.keys).is_some()
    }

    /// Sets the key of the fleet.
    pub(crate) fn set_key(&self, key: &str) {
        *lock(&self.keys) = Some(Keys::new(vec![key.as_bytes().into()]));
    }

    /// Sets the other hosts.
    pub(crate) fn set_endpoints(&self, endpoints: HashMap<HostId, Endpoint>) {
        *lock(&self.endpoints) = endpoints;
    }

    /// Tells, hears and answers until `stop`.
    pub(crate) async fn run(self: Arc<Self>, responder: Arc<Responder>, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.tell() => {}
            () = self.listen(&responder) => {}
        }
    }

    /// Sends a message to a host until it answers. Once the host has said that its answer follows,
    /// waits for it up to `limit` from now.
    pub(crate) async fn call(&self, host: &HostId, body: Body, limit: Duration) -> Called {
        let Some(endpoint) = lock(&self.endpoints).get(host).cloned() else {
            return Called::Silent;
        };
        let correlation = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, mut answers) = mpsc::channel(ANSWERS);
        lock(&self.calls).insert(correlation, sender);
        let called = self
            .repeat(&endpoint, correlation, &body, limit, &mut answers)
            .await;
        lock(&self.calls).remove(&correlation);
        called
    }

    async fn repeat(
        &self,
        endpoint: &Endpoint,
        correlation: u64,
        body: &Body,
        limit: Duration,
        answers: &mut mpsc::Receiver<Body>,
    ) -> Called {
        let start = Instant::now();
        let mut heard = None;
        loop {
            self.send(endpoint, correlation, body.clone()).await;
            let repeat_at = Instant::now() + REPEAT_INTERVAL;
            // A notice does not cause a repetition before its time: the holder would answer that with
            // another notice at once.
            while let Ok(answer) = tokio::time::timeout_at(repeat_at, answers.recv()).await {
                match answer {
                    Some(answer) if is_waiting(&answer) => {
                        heard = Some(Instant::now());
                        if start.elapsed() >= limit {
                            return Called::Waiting;
                        }
                    }
                    Some(answer) => return Called::Answered(answer),
                    None => return Called::Silent,
                }
            }
            if heard.is_some() && start.elapsed() >= limit {
                return Called::Waiting;
            }
            if heard.unwrap_or(start).elapsed() >= SILENCE_LIMIT {
                return Called::Silent;
            }
        }
    }

    async fn send(&self, endpoint: &Endpoint, correlation: u64, body: Body) {
        self.send_frame(endpoint.address, &endpoint.process, correlation, body)
            .await;
    }

    async fn send_frame(&self, address: SocketAddr, to: &str, correlation: u64, body: Body) {
        if let Some(bytes) = self.encode(to, correlation, body) {
            self.send_bytes(address, &bytes).await;
        }
    }

    /// Returns a datagram; `None` while the fleet's key is not known.
    fn encode(&self, to: &str, correlation: u64, body: Body) -> Option<BytesMut> {
        let frame = Frame {
            from: self.process.to_string(),
            to: to.to_owned(),
            correlation,
            body: Some(body),
        };
        let keys = lock(&self.keys).clone()?;
        let mut bytes = BytesMut::new();
        match Codec::new(keys).encode(frame, &mut bytes) {
            Ok(()) => Some(bytes),
            Err(error) => {
                log::error!("datagram not encoded: {error}");
                None
            }
        }
    }

    async fn send_bytes(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.send_to(bytes, address).await {
            log::debug!("datagram not sent to {address}: {error}");
        }
    }

    async fn tell(&self) {
        loop {
            let is_news = tokio::select! {
                () = self.dispatcher.pending_changed.notified() => true,
                () = tokio::time::sleep(CONFIRM_INTERVAL) => false,
            };
            if is_news {
                tokio::time::sleep(BATCH_TIME).await;
            }
            let pending = self.dispatcher.take_pending_changes(!is_news);
            for part in pending.chunks(DATAGRAM_UPSTREAMS) {
                self.tell_pending(part).await;
            }
        }
    }

    async fn tell_pending(&self, pending: &[(Arc<str>, u32)]) {
        let upstreams = pending.iter().map(|(upstream, tokens)| Prompts {
            upstream: upstream.to_string(),
            tokens: *tokens,
        });
        let body = Body::Pending(Pending {
            upstreams: upstreams.collect(),
        });
        let endpoints = lock(&self.endpoints).clone();
        if endpoints.len() > TOLD_LIMIT {
            return;
        }
        if let Some(bytes) = self.encode("", 0, body) {
            for endpoint in endpoints.values() {
                self.send_bytes(endpoint.address, &bytes).await;
            }
        }
    }

    async fn listen(self: &Arc<Self>, responder: &Arc<Responder>) {
        let mut buffer = [0; DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.read(&buffer[..length], from, responder),
                Err(error) => {
                    log::debug!("no datagram read: {error}");
                    tokio::time::sleep(CONFIRM_INTERVAL).await;
                }
            }
        }
    }

    fn read(self: &Arc<Self>, bytes: &[u8], address: SocketAddr, responder: &Arc<Responder>) {
        let Some(keys) = lock(&self.keys).clone() else {
            return;
        };
        let frame = match Codec::new(keys).decode(&mut BytesMut::from(bytes)) {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(error) => {
                log::debug!("datagram of {address} not accepted: {error}");
                return;
            }
        };
        let is_own = *frame.from == *self.process;
        let is_for_us = frame.to.is_empty() || *frame.to == *self.process;
        if let Some(body) = frame.body.filter(|_| is_for_us && !is_own) {
            self.take(body, frame.correlation, (address, &frame.from), responder);
        }
    }

    fn take(
        self: &Arc<Self>,
        body: Body,
        correlation: u64,
        (address, from): (SocketAddr, &str),
        responder: &Arc<Responder>,
    ) {
        match body {
            Body::Pending(pending) => {
                let host = xxh3_64(from.as_bytes());
                for prompts in pending.upstreams {
                    self.dispatcher
                        .record_remote_pending(host, &prompts.upstream, prompts.tokens);
                }
            }
            answer @ (Body::Reply(_) | Body::Settled(_)) => {
                let call = lock(&self.calls).get(&correlation).cloned();
                // A repeated answer may come when the call has ended or has enough of them.
                let _ = call.map(|call| call.try_send(answer));
            }
            question => {
                let (peers, from) = (self.clone(), from.to_owned());
                let answer = move |body| {
                    let (peers, from) = (peers.clone(), from.clone());
                    async move { peers.send_frame(address, &from, correlation, body).await }
                };
                responder.clone().answer(question, answer);
            }
        }
    }
}

fn is_waiting(answer: &Body) -> bool {
    matches!(answer, Body::Reply(reply) if reply.refusal() == Refusal::Waiting)
}
