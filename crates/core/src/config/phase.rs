//! Whether a host has caught up and may take work.

use {
    crate::id::{HostId, Version},
    derive_more::{Display, Error},
    std::{collections::BTreeSet, time::Duration},
};

/// Greatest number of peers that a starting host asks.
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
    /// Waits for answers of the store and peers; takes no work.
    Starting(Answers),
    /// Takes work.
    Serving,
}

/// Answers since a start or a pause.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    /// Whether the store answered.
    has_store_answer: bool,
    /// Peers that answered and take work themselves; at most [`START_PEERS`] are counted.
    peers: BTreeSet<HostId>,
    /// Time of the first answer.
    first_at: Option<Duration>,
    /// When the host resumed after a pause. It then has a configuration, with which it continues
    /// if nobody answers.
    resumed_at: Option<Duration>,
}

impl Phase {
    pub(super) fn start() -> Self {
        Self::Starting(Answers::default())
    }

    pub(super) fn resume(now: Duration) -> Self {
        Self::Starting(Answers {
            resumed_at: Some(now),
            ..Answers::default()
        })
    }

    pub(super) fn is_starting(&self) -> bool {
        matches!(self, Self::Starting(_))
    }

    pub(super) fn record_store_answer(&mut self, now: Duration) {
        if let Self::Starting(answers) = self {
            answers.has_store_answer = true;
            answers.first_at.get_or_insert(now);
        }
    }

    /// Records the answer of a peer. One that has not caught up itself is not counted: the version
    /// that it shows need not be the newest.
    pub(super) fn record_peer_answer(&mut self, now: Duration, peer: &HostId, is_serving: bool) {
        if let Self::Starting(answers) = self
            && is_serving
            && answers.peers.len() < START_PEERS
        {
            answers.peers.insert(peer.clone());
            answers.first_at.get_or_insert(now);
        }
    }

    /// Starts serving when enough answers are in and the newest known version is in effect, and
    /// after a pause in any case once `startup_grace` has passed.
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
        let has_waited =
            |since: Option<Duration>| since.is_some_and(|since| now >= since + startup_grace);
        let is_complete = answers.has_store_answer && answers.peers.len() >= peers.min(START_PEERS);
        let is_answered = is_complete && peers > 0 || has_waited(answers.first_at);
        if lag == 0 && is_answered || has_waited(answers.resumed_at) {
            *self = Self::Serving;
        }
    }
}
