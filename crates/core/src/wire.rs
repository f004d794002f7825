//! Messages and framing of the internal protocol between hosts.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error, From},
    prost::{DecodeError, Message, Oneof},
    sha2::{Digest, Sha256},
    std::{io, sync::Arc},
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Limit on the length of a frame, without its length prefix; longer ones are rejected.
pub const FRAME_LIMIT_BYTES: usize = 1 << 20;

/// A message from one host to another.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Sender's host id.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Recipient's host id, which a host checks so that it rejects frames meant for another one.
    /// Empty when every host may accept the frame.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Matches a reply to its request; unique per connection and direction.
    #[prost(uint64, tag = "3")]
    pub correlation: u64,
    /// The request, reply or notification itself.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31"
    )]
    pub body: Option<Body>,
}

/// Content of a [`Frame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Asks a holder for a reservation.
    #[prost(message, tag = "10")]
    Reserve(Reserve),
    /// Reduces a reservation.
    #[prost(message, tag = "11")]
    Lower(Lower),
    /// Reports the tokens that finished attempts used, to be billed by the holder.
    #[prost(message, tag = "12")]
    Settle(Settle),
    /// Ends a reservation of a request that did not run.
    #[prost(message, tag = "13")]
    Release(Release),
    /// Announces that a request is about to be sent to a service that keeps no usage records.
    #[prost(message, tag = "21")]
    Announce(Announce),
    /// Publishes the sender's prompts that have not been answered yet. Has no reply.
    #[prost(message, tag = "22")]
    Pending(Pending),
    /// Asks for a permit to send a request to an upstream that has stated a rate.
    #[prost(message, tag = "23")]
    Acquire(Acquire),
    /// Replies to [`Body::Acquire`].
    #[prost(message, tag = "24")]
    Acquired(Acquired),
    /// Publishes what upstreams state about their rates. Has no reply.
    #[prost(message, tag = "25")]
    Rates(Rates),
    /// Tells which parts of prompts crash upstreams, and which do not. Has no reply.
    #[prost(message, tag = "26")]
    Parts(Parts),
    /// Asks the scheduler of a service to choose an engine.
    #[prost(message, tag = "27")]
    Choose(Choose),
    /// Replies to [`Body::Choose`].
    #[prost(message, tag = "28")]
    Chosen(Chosen),
    /// Tells a scheduler what became of attempts for which it has chosen engines. Has no reply.
    #[prost(message, tag = "29")]
    Outcomes(Outcomes),
    /// Asks a host that reads the list of upstreams for changes. The reply is [`Body::News`].
    #[prost(message, tag = "30")]
    Follow(Follow),
    /// Tells changes of the list of upstreams, as a reply to [`Body::Follow`] and between replies.
    #[prost(message, tag = "31")]
    News(News),
    /// Replies to [`Body::Reserve`], [`Body::Lower`], [`Body::Release`], [`Body::Announce`] and
    /// [`Body::Review`]; empty where only the receipt matters.
    #[prost(message, tag = "14")]
    Reply(Reply),
    /// Notifies a holder that another one is short of tokens of a budget.
    #[prost(message, tag = "18")]
    Review(Review),
    /// Asks for the number of requests that run on withdrawn upstreams.
    #[prost(message, tag = "19")]
    Count(Count),
    /// Replies to [`Body::Count`].
    #[prost(message, tag = "20")]
    Counted(Counted),
    /// Replies to [`Body::Settle`].
    #[prost(message, tag = "17")]
    Settled(Settled),
    /// Membership exchange: an encoded `fleet::Gossip`.
    #[prost(bytes = "vec", tag = "15")]
    Gossip(Vec<u8>),
    /// Configuration exchange: an encoded message of the `config` module.
    #[prost(bytes = "vec", tag = "16")]
    Config(Vec<u8>),
}

/// Asks a holder to reserve tokens.
#[derive(Clone, PartialEq, Message)]
pub struct Reserve {
    /// Request id; the reservation is found by it later.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Name of the budget that is charged.
    #[prost(string, tag = "2")]
    pub budget: String,
    /// Tokens to reserve.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// Workspace for the bill, in case the entry is lost before it settles.
    #[prost(string, tag = "4")]
    pub workspace: String,
    /// Model or service for the bill, in case the entry is lost before it settles.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Smallest amount to reserve when `amount` is not available; 0 when only `amount` will do. The
    /// reply states how many tokens were reserved.
    #[prost(uint64, tag = "6")]
    pub least: u64,
}

