//! Envelope of the internal protocol between hosts.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error, From},
    prost::{DecodeError, Message, Oneof},
    sha2::{Digest, Sha256},
    std::{io, sync::Arc},
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Largest frame in bytes.
pub const FRAME_LIMIT_BYTES: usize = 1 << 20;

/// A message to one host.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Sender's host id.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Recipient's host id; a host refuses frames for others. Empty when it is for every host.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Pairs an answer with its question; unique per connection and direction.
    #[prost(uint64, tag = "3")]
    pub correlation: u64,
    /// Content.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    pub body: Option<Body>,
}

/// Content of a [`Frame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Asks a holder for a reservation.
    #[prost(message, tag = "10")]
    Reserve(Reserve),
    /// Lowers a reservation.
    #[prost(message, tag = "11")]
    Lower(Lower),
    /// Settles reservations.
    #[prost(message, tag = "12")]
    Settle(Settle),
    /// Ends a reservation of a request that did not run.
    #[prost(message, tag = "13")]
    Release(Release),
    /// Announces that a request is about to be sent to a service that keeps no records.
    #[prost(message, tag = "21")]
    Announce(Announce),
    /// Tells of prompts that the sender has not seen answered.
    #[prost(message, tag = "22")]
    Pending(Pending),
    /// Answers any of the above but a settlement.
    #[prost(message, tag = "14")]
    Reply(Reply),
    /// Tells a holder that another one lacks tokens of a budget.
    #[prost(message, tag = "18")]
    Review(Review),
    /// Asks for the requests that run on withdrawn upstreams.
    #[prost(message, tag = "19")]
    Count(Count),
    /// Answers [`Body::Count`].
    #[prost(message, tag = "20")]
    Counted(Counted),
    /// Answers a settlement.
    #[prost(message, tag = "17")]
    Settled(Settled),
    /// Membership exchange; the content is the fleet slice's own message.
    #[prost(bytes = "vec", tag = "15")]
    Gossip(Vec<u8>),
    /// Configuration exchange; the content is the config slice's own message.
    #[prost(bytes = "vec", tag = "16")]
    Config(Vec<u8>),
}

/// Asks a holder to reserve tokens.
#[derive(Clone, PartialEq, Message)]
pub struct Reserve {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Budget.
    #[prost(string, tag = "2")]
    pub budget: String,
    /// Tokens.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// Workspace, for the bill when the entry is lost.
    #[prost(string, tag = "4")]
    pub workspace: String,
    /// Model or service, for the bill when the entry is lost.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Fewest tokens that are of use when `amount` cannot be had; 0 when only `amount` is. The
    /// answer states how many were reserved.
    #[prost(uint64, tag = "6")]
    pub least: u64,
}

/// Lowers a reservation.
#[derive(Clone, PartialEq, Message)]
pub struct Lower {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Tokens to keep reserved.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
}

/// Settles reservations. The entry repeats it until each item is durable, so that the loss of a
/// holder loses no bill.
#[derive(Clone, PartialEq, Message)]
pub struct Settle {
    /// Finished attempts.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Settlement>,
}

/// One finished attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Settlement {
    /// Attempt id.
    #[prost(string, tag = "1")]
    pub attempt: String,
    /// Budget, for a holder that has no reservation of the attempt.
    #[prost(string, tag = "2")]
    pub budget: String,
    /// Workspace.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Model or service.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Upstream.
    #[prost(string, tag = "5")]
    pub upstream: String,
    /// Tokens used.
    #[prost(uint64, tag = "6")]
    pub tokens: u64,
}

/// A holder's answer to [`Settle`].
#[derive(Clone, PartialEq, Message)]
pub struct Settled {
    /// State of each item, in the same order.
    #[prost(enumeration = "Billing", repeated, tag = "1")]
    pub items: Vec<i32>,
}

/// State of a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Billing {
    /// The holder takes no bills.
    Refused = 0,
    /// Made or to be made; not in the store yet.
    Pending = 1,
    /// In the store.
    Durable = 2,
}

/// Ends a reservation of a request that did not run.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// Announces that a request is about to be sent to a service that keeps no records. The holder bills
/// the service's price when it hears nothing more; without an announcement it ends the reservation.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// Tells of prompts that an engine's load report does not show yet. It is a hint: a lost one is
/// replaced by the next.
#[derive(Clone, PartialEq, Message)]
pub struct Pending {
    /// Changed or confirmed upstreams.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Prompts>,
}

