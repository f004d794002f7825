//! The ledger's position in the journal of a holder.

use {
    super::Bill,
    crate::{
        budget::{Journal, journal::key as journal_key},
        fault::{Fault, Kind},
        id::{HolderId, Sequence, Version},
        table::Row,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Sequences are below this number, because keys hold 12 digits.
const SEQUENCES: Sequence = 1_000_000_000_000;

/// Row `ledger/{holder}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The first journal row that no batch has taken; the journal starts at 1.
    pub next: Sequence,
    /// The first journal row that may still exist; at most `next`.
    pub kept: Sequence,
    /// The batch that is decided and not known to be in the object store.
    pub batch: Option<Batch>,
    /// Since when the journal has ended and all its bills are in the object store, in seconds since
    /// the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<u64>,
}

/// Journal rows that are billed together. With the rows it determines the objects, so that a
/// repeated write of an object never changes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// First journal row.
    pub first: Sequence,
    /// Last journal row; below the cursor's `next`.
    pub last: Sequence,
    /// Time of the decision in seconds since the Unix epoch.
    pub at: u64,
    /// Positions of the bills that do not count, in ascending order.
    pub dropped: Vec<u32>,
}

impl Default for Cursor {
    fn default() -> Self {
        Self {
            next: 1,
            kept: 1,
            batch: None,
            ended: None,
        }
    }
}

/// Returns the key of a cursor row.
pub fn cursor_key(holder: &str) -> String {
    format!("ledger/{holder}")
}

/// A holder's cursor with the journal rows that follow.
#[derive(Clone, Debug)]
pub struct Page {
    pub(super) holder: HolderId,
    pub(super) cursor: Cursor,
    /// Version of the cursor row; 0 when it is absent.
    pub(super) version: Version,
    /// Rows in order without a gap.
    pub(super) rows: Vec<(Sequence, Journal)>,
}

impl Page {
    /// Returns the prefix and the key after which the journal rows are to be scanned.
    pub fn scan_range(holder: &str, cursor: &Cursor) -> (String, String) {
        let first = cursor
            .batch
            .as_ref()
            .map_or(cursor.next, |batch| batch.first);
        let after = journal_key(holder, first.saturating_sub(1));
        (format!("journal/{holder}/"), after)
    }

    /// Decodes the cursor row of a holder.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the value is not a cursor.
    pub fn decode_cursor(row: Option<&Row>) -> Result<Cursor, Fault> {
        let Some(row) = row else {
            return Ok(Cursor::default());
        };
        let cursor = parse::<Cursor>(row, "cursor")?;
        let is_ordered = 0 < cursor.kept
            && cursor.kept <= cursor.next
            && cursor.next < SEQUENCES
            && cursor.batch.as_ref().is_none_or(|batch| {
                cursor.kept <= batch.first && batch.first <= batch.last && batch.last < cursor.next
            });
        if !is_ordered {
            return Err(broken(&row.key, "its positions are not in order"));
        }
        Ok(cursor)
    }

    /// Decodes a cursor and the rows in [`Self::scan_range`].
    ///
    /// # Errors
    /// [`Kind::Internal`] when a value is malformed or a journal row is missing; nothing of the
    /// holder is billed then.
    pub fn decode(holder: HolderId, cursor: Option<&Row>, rows: &[Row]) -> Result<Self, Fault> {
        let version = cursor.map_or(0, |row| row.version);
        let cursor = Self::decode_cursor(cursor)?;
        let first = cursor
            .batch
            .as_ref()
            .map_or(cursor.next, |batch| batch.first);
        let mut decoded = Vec::with_capacity(rows.len());
        for (row, sequence) in rows.iter().zip(first..) {
            if *row.key != *journal_key(&holder, sequence) {
                let message = format!("journal row {sequence} of {holder} is missing");
                return Err(Fault::new(Kind::Internal, message));
            }
            decoded.push((sequence, parse(row, "journal row")?));
        }
        Ok(Self {
            holder,
            cursor,
            version,
            rows: decoded,
        })
    }

    /// Returns the holder.
    pub fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Returns the open batch.
    pub fn open_batch(&self) -> Option<&Batch> {
        self.cursor.batch.as_ref()
    }

    /// Returns the bills that count and are in no closed batch.
    pub fn pending_bills(&self) -> impl Iterator<Item = &Bill> {
        let batch = self.cursor.batch.as_ref();
        let first = batch.map_or(self.cursor.next, |batch| batch.first);
        let is_dropped = move |position: u32| {
            batch.is_some_and(|batch| batch.dropped.binary_search(&position).is_ok())
        };
        let bills = (0..).zip(self.bills(first, Sequence::MAX));
        bills
            .filter(move |(position, _)| !is_dropped(*position))
            .map(|(_, bill)| bill)
    }

    /// Returns the bills of the rows from `first` to `last`.
    pub(super) fn bills(&self, first: Sequence, last: Sequence) -> impl Iterator<Item = &Bill> {
        let rows = self.rows.iter();
        rows.filter(move |(sequence, _)| (first..=last).contains(sequence))
            .flat_map(|(_, journal)| journal.entry.bills())
    }
}

fn parse<T: for<'a> Deserialize<'a>>(row: &Row, kind: &str) -> Result<T, Fault> {
    serde_json::from_str(&row.value)
        .map_err(|error| broken(&row.key, &format!("it is not a {kind}: {error}")))
}

fn broken(key: &Arc<str>, reason: &str) -> Fault {
    Fault::new(Kind::Internal, format!("row {key} is malformed: {reason}"))
}