/// Reduces a reservation.
#[derive(Clone, PartialEq, Message)]
pub struct Lower {
    /// Request id of the reservation.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Tokens that stay reserved.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
}

/// Reports the tokens that finished attempts used, to be billed by the holder. The entry repeats
/// each item until its bill is durable, so that the loss of a holder loses no bill.
#[derive(Clone, PartialEq, Message)]
pub struct Settle {
    /// Finished attempts whose bills are not known to be durable.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Settlement>,
}

/// Usage of one finished attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Settlement {
    /// Attempt id, under which the holder reserved.
    #[prost(string, tag = "1")]
    pub attempt: String,
    /// Budget to bill, for a holder that has no reservation of the attempt.
    #[prost(string, tag = "2")]
    pub budget: String,
    /// Workspace for the bill.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Model or service for the bill.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Upstream that ran the attempt.
    #[prost(string, tag = "5")]
    pub upstream: String,
    /// Tokens that the attempt used.
    #[prost(uint64, tag = "6")]
    pub tokens: u64,
}

/// A holder's reply to [`Settle`].
#[derive(Clone, PartialEq, Message)]
pub struct Settled {
    /// State of the bill of each item, in the same order.
    #[prost(enumeration = "Billing", repeated, tag = "1")]
    pub items: Vec<i32>,
}

/// State of a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Billing {
    /// The holder accepts no bills.
    Refused = 0,
    /// Accepted, but not durable in the store yet.
    Pending = 1,
    /// Durable in the store.
    Durable = 2,
}

/// Ends a reservation of a request that did not run.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// Announces that a request is about to be sent to a service that keeps no usage records. If no
/// settlement follows, the holder bills the service's price; without an announcement it ends the
/// reservation unbilled.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// Publishes prompts that an engine's load report does not include yet. The message is only a hint
/// for routing: a later one replaces one that was lost.
#[derive(Clone, PartialEq, Message)]
pub struct Pending {
    /// Upstreams whose count changed or is repeated.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Prompts>,
}

/// Prompt tokens that the sender has sent to one upstream and that are not answered yet.
#[derive(Clone, PartialEq, Message)]
pub struct Prompts {
    /// Upstream that the prompts were sent to.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Sum of the prompt tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// Notifies a holder that another one is short of tokens of a budget. The recipient then reads the
/// budget's row at its next flush, so that it can return tokens that it does not need.
#[derive(Clone, PartialEq, Message)]
pub struct Review {
    /// Name of the budget.
    #[prost(string, tag = "1")]
    pub budget: String,
}

/// Asks for a permit to send one request to an upstream that has stated a rate.
#[derive(Clone, PartialEq, Message)]
pub struct Acquire {
    /// What the asker knows about the rate.
    #[prost(message, required, tag = "1")]
    pub stated: Stated,
}

/// The answer of a host that grants permits of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct Acquired {
    /// Whether the request may be sent; it must be sent at once.
    #[prost(bool, tag = "1")]
    pub is_granted: bool,
    /// Without a permit: time until the asker should ask again, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// What the granter knows about the rate; absent when it knows nothing.
    #[prost(message, optional, tag = "3")]
    pub stated: Option<Stated>,
}

/// Publishes what upstreams state about their rates.
#[derive(Clone, PartialEq, Message)]
pub struct Rates {
    /// One item for each upstream.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Stated>,
}

/// What an upstream stated about the rate of requests that it takes from all hosts together.
#[derive(Clone, PartialEq, Message)]
pub struct Stated {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream's process, in milliseconds since 1970. What a process stated does not
    /// hold for the next one.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests per second; absent when the upstream states no rate any more.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// Time since a host received the statement, in microseconds.
    #[prost(uint64, tag = "4")]
    pub age_us: u64,
}

/// Tells which parts of prompts crash upstreams, and which do not.
#[derive(Clone, PartialEq, Message)]
pub struct Parts {
    /// Accused and quarantined parts.
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<Suspect>,
    /// Parts that were accused although upstreams answer requests with them.
    #[prost(fixed64, repeated, tag = "2")]
    pub sound: Vec<u64>,
}

