//! Messages between hosts, sent as UDP datagrams.
//!
//! Each datagram is one frame, authenticated with the fleet's key. A call is sent again until it is
//! answered, so the receiver has to handle repetitions.

mod list;
mod outcomes;
mod parts;
#[cfg(test)]
mod tests;

use {
    crate::{
        dispatch::Dispatcher, escrow::Responder, feed::Feed, quarantine::Quarantine, view::lock,
    },
    anyhow::Context,
    bytes::BytesMut,
    marigoldroute_core::{
        id::{HolderId, HostId},
        wire::{Acquire, Acquired, Body, Codec, Frame, Keys, Pending, Prompts, Rates, Refusal},
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

/// Time during which changes of pending prompts are collected into one datagram.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// Time without a change after which all pending prompts are sent again; receivers drop them after
/// a second. Also the pause after a failed read of the socket.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Size limit of a datagram in bytes, below the usual MTU.
const DATAGRAM_BYTES: usize = 1_400;
/// Limit of upstreams in a datagram.
const DATAGRAM_UPSTREAMS: usize = 24;
/// Largest number of other hosts to which pending prompts are sent. In a larger fleet, each host
/// contributes too little to the load of an engine to matter.
const BROADCAST_PEER_LIMIT: usize = 16;
/// Pause between two publications of rates for each host that receives them.
const PUBLISH_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a call without an answer is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Time without an answer or notice after which a call fails. A host that is throttled by its CPU
/// quota stops for up to 100 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(180);
/// Capacity of the queue of answers to a call.
const ANSWER_QUEUE_LEN: usize = 4;

/// Outcome of a call to another host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// The final answer.
    Answered(Body),
    /// The host sent a notice that its answer would follow, but no answer within the limit.
    Waiting,
    /// The host did not answer, or its address is not known.
    Unanswered,
}

/// How long a call waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    /// Interval at which a call without an answer is sent again.
    pub(crate) repeat_interval: Duration,
    /// Time without an answer or notice after which the call fails.
    pub(crate) silence_timeout: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            repeat_interval: REPEAT_INTERVAL,
            silence_timeout: SILENCE_TIMEOUT,
        }
    }
}

/// Address of another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Endpoint {
    /// Process that frames are addressed to; a later process at the same address drops them.
    pub(crate) process: HolderId,
    /// UDP address of the process.
    pub(crate) address: SocketAddr,
}

/// Senders of answers to the calls in progress, by correlation number.
type Calls = Mutex<HashMap<u64, mpsc::Sender<Body>>>;

/// A call in progress, until it is dropped.
struct Call<'a> {
    calls: &'a Calls,
    correlation: u64,
    answers: mpsc::Receiver<Body>,
}

impl<'a> Call<'a> {
    fn new(calls: &'a Calls, correlation: u64) -> Self {
        let (sender, answers) = mpsc::channel(ANSWER_QUEUE_LEN);
        lock(calls).insert(correlation, sender);
        Self {
            calls,
            correlation,
            answers,
        }
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        lock(self.calls).remove(&self.correlation);
    }
}

/// Socket for messages between hosts, with the calls in progress.
pub(crate) struct Peers {
    socket: UdpSocket,
    process: HolderId,
    dispatcher: Arc<Dispatcher>,
    quarantine: Arc<Quarantine>,
    feed: Arc<Feed>,
    /// Keys that authenticate frames; absent until they have been read from the store.
    keys: Mutex<Option<Keys>>,
    /// Text of the key, to write its row again when the store has lost it.
    key_text: Mutex<Option<Arc<str>>>,
    endpoints: Mutex<HashMap<HostId, Endpoint>>,
    next_correlation: AtomicU64,
    calls: Calls,
    /// Answers to recent questions for permits, by process and correlation number.
    acquired: Mutex<HashMap<(String, u64), (Instant, Acquired)>>,
}

