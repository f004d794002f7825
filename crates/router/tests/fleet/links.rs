//! Network links between routers, and from routers to the platform, that a test can cut.
//!
//! Each router reaches the others and the platform through proxies in the test's process. A cut
//! drops the bytes of one direction. A connection that lost bytes is closed when the cut ends,
//! because the receiver could not decode the rest.

use {
    super::{Environment, local},
    bytes::BytesMut,
    marigoldroute_core::wire::{Codec, Keys},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
    },
    tokio_util::codec::Decoder,
};

/// Name of the platform as an endpoint of a link.
pub const PLATFORM: &str = "platform";
const CHUNK_BYTES: usize = 16 << 10;

/// Directions of links, as (from, to).
type Directions = BTreeSet<(String, String)>;

#[derive(Clone)]
pub struct Links {
    cut: watch::Sender<Directions>,
    /// Peer addresses of the routers that have started.
    targets: watch::Sender<BTreeMap<String, SocketAddr>>,
    keys: Keys,
}

impl Links {
    pub fn new(fleet_key: &str) -> Self {
        Self {
            cut: watch::Sender::default(),
            targets: watch::Sender::default(),
            keys: Keys::new(vec![fleet_key.as_bytes().into()]),
        }
    }

    /// Opens the address at which other routers reach a router; [`Self::connect`] sets the router's
    /// own address.
    pub async fn peers(&self, router: &str) -> SocketAddr {
        let listener = TcpListener::bind(local()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (links, router) = (self.clone(), router.to_owned());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(links.clone().forward_peer(stream, router.clone()));
            }
        });
        address
    }

    pub fn connect(&self, router: &str, address: SocketAddr) {
        self.targets.send_modify(|targets| {
            targets.insert(router.to_owned(), address);
        });
    }

    /// Opens the address at which a router reaches the platform.
    pub async fn platform(&self, environment: &Environment, router: &str) -> SocketAddr {
        let listener = TcpListener::bind(local()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let target: SocketAddr = environment.base["http://".len()..].parse().unwrap();
        let (links, router) = (self.clone(), router.to_owned());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoints = (router.clone(), PLATFORM.to_owned());
                tokio::spawn(links.clone().forward(stream, target, endpoints, Vec::new()));
            }
        });
        address
    }

    /// Drops all bytes from one endpoint to another.
    pub fn cut(&self, from: &str, to: &str) {
        let direction = (from.to_owned(), to.to_owned());
        self.cut.send_modify(|cut| {
            cut.insert(direction);
        });
    }

    /// Cuts both directions between one endpoint and others.
    pub fn isolate(&self, end: &str, others: &[&str]) {
        for other in others {
            self.cut(end, other);
            self.cut(other, end);
        }
    }

    /// Ends every cut.
    pub fn heal(&self) {
        self.cut.send_modify(BTreeSet::clear);
    }

    /// Forwards a connection to a router; the first frame names the router that opened it.
    async fn forward_peer(self, mut stream: TcpStream, router: String) {
        let mut codec = Codec::new(self.keys.clone());
        let mut first = BytesMut::new();
        let frame = loop {
            let mut copy = first.clone();
            if let Some(frame) = codec.decode(&mut copy).unwrap() {
                break frame;
            }
            codec = Codec::new(self.keys.clone());
            if !matches!(stream.read_buf(&mut first).await, Ok(1..)) {
                return;
            }
        };
        let target = self.targets.borrow().get(&router).copied();
        if let Some(target) = target {
            let endpoints = (frame.from, router);
            self.forward(stream, target, endpoints, first.to_vec())
                .await;
        }
    }

    async fn forward(
        self,
        near: TcpStream,
        target: SocketAddr,
        (from, to): (String, String),
        first: Vec<u8>,
    ) {
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        // Routers set this option on their own sockets; without it the links would be slower.
        near.set_nodelay(true).unwrap();
        far.set_nodelay(true).unwrap();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let back = (to.clone(), from.clone());
        // The connection is closed as soon as one direction ends.
        tokio::select! {
            () = self.copy_direction((from, to), first, near_read, far_write) => {}
            () = self.copy_direction(back, Vec::new(), far_read, near_write) => {}
        }
    }

    /// Copies the bytes of one direction until the connection ends, or until the end of a cut that
    /// dropped some.
    async fn copy_direction(
        &self,
        direction: (String, String),
        first: Vec<u8>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let mut cut = self.cut.subscribe();
        let (mut chunk, mut is_damaged) = (first, false);
        loop {
            let is_cut = cut.borrow_and_update().contains(&direction);
            if is_damaged && !is_cut {
                return;
            }
            is_damaged |= is_cut && !chunk.is_empty();
            if !is_cut && to.write_all(&chunk).await.is_err() {
                return;
            }
            chunk = vec![0; CHUNK_BYTES];
            tokio::select! {
                read = from.read(&mut chunk) => match read {
                    Ok(length @ 1..) => chunk.truncate(length),
                    _ => return,
                },
                _ = cut.changed() => chunk.clear(),
            }
        }
    }
}
