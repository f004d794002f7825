//! The hosts of a view, for the request path and for operators.

use {
    super::{
        mark::Phase,
        roster::{Host, Peer},
        view::View,
    },
    crate::id::Version,
};

/// A host as a view knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host as it described itself.
    pub host: Host,
    /// Its phase.
    pub phase: Phase,
    /// Configuration version in effect on it, as last heard.
    pub applied: Version,
    /// Whether it answers.
    pub is_alive: bool,
}

impl View {
    /// Returns all known hosts, this one included.
    pub fn members(&self) -> Vec<Member> {
        let me = Member {
            host: self.me.host.clone(),
            phase: self.me.phase,
            applied: self.me.applied,
            is_alive: true,
        };
        let peers = self.roster.iter().map(Peer::member);
        std::iter::once(me).chain(peers).collect()
    }
}