impl Peers {
    /// Binds the address for messages from other hosts.
    pub(crate) fn bind(
        address: SocketAddr,
        process: HolderId,
        dispatcher: Arc<Dispatcher>,
        quarantine: Arc<Quarantine>,
        feed: Arc<Feed>,
    ) -> anyhow::Result<Self> {
        let socket = std::net::UdpSocket::bind(address);
        let socket = socket.with_context(|| format!("bind {address} for other hosts"))?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            process,
            dispatcher,
            quarantine,
            feed,
            keys: Mutex::default(),
            key_text: Mutex::default(),
            endpoints: Mutex::default(),
            next_correlation: AtomicU64::default(),
            calls: Mutex::default(),
            acquired: Mutex::default(),
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns whether the fleet's key is known, so that frames can be sent and read.
    pub(crate) fn has_keys(&self) -> bool {
        lock(&self.keys).is_some()
    }

    /// Returns the text of the fleet's key.
    pub(crate) fn key_text(&self) -> Option<Arc<str>> {
        lock(&self.key_text).clone()
    }

    /// Sets the fleet's key.
    pub(crate) fn set_key(&self, key: &str) {
        *lock(&self.keys) = Some(Keys::new(vec![key.as_bytes().into()]));
        *lock(&self.key_text) = Some(key.into());
    }

    /// Sets the endpoints of the other hosts.
    pub(crate) fn set_endpoints(&self, endpoints: HashMap<HostId, Endpoint>) {
        *lock(&self.endpoints) = endpoints;
    }

    /// Sends pending prompts and handles messages until `stop`.
    pub(crate) async fn run(self: Arc<Self>, responder: Arc<Responder>, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.broadcast_pending() => {}
            () = self.publish_rates() => {}
            () = self.publish_parts() => {}
            () = self.send_outcomes() => {}
            () = self.publish_list() => {}
            () = self.follow_list() => {}
            () = self.listen(&responder) => {}
        }
    }

    /// Sends a message to a host repeatedly until it answers. Once the host has sent a notice that
    /// its answer will follow, waits for it up to `limit` from now.
    pub(crate) async fn call(&self, host: &HostId, body: Body, limit: Duration) -> CallOutcome {
        self.call_within(host, body, limit, Patience::default())
            .await
    }

