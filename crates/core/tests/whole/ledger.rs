//! The ledger task of a router process.

use {
    super::{
        host::Process,
        simulation::{Simulation, record_path},
    },
    marigoldroute_core::{
        bill::{self, Lease, Ledger, Page, index_prefix},
        budget::journal,
        id::HolderId,
        table::Transaction,
    },
    std::{collections::BTreeSet, time::Duration},
};

const LEASE_TERM: Duration = Duration::from_secs(5);

impl Simulation {
    /// Lets the ledger process the journals if this process holds or acquires its lease.
    pub fn run_ledger(&mut self, process: &mut Process) {
        if !self.renew_lease(process) {
            return;
        }
        let Some(rows) = self.scan(process.host, "journal/") else {
            return;
        };
        let holders = rows
            .iter()
            .filter_map(|row| journal::holder_of_key(&row.key));
        let holders: BTreeSet<HolderId> = holders.map(Into::into).collect();
        for holder in holders {
            let Some(ledger) = process.ledger.as_mut() else {
                return;
            };
            let holder = ledger.blocking_holder().cloned().unwrap_or(holder);
            self.process_journal(process, holder);
        }
    }

    /// Acquires or renews the ledger's lease; returns whether this process holds it and has loaded
    /// the ledger.
    fn renew_lease(&mut self, process: &mut Process) -> bool {
        let Some(row) = self.read_latest(process.host, "lease/ledger") else {
            return false;
        };
        let lease = Lease::acquire(
            "ledger",
            row.as_ref(),
            &process.id,
            process.wall,
            LEASE_TERM,
        );
        let Some(transaction) = lease.expect("a lease row") else {
            process.ledger = None;
            return false;
        };
        self.commit(process.host, &transaction);
        let row = self.read_latest(process.host, "lease/ledger").flatten();
        let Some(row) = Lease::confirm(&transaction, row, &process.id) else {
            process.ledger = None;
            return false;
        };
        let renewed = process.ledger.as_mut().map(|ledger| ledger.renew(&row));
        if !matches!(renewed, Some(Ok(()))) {
            let cursors = self.scan(process.host, "ledger/");
            let settings = bill::Settings {
                batch_rows: 3,
                batch_bills: 6,
                ..bill::Settings::default()
            };
            process.ledger =
                cursors.map(|cursors| Ledger::new(&row, &cursors, settings).expect("cursor rows"));
        }
        process.ledger.is_some()
    }

    /// Decides the next batch of a holder's journal, or publishes the open one.
    fn process_journal(&mut self, process: &mut Process, holder: HolderId) {
        let Some(mut ledger) = process.ledger.take() else {
            return;
        };
        let Some(row) = self.read_latest(process.host, &bill::cursor_key(&holder)) else {
            return;
        };
        let cursor = Page::decode_cursor(row.as_ref()).expect("a cursor row");
        let (prefix, after) = Page::scan_range(&holder, &cursor);
        let Some(mut rows) = self.scan(process.host, &prefix) else {
            return;
        };
        rows.retain(|row| *row.key > *after);
        let page = Page::decode(holder, row.as_ref(), &rows).expect("a page");
        let transaction = match page.open_batch() {
            Some(_) => self.publish(&mut ledger, &page),
            None => self.decide_batch(process, &mut ledger, &page),
        };
        let verdict = transaction.and_then(|transaction| self.commit(process.host, &transaction));
        let has_lost_lease = verdict.is_some_and(|verdict| ledger.has_lost_lease(&verdict));
        process.ledger = Some(ledger).filter(|_| !has_lost_lease);
    }

    fn decide_batch(
        &self,
        process: &Process,
        ledger: &mut Ledger,
        page: &Page,
    ) -> Option<Transaction> {
        for slot in ledger.missing_slots(process.wall, page) {
            let prefix = index_prefix(slot);
            let objects = self
                .objects
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix));
            let objects: Vec<_> = objects.map(|(_, value)| value.clone()).collect();
            ledger.load(slot, &objects).expect("index objects");
        }
        let keys = ledger.account_keys(process.wall, page);
        let rows = keys
            .iter()
            .filter_map(|key| self.read_latest(process.host, key));
        let rows: Vec<_> = rows.flatten().collect();
        let decided = ledger.decide(process.wall, page, &rows).ok()?;
        decided.map(|decided| {
            decided
                .repeated
                .iter()
                .for_each(|_| record_path("repeated bill"));
            decided.transaction
        })
    }

    fn publish(&mut self, ledger: &mut Ledger, page: &Page) -> Option<Transaction> {
        let objects = ledger.publish(page);
        if self.are_objects_down {
            return None;
        }
        let objects = objects.into_iter();
        self.objects
            .extend(objects.map(|object| (object.key, object.value)));
        ledger.close(page)
    }
}
