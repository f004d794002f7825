//! Copies of the whole tree, so that a host need not read the log from its beginning.

use {
    super::{
        Log, Node, Path, Record, Tree,
        message::Piece,
        record::{decode, encode, log_key, request_key},
    },
    crate::{
        id::{HostId, Version},
        table::{Row, Transaction},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

/// Key of the row that names the newest snapshot.
pub const SNAPSHOT_KEY: &str = "config/snapshot";
/// Greatest number of rows that one [`Log::trim`] removes; each row counts as one write.
pub const TRIM_LIMIT_ROWS: usize = 64;
/// JSON size at which a part ends, so that a part fits into a frame between hosts.
pub(super) const PART_BYTES: usize = 200_000;

/// Row `config/snapshot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// Version of the tree.
    pub version: Version,
    /// Number of rows `config/snapshot/{version, 12 digits}/{part, 4 digits}`.
    pub parts: usize,
}

type Nodes = BTreeMap<Path, Arc<Node>>;

/// Returns the prefix of the keys of a snapshot's parts.
pub(super) fn part_prefix(version: Version) -> String {
    format!("{SNAPSHOT_KEY}/{version:012}/")
}

fn part_key(version: Version, part: usize) -> String {
    format!("{}{part:04}", part_prefix(version))
}

/// Returns the next part of a tree: the nodes after a path as JSON, their last path, and whether
/// more follow.
pub(super) fn encode_part(tree: &Tree, after: Option<&str>) -> (String, Path, bool) {
    let mut nodes = Nodes::new();
    let mut bytes = 0;
    let start = after.map_or(Bound::Unbounded, Bound::Excluded);
    let mut rest = tree.range(start);
    for (path, node) in rest.by_ref() {
        bytes += path.len() + encode(node).len();
        nodes.insert(path.clone(), node.clone());
        if bytes >= PART_BYTES {
            break;
        }
    }
    let last = nodes.keys().next_back().cloned().unwrap_or_default();
    (encode(&nodes), last, rest.next().is_some())
}

impl Log {
    /// Returns the transaction that writes a snapshot and removes the last one, or `None` when the
    /// last one is recent.
    ///
    /// `pointer` is the row [`SNAPSHOT_KEY`] as just read. The transaction conflicts when another
    /// host has written a snapshot meanwhile, and may then be dropped.
    pub fn snapshot(&self, pointer: Option<&Row>) -> Option<Transaction> {
        let last: Option<Pointer> = decode(pointer);
        let last_version = last.map_or(0, |last| last.version);
        if self.version() < last_version + self.settings.snapshot_versions {
            return None;
        }
        let mut transaction = Transaction::default();
        transaction.require(SNAPSHOT_KEY, pointer.map_or(0, |row| row.version));
        let mut parts = 0;
        let mut after = None;
        loop {
            let (nodes, last, is_more) = encode_part(self.tree(), after.as_deref());
            transaction.put(part_key(self.version(), parts), nodes);
            parts += 1;
            after = Some(last);
            if !is_more {
                break;
            }
        }
        let version = self.version();
        transaction.put(SNAPSHOT_KEY, encode(&Pointer { version, parts }));
        for part in 0..last.map_or(0, |last| last.parts) {
            transaction.delete(part_key(last_version, part));
        }
        Some(transaction)
    }

    /// Returns the transaction that removes the oldest log rows that a snapshot covers, or `None`
    /// when there are none.
    ///
    /// `pointer` is the row [`SNAPSHOT_KEY`] and `oldest` the first rows of the log, as just read.
    pub fn trim(&self, pointer: Option<&Row>, oldest: &[Row]) -> Option<Transaction> {
        let row = pointer?;
        let covered = decode::<Pointer>(pointer)?.version;
        let mut transaction = Transaction::default();
        transaction.require(SNAPSHOT_KEY, row.version);
        let records = oldest.iter().filter_map(|row| decode::<Record>(Some(row)));
        let old =
            records.filter(|record| record.version + self.settings.retained_versions <= covered);
        for record in old.take(TRIM_LIMIT_ROWS / 2) {
            transaction.delete(log_key(record.version));
            transaction.delete(request_key(&record.request));
        }
        (!transaction.writes.is_empty()).then_some(transaction)
    }
}

/// Where a copy of the tree comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// Rows of the table service; holds the number of parts.
    Store(usize),
    /// A peer.
    Peer(HostId),
}

/// A copy of the tree that is being received in parts.
#[derive(Clone, Debug)]
pub(super) struct Assembly {
    pub(super) origin: Origin,
    pub(super) version: Version,
    nodes: Nodes,
    /// Number of parts received.
    received: usize,
    /// Whether the next part was requested and has not arrived.
    pub(super) is_requested: bool,
}

impl Assembly {
    pub(super) fn new(origin: Origin, version: Version) -> Self {
        Self {
            origin,
            version,
            nodes: Nodes::new(),
            received: 0,
            is_requested: false,
        }
    }

    /// Returns whether a part of a peer is the next one of this copy.
    pub(super) fn is_continued_by(&self, origin: &Origin, piece: &Piece) -> bool {
        let last = self.last().map_or("", |path| &**path);
        self.origin == *origin && self.version == piece.version && last == piece.after
    }

    /// Returns the last path that was received.
    pub(super) fn last(&self) -> Option<&Path> {
        self.nodes.keys().next_back()
    }

    /// Returns the key of the last row that was received from the store.
    pub(super) fn last_key(&self) -> String {
        match self.received {
            0 => part_prefix(self.version),
            parts => part_key(self.version, parts - 1),
        }
    }

    /// Adds a part; returns whether it was well-formed and within the limit on nodes.
    pub(super) fn add_part(&mut self, nodes: &str) -> bool {
        let Ok(nodes) = serde_json::from_str::<Nodes>(nodes) else {
            return false;
        };
        self.nodes.extend(nodes);
        self.received += 1;
        self.is_requested = false;
        self.nodes.len() <= super::NODE_LIMIT
    }

    /// Adds the rows of a scan in order; returns whether all were the expected ones.
    pub(super) fn add_rows(&mut self, rows: &[Row]) -> bool {
        rows.iter().all(|row| {
            let is_next = *row.key == *part_key(self.version, self.received);
            is_next && self.add_part(&row.value)
        })
    }

    /// Returns whether every row of the store's snapshot was received.
    pub(super) fn is_complete(&self) -> bool {
        self.origin == Origin::Store(self.received)
    }

    pub(super) fn into_tree(self) -> Tree {
        self.nodes.into_iter().collect()
    }
}