    /// As [`Self::call`], with another time to wait for an answer.
    pub(crate) async fn call_within(
        &self,
        host: &HostId,
        body: Body,
        limit: Duration,
        patience: Patience,
    ) -> CallOutcome {
        let Some(endpoint) = lock(&self.endpoints).get(host).cloned() else {
            return CallOutcome::Unanswered;
        };
        let correlation = self.next_correlation.fetch_add(1, Ordering::Relaxed);
        let mut call = Call::new(&self.calls, correlation);
        let answers = &mut call.answers;
        let start = Instant::now();
        let mut noticed_at = None;
        loop {
            self.send(&endpoint, correlation, body.clone()).await;
            let repeat_at = Instant::now() + patience.repeat_interval;
            // A notice does not cause an early repetition, which the holder would answer with
            // another notice at once.
            while let Ok(answer) = tokio::time::timeout_at(repeat_at, answers.recv()).await {
                match answer {
                    Some(answer) if is_notice(&answer) => {
                        noticed_at = Some(Instant::now());
                        if start.elapsed() >= limit {
                            return CallOutcome::Waiting;
                        }
                    }
                    Some(answer) => return CallOutcome::Answered(answer),
                    None => return CallOutcome::Unanswered,
                }
            }
            if noticed_at.is_some() && start.elapsed() >= limit {
                return CallOutcome::Waiting;
            }
            if noticed_at.unwrap_or(start).elapsed() >= patience.silence_timeout {
                return CallOutcome::Unanswered;
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

    /// Returns the datagram of a message; `None` while the fleet's key is not known.
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

    /// Sends changes of pending prompts after [`BATCH_TIME`], and all pending prompts when nothing
    /// has changed for [`CONFIRM_INTERVAL`].
    async fn broadcast_pending(&self) {
        loop {
            let has_changed = tokio::select! {
                () = self.dispatcher.pending_changed.notified() => true,
                () = tokio::time::sleep(CONFIRM_INTERVAL) => false,
            };
            if has_changed {
                tokio::time::sleep(BATCH_TIME).await;
            }
            let pending = self.dispatcher.take_pending_changes(!has_changed);
            for chunk in pending.chunks(DATAGRAM_UPSTREAMS) {
                self.send_pending(chunk).await;
            }
        }
    }

    async fn send_pending(&self, pending: &[(Arc<str>, u32)]) {
        let upstreams = pending.iter().map(|(upstream, tokens)| Prompts {
            upstream: upstream.to_string(),
            tokens: *tokens,
        });
        let body = Body::Pending(Pending {
            upstreams: upstreams.collect(),
        });
        let endpoints = lock(&self.endpoints).clone();
        if endpoints.len() > BROADCAST_PEER_LIMIT {
            return;
        }
        if let Some(bytes) = self.encode("", 0, body) {
            for endpoint in endpoints.values() {
                self.send_bytes(endpoint.address, &bytes).await;
            }
        }
    }

    /// Tells other hosts what upstreams state about their rates, at first at once and then with
    /// pauses that grow with the fleet.
    async fn publish_rates(&self) {
        loop {
            self.dispatcher.rates_changed.notified().await;
            tokio::time::sleep(BATCH_TIME).await;
            let (to_all, to_granters) = self.dispatcher.take_unpublished();
            let endpoints = lock(&self.endpoints).clone();
            for (host, stated) in to_granters {
                if let Some(endpoint) = endpoints.get(&host) {
                    let items = vec![stated];
                    self.send(endpoint, 0, Body::Rates(Rates { items })).await;
                }
            }
            for chunk in to_all.chunks(DATAGRAM_UPSTREAMS) {
                let items = chunk.to_vec();
                if let Some(bytes) = self.encode("", 0, Body::Rates(Rates { items })) {
                    for endpoint in endpoints.values() {
                        self.send_bytes(endpoint.address, &bytes).await;
                    }
                }
            }
            tokio::time::sleep(PUBLISH_PAUSE * endpoints.len() as u32).await;
        }
    }

    /// Answers a question for a permit; a repetition gets the same answer.
    fn answer_acquire(&self, from: &str, correlation: u64, acquire: &Acquire) -> Acquired {
        let mut acquired = lock(&self.acquired);
        acquired.retain(|_, (at, _)| at.elapsed() < SILENCE_TIMEOUT * 2);
        let call = (from.to_owned(), correlation);
        let new = || {
            let answer = self.dispatcher.answer_acquire(from, acquire);
            (Instant::now(), answer)
        };
        acquired.entry(call).or_insert_with(new).1.clone()
    }

    async fn listen(self: &Arc<Self>, responder: &Arc<Responder>) {
        let mut buffer = [0; DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.handle_datagram(&buffer[..length], from, responder),
                Err(error) => {
                    log::debug!("datagram not read: {error}");
                    tokio::time::sleep(CONFIRM_INTERVAL).await;
                }
            }
        }
    }

    fn handle_datagram(
        self: &Arc<Self>,
        bytes: &[u8],
        address: SocketAddr,
        responder: &Arc<Responder>,
    ) {
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
            self.handle_message(body, frame.correlation, (address, &frame.from), responder);
        }
    }

    fn handle_message(
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
            Body::Rates(rates) => {
                for stated in &rates.items {
                    self.dispatcher.learn_rate(from, stated);
                }
            }
            Body::Parts(parts) => self.learn_parts(&parts, address, from),
            Body::Choose(choose) => {
                let chosen = self.dispatcher.answer_choose(from, &choose);
                let (peers, from) = (self.clone(), from.to_owned());
                tokio::spawn(async move {
                    let body = Body::Chosen(chosen);
                    peers.send_frame(address, &from, correlation, body).await;
                });
            }
            Body::Outcomes(outcomes) => self.dispatcher.apply_outcomes(from, &outcomes),
            Body::Follow(follow) => self.answer_follow(&follow, address, from),
            Body::News(news) => self.feed.receive(from, &news),
            Body::Acquire(acquire) => {
                let acquired = self.answer_acquire(from, correlation, &acquire);
                let (peers, from) = (self.clone(), from.to_owned());
                tokio::spawn(async move {
                    let body = Body::Acquired(acquired);
                    peers.send_frame(address, &from, correlation, body).await;
                });
            }
            answer @ (Body::Reply(_) | Body::Settled(_) | Body::Acquired(_) | Body::Chosen(_)) => {
                let call = lock(&self.calls).get(&correlation).cloned();
                // Repeated answers may arrive after the call has ended, or when its queue is full.
                if let Some(call) = call {
                    let _ = call.try_send(answer);
                }
            }
            message => {
                let (peers, from) = (self.clone(), from.to_owned());
                let answer = move |body| {
                    let (peers, from) = (peers.clone(), from.clone());
                    async move { peers.send_frame(address, &from, correlation, body).await }
                };
                responder.clone().answer(message, answer);
            }
        }
    }
}

/// Returns whether an answer is a notice that the final answer will follow.
fn is_notice(answer: &Body) -> bool {
    matches!(answer, Body::Reply(reply) if reply.refusal() == Refusal::Waiting)
}
