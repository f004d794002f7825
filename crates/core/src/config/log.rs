//! The configuration log, as one host has applied it.

use {
    super::{
        Catalog, Record, Tree,
        message::{Body, Packet, Piece, Versions},
        phase::{NotReady, Phase},
        record::{Head, decode},
        snapshot::{Assembly, Origin, Pointer},
    },
    crate::{
        id::{HostId, Version},
        table::Row,
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Limit on the JSON size of the versions kept in memory.
pub const RECENT_LIMIT_BYTES: usize = 1 << 19;

/// Times and sizes of a [`Log`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval at which a poller reads the head.
    pub poll_interval: Duration,
    /// A follower reads the head when neither store nor peers were heard for this time.
    pub silence_timeout: Duration,
    /// A read of the store counts as lost after this time, a query to peers after a quarter of it.
    pub answer_timeout: Duration,
    /// Time that a starting host waits for further answers after the first one, and a host that
    /// resumes after a pause for any answer.
    pub startup_grace: Duration,
    /// A host that did not tick for this time, as when its process was paused, checks its version
    /// again before it takes work.
    pub pause_limit: Duration,
    /// Number of peers that a new version is pushed to.
    pub push_fanout: usize,
    /// Versions kept in memory, to send to peers and to list in conflicts between operators.
    pub recent_versions: usize,
    /// A snapshot is written when the log is this many versions ahead of the last one.
    pub snapshot_versions: u64,
    /// Versions before a snapshot whose log rows are kept, so that a repeated request of an
    /// operator is recognised; the default is most of a day of changes.
    pub retained_versions: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(3),
            answer_timeout: Duration::from_secs(2),
            startup_grace: Duration::from_secs(1),
            pause_limit: Duration::from_secs(5),
            push_fanout: 3,
            recent_versions: 512,
            snapshot_versions: 256,
            retained_versions: 1_024,
        }
    }
}

/// How the host obtains the versions that it lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CatchUp {
    /// From the records of the next versions.
    Records,
    /// From the store's snapshot, when the row of the next version was not found.
    Snapshot,
    /// From a copy of the tree of a peer that no longer has the records.
    Copy(HostId),
}

/// The configuration on one host.
///
/// Inputs are [`apply_head`](Self::apply_head), [`apply_rows`](Self::apply_rows) and the other
/// answers of the store, [`receive`](Self::receive) for messages of peers, and
/// [`observe`](Self::observe) for versions seen in membership digests. After any input, and at
/// least every 200 ms, [`tick`](Self::tick) returns the reads and messages that are due.
#[derive(Clone, Debug)]
pub struct Log {
    pub(super) settings: Settings,
    pub(super) phase: Phase,
    version: Version,
    tree: Arc<Tree>,
    catalog: Arc<Catalog>,
    /// Consecutive versions up to `version`, with their length in bytes of JSON.
    recent: VecDeque<(Arc<Record>, usize)>,
    recent_bytes: usize,
    /// Newest version that the store or any peer was seen with; at least `version`.
    newest_known: Version,
    /// Peer that was last seen with a newer version.
    pub(super) peer_ahead: Option<HostId>,
    pub(super) catch_up: CatchUp,
    pub(super) assembly: Option<Assembly>,
    /// Version and tree that peers are copying, and when they last asked for a part.
    pub(super) pinned: Option<(Version, Arc<Tree>, Duration)>,
    /// Oldest version that was applied since the last push.
    pub(super) unpushed: Option<Version>,
    /// When the store or a peer was last heard.
    pub(super) last_contact: Duration,
    /// When the open read of the store counts as lost; zero without one.
    pub(super) store_deadline: Duration,
    /// When the open query to peers counts as lost; zero without one.
    pub(super) peer_deadline: Duration,
    /// When the head was last read; `None` after a start or a pause.
    pub(super) last_poll: Option<Duration>,
    /// Since when a newer version is known that is not in effect.
    pub(super) behind_since: Option<Duration>,
    /// Time of the last tick.
    pub(super) last_tick: Duration,
}

