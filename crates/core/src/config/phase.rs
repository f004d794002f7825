//! Whether a host has caught up and may take work.

use {
    crate::id::{HostId, Version},
    derive_more::{Display, Error},
    std::{collections::BTreeSet, time::Duration},
};

/// Peers that a starting host asks.
pub(super) const START_PEERS: usize = 3;

/// Why a host takes no new work.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum NotReady {
    /// The host has not yet applied the newest version that store or peers know.
    #[display("the configuration has not been loaded")]
    Starting,
    /// Neither store nor peers were heard for longer than the setting `stale_limit`.
    #[display("no contact with store or peers for {} s", _0.as_secs())]
    Stale(#[error(not(source))] Duration),
}

/// Life cycle of a host's configuration.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Waits for answers.
    Starting(Answers),
    /// Takes work.
    Serving,
}

/// Answers since a start or a pause.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    /// Whether the store answered.
    has_store: bool,
    /// Peers that answered and take work themselves; at most [`START_PEERS`] are counted.
    peers: BTreeSet<HostId>,
    /// Time of the first answer.
    first: Option<Duration>,
    /// Set after a pause: the host then has a configuration to go on with when nobody answers.
    resumed: Option<Duration>,
}

impl Phase {
    pub(super) fn start() -> Self {
        Self::Starting(Answers::default())
    }

    pub(super) fn resume(now: Duration) -> Self {
        Self::Starting(Answers {
            resumed: Some(now),
            ..Answers::default()
        })
    }

    pub(super) fn is_starting(&self) -> bool {
        matches!(self, Self::Starting(_))
    }

    pub(super) fn store(&mut self, now: Duration) {
        if let Self::Starting(answers) = self {
            answers.has_store = true;
            answers.first.get_or_insert(now);
        }
    }

    /// A peer that has not caught up itself shows a version but does not vouch for it.
    pub(super) fn peer(&mut self, now: Duration, peer: &HostId, is_serving: bool) {
        if let Self::Starting(answers) = self
            && is_serving
            && answers.peers.len() < START_PEERS
        {
            answers.peers.insert(peer.clone());
            answers.first.get_or_insert(now);
        }
    }

    /// Starts serving when enough answers are in and the newest known version is in effect.
    pub(super) fn advance(
        &mut self,
        now: Duration,
        startup_grace: Duration,
        peers: usize,
        lag: Version,
    ) {
        let Self::Starting(answers) = self else {
            return;
        };
        let is_over =
            |since: Option<Duration>| since.is_some_and(|since| now >= since + startup_grace);
        let is_complete = answers.has_store && answers.peers.len() >= peers.min(START_PEERS);
        let is_answered = is_complete && peers > 0 || is_over(answers.first);
        if lag == 0 && is_answered || is_over(answers.resumed) {
            *self = Self::Serving;
        }
    }
}
