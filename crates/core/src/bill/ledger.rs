//! The background duty that turns journals into billed segments.

use {
    super::{
        Bill,
        cursor::{Batch, Cursor, Page, cursor_key},
        index::{self, Cache, Slot, fingerprint},
        lease::Lease,
        refund::{refund, refunds},
        request_id,
        segment::{Object, Segment},
    },
    crate::{
        budget::{account::key as account_key, journal::key as journal_key},
        fault::{Fault, Kind},
        id::{BudgetId, HolderId, Sequence},
        table::{Condition, Row, Transaction, Verdict},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        time::Duration,
    },
};

/// Maximum number of journal rows that one transaction deletes; later ones delete the rest.
const DELETE_LIMIT_ROWS: Sequence = 512;

/// Settings of a [`Ledger`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of journal rows in a batch.
    pub batch_rows: usize,
    /// Maximum number of bills in a batch. A row with more bills forms a batch of its own.
    pub batch_bills: usize,
    /// Length of a time slot of the index of request ids.
    pub slot_length: Duration,
    /// Age of a request up to which its bill is charged. Must exceed the retention of claims, the
    /// time limit of reservations and the longest outage that the queue of a holder survives.
    pub retention: Duration,
    /// Time after which an ended journal is removed. A holder that returns within it still appends
    /// its late bills to the journal; after it, they would be older than `retention`.
    pub journal_retention: Duration,
    /// Number of slots before the current one in which an earlier bill is looked up when the
    /// request id contains no time.
    pub lookback_slots: u64,
    /// Maximum number of fingerprints kept in memory between batches. A batch loads the slots that
    /// it needs and that are not in memory.
    pub cache_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch_rows: 150,
            batch_bills: 8_192,
            slot_length: Duration::from_secs(60),
            retention: Duration::from_secs(48 * 3_600),
            journal_retention: Duration::from_secs(48 * 3_600),
            lookback_slots: 60,
            cache_limit: 1_500_000,
        }
    }
}

/// The decision on a batch, returned by [`Ledger::decide`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Advances the cursor and returns the tokens of dropped bills to their budgets.
    pub transaction: Transaction,
    /// Dropped bills of requests that were billed before.
    pub repeated: Vec<Bill>,
    /// Dropped bills of requests older than the retention. They are not charged, because the index
    /// that would show whether they were billed before may have been deleted.
    pub late: Vec<Bill>,
}

/// State of the ledger duty in the process that holds its lease.
///
/// The driver reads a [`Page`] per holder. If the page has an open batch, the driver stores the
/// objects of [`Self::publish`] and commits [`Self::close`]. Otherwise it loads
/// [`Self::missing_slots`] and commits the decision of [`Self::decide`]. Until a decided batch is
/// closed, no batch of another holder can be decided, because both may contain bills of the same
/// request.
#[derive(Debug)]
pub struct Ledger {
    pub(super) settings: Settings,
    lease: Condition,
    fencing: u64,
    index: Cache,
    /// Holder whose batch this process decided last, until the batch is closed.
    open_holder: Option<HolderId>,
    /// Holders with open batches that an earlier process decided, until they are closed.
    inherited: HashSet<HolderId>,
}

impl Ledger {
    /// Creates the state from the lease row as returned by [`Lease::confirm`], and from all cursor
    /// rows, which must be read after that.
    ///
    /// # Errors
    /// [`Kind::Internal`] when a row is malformed.
    pub fn new(lease: &Row, cursors: &[Row], settings: Settings) -> Result<Self, Fault> {
        let mut inherited = HashSet::new();
        for row in cursors {
            let holder = row.key.strip_prefix("ledger/").unwrap_or(&row.key);
            if Page::decode_cursor(Some(row))?.batch.is_some() {
                inherited.insert(holder.into());
            }
        }
        Ok(Self {
            settings,
            lease: Condition {
                key: lease.key.clone(),
                version: lease.version,
            },
            fencing: Lease::decode(lease)?.fencing,
            index: Cache::default(),
            open_holder: None,
            inherited,
        })
    }

    /// Updates the version of the lease from its row as returned by [`Lease::confirm`] after a
    /// renewal.
    ///
    /// # Errors
    /// [`Kind::Conflict`] when another process held the lease in between. Its batches are not in
    /// the cached index, so a new [`Ledger`] must be created.
    pub fn renew(&mut self, lease: &Row) -> Result<(), Fault> {
        if Lease::decode(lease)?.fencing != self.fencing {
            let message = "another process held the lease of the ledger";
            return Err(Fault::new(Kind::Conflict, message));
        }
        self.lease.version = lease.version;
        Ok(())
    }

    /// Returns whether the verdict on a transaction shows that another process has taken the lease.
    /// The ledger must then be dropped and the lease acquired again.
    pub fn has_lost_lease(&self, verdict: &Verdict) -> bool {
        let Verdict::Conflict(rows) = verdict else {
            return false;
        };
        let row = rows.iter().find(|row| row.key == self.lease.key);
        let lease = row.map(Lease::decode);
        lease.is_some_and(|lease| lease.is_ok_and(|lease| lease.fencing != self.fencing))
    }

