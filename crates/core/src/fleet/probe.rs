//! Failure detection by exchanges that peers do not answer.

use {
    crate::id::HostId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time after which an exchange without an answer counts as missed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Consecutive missed answers after which a host suspects a peer.
const MISS_THRESHOLD: u32 = 3;
/// Number of latest exchanges by which a host judges its own connection.
const HISTORY_LEN: u32 = 8;
/// Missed answers among the latest exchanges. Above this limit the host's own connection is the
/// likely cause, and it does not report others.
const HISTORY_MISS_LIMIT: u32 = 5;
/// Limit on the peers that wait for another exchange.
const RETRY_QUEUE_LIMIT: usize = 32;
/// Peers that get another exchange in one round.
const RETRIES_PER_ROUND: usize = 2;

/// How the peer of an exchange was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Selection {
    /// At random among the peers that are alive.
    Random,
    /// Because it missed an answer, is suspected, or is listed but not known as alive. Such
    /// exchanges do not count when a host judges its own connection, because these peers are not a
    /// fair sample.
    Directed,
}

/// Exchanges that wait for an answer, and the outcome of the latest ones.
#[derive(Debug, Default)]
pub(super) struct Probes {
    /// Send time and selection of each exchange that waits for an answer.
    pending: BTreeMap<HostId, (Duration, Selection)>,
    /// Consecutive missed answers.
    misses: BTreeMap<HostId, u32>,
    retries: VecDeque<HostId>,
    /// One bit for each of the latest exchanges with randomly chosen peers, set when the answer was
    /// missed; the lowest bit is the latest.
    history: u8,
}

impl Probes {
    pub(super) fn record_sent(&mut self, now: Duration, peer: &HostId, selection: Selection) {
        self.pending.entry(peer.clone()).or_insert((now, selection));
    }

    pub(super) fn record_answer(&mut self, peer: &HostId) {
        if let Some((_, Selection::Random)) = self.pending.remove(peer) {
            self.history <<= 1;
        }
        self.misses.remove(peer);
    }

    /// Counts exchanges whose answer is overdue as missed. Returns the peers that reached the
    /// threshold of consecutive misses.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<HostId> {
        let is_late = |sent: Duration| now >= sent + ANSWER_TIMEOUT;
        let missed: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, (sent, _))| is_late(*sent))
            .map(|(peer, _)| peer.clone())
            .collect();
        let mut suspects = Vec::new();
        for peer in missed {
            if let Some((_, Selection::Random)) = self.pending.remove(&peer) {
                self.history = self.history << 1 | 1;
            }
            let misses = self.misses.entry(peer.clone()).or_default();
            *misses += 1;
            if *misses >= MISS_THRESHOLD {
                suspects.push(peer.clone());
            }
            self.schedule_retry(peer);
        }
        suspects
    }

    /// Queues another exchange with a peer for one of the next rounds.
    pub(super) fn schedule_retry(&mut self, peer: HostId) {
        if self.retries.len() < RETRY_QUEUE_LIMIT && !self.retries.contains(&peer) {
            self.retries.push_back(peer);
        }
    }

    /// Removes from the queue the peers that get another exchange in this round.
    pub(super) fn take_retries(&mut self) -> Vec<HostId> {
        let count = self.retries.len().min(RETRIES_PER_ROUND);
        self.retries.drain(..count).collect()
    }

    /// Removes the state of peers that are no longer alive.
    pub(super) fn retain(&mut self, is_alive: impl Fn(&HostId) -> bool) {
        self.misses.retain(|peer, _| is_alive(peer));
        self.retries.retain(&is_alive);
    }

    /// Returns whether so many answers were missed that this host's own connection is the likely
    /// cause.
    pub(super) fn is_isolated(&self) -> bool {
        debug_assert_eq!(HISTORY_LEN, u8::BITS);
        self.history.count_ones() > HISTORY_MISS_LIMIT
    }
}
