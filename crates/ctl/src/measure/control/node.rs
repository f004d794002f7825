//! One simulated host.

use {
    bytes::BytesMut,
    marigoldroute_core::{
        config::{self, Action, Log, Packet, Read, Role},
        fleet::{self, Gossip, Host, Listing, View},
        id::HostId,
        table::Row,
        wire::{Body, Codec, Frame, Keys},
    },
    prost::Message,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// A frame on its way, or a question to the store.
pub(super) enum Output {
    Frame(HostId, BytesMut),
    Read(Read),
}

/// A host with the logic of a router and its frame codec.
pub(super) struct Node {
    pub(super) view: View,
    pub(super) log: Log,
    id: HostId,
    codec: Codec,
    random: SmallRng,
    pub(super) bytes: u64,
    pub(super) busy: Duration,
}

impl Node {
    pub(super) fn new(host: Host, listing: Listing, seed: u64, now: Duration) -> Self {
        let id = host.id.clone();
        let mut view = View::new(host, fleet::Settings::default(), now);
        view.update_listing(listing);
        let key: Arc<[u8]> = Arc::from(&b"measurement"[..]);
        Self {
            view,
            log: Log::new(config::Settings::default(), now),
            id,
            codec: Codec::new(Keys::new(vec![key])),
            random: SmallRng::seed_from_u64(seed),
            bytes: 0,
            busy: Duration::ZERO,
        }
    }

    /// Takes one step of the logic.
    pub(super) fn tick(&mut self, now: Duration) -> Vec<Output> {
        let start = Instant::now();
        let mut outputs = Vec::new();
        self.view.record_applied(self.log.version());
        for (to, gossip) in self.view.tick(now, &mut self.random) {
            outputs.extend(self.frame(to, Body::Gossip(gossip.encode_to_vec())));
        }
        let role = match self.view.is_poller() {
            true => Role::Poller,
            false => Role::Follower,
        };
        let peers = self.view.peers();
        for action in self.log.tick(now, role, &peers, &mut self.random) {
            match action {
                Action::Read(read) => outputs.push(Output::Read(read)),
                Action::Send(to, packet) => {
                    outputs.extend(self.frame(to, Body::Config(packet.encode_to_vec())));
                }
            }
        }
        self.busy += start.elapsed();
        outputs
    }

    /// Takes a frame; returns the answer. New versions are passed on without waiting for the
    /// next step, as the router does.
    pub(super) fn receive(&mut self, now: Duration, mut bytes: BytesMut) -> Vec<Output> {
        let start = Instant::now();
        self.bytes += bytes.len() as u64;
        let Ok(Some(frame)) = self.codec.decode(&mut bytes) else {
            return Vec::new();
        };
        let from: HostId = frame.from.as_str().into();
        let version = self.log.version();
        let answer = match frame.body {
            Some(Body::Gossip(bytes)) => self.gossip(now, &from, &bytes),
            Some(Body::Config(bytes)) => self.packet(now, &from, &bytes),
            _ => None,
        };
        let frame = answer.and_then(|body| self.frame(from, body));
        let mut outputs: Vec<_> = frame.into_iter().collect();
        self.busy += start.elapsed();
        if self.log.version() > version || self.log.newest_known() > version {
            outputs.extend(self.tick(now));
        }
        outputs
    }

    fn gossip(&mut self, now: Duration, from: &HostId, bytes: &[u8]) -> Option<Body> {
        let gossip = Gossip::decode(bytes).ok()?;
        self.log.observe(now, from, gossip.version);
        let answer = self.view.receive(now, from, &gossip, &mut self.random)?;
        Some(Body::Gossip(answer.encode_to_vec()))
    }

    fn packet(&mut self, now: Duration, from: &HostId, bytes: &[u8]) -> Option<Body> {
        let packet = Packet::decode(bytes).ok()?;
        let answer = self.log.receive(now, from, packet)?;
        Some(Body::Config(answer.encode_to_vec()))
    }

    pub(super) fn answer(&mut self, now: Duration, read: &Read, rows: &[Row]) -> Vec<Output> {
        let start = Instant::now();
        match read {
            Read::Head => self.log.apply_head(now, rows.first()),
            Read::Rows { .. } => self.log.apply_rows(now, rows),
            Read::Pointer => self.log.apply_pointer(now, rows.first()),
            Read::Parts { .. } => self.log.apply_parts(now, rows),
        }
        self.busy += start.elapsed();
        self.tick(now)
    }

    fn frame(&mut self, to: HostId, body: Body) -> Option<Output> {
        let frame = Frame {
            from: self.id.to_string(),
            to: to.to_string(),
            correlation: 1,
            body: Some(body),
        };
        let mut bytes = BytesMut::new();
        self.codec.encode(frame, &mut bytes).ok()?;
        self.bytes += bytes.len() as u64;
        Some(Output::Frame(to, bytes))
    }
}
