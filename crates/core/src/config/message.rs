//! Messages between hosts about configuration.

use prost::{Message, Oneof};

/// Content of `wire::Body::Config`.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Question or answer.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// Question or answer of a [`Packet`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Asks for versions.
    #[prost(message, tag = "1")]
    Fetch(Fetch),
    /// Carries versions, as an answer or unasked.
    #[prost(message, tag = "2")]
    Versions(Versions),
    /// Asks for a part of the whole tree.
    #[prost(message, tag = "3")]
    Copy(Copy),
    /// Carries a part of the whole tree.
    #[prost(message, tag = "4")]
    Piece(Piece),
}

/// Asks for the versions after the sender's own.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Fetch {
    /// Version of the sender.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// Consecutive versions.
#[derive(Clone, PartialEq, Message)]
pub struct Versions {
    /// Version of the sender.
    #[prost(uint64, tag = "1")]
    pub newest: u64,
    /// Whether the sender itself has caught up and takes work.
    #[prost(bool, tag = "2")]
    pub is_serving: bool,
    /// Log rows in order, as JSON. Empty although `newest` is greater than asked for when the
    /// sender no longer has the rows.
    #[prost(string, repeated, tag = "3")]
    pub records: Vec<String>,
    /// Whether this answers a [`Fetch`].
    #[prost(bool, tag = "4")]
    pub is_answer: bool,
}

/// Asks for the nodes of the tree after a path.
#[derive(Clone, PartialEq, Message)]
pub struct Copy {
    /// Version of the tree that is being copied; 0 for the first part.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Last path that the sender has; empty for the first part.
    #[prost(string, tag = "2")]
    pub after: String,
}

/// Nodes of the tree of a version.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    /// Version of the tree.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Path that the part follows.
    #[prost(string, tag = "2")]
    pub after: String,
    /// Nodes by path, as JSON.
    #[prost(string, tag = "3")]
    pub nodes: String,
    /// Whether this is the last part.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
}
