//! List of the known hosts, for the request path and for operators.

use {
    super::{
        mark::Phase,
        peer::{Host, Peer},
        view::View,
    },
    crate::id::Version,
};

/// State of a host as a [`View`] knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Description that the host gives of itself.
    pub host: Host,
    /// Latest known phase.
    pub phase: Phase,
    /// Latest known configuration version in effect on the host.
    pub applied: Version,
    /// Whether the host counts as alive: it has not stopped, and other hosts get answers from it.
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
        let peers = self.peers.iter().map(Peer::member);
        std::iter::once(me).chain(peers).collect()
    }
}
