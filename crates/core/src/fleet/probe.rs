//! Which peers answer.

use {
    crate::id::HostId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// An exchange that is not answered by then counts as missed.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Consecutive misses after which a host suspects a peer.
const MISS_LIMIT: u32 = 3;
/// Latest exchanges by which a host judges its own connection.
const HISTORY: u32 = 8;
/// A host that misses more of its latest answers than this is itself the likely fault, and does
/// not report others.
const HISTORY_MISSES: u32 = 5;
/// Peers that are to be asked again.
const RETRY_LIMIT: usize = 32;
/// Peers that are asked again in one round.
const RETRIES: usize = 2;

/// Why an exchange takes place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attempt {
    /// The peer was chosen at random.
    Random,
    /// The peer missed an answer or is suspected. Does not count for the judgement of the host's
    /// own connection: the peers asked again are not a fair sample.
    Again,
}

/// Exchanges under way, and the outcome of the latest.
#[derive(Debug, Default)]
pub(super) struct Probes {
    open: BTreeMap<HostId, (Duration, Attempt)>,
    misses: BTreeMap<HostId, u32>,
    retries: VecDeque<HostId>,
    /// One bit for each of the latest exchanges with peers chosen at random, set when it was missed.
    history: u8,
}

impl Probes {
    pub(super) fn sent(&mut self, now: Duration, peer: &HostId, attempt: Attempt) {
        self.open.entry(peer.clone()).or_insert((now, attempt));
    }

    pub(super) fn answered(&mut self, peer: &HostId) {
        if let Some((_, Attempt::Random)) = self.open.remove(peer) {
            self.history <<= 1;
        }
        self.misses.remove(peer);
    }

    /// Returns the peers that missed so many answers that they are suspect.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<HostId> {
        let late = |sent: Duration| now >= sent + ANSWER_TIME;
        let missed: Vec<_> = self
            .open
            .iter()
            .filter(|(_, (sent, _))| late(*sent))
            .map(|(peer, _)| peer.clone())
            .collect();
        let mut suspects = Vec::new();
        for peer in missed {
            if let Some((_, Attempt::Random)) = self.open.remove(&peer) {
                self.history = self.history << 1 | 1;
            }
            let misses = self.misses.entry(peer.clone()).or_default();
            *misses += 1;
            if *misses >= MISS_LIMIT {
                suspects.push(peer.clone());
            }
            self.retry(peer);
        }
        suspects
    }

    /// Asks a peer in one of the next rounds.
    pub(super) fn retry(&mut self, peer: HostId) {
        if self.retries.len() < RETRY_LIMIT && !self.retries.contains(&peer) {
            self.retries.push_back(peer);
        }
    }

    pub(super) fn take_retries(&mut self) -> Vec<HostId> {
        let count = self.retries.len().min(RETRIES);
        self.retries.drain(..count).collect()
    }

    /// Drops what is kept of peers that are no longer alive.
    pub(super) fn retain(&mut self, is_alive: impl Fn(&HostId) -> bool) {
        self.misses.retain(|peer, _| is_alive(peer));
        self.retries.retain(&is_alive);
    }

    /// Returns whether this host's own connection is the likely fault.
    pub(super) fn is_isolated(&self) -> bool {
        debug_assert_eq!(HISTORY, u8::BITS);
        self.history.count_ones() > HISTORY_MISSES
    }
}