impl Log {
    /// Creates the log of a host that has just started and has no configuration.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            phase: Phase::start(),
            version: 0,
            tree: Arc::default(),
            catalog: Arc::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            newest_known: 0,
            peer_ahead: None,
            catch_up: CatchUp::Records,
            assembly: None,
            pinned: None,
            unpushed: None,
            last_contact: now,
            store_deadline: Duration::ZERO,
            peer_deadline: Duration::ZERO,
            last_poll: None,
            behind_since: None,
            last_tick: now,
        }
    }

    /// Returns the version in effect.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the newest version that this host has heard of.
    pub fn newest_known(&self) -> Version {
        self.newest_known
    }

    /// Returns the tree in effect.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the compiled configuration in effect.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the records of the versions after `after`, or `None` when some of them are no longer
    /// kept in memory.
    pub fn records_after(&self, after: Version) -> Option<Vec<&Arc<Record>>> {
        let count = usize::try_from(self.version.checked_sub(after)?).ok()?;
        let skipped = self.recent.len().checked_sub(count)?;
        Some(self.recent.iter().skip(skipped).map(|(r, _)| r).collect())
    }

    /// Returns the record that an operator's request created, if it is kept in memory.
    pub fn find_request(&self, request: &str) -> Option<&Arc<Record>> {
        let mut newest_first = self.recent.iter().rev().map(|(record, _)| record);
        newest_first.find(|record| *record.request == *request)
    }

    /// Returns whether new work may be taken.
    ///
    /// # Errors
    /// The reason to refuse new work.
    pub fn check_ready(&self, now: Duration) -> Result<(), NotReady> {
        if self.phase.is_starting() {
            return Err(NotReady::Starting);
        }
        let age = now.saturating_sub(self.last_contact);
        match self.catalog.limits.stale {
            Some(limit) if age > limit => Err(NotReady::Stale(age)),
            _ => Ok(()),
        }
    }

    /// Applies the row `config/head` as read from the store.
    pub fn apply_head(&mut self, now: Duration, row: Option<&Row>) {
        self.record_store_answer(now);
        let head: Head = decode(row).unwrap_or_default();
        self.observe_newest(head.version);
        self.phase.record_store_answer(now);
    }

    /// Applies log rows as read from the store.
    pub fn apply_rows(&mut self, now: Duration, rows: &[Row]) {
        self.record_store_answer(now);
        let before = self.version;
        let decoded = rows.iter().map(|row| (decode(Some(row)), row.value.len()));
        self.apply_records(decoded);
        if self.version == before && self.newest_known > before {
            // The next row was removed, or the store answered with an old state.
            self.catch_up = CatchUp::Snapshot;
        }
    }

    /// Applies the row `config/snapshot` as read from the store.
    pub fn apply_pointer(&mut self, now: Duration, row: Option<&Row>) {
        self.record_store_answer(now);
        self.catch_up = CatchUp::Records;
        let Some(pointer) = decode::<Pointer>(row) else {
            return;
        };
        self.observe_newest(pointer.version);
        if pointer.version > self.version {
            let origin = Origin::Store(pointer.parts);
            self.assembly = Some(Assembly::new(origin, pointer.version));
        }
    }

    /// Applies parts of a snapshot as read from the store.
    pub fn apply_parts(&mut self, now: Duration, rows: &[Row]) {
        self.record_store_answer(now);
        let Some(mut assembly) = self.assembly.take() else {
            return;
        };
        let is_valid = !rows.is_empty() && assembly.add_rows(rows);
        if is_valid && assembly.is_complete() {
            self.apply_copy(assembly);
        } else if is_valid {
            self.assembly = Some(assembly);
        }
    }

    /// Records that the store did not answer.
    pub fn record_store_failure(&mut self) {
        self.store_deadline = Duration::ZERO;
    }

    /// Observes the version in a peer's membership digest.
    pub fn observe(&mut self, now: Duration, peer: &HostId, version: Version) {
        self.last_contact = now;
        if version > self.version {
            self.peer_ahead = Some(peer.clone());
        }
        self.observe_newest(version);
    }

    /// Handles a message of a peer; returns the answer, if any.
    pub fn receive(&mut self, now: Duration, from: &HostId, packet: Packet) -> Option<Packet> {
        let body = match packet.body? {
            Body::Fetch(fetch) => Body::Versions(self.answer_fetch(fetch)),
            Body::Copy(copy) => Body::Piece(self.answer_copy(now, &copy)),
            Body::Versions(versions) => {
                self.apply_versions(now, from, &versions);
                return None;
            }
            Body::Piece(piece) => {
                self.apply_piece(now, from, &piece);
                return None;
            }
        };
        Some(Packet { body: Some(body) })
    }

    fn apply_versions(&mut self, now: Duration, from: &HostId, versions: &Versions) {
        self.last_contact = now;
        if versions.is_answer {
            self.peer_deadline = Duration::ZERO;
        }
        let texts = versions.records.iter();
        self.apply_records(texts.map(|text| (serde_json::from_str(text).ok(), text.len())));
        self.observe_newest(versions.newest);
        if versions.newest > self.version {
            self.peer_ahead = Some(from.clone());
            if versions.is_answer && versions.records.is_empty() {
                self.catch_up = CatchUp::Copy(from.clone());
            }
        }
        if versions.is_answer {
            self.phase
                .record_peer_answer(now, from, versions.is_serving);
        }
    }

    fn apply_piece(&mut self, now: Duration, from: &HostId, piece: &Piece) {
        self.last_contact = now;
        self.peer_deadline = Duration::ZERO;
        self.observe_newest(piece.version);
        let origin = Origin::Peer(from.clone());
        if piece.version <= self.version {
            return;
        }
        let is_first = piece.after.is_empty();
        let mut assembly = match self.assembly.take() {
            Some(assembly) if assembly.is_continued_by(&origin, piece) => assembly,
            _ if is_first => Assembly::new(origin, piece.version),
            // A late or repeated part does not disturb the copy in progress.
            other => {
                self.assembly = other;
                return;
            }
        };
        if !assembly.add_part(&piece.nodes) {
            self.catch_up = CatchUp::Records;
        } else if piece.is_last {
            self.apply_copy(assembly);
        } else {
            self.assembly = Some(assembly);
        }
    }

    fn record_store_answer(&mut self, now: Duration) {
        self.last_contact = now;
        self.store_deadline = Duration::ZERO;
    }

    fn observe_newest(&mut self, version: Version) {
        self.newest_known = self.newest_known.max(version);
    }

    /// Applies versions in order. Old ones are skipped and nothing is applied after a gap, so a
    /// late, repeated or reordered message never changes or reverts what is in effect.
    fn apply_records(&mut self, records: impl Iterator<Item = (Option<Record>, usize)>) {
        let before = self.version;
        let mut tree = self.tree.clone();
        for (record, bytes) in records {
            let Some(record) = record else { break };
            self.observe_newest(record.version);
            if record.version <= self.version {
                continue;
            }
            if record.version != self.version + 1 {
                break;
            }
            record.change.apply(Arc::make_mut(&mut tree));
            self.version = record.version;
            self.push_recent(record, bytes);
        }
        if self.version > before {
            self.put_into_effect(tree);
            self.unpushed.get_or_insert(before + 1);
        }
    }

    fn push_recent(&mut self, record: Record, bytes: usize) {
        self.recent.push_back((Arc::new(record), bytes));
        self.recent_bytes += bytes;
        while self.recent.len() > self.settings.recent_versions
            || self.recent_bytes > RECENT_LIMIT_BYTES
        {
            let Some((_, bytes)) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= bytes;
        }
    }

    /// Puts a complete copy into effect if it is newer.
    fn apply_copy(&mut self, assembly: Assembly) {
        self.catch_up = CatchUp::Records;
        if assembly.version <= self.version {
            return;
        }
        self.version = assembly.version;
        self.recent.clear();
        self.recent_bytes = 0;
        self.put_into_effect(Arc::new(assembly.into_tree()));
    }

    fn put_into_effect(&mut self, tree: Arc<Tree>) {
        self.tree = tree;
        self.catalog = Arc::new(Catalog::compile(self.version, &self.tree));
        self.newest_known = self.newest_known.max(self.version);
        self.catch_up = CatchUp::Records;
    }
}
