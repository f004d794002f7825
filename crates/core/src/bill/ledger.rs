//! The duty that turns journals into billed segments.

use {
    super::{
        Bill,
        cursor::{Batch, Cursor, Page, cursor_key},
        lease::Lease,
        refund::{refund, refunds},
        segment::{Object, Segment},
        stamp,
        window::{self, Slot, Window, fingerprint},
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

/// Journal rows that one transaction deletes at most; a later one deletes the rest.
const DELETES: Sequence = 512;

/// Settings of a [`Ledger`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Journal rows per batch.
    pub batch_rows: usize,
    /// Bills per batch; a row that is larger forms a batch of its own.
    pub batch_bills: usize,
    /// Length of a time slot of the index.
    pub slot_length: Duration,
    /// How long after a request its bill counts. Must exceed the retention of claims, the
    /// reservation time limit and the longest outage that a holder's queue survives.
    pub retention: Duration,
    /// How long after its end a journal is removed. Late bills of a holder that returns in this time
    /// are still written to it; later they would be older than `retention`.
    pub journal_retention: Duration,
    /// Slots before the present one in which a request id without a time is looked for.
    pub lookback_slots: u64,
    /// Fingerprints in memory between two batches; a batch loads the slots that it lacks.
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

/// The decision on a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decided {
    /// Moves the cursor and returns the tokens of dropped bills.
    pub transaction: Transaction,
    /// Bills of requests that were billed before.
    pub repeated: Vec<Bill>,
    /// Bills that arrived after the retention; they are not charged, because it cannot be known
    /// whether they were billed before.
    pub late: Vec<Bill>,
}

/// A process that has the lease of the ledger duty.
///
/// Per holder the driver reads a [`Page`]. An open batch is published and closed; otherwise the
/// missing slots are loaded and the next batch is decided. Until a decided batch is closed, no
/// batch of another holder can be decided, because the first may contain the same requests.
#[derive(Debug)]
pub struct Ledger {
    pub(super) settings: Settings,
    lease: Condition,
    fencing: u64,
    window: Window,
    /// The holder whose batch was decided last and is not closed.
    open: Option<HolderId>,
    /// Holders whose open batches, left by an earlier process, are not closed yet.
    inherited: HashSet<HolderId>,
}

impl Ledger {
    /// Creates the duty from the lease row as confirmed by [`Lease::confirm`], and all cursor
    /// rows as read after that.
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
            window: Window::default(),
            open: None,
            inherited,
        })
    }

    /// Takes the lease row as confirmed after its renewal by this process.
    ///
    /// # Errors
    /// [`Kind::Conflict`] when another process had the lease in between: its batches are not in
    /// the cache, so the duty must be created anew.
    pub fn renew(&mut self, lease: &Row) -> Result<(), Fault> {
        if Lease::decode(lease)?.fencing != self.fencing {
            let message = "another process had the lease of the ledger";
            return Err(Fault::new(Kind::Conflict, message));
        }
        self.lease.version = lease.version;
        Ok(())
    }

    /// Returns whether a verdict shows that another process has taken the lease. The duty must
    /// then be dropped and acquired anew.
    pub fn has_lost_lease(&self, verdict: &Verdict) -> bool {
        let Verdict::Conflict(rows) = verdict else {
            return false;
        };
        let row = rows.iter().find(|row| row.key == self.lease.key);
        let lease = row.map(Lease::decode);
        lease.is_some_and(|lease| lease.is_ok_and(|lease| lease.fencing != self.fencing))
    }

    /// Returns the holder that must be visited next, if there is one.
    pub fn blocking_holder(&self) -> Option<&HolderId> {
        self.open.as_ref().or_else(|| self.inherited.iter().min())
    }

    /// Returns the slots whose index objects must be loaded before the next batch of a page.
    pub fn missing_slots(&self, wall: Duration, page: &Page) -> Vec<Slot> {
        let last = self.last(page);
        let bills = page.bills(page.cursor.next, last);
        let slots: BTreeSet<_> = bills.flat_map(|bill| self.lookups(wall, bill)).collect();
        let missing = slots.into_iter().filter(|slot| !self.window.has(*slot));
        missing.collect()
    }

    /// Adds the contents of all index objects of a slot.
    ///
    /// # Errors
    /// [`Kind::Internal`] when an object is malformed.
    pub fn load(&mut self, slot: Slot, objects: &[Vec<u8>]) -> Result<(), Fault> {
        self.window.load(slot, objects)
    }

    /// Returns the keys of the budget rows that [`Self::decide`] needs.
    pub fn account_keys(&self, wall: Duration, page: &Page) -> Vec<String> {
        let last = self.last(page);
        let (repeated, late, _) = self.classify(wall, page, last);
        let refunds = refunds(repeated.iter().chain(&late));
        refunds.keys().map(|id| account_key(id)).collect()
    }

    /// Decides the next batch of a page, or returns `None` when no row is left.
    ///
    /// # Errors
    /// [`Kind::Conflict`] while another holder's batch is open or a slot is missing, and
    /// [`Kind::Internal`] when a budget row is malformed.
    pub fn decide(
        &mut self,
        wall: Duration,
        page: &Page,
        accounts: &[Row],
    ) -> Result<Option<Decided>, Fault> {
        let decided = self.select(wall, page, accounts);
        self.window.trim(self.settings.cache_limit);
        decided
    }

    fn select(
        &mut self,
        wall: Duration,
        page: &Page,
        accounts: &[Row],
    ) -> Result<Option<Decided>, Fault> {
        if page.cursor.batch.is_some()
            || self.blocking_holder().is_some_and(|id| *id != page.holder)
        {
            return Err(Fault::new(Kind::Conflict, "another batch is open"));
        }
        if !self.missing_slots(wall, page).is_empty() {
            return Err(Fault::new(Kind::Conflict, "a slot of the index is missing"));
        }
        let (first, last) = (page.cursor.next, self.last(page));
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
        let mut transaction = self.transaction(page, &cursor);
        refund(&mut transaction, repeated.iter().chain(&late), accounts)?;
        self.open = Some(page.holder.clone());
        Ok(Some(Decided {
            transaction,
            repeated,
            late,
        }))
    }

    /// Returns the objects of a page's open batch; repeated calls return the same objects.
    pub fn publish(&mut self, page: &Page) -> Vec<Object> {
        let Some(batch) = &page.cursor.batch else {
            return Vec::new();
        };
        let mut budgets: BTreeMap<&BudgetId, Vec<Bill>> = BTreeMap::new();
        let mut slots: BTreeMap<Slot, Vec<u64>> = BTreeMap::new();
        let at = Duration::from_secs(batch.at);
        for (position, bill) in (0..).zip(page.bills(batch.first, batch.last)) {
            let fingerprints = slots.entry(self.home(at, bill)).or_default();
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
            self.window.extend(slot, &fingerprints);
            let key = window::index_key(slot, &page.holder, batch.first);
            let value = fingerprints.iter().flat_map(|word| word.to_be_bytes());
            let value = value.collect();
            objects.push(Object { key, value });
        }
        self.window.trim(self.settings.cache_limit);
        objects
    }

    /// Returns the transaction that closes a page's open batch; call it when all objects of
    /// [`Self::publish`] are stored.
    ///
    /// The last row that the holder itself wrote is kept with all that follow: it states what
    /// the holder has, and the holder recognises by it an append whose reply was lost.
    pub fn close(&mut self, page: &Page) -> Option<Transaction> {
        let batch = page.cursor.batch.as_ref()?;
        self.inherited.remove(&page.holder);
        self.open = self.open.take().filter(|holder| *holder != page.holder);
        let own =
            page.rows.iter().rev().find(|(sequence, journal)| {
                *sequence <= batch.last && journal.author == page.holder
            });
        let end = page.cursor.kept.saturating_add(DELETES);
        let kept = own.map_or(page.cursor.kept, |(sequence, _)| end.min(*sequence));
        let last = page.rows.iter().find(|(row, _)| *row == batch.last);
        let cursor = Cursor {
            next: page.cursor.next,
            kept,
            batch: None,
            ended: last.and_then(|(_, journal)| journal.entry.is_terminal().then_some(batch.at)),
        };
        let mut transaction = self.transaction(page, &cursor);
        for sequence in page.cursor.kept..kept {
            transaction.delete(journal_key(&page.holder, sequence));
        }
        Some(transaction)
    }

    /// Returns the first slot whose index objects may be relevant; objects of earlier slots can
    /// be deleted. One slot more than the retention is kept, because clocks differ.
    pub fn oldest_slot(&self, wall: Duration) -> Slot {
        let oldest = self.slot(wall.saturating_sub(self.settings.retention));
        oldest.saturating_sub(1)
    }

    /// Returns the number of fingerprints in memory.
    pub fn cached_fingerprints(&self) -> usize {
        self.window.len()
    }

    fn transaction(&self, page: &Page, cursor: &Cursor) -> Transaction {
        let mut transaction = self.conditions(page);
        let value = serde_json::to_string(cursor).unwrap_or_default();
        transaction.put(cursor_key(&page.holder), value);
        transaction
    }

    pub(super) fn conditions(&self, page: &Page) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.require(self.lease.key.clone(), self.lease.version);
        transaction.require(cursor_key(&page.holder), page.version);
        transaction
    }

    /// Returns the last row of the next batch; below `next` when there is none.
    fn last(&self, page: &Page) -> Sequence {
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

    /// Returns the repeated and the late bills of a batch and the positions of both.
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
            let mut slots = self.lookups(wall, bill);
            let is_repeated = !seen.insert(&bill.request)
                || slots.any(|slot| self.window.contains(slot, fingerprint));
            if is_repeated {
                repeated.push(bill.clone());
            } else if stamp::time(&bill.request).is_some_and(|time| time < start) {
                late.push(bill.clone());
            } else {
                continue;
            }
            dropped.push(position);
        }
        (repeated, late, dropped)
    }

    /// Returns the slot whose index lists a bill.
    fn home(&self, wall: Duration, bill: &Bill) -> Slot {
        self.slot(stamp::time(&bill.request).unwrap_or(wall))
    }

    /// Returns the slots in which an earlier bill of the same request may be listed.
    fn lookups(&self, wall: Duration, bill: &Bill) -> std::ops::RangeInclusive<Slot> {
        let home = self.home(wall, bill);
        match stamp::time(&bill.request) {
            Some(_) => home..=home,
            None => home.saturating_sub(self.settings.lookback_slots)..=home,
        }
    }

    fn slot(&self, wall: Duration) -> Slot {
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
