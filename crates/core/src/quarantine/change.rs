//! What changes, and who has to be told.

use super::PartId;

/// Hosts that have to be told about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// The hosts that count its accusations, see [`judges`](super::judges).
    Judges,
    /// All hosts.
    All,
}

/// What a host knows about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It was accused at this number of distinct ends of upstreams.
    Suspected(usize),
    /// It is quarantined, and was accused at this number of ends that this host knows.
    Quarantined(usize),
    /// It is neither.
    Sound,
}

/// A change of what a host knows about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: PartId,
    /// Its state from now on.
    pub state: State,
    /// Hosts that have to be told, if any.
    pub audience: Option<Audience>,
}

/// What follows from a message of another host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Learned {
    /// Accused parts that this host knows to be sound; the sender has to be told.
    pub contradicted: Vec<PartId>,
    /// Changes of what this host knows.
    pub changes: Vec<Change>,
}
