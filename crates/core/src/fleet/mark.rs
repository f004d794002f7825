//! Messages of the membership exchange.
//!
//! Knowledge about hosts and upstreams is spread as marks. A mark holds one versioned fact about
//! one subject; of two marks with the same subject, the newer one is kept.

use prost::{Enumeration, Message, Oneof};

/// A message of the membership exchange, the content of `wire::Body::Gossip`.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// Configuration version in effect on the sender.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest: a hash of each bucket of the sender's marks. Empty in most messages.
    #[prost(fixed64, repeated, tag = "2")]
    pub buckets: Vec<u64>,
    /// Marks that the sender learned recently. An answer to a digest also contains the marks of the
    /// buckets that differ.
    #[prost(message, repeated, tag = "3")]
    pub marks: Vec<Mark>,
    /// Purpose, which determines whether the message is answered.
    #[prost(enumeration = "Kind", tag = "4")]
    pub kind: i32,
}

/// Purpose of a [`Gossip`] message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Regular exchange; the recipient answers.
    Exchange = 0,
    /// Answer to an exchange; not answered itself.
    Answer = 1,
    /// Urgent marks between the regular exchanges; not answered.
    Urgent = 2,
}

/// A versioned fact, which replaces an older one about the same subject.
#[derive(Clone, PartialEq, Message)]
pub struct Mark {
    /// Subject, version and content; absent when the sender uses a kind that is unknown here.
    #[prost(oneof = "Fact", tags = "1, 2, 3, 4, 5")]
    pub fact: Option<Fact>,
}

/// Content of a [`Mark`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Fact {
    /// State of a host, by the host itself.
    #[prost(message, tag = "1")]
    Host(HostMark),
    /// Configuration version in effect on a host, by the host itself.
    #[prost(message, tag = "2")]
    Applied(Applied),
    /// A host does not answer, according to another host.
    #[prost(message, tag = "3")]
    Suspicion(Suspicion),
    /// State of an upstream, according to a host.
    #[prost(message, tag = "4")]
    Report(Report),
    /// Model that an upstream holds, according to a host.
    #[prost(message, tag = "5")]
    Held(Held),
}

/// Stage in the life of a host's process. It only ever increases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Loads its configuration and takes no work yet.
    Joining = 0,
    /// Takes work.
    Ready = 1,
    /// Finishes its work and takes no new work.
    Draining = 2,
    /// Has stopped.
    Gone = 3,
}

/// State of a host. Of two marks, the one with the greater incarnation is newer; with equal
/// incarnations, the one with the greater revision.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostMark {
    /// Host that the mark describes.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of the host's process, greater for each start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Incremented by the host with each change, and to refute a suspicion.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// A [`Phase`].
    #[prost(enumeration = "Phase", tag = "4")]
    pub phase: i32,
    /// Region of the host.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Availability zone of the host.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Address at which the host accepts the internal protocol.
    #[prost(string, tag = "7")]
    pub address: String,
    /// Size relative to other hosts.
    #[prost(uint32, tag = "8")]
    pub weight: u32,
}

/// Configuration version in effect on a host. The greatest version of an incarnation is the newest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Applied {
    /// Host that applied the version.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation of the host.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Configuration version in effect.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Statement that a host does not answer. The host refutes it with a greater revision.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Suspicion {
    /// Host that does not answer.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its incarnation as known to the reporter.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its revision as known to the reporter.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Host that got no answer.
    #[prost(string, tag = "4")]
    pub reporter: String,
}

/// Content of a [`Report`] about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum Evidence {
    /// Revokes the reporter's earlier evidence.
    Clear = 0,
    /// Requests or probes of the reporter fail.
    Failing = 1,
    /// The upstream itself stated that it is leaving.
    Leaving = 2,
}

/// State of an upstream according to a host. Of one reporter, the report with the greatest
/// incarnation and then the greatest sequence is the newest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Report {
    /// Upstream that the report is about.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Host that reports.
    #[prost(string, tag = "2")]
    pub reporter: String,
    /// Incarnation of the reporter.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Incremented by the reporter with each report on any upstream.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// An [`Evidence`].
    #[prost(enumeration = "Evidence", tag = "5")]
    pub evidence: i32,
}

/// Model that an upstream holds, according to a host's probe. The mark with the greatest sequence
/// and then the greatest reporter is the newest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Held {
    /// Upstream that was probed.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Host that probed it.
    #[prost(string, tag = "2")]
    pub reporter: String,
    /// One greater than that of the mark which this one replaces.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Name of the model; empty while the upstream holds none.
    #[prost(string, tag = "4")]
    pub model: String,
}

impl From<Fact> for Mark {
    fn from(fact: Fact) -> Self {
        Self { fact: Some(fact) }
    }
}

/// Identity of a mark. A newer mark replaces an older one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Subject {
    Host(String),
    Applied(String),
    /// Suspected host and reporter.
    Suspicion(String, String),
    /// Upstream and reporter.
    Report(String, String),
    Held(String),
}

impl Fact {
    pub(super) fn subject(&self) -> Subject {
        match self {
            Self::Host(mark) => Subject::Host(mark.id.clone()),
            Self::Applied(mark) => Subject::Applied(mark.id.clone()),
            Self::Suspicion(mark) => Subject::Suspicion(mark.id.clone(), mark.reporter.clone()),
            Self::Report(mark) => Subject::Report(mark.upstream.clone(), mark.reporter.clone()),
            Self::Held(mark) => Subject::Held(mark.upstream.clone()),
        }
    }
}
