//! Reads of the store and messages to peers that keep a host up to date.

use {
    super::{
        log::{CatchUp, Log},
        message::{Body, Copy, Fetch, Packet},
        phase::{Phase, START_PEERS},
        record::{HEAD_KEY, LOG_PREFIX, log_key},
        snapshot::{Assembly, Origin, SNAPSHOT_KEY, part_prefix},
    },
    crate::id::HostId,
    rand::{Rng, seq::IndexedRandom},
    std::{sync::Arc, time::Duration},
};

/// Greatest number of log rows in one scan.
const SCAN_ROWS: usize = 64;
/// Greatest number of snapshot rows in one scan.
const SCAN_PARTS: usize = 4;
/// Greatest number of versions that are pushed; a host that is further behind fetches them.
const PUSH_LIMIT_VERSIONS: u64 = 8;

/// Whether a host reads the log from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads the store at [`Settings::poll_interval`](super::Settings::poll_interval).
    Poller,
    /// Gets versions from peers; reads the store only when it starts, or when they fail to bring
    /// it up to date.
    Follower,
}

/// A read of the table service, with the input of the [`Log`] that applies its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The row [`HEAD_KEY`], for [`Log::apply_head`].
    Head,
    /// Rows of the log after a key, for [`Log::apply_rows`].
    Rows {
        /// Key after which the rows start.
        after: Arc<str>,
        /// Greatest number of rows.
        limit: usize,
    },
    /// The row [`SNAPSHOT_KEY`], for [`Log::apply_pointer`].
    Pointer,
    /// Rows of a snapshot, for [`Log::apply_parts`].
    Parts {
        /// Prefix of the keys.
        prefix: Arc<str>,
        /// Key after which the rows start.
        after: Arc<str>,
        /// Greatest number of rows.
        limit: usize,
    },
}

impl Read {
    /// Returns the key of a single row to get, or the prefix to scan.
    pub fn key(&self) -> &str {
        match self {
            Self::Head => HEAD_KEY,
            Self::Rows { .. } => LOG_PREFIX,
            Self::Pointer => SNAPSHOT_KEY,
            Self::Parts { prefix, .. } => prefix,
        }
    }
}

/// What the driver does after [`Log::tick`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads rows of the table service.
    Read(Read),
    /// Sends a message to a peer.
    Send(HostId, Packet),
}

impl Log {
    /// Returns the reads and messages that are due. `peers` are the other hosts that are alive.
    pub fn tick(
        &mut self,
        now: Duration,
        role: Role,
        peers: &[HostId],
        random: &mut impl Rng,
    ) -> Vec<Action> {
        if now > self.last_tick + self.settings.pause_limit && !self.phase.is_starting() {
            self.phase = Phase::resume(now);
            self.last_poll = None;
        }
        self.last_tick = now;
        let lag = self.newest_known() - self.version();
        self.behind_since = self.behind_since.or(Some(now)).filter(|_| lag > 0);
        let startup_grace = self.settings.startup_grace;
        self.phase.advance(now, startup_grace, peers.len(), lag);
        let mut actions = self.push(peers, random);
        actions.extend(self.query_store(now, role).map(Action::Read));
        actions.extend(self.query_peers(now, peers, random));
        actions
    }

    fn push(&mut self, peers: &[HostId], random: &mut impl Rng) -> Vec<Action> {
        let Some(first) = self.unpushed.take() else {
            return Vec::new();
        };
        if self.phase.is_starting() || self.version() - first >= PUSH_LIMIT_VERSIONS {
            return Vec::new();
        }
        let message = self.versions_from(first);
        let chosen = peers.choose_multiple(random, self.settings.push_fanout);
        let send =
            |peer: &HostId| Action::Send(peer.clone(), packet(Body::Versions(message.clone())));
        chosen.map(send).collect()
    }

    fn query_store(&mut self, now: Duration, role: Role) -> Option<Read> {
        if now < self.store_deadline {
            return None;
        }
        let read = self.next_read(now, role)?;
        self.store_deadline = now + self.settings.answer_timeout;
        if read == Read::Head {
            self.last_poll = Some(now);
        }
        Some(read)
    }

    fn next_read(&self, now: Duration, role: Role) -> Option<Read> {
        if let Some(assembly) = &self.assembly
            && matches!(assembly.origin, Origin::Store(_))
        {
            return Some(read_parts(assembly));
        }
        let is_out_of_contact = now >= self.last_contact + self.settings.silence_timeout;
        let is_overdue = |since| now >= since + self.settings.answer_timeout;
        let is_reader = role == Role::Poller
            || self.phase.is_starting()
            || is_out_of_contact
            || self.behind_since.is_some_and(is_overdue);
        let interval = self.settings.poll_interval;
        let is_due = self.last_poll.is_none_or(|last| now >= last + interval);
        if is_reader && is_due {
            return Some(Read::Head);
        }
        if !is_reader || self.newest_known() == self.version() {
            return None;
        }
        match self.catch_up {
            CatchUp::Snapshot => Some(Read::Pointer),
            _ => Some(Read::Rows {
                after: log_key(self.version()).into(),
                limit: SCAN_ROWS,
            }),
        }
    }

    fn query_peers(
        &mut self,
        now: Duration,
        peers: &[HostId],
        random: &mut impl Rng,
    ) -> Vec<Action> {
        if now < self.peer_deadline {
            return Vec::new();
        }
        let actions = self.next_queries(peers, random);
        if !actions.is_empty() {
            self.peer_deadline = now + self.settings.answer_timeout / 4;
        }
        actions
    }

    fn next_queries(&mut self, peers: &[HostId], random: &mut impl Rng) -> Vec<Action> {
        let is_behind = self.newest_known() > self.version();
        if is_behind && let Some((peer, copy)) = self.next_copy() {
            return vec![Action::Send(peer, packet(Body::Copy(copy)))];
        }
        let after = self.version();
        let fetch =
            |peer: &HostId| Action::Send(peer.clone(), packet(Body::Fetch(Fetch { after })));
        if self.phase.is_starting() {
            let chosen = peers.choose_multiple(random, START_PEERS);
            return chosen.map(fetch).collect();
        }
        if !is_behind {
            return Vec::new();
        }
        // The peer that was last seen ahead is asked once; if it does not answer, then any peer.
        let peer_ahead = self.peer_ahead.take().filter(|peer| peers.contains(peer));
        let chosen = peer_ahead.or_else(|| peers.choose(random).cloned());
        chosen.iter().map(fetch).collect()
    }

    /// Returns the next part of a peer's tree to request, and the peer. A copy is dropped when its
    /// peer did not answer the last request.
    fn next_copy(&mut self) -> Option<(HostId, Copy)> {
        if let Some(assembly) = self.assembly.as_mut()
            && let Origin::Peer(peer) = &assembly.origin
        {
            if assembly.is_requested {
                self.assembly = None;
                return None;
            }
            assembly.is_requested = true;
            let copy = Copy {
                version: assembly.version,
                after: assembly.last().map(ToString::to_string).unwrap_or_default(),
            };
            return Some((peer.clone(), copy));
        }
        let CatchUp::Copy(peer) = &self.catch_up else {
            return None;
        };
        let peer = peer.clone();
        self.catch_up = CatchUp::Records;
        Some((peer, Copy::default()))
    }
}

fn packet(body: Body) -> Packet {
    Packet { body: Some(body) }
}

fn read_parts(assembly: &Assembly) -> Read {
    Read::Parts {
        prefix: part_prefix(assembly.version).into(),
        after: assembly.last_key().into(),
        limit: SCAN_PARTS,
    }
}
