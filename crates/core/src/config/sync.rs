//! What a host actions the store and its peers for.

use {
    super::{
        log::{Log, Want},
        message::{Body, Copy, Fetch, Packet},
        phase::{Phase, START_PEERS},
        record::{HEAD_KEY, LOG_PREFIX, log_key},
        snapshot::{Assembly, Origin, SNAPSHOT_KEY, part_prefix},
    },
    crate::id::HostId,
    rand::{Rng, seq::IndexedRandom},
    std::{sync::Arc, time::Duration},
};

/// Log rows of one scan.
const SCAN_ROWS: usize = 64;
/// Snapshot rows of one scan.
const SCAN_PARTS: usize = 4;
/// A message pushed unasked carries at most this many versions; a host further behind fetches.
const PUSH_VERSIONS: u64 = 8;

/// Whether a host reads the log from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads the store regularly.
    Poller,
    /// Gets versions from peers.
    Follower,
}

/// A question to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The row [`HEAD_KEY`], for [`Log::apply_head`].
    Head,
    /// Rows of the log after a key, for [`Log::apply_rows`].
    Rows {
        /// Last key that is known.
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
        /// Last key that is known.
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

/// A question to ask.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// To the table service.
    Read(Read),
    /// To a peer.
    Send(HostId, Packet),
}

impl Log {
    /// Returns the questions to ask now. `peers` are the other hosts that are alive.
    pub fn tick(
        &mut self,
        now: Duration,
        role: Role,
        peers: &[HostId],
        random: &mut impl Rng,
    ) -> Vec<Action> {
        if now > self.ticked + self.settings.pause_limit && !self.phase.is_starting() {
            self.phase = Phase::resume(now);
            self.polled = None;
        }
        self.ticked = now;
        let lag = self.newest_known() - self.version();
        self.behind = self.behind.or(Some(now)).filter(|_| lag > 0);
        let startup_grace = self.settings.startup_grace;
        self.phase.advance(now, startup_grace, peers.len(), lag);
        let mut actions = self.push(peers, random);
        actions.extend(self.read(now, role).map(Action::Read));
        actions.extend(self.ask(now, peers, random));
        actions
    }

    fn push(&mut self, peers: &[HostId], random: &mut impl Rng) -> Vec<Action> {
        let Some(first) = self.unpushed.take() else {
            return Vec::new();
        };
        if self.phase.is_starting() || self.version() - first >= PUSH_VERSIONS {
            return Vec::new();
        }
        let message = self.message(first);
        let chosen = peers.choose_multiple(random, self.settings.push_fanout);
        let send =
            |peer: &HostId| Action::Send(peer.clone(), packet(Body::Versions(message.clone())));
        chosen.map(send).collect()
    }

    fn read(&mut self, now: Duration, role: Role) -> Option<Read> {
        if now < self.store_until {
            return None;
        }
        let read = self.next_read(now, role)?;
        self.store_until = now + self.settings.answer_timeout;
        if read == Read::Head {
            self.polled = Some(now);
        }
        Some(read)
    }

    fn next_read(&self, now: Duration, role: Role) -> Option<Read> {
        if let Some(assembly) = &self.assembly
            && matches!(assembly.origin, Origin::Store(_))
        {
            return Some(parts(assembly));
        }
        let is_silent = now >= self.contact + self.settings.silence_timeout;
        let is_stuck = |since| now >= since + self.settings.answer_timeout;
        let is_reader = role == Role::Poller
            || self.phase.is_starting()
            || is_silent
            || self.behind.is_some_and(is_stuck);
        let interval = self.settings.poll_interval;
        let is_due = self.polled.is_none_or(|polled| now >= polled + interval);
        if is_reader && is_due {
            return Some(Read::Head);
        }
        if !is_reader || self.newest_known() == self.version() {
            return None;
        }
        match self.want {
            Want::Snapshot => Some(Read::Pointer),
            _ => Some(Read::Rows {
                after: log_key(self.version()).into(),
                limit: SCAN_ROWS,
            }),
        }
    }

    fn ask(&mut self, now: Duration, peers: &[HostId], random: &mut impl Rng) -> Vec<Action> {
        if now < self.peer_until {
            return Vec::new();
        }
        let actions = self.next_ask(peers, random);
        if !actions.is_empty() {
            self.peer_until = now + self.settings.answer_timeout / 4;
        }
        actions
    }

    fn next_ask(&mut self, peers: &[HostId], random: &mut impl Rng) -> Vec<Action> {
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
        // A peer that does not answer is asked once; then any other.
        let ahead = self.ahead.take().filter(|peer| peers.contains(peer));
        let chosen = ahead.or_else(|| peers.choose(random).cloned());
        chosen.iter().map(fetch).collect()
    }

    /// Returns the next part of a peer's tree to ask for. A copy from a peer that did not answer
    /// is dropped.
    fn next_copy(&mut self) -> Option<(HostId, Copy)> {
        if let Some(assembly) = self.assembly.as_mut()
            && let Origin::Peer(peer) = &assembly.origin
        {
            if assembly.is_asked {
                self.assembly = None;
                return None;
            }
            assembly.is_asked = true;
            let copy = Copy {
                version: assembly.version,
                after: assembly.last().map(ToString::to_string).unwrap_or_default(),
            };
            return Some((peer.clone(), copy));
        }
        let Want::Copy(peer) = &self.want else {
            return None;
        };
        let peer = peer.clone();
        self.want = Want::Records;
        Some((peer, Copy::default()))
    }
}

fn packet(body: Body) -> Packet {
    Packet { body: Some(body) }
}

fn parts(assembly: &Assembly) -> Read {
    Read::Parts {
        prefix: part_prefix(assembly.version).into(),
        after: assembly.last_key().into(),
        limit: SCAN_PARTS,
    }
}
