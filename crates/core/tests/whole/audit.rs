//! Bills and accounts as stored, and the requests whose bills are lost with a killed process.

use {
    super::{host::Process, oracle::CallOutcome, simulation::Simulation},
    marigoldroute_core::{
        bill::{Bill, Page, Segment, cursor_key, request_of},
        budget::{Account, journal},
        id::RequestId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

impl Simulation {
    /// Ends a process at once; its callers' connections break. A request that neither another
    /// process nor a journal row knows of becomes unbillable.
    pub fn kill(&mut self, host: usize) {
        let Some(process) = self.hosts[host].process.take() else {
            return;
        };
        self.hosts[host].is_paused = false;
        self.oracle.killed.insert(process.id.to_string());
        let requests = process.requests.values().map(|request| &request.attempt);
        let outbox = process
            .outbox
            .iter()
            .map(|settlement| settlement.message.attempt());
        let known: BTreeSet<RequestId> = requests
            .chain(process.escrow.pending_attempts())
            .cloned()
            .chain(outbox)
            .collect();
        let rows = self.store.rows("journal/");
        for attempt in known {
            let request = request_of(&attempt);
            let others = self.hosts.iter().filter_map(|slot| slot.process.as_ref());
            let is_known = others.into_iter().any(|other| other.can_bill(&attempt));
            let is_written = rows.iter().any(|row| row.value.contains(&*request));
            if !is_known && !is_written {
                self.oracle.unbillable.insert(request);
            }
        }
        self.drop_requests(process);
    }

    fn drop_requests(&mut self, process: Process) {
        for request in process.requests.into_values() {
            self.respond(&request, CallOutcome::Dropped);
        }
    }

    /// Returns the bills in journal rows that the ledger has not read, which may repeat earlier
    /// ones, and in the segments of closed batches.
    pub fn bills(&self) -> Vec<Bill> {
        let rows = self.store.rows("journal/");
        let holders = rows
            .iter()
            .filter_map(|row| journal::holder_of_key(&row.key));
        let holders: BTreeSet<_> = holders.collect();
        let (mut bills, mut open) = (Vec::new(), BTreeSet::new());
        let cursors: BTreeMap<_, _> = (self.store.rows("ledger/").into_iter())
            .map(|row| (row.key.to_string(), row))
            .collect();
        for holder in holders {
            let cursor = cursors.get(&cursor_key(holder));
            let (prefix, after) =
                Page::scan_range(holder, &Page::decode_cursor(cursor).expect("a cursor"));
            let own = rows
                .iter()
                .filter(|row| row.key.starts_with(&prefix) && *row.key > *after);
            let own: Vec<_> = own.cloned().collect();
            let page = Page::decode(holder.into(), cursor, &own).expect("a page");
            bills.extend(page.pending_bills().cloned());
            open.extend(page.open_batch().map(|batch| (holder, batch.first)));
        }
        let segments = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with("bills/"));
        for (key, value) in segments {
            let segment = Segment::decode(key, value).expect("a segment");
            if !open.contains(&(&*segment.holder, segment.first)) {
                bills.extend(segment.bills);
            }
        }
        bills
    }

    pub fn account(&self, budget: &str) -> Account {
        let key = format!("budget/{budget}");
        let rows = self.store.rows(&key);
        serde_json::from_str(&rows[0].value).expect("a budget")
    }
}

impl Process {
    /// Returns whether this process can still have an attempt billed.
    fn can_bill(&self, attempt: &RequestId) -> bool {
        let is_settling =
            |settlement: &super::host::Settlement| settlement.message.attempt() == *attempt;
        self.requests.contains_key(attempt)
            || self.outbox.iter().any(is_settling)
            || self.escrow.has_attempt(attempt)
    }
}