/// A part of prompts at which upstreams ended.
#[derive(Clone, PartialEq, Message)]
pub struct Suspect {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Distinct ends of upstreams that had begun to answer a request with the part.
    #[prost(message, repeated, tag = "2")]
    pub accusations: Vec<Accusation>,
    /// Time until the end of its quarantine, in milliseconds; 0 when it is only suspected.
    #[prost(uint64, tag = "3")]
    pub quarantined_ms: u64,
    /// Parts that were accused together with a quarantined part each time.
    #[prost(fixed64, repeated, tag = "4")]
    pub common: Vec<u64>,
}

/// The end of a process of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct Accusation {
    /// Hash of the upstream and the start of its process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Time since the end, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Parts of the same prompt that were accused with it.
    #[prost(fixed64, repeated, tag = "3")]
    pub companions: Vec<u64>,
}

/// Asks the scheduler of a service to choose an engine for an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Choose {
    /// Number of the attempt, unique at the sender.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Service that the engine must belong to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Length of the prompt in tokens.
    #[prost(uint32, tag = "3")]
    pub prompt: u32,
    /// Limit of output tokens.
    #[prost(uint32, tag = "4")]
    pub output: u32,
    /// Priority; 0 is served first.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
    /// Parts of the prompt that other prompts may share, in order.
    #[prost(message, repeated, tag = "6")]
    pub parts: Vec<Part>,
    /// Engines that were tried.
    #[prost(string, repeated, tag = "7")]
    pub excluded: Vec<String>,
    /// Availability zone of the sender.
    #[prost(string, tag = "8")]
    pub zone: String,
    /// Time after which the attempt has ended, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub timeout_ms: u64,
}

/// A part of a prompt.
#[derive(Clone, PartialEq, Message)]
pub struct Part {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Length in tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// The answer of a scheduler.
#[derive(Clone, PartialEq, Message)]
pub struct Chosen {
    /// Engine for the attempt; empty when the sender has to choose for itself.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Why it was chosen, for the log.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// What became of attempts.
#[derive(Clone, PartialEq, Message)]
pub struct Outcomes {
    /// In the order in which it happened.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Outcome>,
}

/// What became of an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// Number of the attempt at the sender.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// State that the attempt has reached.
    #[prost(enumeration = "AttemptState", tag = "2")]
    pub state: i32,
    /// Tokens of the response, if it is complete.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Pause that the engine asked for, in milliseconds; 0 when it asked for none.
    #[prost(uint64, tag = "4")]
    pub pause_ms: u64,
    /// Time since the attempt was sent, in microseconds.
    #[prost(uint64, tag = "5")]
    pub elapsed_us: u64,
    /// Load that the engine stated.
    #[prost(message, optional, tag = "6")]
    pub load: Option<EngineLoad>,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum AttemptState {
    /// Not stated.
    Unknown = 0,
    /// The first token has arrived.
    FirstToken = 1,
    /// The response is complete.
    Finished = 2,
    /// The attempt was given up for a reason that says nothing about the engine.
    Cancelled = 3,
    /// The engine failed.
    Failed = 4,
    /// The engine refused the request.
    Refused = 5,
}

/// Load that an engine states.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLoad {
    /// Requests that run.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// How long work takes at the moment, relative to the usual time; 0 when unknown.
    #[prost(float, tag = "3")]
    pub slowdown: f32,
}

/// Asks a host that reads the list of upstreams for what has changed in it.
#[derive(Clone, PartialEq, Message)]
pub struct Follow {
    /// Term of the reader that the sender follows; 0 when it has read the list itself.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Sequence of the last item that the sender knows of the term.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Position in the store up to which the sender knows the changes.
    #[prost(uint64, tag = "3")]
    pub position: u64,
    /// Time of the question by the sender's clock, in microseconds; replies repeat it.
    #[prost(uint64, tag = "4")]
    pub asked_us: u64,
}

/// Tells what has changed in the content of entries of the list of upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct News {
    /// Reads of the sender without a fault between them; 0 when it does not read the list, or the
    /// recipient cannot follow from where it is.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Sequence of the first item; the others follow without gaps.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// Changes, in order.
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<Item>,
    /// Whether the items are all up to the position.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// Position in the store up to which the sender has read.
    #[prost(uint64, tag = "5")]
    pub position: u64,
    /// Time since the sender's last read that was answered began, in microseconds.
    #[prost(uint64, tag = "6")]
    pub age_us: u64,
    /// Time of the recipient's last question, by the recipient's clock.
    #[prost(uint64, tag = "7")]
    pub asked_us: u64,
    /// Time since the store answered again after an outage, in microseconds; absent when entries
    /// that lapsed in it have had the time to return.
    #[prost(uint64, optional, tag = "8")]
    pub returned_us: Option<u64>,
    /// Position in the store up to which the items before the first one are.
    #[prost(uint64, tag = "9")]
    pub since: u64,
}

