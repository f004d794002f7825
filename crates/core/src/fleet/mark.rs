//! Messages of the membership exchange.

use prost::{Enumeration, Message, Oneof};

/// Content of `wire::Body::Gossip`.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// Configuration version in effect on the sender.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Hashes of the sender's marks by bucket; empty except for the occasional repair.
    #[prost(fixed64, repeated, tag = "2")]
    pub buckets: Vec<u64>,
    /// Marks that the sender learned recently, or those of buckets that differ.
    #[prost(message, repeated, tag = "3")]
    pub marks: Vec<Mark>,
    /// What the message is.
    #[prost(enumeration = "Kind", tag = "4")]
    pub kind: i32,
}

/// What a [`Gossip`] message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Regular exchange; the recipient answers.
    Exchange = 0,
    /// Answer to an exchange.
    Answer = 1,
    /// Urgent marks between the regular exchanges; not answered.
    Urgent = 2,
}

/// One fact, which replaces an older one about the same subject.
#[derive(Clone, PartialEq, Message)]
pub struct Mark {
    /// Fact.
    #[prost(oneof = "Fact", tags = "1, 2, 3, 4, 5")]
    pub fact: Option<Fact>,
}

/// Fact of a [`Mark`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Fact {
    /// State of a host, by itself.
    #[prost(message, tag = "1")]
    Host(HostMark),
    /// Configuration version in effect on a host, by itself.
    #[prost(message, tag = "2")]
    Applied(Applied),
    /// A host does not answer, by another host.
    #[prost(message, tag = "3")]
    Suspicion(Suspicion),
    /// State of an upstream, by a host.
    #[prost(message, tag = "4")]
    Report(Report),
    /// Model that an upstream holds, by a host.
    #[prost(message, tag = "5")]
    Held(Held),
}

/// Life cycle of a host; it only goes forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Loads its configuration.
    Joining = 0,
    /// Takes work.
    Ready = 1,
    /// Finishes its work.
    Draining = 2,
    /// Has stopped.
    Gone = 3,
}

/// State of a host. The greatest incarnation, then the greatest revision is the newest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostMark {
    /// Host.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the host's process; greater for each start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Raised by the host with each change and to refute a suspicion.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Phase.
    #[prost(enumeration = "Phase", tag = "4")]
    pub phase: i32,
    /// Region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Address of the internal protocol.
    #[prost(string, tag = "7")]
    pub address: String,
    /// Relative size.
    #[prost(uint32, tag = "8")]
    pub weight: u32,
}

/// Configuration version in effect on a host.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Applied {
    /// Host.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the host's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A host does not answer.
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
    /// Host that asked.
    #[prost(string, tag = "4")]
    pub reporter: String,
}

/// What a host reports about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum Evidence {
    /// Nothing is wrong any more.
    Clear = 0,
    /// Requests or probes fail.
    Failing = 1,
    /// The upstream itself said that it is leaving.
    Leaving = 2,
}

/// State of an upstream as seen by a host.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Report {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Host that reports.
    #[prost(string, tag = "2")]
    pub reporter: String,
    /// Start of the reporter's process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Raised by the reporter with each report.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// What was seen.
    #[prost(enumeration = "Evidence", tag = "5")]
    pub evidence: i32,
}

/// Model that an upstream holds, as seen by a host. The greatest sequence, then the greatest
/// reporter is the newest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Held {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Host that reports.
    #[prost(string, tag = "2")]
    pub reporter: String,
    /// Greater than that of the report which this one replaces.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Model; empty while the upstream holds none.
    #[prost(string, tag = "4")]
    pub model: String,
}

impl From<Fact> for Mark {
    fn from(fact: Fact) -> Self {
        Self { fact: Some(fact) }
    }
}

/// What a mark is about; a newer mark replaces an older one of the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Subject {
    Host(String),
    Applied(String),
    Suspicion(String, String),
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