    /// Returns a holder whose open batch must be closed before another holder's batch is decided,
    /// if there is one.
    pub fn blocking_holder(&self) -> Option<&HolderId> {
        self.open_holder
            .as_ref()
            .or_else(|| self.inherited.iter().min())
    }

    /// Returns the slots whose index objects must be passed to [`Self::load`] before the next batch
    /// of a page is decided. `wall` is the time since the Unix epoch.
    pub fn missing_slots(&self, wall: Duration, page: &Page) -> Vec<Slot> {
        let last = self.batch_end(page);
        let bills = page.bills(page.cursor.next, last);
        let slots: BTreeSet<_> = bills
            .flat_map(|bill| self.lookup_slots(wall, bill))
            .collect();
        let missing = slots.into_iter().filter(|slot| !self.index.has_slot(*slot));
        missing.collect()
    }

    /// Loads a slot into the cached index, given the contents of all its index objects.
    ///
    /// # Errors
    /// [`Kind::Internal`] when an object is malformed.
    pub fn load(&mut self, slot: Slot, objects: &[Vec<u8>]) -> Result<(), Fault> {
        self.index.load(slot, objects)
    }

    /// Returns the keys of the budget rows that [`Self::decide`] needs as `accounts`.
    pub fn account_keys(&self, wall: Duration, page: &Page) -> Vec<String> {
        let last = self.batch_end(page);
        let (repeated, late, _) = self.classify(wall, page, last);
        let refunds = refunds(repeated.iter().chain(&late));
        refunds.keys().map(|id| account_key(id)).collect()
    }

    /// Decides the next batch of a page, or returns `None` when no journal row is left.
    ///
    /// `wall` is the time since the Unix epoch; `accounts` are the rows of [`Self::account_keys`].
    ///
    /// # Errors
    /// [`Kind::Conflict`] while another holder's batch is open or a slot is missing, and
    /// [`Kind::Internal`] when a budget row is missing or malformed.
    pub fn decide(
        &mut self,
        wall: Duration,
        page: &Page,
        accounts: &[Row],
    ) -> Result<Option<Decision>, Fault> {
        let decided = self.decide_next(wall, page, accounts);
        self.index.evict(self.settings.cache_limit);
        decided
    }

    /// Like [`Self::decide`], but evicts nothing from the cached index.
    fn decide_next(
        &mut self,
        wall: Duration,
        page: &Page,
        accounts: &[Row],
    ) -> Result<Option<Decision>, Fault> {
        if page.cursor.batch.is_some()
            || self.blocking_holder().is_some_and(|id| *id != page.holder)
        {
            return Err(Fault::new(Kind::Conflict, "another batch is open"));
        }
        if !self.missing_slots(wall, page).is_empty() {
            return Err(Fault::new(Kind::Conflict, "a slot of the index is missing"));
        }
        let (first, last) = (page.cursor.next, self.batch_end(page));
        if last < first {
            return Ok(None);
        }
        let (repeated, late, dropped) = self.classify(wall, page, last);
        let at = wall.as_secs();
        let cursor = Cursor {
            next: last + 1,
            kept: page.cursor.kept,
            batch: Some(Batch {
                first,
                last,
                at,
                dropped,
            }),
            ended: None,
        };
        let mut transaction = self.cursor_update(page, &cursor);
        refund(&mut transaction, repeated.iter().chain(&late), accounts)?;
        self.open_holder = Some(page.holder.clone());
        Ok(Some(Decision {
            transaction,
            repeated,
            late,
        }))
    }

    /// Returns the segment and index objects of the open batch of a page, and adds the batch to the
    /// cached index. Repeated calls return the same objects.
    pub fn publish(&mut self, page: &Page) -> Vec<Object> {
        let Some(batch) = &page.cursor.batch else {
            return Vec::new();
        };
        let mut budgets: BTreeMap<&BudgetId, Vec<Bill>> = BTreeMap::new();
        let mut slots: BTreeMap<Slot, Vec<u64>> = BTreeMap::new();
        let at = Duration::from_secs(batch.at);
        for (position, bill) in (0..).zip(page.bills(batch.first, batch.last)) {
            let fingerprints = slots.entry(self.index_slot(at, bill)).or_default();
            fingerprints.push(fingerprint(&bill.request));
            if batch.dropped.binary_search(&position).is_err() {
                budgets.entry(&bill.budget).or_default().push(bill.clone());
            }
        }
        let segments = budgets.into_iter().map(|(budget, bills)| {
            let segment = segment(page, batch, bills);
            let key = segment.key(budget);
            let value = segment.encode();
            Object { key, value }
        });
        let mut objects: Vec<_> = segments.collect();
        for (slot, fingerprints) in slots {
            self.index.extend(slot, &fingerprints);
            let key = index::object_key(slot, &page.holder, batch.first);
            let value = fingerprints.iter().flat_map(|word| word.to_be_bytes());
            let value = value.collect();
            objects.push(Object { key, value });
        }
        self.index.evict(self.settings.cache_limit);
        objects
    }

