//! The configuration log as one host has applied it.

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

/// Bytes of JSON of the versions kept in memory.
pub const RECENT_LIMIT_BYTES: usize = 1 << 19;

/// Times and sizes of a [`Log`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A poller reads the head this often.
    pub poll_interval: Duration,
    /// A host that is not a poller reads the head when it heard from nobody for this time.
    pub silence_timeout: Duration,
    /// A question to store or peer counts as lost after this time.
    pub answer_timeout: Duration,
    /// After a start, the host waits this long for further answers once it has the first.
    pub startup_grace: Duration,
    /// A host that was not scheduled for this time checks its version before it takes work.
    pub pause_limit: Duration,
    /// Peers that a new version is sent to unasked.
    pub push_fanout: usize,
    /// Versions kept in memory for peers and for conflicts between operators.
    pub recent_versions: usize,
    /// A snapshot is written when the log is this many versions ahead of the last one.
    pub snapshot_versions: u64,
    /// Log rows that are kept below a snapshot, for operators who repeat a request; the default is
    /// most of a day of changes.
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

/// How a copy of the tree is wanted, because versions in between are no longer available.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Want {
    /// The next versions.
    Records,
    /// The store's snapshot.
    Snapshot,
    /// A peer's tree.
    Copy(HostId),
}

