//! Links between routers, and from routers to the platform, that a test can cut.
//!
//! Each router reaches the others and the platform through forwarders in the test's process. A
//! cut drops the bytes of one direction. A connection that lost bytes ends when the cut ends,
//! because its rest could not be read.

use {
    super::{Outside, local},
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

/// Name of the platform as an end of a link.
pub const PLATFORM: &str = "platform";
const PIECE_BYTES: usize = 16 << 10;

/// Directions, from one end to another.
type Ways = BTreeSet<(String, String)>;

#[derive(Clone)]
pub struct Links {
    cut: watch::Sender<Ways>,
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

    /// Opens the address by which others reach a router; its own address follows by
    /// [`Self::connect`].
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

    /// Opens the address by which a router reaches the platform.
    pub async fn platform(&self, outside: &Outside, router: &str) -> SocketAddr {
        let listener = TcpListener::bind(local()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let target: SocketAddr = outside.base["http://".len()..].parse().unwrap();
        let (links, router) = (self.clone(), router.to_owned());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let ends = (router.clone(), PLATFORM.to_owned());
                tokio::spawn(links.clone().forward(stream, target, ends, Vec::new()));
            }
        });
        address
    }

    /// Drops everything from one end to another.
    pub fn cut(&self, from: &str, to: &str) {
        let way = (from.to_owned(), to.to_owned());
        self.cut.send_modify(|cut| {
            cut.insert(way);
        });
    }

    /// Cuts both directions between one end and others.
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

    /// Forwards a connection to a router; the first frame tells which router it is from.
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
            let ends = (frame.from, router);
            self.forward(stream, target, ends, first.to_vec()).await;
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
        // A router's own sockets have this option; without it the links would be slower.
        near.set_nodelay(true).unwrap();
        far.set_nodelay(true).unwrap();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let back = (to.clone(), from.clone());
        // The connection ends when one direction does.
        tokio::select! {
            () = self.pump((from, to), first, near_read, far_write) => {}
            () = self.pump(back, Vec::new(), far_read, near_write) => {}
        }
    }

    /// Moves the bytes of one direction until the connection ends, or a cut that dropped some.
    async fn pump(
        &self,
        way: (String, String),
        first: Vec<u8>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let mut cut = self.cut.subscribe();
        let (mut piece, mut is_damaged) = (first, false);
        loop {
            let is_cut = cut.borrow_and_update().contains(&way);
            if is_damaged && !is_cut {
                return;
            }
            is_damaged |= is_cut && !piece.is_empty();
            if !is_cut && to.write_all(&piece).await.is_err() {
                return;
            }
            piece = vec![0; PIECE_BYTES];
            tokio::select! {
                read = from.read(&mut piece) => match read {
                    Ok(length @ 1..) => piece.truncate(length),
                    _ => return,
                },
                _ = cut.changed() => piece.clear(),
            }
        }
    }
}
