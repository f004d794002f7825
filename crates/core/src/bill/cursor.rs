//! Cursor rows: the ledger's position in the journal of each holder.

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

/// Sequences are below this limit, because row keys hold 12 digits.
const SEQUENCE_LIMIT: Sequence = 1_000_000_000_000;

/// Row `ledger/{holder}`, the ledger's position in a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Sequence of the first journal row that is in no batch yet; a journal starts at 1.
    pub next: Sequence,
    /// Sequence of the first journal row that may still exist; all earlier ones are deleted. At
    /// most `next`.
    pub kept: Sequence,
    /// Open batch: decided, but possibly not yet in the object store.
    pub batch: Option<Batch>,
    /// Time since which the journal has ended with all its bills in the object store, in seconds
    /// since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<u64>,
}

/// A range of journal rows that are billed together.
///
/// The batch and its rows determine the contents of the objects, so a repeated write of an object
/// never changes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Sequence of the first journal row.
    pub first: Sequence,
    /// Sequence of the last journal row; below the cursor's `next`.
    pub last: Sequence,
    /// Time at which the batch was decided, in seconds since the Unix epoch.
    pub at: u64,
    /// Indices, among the bills of the batch, of those that are not charged; ascending.
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

/// Returns the key of the cursor row of a holder.
pub fn cursor_key(holder: &str) -> String {
    format!("ledger/{holder}")
}

/// The cursor of a holder and the journal rows from its open batch or its `next` on.
#[derive(Clone, Debug)]
pub struct Page {
    pub(super) holder: HolderId,
    pub(super) cursor: Cursor,
    /// Version of the cursor row; 0 when it is absent.
    pub(super) version: Version,
    /// Journal rows by ascending sequence, without gaps.
    pub(super) rows: Vec<(Sequence, Journal)>,
}

impl Page {
    /// Returns the prefix to scan for the journal rows of the page, and the key to start after.
    pub fn scan_range(holder: &str, cursor: &Cursor) -> (String, String) {
        let first = cursor
            .batch
            .as_ref()
            .map_or(cursor.next, |batch| batch.first);
        let after = journal_key(holder, first.saturating_sub(1));
        (format!("journal/{holder}/"), after)
    }

    /// Decodes the cursor row of a holder; an absent row is the cursor of a new journal.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the value is not a cursor or its positions are inconsistent.
    pub fn decode_cursor(row: Option<&Row>) -> Result<Cursor, Fault> {
        let Some(row) = row else {
            return Ok(Cursor::default());
        };
        let cursor = parse::<Cursor>(row, "cursor")?;
        let is_ordered = 0 < cursor.kept
            && cursor.kept <= cursor.next
            && cursor.next < SEQUENCE_LIMIT
            && cursor.batch.as_ref().is_none_or(|batch| {
                cursor.kept <= batch.first && batch.first <= batch.last && batch.last < cursor.next
            });
        if !is_ordered {
            return Err(malformed(&row.key, "its positions are not in order"));
        }
        Ok(cursor)
    }

    /// Decodes a cursor row and the journal rows in [`Self::scan_range`].
    ///
    /// # Errors
    /// [`Kind::Internal`] when a value is malformed or a journal row is missing. The journal of
    /// the holder is then not billed any further.
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

    /// Returns the id of the holder that owns the journal.
    pub fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Returns the open batch, if there is one.
    pub fn open_batch(&self) -> Option<&Batch> {
        self.cursor.batch.as_ref()
    }

    /// Returns the bills in the rows of the page, without those that the open batch drops.
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

    /// Returns the bills of the rows from `first` to `last`, both inclusive.
    pub(super) fn bills(&self, first: Sequence, last: Sequence) -> impl Iterator<Item = &Bill> {
        let rows = self.rows.iter();
        rows.filter(move |(sequence, _)| (first..=last).contains(sequence))
            .flat_map(|(_, journal)| journal.entry.bills())
    }
}

fn parse<T: for<'a> Deserialize<'a>>(row: &Row, kind: &str) -> Result<T, Fault> {
    serde_json::from_str(&row.value)
        .map_err(|error| malformed(&row.key, &format!("it is not a {kind}: {error}")))
}

fn malformed(key: &Arc<str>, reason: &str) -> Fault {
    Fault::new(Kind::Internal, format!("row {key} is malformed: {reason}"))
}