    /// Returns the transaction that closes the open batch of a page and deletes consumed rows. Call
    /// it only after all objects of [`Self::publish`] are stored.
    ///
    /// The last row that the holder itself wrote is kept, with all rows after it: it contains the
    /// shares of the holder, and after a lost reply the holder recognises its append by it.
    pub fn close(&mut self, page: &Page) -> Option<Transaction> {
        let batch = page.cursor.batch.as_ref()?;
        self.inherited.remove(&page.holder);
        self.open_holder = self
            .open_holder
            .take()
            .filter(|holder| *holder != page.holder);
        let own =
            page.rows.iter().rev().find(|(sequence, journal)| {
                *sequence <= batch.last && journal.author == page.holder
            });
        let end = page.cursor.kept.saturating_add(DELETE_LIMIT_ROWS);
        let kept = own.map_or(page.cursor.kept, |(sequence, _)| end.min(*sequence));
        let last = page.rows.iter().find(|(row, _)| *row == batch.last);
        let cursor = Cursor {
            next: page.cursor.next,
            kept,
            batch: None,
            ended: last.and_then(|(_, journal)| journal.entry.is_terminal().then_some(batch.at)),
        };
        let mut transaction = self.cursor_update(page, &cursor);
        for sequence in page.cursor.kept..kept {
            transaction.delete(journal_key(&page.holder, sequence));
        }
        Some(transaction)
    }

    /// Returns the first slot whose index objects may still be needed; those of earlier slots can
    /// be deleted. One slot more than the retention is kept to allow for clock differences.
    pub fn oldest_slot(&self, wall: Duration) -> Slot {
        let oldest = self.slot_at(wall.saturating_sub(self.settings.retention));
        oldest.saturating_sub(1)
    }

    /// Returns the number of fingerprints in the cached index.
    pub fn cached_fingerprints(&self) -> usize {
        self.index.len()
    }

    /// Returns a guarded transaction that writes the cursor row.
    fn cursor_update(&self, page: &Page, cursor: &Cursor) -> Transaction {
        let mut transaction = self.guarded_transaction(page);
        let value = serde_json::to_string(cursor).unwrap_or_default();
        transaction.put(cursor_key(&page.holder), value);
        transaction
    }

    /// Returns a transaction that requires the lease and the cursor row to be unchanged.
    pub(super) fn guarded_transaction(&self, page: &Page) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.require(self.lease.key.clone(), self.lease.version);
        transaction.require(cursor_key(&page.holder), page.version);
        transaction
    }

    /// Returns the sequence of the last row of the next batch; below `next` when there is no row.
    fn batch_end(&self, page: &Page) -> Sequence {
        let mut bills = 0;
        let mut last = page.cursor.next - 1;
        let next = page.cursor.next;
        let rows = page.rows.iter().filter(|(sequence, _)| *sequence >= next);
        for (sequence, journal) in rows.take(self.settings.batch_rows) {
            bills += journal.entry.bills().len();
            if bills > self.settings.batch_bills && last >= next {
                break;
            }
            last = *sequence;
        }
        last
    }

    /// Returns the repeated bills and the late bills of the batch that ends with the row `last`,
    /// and the positions of both kinds among the bills of the batch.
    fn classify(
        &self,
        wall: Duration,
        page: &Page,
        last: Sequence,
    ) -> (Vec<Bill>, Vec<Bill>, Vec<u32>) {
        let mut seen = HashSet::new();
        let (mut repeated, mut late, mut dropped) = (Vec::new(), Vec::new(), Vec::new());
        let start = wall.saturating_sub(self.settings.retention);
        for (position, bill) in (0..).zip(page.bills(page.cursor.next, last)) {
            let fingerprint = fingerprint(&bill.request);
            let mut slots = self.lookup_slots(wall, bill);
            let is_repeated = !seen.insert(&bill.request)
                || slots.any(|slot| self.index.contains(slot, fingerprint));
            if is_repeated {
                repeated.push(bill.clone());
            } else if request_id::time(&bill.request).is_some_and(|time| time < start) {
                late.push(bill.clone());
            } else {
                continue;
            }
            dropped.push(position);
        }
        (repeated, late, dropped)
    }

    /// Returns the slot whose index lists a bill: that of the time in its request id, otherwise
    /// that of `wall`.
    fn index_slot(&self, wall: Duration, bill: &Bill) -> Slot {
        self.slot_at(request_id::time(&bill.request).unwrap_or(wall))
    }

    /// Returns the slots whose index may list an earlier bill of the same request.
    fn lookup_slots(&self, wall: Duration, bill: &Bill) -> std::ops::RangeInclusive<Slot> {
        let last = self.index_slot(wall, bill);
        match request_id::time(&bill.request) {
            Some(_) => last..=last,
            None => last.saturating_sub(self.settings.lookback_slots)..=last,
        }
    }

    fn slot_at(&self, wall: Duration) -> Slot {
        wall.as_secs() / self.settings.slot_length.as_secs().max(1)
    }
}

fn segment(page: &Page, batch: &Batch, bills: Vec<Bill>) -> Segment {
    Segment {
        holder: page.holder.clone(),
        first: batch.first,
        last: batch.last,
        at: batch.at,
        bills,
    }
}
