//! Stateful test of the removal of ended journals.
//!
//! Holders are paused, declared lost, and resume after their journal has been removed. Messages of
//! reclaimers and of the ledger may be lost or arrive late. The oracle is the list of executed
//! requests.

mod fuzz;

use {
    fuzz::{Fault, Store, World, fault},
    marigoldroute_core::{
        bill::{
            self, Bill, Lease, Ledger, Page, REMOVAL_LIMIT_ROWS, Segment, Settings, index_prefix,
            new_request_id,
        },
        budget::{
            self, Account, Holder, Phase, Reason, Usage, journal,
            reclaim::{self, JournalState},
        },
        id::{HolderId, RequestId, Tokens},
        table::{Row, Transaction, Verdict},
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const SEED: u64 = 0x6d61_7269_0004;
const CASES: u32 = 600;
const DEFECT_CASES: u32 = 2_000;
/// Number of processes that take requests.
const LIVE: usize = 2;
const PURCHASED: Tokens = 10_000_000;
const BUDGET: &str = "b0";
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
const LEASE_TERM: Duration = Duration::from_secs(30);
/// Time between the end of a journal and its removal.
const JOURNAL_RETENTION: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    /// Holders append without the condition on the opening row of their journal.
    HolderAppends,
    /// Reclaimers append without the condition on the opening row of the journal.
    ReclaimerAppends,
    /// A journal is removed, but its opening row is kept.
    KeepOpeningRow,
    /// Settlements that a holder had not written when its journal was removed are not repeated at
    /// another holder.
    DropUnwrittenBills,
}

#[derive(Clone, Debug)]
enum Step {
    /// A live process reserves tokens for a request, executes it and settles it.
    Execute(usize, Tokens),
    /// A live process writes its journal.
    Flush(usize, Fault),
    /// A live process is paused and replaced.
    Pause(usize),
    /// A paused process executes a request if it has the tokens, and writes its journal.
    Wake(usize, Tokens, Fault),
    /// A planned stop of a live process, which is replaced.
    Stop(usize),
    /// The next step of the reclaim of the journal of a paused process.
    Reclaim(usize, Fault),
    /// A round of the ledger, in which one transaction meets the fault.
    Round(usize, Fault),
    /// Seconds pass.
    Advance(u64),
    /// The oldest delayed transaction takes effect.
    Deliver,
}

struct Process {
    id: HolderId,
    holder: Holder,
    /// Settlements that the entries would repeat if the journal were lost.
    settled: Vec<(RequestId, Tokens)>,
}

struct Fleet {
    defect: Option<Defect>,
    store: Store,
    objects: BTreeMap<Arc<str>, Vec<u8>>,
    now: Duration,
    executions: BTreeMap<RequestId, Tokens>,
    /// The first [`LIVE`] processes take requests, the others are paused or stopping.
    processes: Vec<Process>,
    started: usize,
}

fn usage(tokens: Tokens) -> Usage {
    Usage {
        workspace: "w".into(),
        model: "m".into(),
        upstream: "u".into(),
        tokens,
    }
}

fn start_process(number: usize) -> Process {
    let id: HolderId = format!("h.{number}").into();
    Process {
        holder: Holder::new(id.clone(), budget::Settings::default()),
        id,
        settled: Vec::new(),
    }
}

impl Fleet {
    fn has_defect(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    fn spawn(&mut self) -> Process {
        self.started += 1;
        start_process(self.started)
    }

    fn clock(&self) -> Duration {
        self.now - EPOCH
    }

    fn fetch(&self, keys: &[String]) -> Vec<Row> {
        let rows = keys.iter().filter_map(|key| self.store.table.get(key));
        rows.cloned().collect()
    }

    fn execute(&mut self, process: usize, tokens: Tokens) {
        let request = new_request_id(self.now, self.executions.len() as u64);
        if self.settle(process, &request, tokens) {
            self.executions.insert(request, tokens);
        }
    }

    /// Reserves tokens and settles them at once; returns whether the process had enough of them.
    fn settle(&mut self, index: usize, request: &RequestId, tokens: Tokens) -> bool {
        let clock = self.clock();
        for _ in 0..2 {
            let process = &mut self.processes[index];
            let attempt: RequestId = format!("{request}.{}", process.id).into();
            let reserved = process
                .holder
                .reserve(clock, &attempt, &BUDGET.into(), tokens);
            if reserved.is_ok() {
                process.holder.settle(&attempt, usage(tokens));
                process.settled.push((request.clone(), tokens));
                return true;
            }
            self.flush(index, Fault::None);
        }
        false
    }

    fn flush(&mut self, index: usize, fault: Fault) {
        let keys = self.processes[index].holder.required_keys();
        let rows = self.fetch(&keys);
        let clock = self.clock();
        let Some(mut transaction) = self.processes[index].holder.flush(clock, &rows) else {
            return;
        };
        if self.has_defect(Defect::HolderAppends) {
            drop_opening_conditions(&mut transaction);
        }
        if let Some(verdict) = self.store.commit(transaction, fault) {
            self.processes[index].holder.apply_verdict(&verdict);
        }
        if self.processes[index].holder.is_removed() {
            self.settle_at_another(index);
        }
    }

    /// Repeats, at another process, the settlements of a process whose journal was removed.
    fn settle_at_another(&mut self, index: usize) {
        let settled = std::mem::take(&mut self.processes[index].settled);
        if index < LIVE {
            let fresh = self.spawn();
            let old = std::mem::replace(&mut self.processes[index], fresh);
            self.processes.push(old);
        }
        if self.has_defect(Defect::DropUnwrittenBills) {
            return;
        }
        for (request, tokens) in settled {
            if self.processes[0].holder.phase() != Phase::Open {
                self.pause(0);
            }
            while !self.settle(0, &request, tokens) {}
        }
    }

    fn pause(&mut self, index: usize) {
        let fresh = self.spawn();
        let old = std::mem::replace(&mut self.processes[index], fresh);
        self.processes.push(old);
    }

    fn paused_process(&self, choice: usize) -> Option<usize> {
        let count = self.processes.len() - LIVE;
        (count > 0).then(|| LIVE + choice % count)
    }

    fn wake(&mut self, choice: usize, tokens: Tokens, fault: Fault) {
        let Some(index) = self.paused_process(choice) else {
            return;
        };
        let request = new_request_id(self.now, self.executions.len() as u64);
        let process = &mut self.processes[index];
        let attempt: RequestId = format!("{request}.{}", process.id).into();
        let clock = self.now - EPOCH;
        let reserved = process
            .holder
            .reserve(clock, &attempt, &BUDGET.into(), tokens);
        if reserved.is_ok() {
            process.holder.settle(&attempt, usage(tokens));
            process.settled.push((request.clone(), tokens));
            self.executions.insert(request, tokens);
        }
        self.flush(index, fault);
    }

    fn reclaim(&mut self, choice: usize, fault: Fault) {
        let Some(index) = self.paused_process(choice) else {
            return;
        };
        let id = self.processes[index].id.clone();
        let table = &self.store.table;
        let last = table.scan(&journal::prefix(&id), "", usize::MAX).pop();
        let opening = table.get(&journal::opening_key(&id));
        let author: HolderId = "reclaimer".into();
        let transaction = match reclaim::read(&id, last.as_ref(), opening) {
            Some(JournalState::Live(tail)) if last.is_some() => {
                tail.fence(&author, &self.fetch(&tail.keys(&[])))
            }
            Some(JournalState::Fenced(tail)) => {
                let rows = self.fetch(&tail.keys(&[]));
                tail.declare_lost(&author, Reason::Elapsed, Vec::new(), &rows)
            }
            _ => None,
        };
        let Some(mut transaction) = transaction else {
            return;
        };
        if self.has_defect(Defect::ReclaimerAppends) {
            drop_opening_conditions(&mut transaction);
        }
        self.store.commit(transaction, fault);
    }

    /// Acquires the lease and processes every journal. The transaction with the number
    /// `faulty_transaction` meets the fault. A lost reply ends the round.
    fn round(&mut self, faulty_transaction: usize, fault: Fault) {
        let Some(mut ledger) = self.acquire() else {
            return;
        };
        let mut holders: Vec<HolderId> = Vec::new();
        for row in self.store.table.scan("journal/", "", usize::MAX) {
            holders.extend(journal::holder_of_key(&row.key).map(Into::into));
        }
        holders.dedup();
        let blocking = ledger.blocking_holder().cloned();
        let mut count = 0;
        for holder in blocking.into_iter().chain(holders) {
            while let Some(transaction) = self.next_transaction(&mut ledger, &holder) {
                let injected = if count == faulty_transaction {
                    fault
                } else {
                    Fault::None
                };
                count += 1;
                if self.store.commit(transaction, injected) != Some(Verdict::Committed) {
                    return;
                }
            }
        }
    }

    fn acquire(&mut self) -> Option<Ledger> {
        let id: HolderId = "ledger".into();
        let row = self.store.table.get("lease/ledger").cloned();
        let lease = Lease::acquire("ledger", row.as_ref(), &id, self.now, LEASE_TERM);
        let transaction = lease.expect("a lease row")?;
        self.store.table.commit(&transaction);
        let row = self.store.table.get("lease/ledger").cloned();
        let row = Lease::confirm(&transaction, row, &id)?;
        let settings = Settings {
            journal_retention: JOURNAL_RETENTION,
            ..Settings::default()
        };
        let cursors = self.store.table.scan("ledger/", "", 1_000);
        Some(Ledger::new(&row, &cursors, settings).expect("cursor rows"))
    }

    /// Returns the ledger's next transaction for a journal; `None` when there is nothing to do.
    fn next_transaction(&mut self, ledger: &mut Ledger, holder: &HolderId) -> Option<Transaction> {
        let row = self.store.table.get(&bill::cursor_key(holder)).cloned();
        let cursor = Page::decode_cursor(row.as_ref()).expect("a cursor row");
        let (prefix, after) = Page::scan_range(holder, &cursor);
        let rows = self.store.table.scan(&prefix, &after, 100);
        let page = Page::decode(holder.clone(), row.as_ref(), &rows).expect("a page");
        if page.open_batch().is_some() {
            let objects = ledger.publish(&page).into_iter();
            self.objects
                .extend(objects.map(|object| (object.key, object.value)));
            return ledger.close(&page);
        }
        for slot in ledger.missing_slots(self.now, &page) {
            let prefix = index_prefix(slot);
            let keys = self
                .objects
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix));
            let objects: Vec<_> = keys.map(|(_, value)| value.clone()).collect();
            ledger.load(slot, &objects).expect("index objects");
        }
        let rows = self.fetch(&ledger.account_keys(self.now, &page));
        if let Some(decided) = ledger.decide(self.now, &page, &rows).expect("a decision") {
            return Some(decided.transaction);
        }
        if !ledger.is_removal_due(self.now, &page) {
            return None;
        }
        let opening = self.store.table.get(&journal::opening_key(holder));
        let rows = self.store.table.scan(&prefix, "", REMOVAL_LIMIT_ROWS);
        // Missing rows were removed by an earlier transaction, whose reply may have been lost.
        let mut transaction = ledger.remove_journal(&page, opening, &rows);
        if self.has_defect(Defect::KeepOpeningRow) {
            transaction = ledger.remove_journal(&page, None, &rows);
            drop_opening_conditions(&mut transaction);
        }
        Some(transaction)
    }

    fn billed(&self) -> BTreeMap<RequestId, Bill> {
        let mut billed = BTreeMap::new();
        let segments = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with("bills/"));
        for (key, value) in segments {
            for bill in Segment::decode(key, value).expect("a segment").bills {
                let request = bill.request.clone();
                let earlier = billed.insert(request.clone(), bill);
                assert!(earlier.is_none(), "{request} was billed twice");
            }
        }
        billed
    }

    fn account(&self) -> Account {
        let row = self.store.table.get("budget/b0").expect("a budget");
        serde_json::from_str(&row.value).expect("a budget")
    }

    /// Stops every process and removes every journal.
    fn settle_all(&mut self) {
        while self.store.deliver() {}
        for _ in 0..8 {
            for index in 0..self.processes.len() {
                self.processes[index].holder.stop();
                for _ in 0..8 {
                    self.flush(index, Fault::None);
                }
            }
            self.now += LEASE_TERM * 2 + JOURNAL_RETENTION;
            self.round(usize::MAX, Fault::None);
        }
    }

    fn check_end(&self) {
        for process in &self.processes {
            let phase = process.holder.phase();
            assert_eq!(phase, Phase::Closed, "{} does not close", process.id);
        }
        for prefix in ["journal/", "holder/", "ledger/"] {
            let rows = self.store.table.scan(prefix, "", 10);
            assert!(rows.is_empty(), "rows remain: {rows:?}");
        }
        let billed = self.billed();
        for (request, tokens) in &self.executions {
            let charged = billed.get(request).map_or(0, |bill| bill.charged);
            assert_eq!(charged, *tokens, "{request} was not billed");
        }
        let spent: Tokens = billed.values().map(|bill| bill.charged).sum();
        let account = self.account();
        assert_eq!(account.allocated, spent, "tokens were returned or lost");
    }
}