/// A change of an entry of the list of upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct Item {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its entry; absent when it has been removed.
    #[prost(message, optional, tag = "2")]
    pub entry: Option<Entry>,
}

/// An entry of the list of upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Service that the upstream belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address at which it accepts requests.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Region that it runs in.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Availability zone that it runs in.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Number of requests that it runs concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it takes no new work.
    #[prost(bool, tag = "6")]
    pub is_draining: bool,
    /// Start of its process, in milliseconds since 1970.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Time for which it stays cold, in microseconds.
    #[prost(uint64, tag = "8")]
    pub cold_left_us: u64,
}

/// Asks a host how many of its requests run on upstreams that get no new work of that kind.
#[derive(Clone, PartialEq, Message)]
pub struct Count {}

/// A host's reply to [`Count`].
#[derive(Clone, PartialEq, Message)]
pub struct Counted {
    /// Configuration version that determined which upstreams counted as withdrawn.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Number of requests.
    #[prost(uint64, tag = "2")]
    pub running: u64,
}

/// A holder's reply about a reservation.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// Tokens that are reserved; 0 in a reply to another message than [`Reserve`].
    #[prost(uint64, tag = "1")]
    pub tokens: u64,
    /// Why the call was refused, if it was.
    #[prost(enumeration = "Refusal", tag = "2")]
    pub refusal: i32,
}

/// Why a holder refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// The call was not refused.
    None = 0,
    /// The budget has too few tokens left.
    Exhausted = 1,
    /// The holder could not refill in time.
    Unavailable = 2,
    /// Not decided: the reservation waits for a refill, and another reply follows.
    Waiting = 3,
}

/// Why a frame could not be received or sent.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The frame is not a valid message.
    #[display("malformed frame: {_0}")]
    Decode(DecodeError),
    /// The frame has no tag by an accepted fleet key.
    #[display("frame not authenticated by a fleet key")]
    #[from(skip)]
    Forged,
}

/// Shared keys that authenticate frames. The first one signs and all are accepted, which allows
/// rotation without downtime.
#[derive(Clone, Debug)]
pub struct Keys(Vec<Arc<[u8]>>);

impl Keys {
    /// Creates a key ring; the first key signs.
    ///
    /// # Panics
    /// When `keys` is empty.
    pub fn new(keys: Vec<Arc<[u8]>>) -> Self {
        assert!(!keys.is_empty(), "a key ring needs at least one key");
        Self(keys)
    }

    fn sign(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        hmac_sha256(&self.0[0], payload)
    }

    fn verify(&self, payload: &[u8], tag: &[u8]) -> bool {
        self.0
            .iter()
            .any(|key| is_equal_constant_time(&hmac_sha256(key, payload), tag))
    }
}

/// Length of an HMAC-SHA-256 tag.
const TAG_BYTES: usize = 32;
/// Length of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;
/// Block size of SHA-256, to which HMAC pads the key.
const BLOCK_BYTES: usize = 64;

/// Computes the HMAC-SHA-256 tag of a payload (RFC 2104).
fn hmac_sha256(key: &[u8], payload: &[u8]) -> [u8; TAG_BYTES] {
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

/// Compares without an early exit, so that the time does not reveal how many bytes match.
fn is_equal_constant_time(left: &[u8], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |bits, (l, r)| bits | (l ^ r));
    left.len() == right.len() && difference == 0
}

/// Returns the number of bytes that a frame takes on a connection.
pub fn size(frame: &Frame) -> usize {
    LENGTH_BYTES + TAG_BYTES + frame.encoded_len()
}

/// Codec for frames on a connection. A frame is its length, an authentication tag and the message.
#[derive(Debug)]
pub struct Codec {
    keys: Keys,
    inner: LengthDelimitedCodec,
}

impl Codec {
    /// Creates a codec that signs and verifies with `keys`.
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
        let (tag, payload) = bytes.split_at_checked(TAG_BYTES).ok_or(Fault::Forged)?;
        if !self.keys.verify(payload, tag) {
            return Err(Fault::Forged);
        }
        Ok(Some(Frame::decode(payload)?))
    }
}
