//! Pending prompts that hosts tell one another.
//!
//! A load report of an engine does not show the prompts that other hosts have just sent there, and
//! one long prompt delays all that follow. Each host tells the others how many prompt tokens it has
//! sent to an engine and not seen answered. The datagrams are hints: a lost one is replaced by the
//! next, and nothing else depends on them.

use {
    crate::{dispatch::Dispatch, view::lock},
    anyhow::Context,
    prost::Message,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::net::UdpSocket,
    tokio_util::sync::CancellationToken,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time for which changes are collected into one datagram.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// Time after which pending prompts are confirmed; receivers forget them after a second.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Largest datagram in bytes, below the usual size of a packet.
const DATAGRAM_BYTES: usize = 1_400;
/// Upstreams in one datagram.
const DATAGRAM_UPSTREAMS: usize = 24;
/// Hosts that are told. A larger fleet spreads an engine's load over so many hosts that the part of
/// each matters little.
const PEER_LIMIT: usize = 32;

/// A datagram.
#[derive(Clone, PartialEq, Message)]
struct Pending {
    /// Hash of the sender's process.
    #[prost(fixed64, tag = "1")]
    host: u64,
    /// Changed or confirmed upstreams.
    #[prost(message, repeated, tag = "2")]
    upstreams: Vec<Prompts>,
}

/// Prompt tokens at one upstream that the sender has not seen answered.
#[derive(Clone, PartialEq, Message)]
struct Prompts {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint32, tag = "2")]
    tokens: u32,
}

/// The exchange with the other hosts.
pub(crate) struct Peers {
    socket: UdpSocket,
    host: u64,
    dispatch: Arc<Dispatch>,
    addresses: Mutex<Vec<SocketAddr>>,
}

impl Peers {
    /// Binds the address at which other hosts are heard.
    pub(crate) fn bind(
        address: SocketAddr,
        process: &str,
        dispatch: Arc<Dispatch>,
    ) -> anyhow::Result<Self> {
        let socket = std::net::UdpSocket::bind(address);
        let socket = socket.with_context(|| format!("bind {address} for other hosts"))?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            host: xxh3_64(process.as_bytes()),
            dispatch,
            addresses: Mutex::default(),
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sets the addresses of the other hosts.
    pub(crate) fn set_addresses(&self, mut addresses: Vec<SocketAddr>) {
        addresses.truncate(PEER_LIMIT);
        *lock(&self.addresses) = addresses;
    }

    /// Tells and hears until `stop`.
    pub(crate) async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.tell() => {}
            () = self.listen() => {}
        }
    }

    async fn tell(&self) {
        loop {
            let is_news = tokio::select! {
                () = self.dispatch.news.notified() => true,
                () = tokio::time::sleep(CONFIRM_INTERVAL) => false,
            };
            if is_news {
                tokio::time::sleep(BATCH_TIME).await;
            }
            let pending = self.dispatch.pending(!is_news);
            for part in pending.chunks(DATAGRAM_UPSTREAMS) {
                self.send(part).await;
            }
        }
    }

    async fn send(&self, pending: &[(Arc<str>, u32)]) {
        let upstreams = pending.iter().map(|(upstream, tokens)| Prompts {
            upstream: upstream.to_string(),
            tokens: *tokens,
        });
        let message = Pending {
            host: self.host,
            upstreams: upstreams.collect(),
        };
        let bytes = message.encode_to_vec();
        let addresses = lock(&self.addresses).clone();
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log::debug!("pending prompts not sent to {address}: {error}");
            }
        }
    }

    async fn listen(&self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.hear(&buffer[..length]),
                Err(error) => {
                    log::debug!("no datagram read: {error}");
                    tokio::time::sleep(CONFIRM_INTERVAL).await;
                }
            }
        }
    }

    fn hear(&self, bytes: &[u8]) {
        match Pending::decode(bytes) {
            Ok(message) if message.host != self.host => {
                for prompts in message.upstreams {
                    let tokens = prompts.tokens;
                    self.dispatch.hear(message.host, &prompts.upstream, tokens);
                }
            }
            Ok(_) => {}
            Err(error) => log::debug!("datagram not understood: {error}"),
        }
    }
}