fn drop_opening_conditions(transaction: &mut Transaction) {
    let is_kept = |key: &str| !key.starts_with("holder/");
    transaction.conditions.retain(|c| is_kept(&c.key));
}

impl World for Fleet {
    type Step = Step;
    type Defect = Defect;

    fn steps() -> BoxedStrategy<Step> {
        let tokens = || 1..3_000_u64;
        prop_oneof![
            6 => (0..LIVE, tokens()).prop_map(|(p, t)| Step::Execute(p, t)),
            5 => (0..LIVE, fault()).prop_map(|(p, f)| Step::Flush(p, f)),
            2 => (0..LIVE).prop_map(Step::Pause),
            3 => (any::<usize>(), tokens(), fault()).prop_map(|(p, t, f)| Step::Wake(p, t, f)),
            1 => (0..LIVE).prop_map(Step::Stop),
            6 => (any::<usize>(), fault()).prop_map(|(p, f)| Step::Reclaim(p, f)),
            6 => (0..6_usize, fault()).prop_map(|(n, f)| Step::Round(n, f)),
            4 => (1..60_u64).prop_map(Step::Advance),
            2 => Just(Step::Deliver),
        ]
        .boxed()
    }

    fn new(defect: Option<Defect>) -> Self {
        let mut fleet = Self {
            defect,
            store: Store::default(),
            objects: BTreeMap::new(),
            now: EPOCH,
            executions: BTreeMap::new(),
            processes: Vec::new(),
            started: 0,
        };
        let mut transaction = Transaction::default();
        let value = format!(r#"{{"purchased":{PURCHASED},"allocated":0}}"#);
        transaction.put("budget/b0", value);
        fleet.store.table.commit(&transaction);
        for _ in 0..LIVE {
            let process = fleet.spawn();
            fleet.processes.push(process);
        }
        fleet
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Execute(process, tokens) => self.execute(process, tokens),
            Step::Flush(process, fault) => self.flush(process, fault),
            Step::Pause(process) => self.pause(process),
            Step::Wake(choice, tokens, fault) => self.wake(choice, tokens, fault),
            Step::Stop(process) => {
                self.processes[process].holder.stop();
                self.pause(process);
            }
            Step::Reclaim(choice, fault) => self.reclaim(choice, fault),
            Step::Round(faulty_transaction, fault) => self.round(faulty_transaction, fault),
            Step::Advance(seconds) => self.now += Duration::from_secs(seconds),
            Step::Deliver => drop(self.store.deliver()),
        }
    }

    fn check(&self) {
        let account = self.account();
        assert!(account.allocated <= account.purchased, "{account:?}");
        self.billed();
    }

    fn finish(&mut self) {
        self.settle_all();
        self.check_end();
    }
}

/// Guards against removing a journal too early, and against a holder or reclaimer that appends to a
/// removed journal as if it were a new one.
#[test]
fn removed_journals_stay_removed_under_faults() {
    let failure = fuzz::first_failure::<Fleet>(None, SEED, CASES, 3_000);
    assert_eq!(failure, None);
}

/// Guards against an oracle that does not detect defects.
#[test]
fn oracle_detects_defects() {
    let (gap, unbilled, lost) = ("is missing", "was not billed", "returned or lost");
    for (defect, reasons) in [
        (Defect::HolderAppends, &[gap, lost][..]),
        (Defect::ReclaimerAppends, &[gap, lost]),
        (Defect::KeepOpeningRow, &[gap, lost]),
        (Defect::DropUnwrittenBills, &[unbilled]),
    ] {
        fuzz::detect::<Fleet>(defect, SEED, DEFECT_CASES, reasons);
    }
}