/// The configuration on one host.
///
/// Inputs are [`apply_head`](Self::apply_head), [`apply_rows`](Self::apply_rows) and the other answers of the store,
/// [`receive`](Self::receive) for peers, and [`observe`](Self::observe) for versions seen in
/// membership digests. After any input, and at least every 200 ms, [`tick`](Self::tick) returns
/// the questions to ask.
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
    /// Newest version that anybody was seen with; at least `version`.
    known: Version,
    /// Peer that was last seen with a newer version.
    pub(super) ahead: Option<HostId>,
    pub(super) want: Want,
    pub(super) assembly: Option<Assembly>,
    /// Tree that peers are copying, and since when.
    pub(super) pinned: Option<(Version, Arc<Tree>, Duration)>,
    /// Oldest version that was applied since the last push.
    pub(super) unpushed: Option<Version>,
    /// Last time that the store or a peer was heard.
    pub(super) contact: Duration,
    pub(super) store_until: Duration,
    pub(super) peer_until: Duration,
    pub(super) polled: Option<Duration>,
    /// Since when a newer version is known that is not in effect.
    pub(super) behind: Option<Duration>,
    pub(super) ticked: Duration,
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
            known: 0,
            ahead: None,
            want: Want::Records,
            assembly: None,
            pinned: None,
            unpushed: None,
            contact: now,
            store_until: Duration::ZERO,
            peer_until: Duration::ZERO,
            polled: None,
            behind: None,
            ticked: now,
        }
    }

    /// Returns the version in effect.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the newest version that this host has heard of.
    pub fn newest_known(&self) -> Version {
        self.known
    }

    /// Returns the tree in effect.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the compiled configuration in effect.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the versions after `after` that are kept in memory, or `None` when some of them
    /// are not.
    pub fn records_after(&self, after: Version) -> Option<Vec<&Arc<Record>>> {
        let count = usize::try_from(self.version.checked_sub(after)?).ok()?;
        let skipped = self.recent.len().checked_sub(count)?;
        Some(self.recent.iter().skip(skipped).map(|(r, _)| r).collect())
    }

    /// Returns the version of an operator's request, if it is kept in memory.
    pub fn find_request(&self, request: &str) -> Option<&Arc<Record>> {
        let mut newest_first = self.recent.iter().rev().map(|(record, _)| record);
        newest_first.find(|record| *record.request == *request)
    }

    /// Returns whether new work may be taken.
    ///
    /// # Errors
    /// Why not.
    pub fn check_ready(&self, now: Duration) -> Result<(), NotReady> {
        if self.phase.is_starting() {
            return Err(NotReady::Starting);
        }
        let age = now.saturating_sub(self.contact);
        match self.catalog.limits.stale {
            Some(limit) if age > limit => Err(NotReady::Stale(age)),
            _ => Ok(()),
        }
    }

    /// Takes the answer for the row `config/head`.
    pub fn apply_head(&mut self, now: Duration, row: Option<&Row>) {
        self.store_answered(now);
        let head: Head = decode(row).unwrap_or_default();
        self.hear(head.version);
        self.phase.store(now);
    }

    /// Takes log rows of the store.
    pub fn apply_rows(&mut self, now: Duration, rows: &[Row]) {
        self.store_answered(now);
        let before = self.version;
        let decoded = rows.iter().map(|row| (decode(Some(row)), row.value.len()));
        self.extend(decoded);
        if self.version == before && self.known > before {
            // The next row was removed, or the store answered with an old state.
            self.want = Want::Snapshot;
        }
    }

    /// Takes the answer for the row `config/snapshot`.
    pub fn apply_pointer(&mut self, now: Duration, row: Option<&Row>) {
        self.store_answered(now);
        self.want = Want::Records;
        let Some(pointer) = decode::<Pointer>(row) else {
            return;
        };
        self.hear(pointer.version);
        if pointer.version > self.version {
            let origin = Origin::Store(pointer.parts);
            self.assembly = Some(Assembly::new(origin, pointer.version));
        }
    }

    /// Takes parts of the store's snapshot.
    pub fn apply_parts(&mut self, now: Duration, rows: &[Row]) {
        self.store_answered(now);
        let Some(mut assembly) = self.assembly.take() else {
            return;
        };
        let is_good = !rows.is_empty() && assembly.add_rows(rows);
        if is_good && assembly.is_whole() {
            self.replace(assembly);
        } else if is_good {
            self.assembly = Some(assembly);
        }
    }

    /// Notes that the store did not answer.
    pub fn record_store_failure(&mut self) {
        self.store_until = Duration::ZERO;
    }

    /// Notes the version that a peer's membership digest shows.
    pub fn observe(&mut self, now: Duration, peer: &HostId, version: Version) {
        self.contact = now;
        if version > self.version {
            self.ahead = Some(peer.clone());
        }
        self.hear(version);
    }

    /// Takes a message of a peer; returns the answer.
    pub fn receive(&mut self, now: Duration, from: &HostId, packet: Packet) -> Option<Packet> {
        let body = match packet.body? {
            Body::Fetch(fetch) => Body::Versions(self.answer(fetch)),
            Body::Copy(copy) => Body::Piece(self.copy(now, &copy)),
            Body::Versions(versions) => {
                self.versions(now, from, &versions);
                return None;
            }
            Body::Piece(piece) => {
                self.piece(now, from, &piece);
                return None;
            }
        };
        Some(Packet { body: Some(body) })
    }

    fn versions(&mut self, now: Duration, from: &HostId, versions: &Versions) {
        self.contact = now;
        if versions.is_answer {
            self.peer_until = Duration::ZERO;
        }
        let texts = versions.records.iter();
        self.extend(texts.map(|text| (serde_json::from_str(text).ok(), text.len())));
        self.hear(versions.newest);
        if versions.newest > self.version {
            self.ahead = Some(from.clone());
            if versions.is_answer && versions.records.is_empty() {
                self.want = Want::Copy(from.clone());
            }
        }
        if versions.is_answer {
            self.phase.peer(now, from, versions.is_serving);
        }
    }

    fn piece(&mut self, now: Duration, from: &HostId, piece: &Piece) {
        self.contact = now;
        self.peer_until = Duration::ZERO;
        self.hear(piece.version);
        let origin = Origin::Peer(from.clone());
        if piece.version <= self.version {
            return;
        }
        let is_first = piece.after.is_empty();
        let mut assembly = match self.assembly.take() {
            Some(assembly) if assembly.expects(&origin, piece) => assembly,
            _ if is_first => Assembly::new(origin, piece.version),
            // A late or repeated part does not disturb the copy that is under way.
            other => {
                self.assembly = other;
                return;
            }
        };
        if !assembly.add(&piece.nodes) {
            self.want = Want::Records;
        } else if piece.is_last {
            self.replace(assembly);
        } else {
            self.assembly = Some(assembly);
        }
    }

    fn store_answered(&mut self, now: Duration) {
        self.contact = now;
        self.store_until = Duration::ZERO;
    }

    fn hear(&mut self, version: Version) {
        self.known = self.known.max(version);
    }

    /// Applies versions in order. Old ones are skipped and nothing is applied after a gap, so a
    /// late, repeated or reordered message never changes or reverts what is in effect.
    fn extend(&mut self, records: impl Iterator<Item = (Option<Record>, usize)>) {
        let before = self.version;
        let mut tree = self.tree.clone();
        for (record, bytes) in records {
            let Some(record) = record else { break };
            self.hear(record.version);
            if record.version <= self.version {
                continue;
            }
            if record.version != self.version + 1 {
                break;
            }
            record.change.apply(Arc::make_mut(&mut tree));
            self.version = record.version;
            self.keep(record, bytes);
        }
        if self.version > before {
            self.take(tree);
            self.unpushed.get_or_insert(before + 1);
        }
    }

    fn keep(&mut self, record: Record, bytes: usize) {
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

    /// Puts a whole copy into effect when it is newer.
    fn replace(&mut self, assembly: Assembly) {
        self.want = Want::Records;
        if assembly.version <= self.version {
            return;
        }
        self.version = assembly.version;
        self.recent.clear();
        self.recent_bytes = 0;
        self.take(Arc::new(assembly.into_tree()));
    }

    fn take(&mut self, tree: Arc<Tree>) {
        self.tree = tree;
        self.catalog = Arc::new(Catalog::compile(self.version, &self.tree));
        self.known = self.known.max(self.version);
        self.want = Want::Records;
    }
}