/// Prompt tokens at one upstream that the sender has not seen answered.
#[derive(Clone, PartialEq, Message)]
pub struct Prompts {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// Tells a holder that another one lacks tokens of a budget.
#[derive(Clone, PartialEq, Message)]
pub struct Review {
    /// Budget.
    #[prost(string, tag = "1")]
    pub budget: String,
}

/// Asks a host for its requests that run on upstreams which take no new work of their kind.
#[derive(Clone, PartialEq, Message)]
pub struct Count {}

/// A host's answer to [`Count`].
#[derive(Clone, PartialEq, Message)]
pub struct Counted {
    /// Configuration version by which the host counted.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Requests.
    #[prost(uint64, tag = "2")]
    pub running: u64,
}

/// A holder's answer.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// Tokens reserved or charged.
    #[prost(uint64, tag = "1")]
    pub tokens: u64,
    /// Why nothing was reserved.
    #[prost(enumeration = "Refusal", tag = "2")]
    pub refusal: i32,
}

/// Why a holder refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// Not refused.
    None = 0,
    /// The budget has no more.
    Exhausted = 1,
    /// The holder could not refill in time.
    Unavailable = 2,
    /// Not decided: the reservation waits for a refill, and another answer follows.
    Waiting = 3,
}

/// Why a frame was not accepted.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The frame is not a valid message.
    #[display("malformed frame: {_0}")]
    Decode(DecodeError),
    /// The frame was not made with the fleet key.
    #[display("frame not authenticated by a fleet key")]
    #[from(skip)]
    Forged,
}

/// Keys that authenticate frames; the first signs, all are accepted, which allows rotation.
#[derive(Clone, Debug)]
pub struct Keys(Vec<Arc<[u8]>>);

impl Keys {
    /// Creates a key ring.
    ///
    /// # Panics
    /// When `keys` is empty.
    pub fn new(keys: Vec<Arc<[u8]>>) -> Self {
        assert!(!keys.is_empty(), "a key ring needs a key");
        Self(keys)
    }

    fn sign(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        tag(&self.0[0], payload)
    }

    fn verify(&self, payload: &[u8], given: &[u8]) -> bool {
        self.0.iter().any(|key| is_equal(&tag(key, payload), given))
    }
}

const TAG_BYTES: usize = 32;
/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;
const BLOCK_BYTES: usize = 64;

/// HMAC-SHA-256.
fn tag(key: &[u8], payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut block = [0; BLOCK_BYTES];
    if key.len() > BLOCK_BYTES {
        block[..TAG_BYTES].copy_from_slice(&Sha256::digest(key));
    } else {
        block[..key.len()].copy_from_slice(key);
    }
    let pad = |byte: u8| block.map(|b| b ^ byte);
    let inner = Sha256::new().chain_update(pad(0x36)).chain_update(payload);
    let outer = Sha256::new()
        .chain_update(pad(0x5c))
        .chain_update(inner.finalize());
    outer.finalize().into()
}

/// Compares without an early exit, so that the time does not tell how many bytes match.
fn is_equal(left: &[u8], right: &[u8]) -> bool {
    let difference = left.iter().zip(right).fold(0, |all, (l, r)| all | (l ^ r));
    left.len() == right.len() && difference == 0
}

/// Returns the bytes of a frame on a connection.
pub fn size(frame: &Frame) -> usize {
    LENGTH_BYTES + TAG_BYTES + frame.encoded_len()
}

/// Frames on a connection: length, authentication tag, message.
#[derive(Debug)]
pub struct Codec {
    keys: Keys,
    inner: LengthDelimitedCodec,
}

impl Codec {
    /// Creates a codec.
    pub fn new(keys: Keys) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT_BYTES)
            .new_codec();
        Self { keys, inner }
    }
}

impl Encoder<Frame> for Codec {
    type Error = Fault;

    fn encode(&mut self, frame: Frame, out: &mut BytesMut) -> Result<(), Fault> {
        let payload = frame.encode_to_vec();
        let mut bytes = BytesMut::with_capacity(TAG_BYTES + payload.len());
        bytes.extend_from_slice(&self.keys.sign(&payload));
        bytes.extend_from_slice(&payload);
        Ok(self.inner.encode(bytes.freeze(), out)?)
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Fault;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Fault> {
        let Some(bytes) = self.inner.decode(source)? else {
            return Ok(None);
        };
        let bytes: Bytes = bytes.freeze();
        let (given, payload) = bytes.split_at_checked(TAG_BYTES).ok_or(Fault::Forged)?;
        if !self.keys.verify(payload, given) {
            return Err(Fault::Forged);
        }
        Ok(Some(Frame::decode(payload)?))
    }
}
