//! Stateful test of billing: holders that crash, pause and return, requests that are settled at
//! two holders, two ledgers and both stores failing. The oracle is the list of executions.

mod fuzz;

use {
    fuzz::{Fault, Store, World, fault},
    marigoldroute_core::{
        bill::{
            self, Basis, Bill, Lease, Ledger, Object, Page, Record, Segment, Settings,
            index_prefix, mint, missing,
        },
        budget::{Account, Entry, Journal},
        id::{HolderId, RequestId, Tokens},
        table::{Row, Transaction, Verdict, Write},
    },
    proptest::prelude::*,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

const SEED: u64 = 0x6d61_7269_0002;
const CASES: u32 = 800;
const DEFECT_CASES: u32 = 2_000;
const HOLDERS: usize = 3;
const LEDGERS: usize = 2;
const BUDGETS: usize = 2;
const ALLOCATED: Tokens = 1_000_000;
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
const TERM: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    /// Ledger transactions without the condition on the lease.
    NoLease,
    /// Ledger transactions without the condition on the cursor.
    NoCursor,
    /// A ledger that forgets after a lost reply that a batch is in doubt.
    ForgetDoubt,
    /// A lease that counts as taken when the row names the process, whoever wrote it.
    UnconfirmedLease,
    /// Slots that are taken as empty without reading their index.
    NoIndex,
    /// A batch that is closed although its objects were not stored.
    CloseEarly,
    /// Dropped bills whose tokens are not returned.
    NoRefund,
    /// A lost holder whose usage records are not billed.
    NoRecovery,
}

#[derive(Clone, Debug)]
enum Step {
    /// A request is executed and settled at a holder, sometimes at a second one too: holders,
    /// budget and tokens.
    Execute(usize, Option<usize>, usize, Tokens),
    /// A holder appends its bills.
    Flush(usize),
    /// A holder is gone; its unwritten bills are rebuilt from usage records.
    Lose(usize),
    /// A holder that was taken as lost returns and appends what it has.
    Return,
    /// A ledger takes or renews the lease.
    Acquire(usize, Fault),
    /// A ledger visits a journal: one transaction, or an attempt to store the objects, of which
    /// the given number succeeds.
    Visit(usize, usize, Fault, usize),
    /// A ledger process is replaced.
    Restart(usize),
    /// Seconds.
    Advance(u64),
    Deliver,
}

struct Holder {
    id: HolderId,
    next: u64,
    bills: Vec<Bill>,
}

struct Execution {
    budget: Arc<str>,
    tokens: Tokens,
    holders: Vec<HolderId>,
}

struct Fleet {
    defect: Option<Defect>,
    store: Store,
    objects: BTreeMap<Arc<str>, Vec<u8>>,
    now: Duration,
    executions: BTreeMap<RequestId, Execution>,
    holders: Vec<Holder>,
    /// Holders that were taken as lost and may return.
    away: VecDeque<Holder>,
    /// All holder ids, in the order of their start.
    journals: Vec<HolderId>,
    ledgers: Vec<Option<Ledger>>,
    /// Every copy of a bill that a journal row has held.
    settled: Vec<Bill>,
    late_objects: VecDeque<Object>,
}

impl Fleet {
    fn has(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    fn start(&mut self) -> Holder {
        let id: HolderId = format!("h.{}", self.journals.len()).into();
        self.journals.push(id.clone());
        Holder {
            id,
            next: 1,
            bills: Vec::new(),
        }
    }

    fn execute(&mut self, holder: usize, second: Option<usize>, budget: usize, tokens: Tokens) {
        let request = mint(self.now, self.executions.len() as u64);
        let budget: Arc<str> = format!("b{budget}").into();
        let mut holders = vec![self.holders[holder].id.clone()];
        let bill = bill(&request, &budget, tokens);
        self.holders[holder].bills.push(bill.clone());
        if let Some(second) = second {
            holders.push(self.holders[second].id.clone());
            self.holders[second].bills.push(bill);
        }
        let execution = Execution {
            budget,
            tokens,
            holders,
        };
        self.executions.insert(request, execution);
    }

    fn append(&mut self, id: &HolderId, author: &HolderId, sequence: u64, bills: Vec<Bill>) {
        self.settled.extend_from_slice(&bills);
        let journal = Journal {
            author: author.clone(),
            entry: Entry::Flush {
                shares: BTreeMap::new(),
                bills,
            },
        };
        let key = format!("journal/{id}/{sequence:012}");
        let mut transaction = Transaction::default();
        transaction.require(key.as_str(), 0);
        transaction.put(key, serde_json::to_string(&journal).expect("serializable"));
        assert_eq!(self.store.table.commit(&transaction), Verdict::Committed);
    }

    fn flush(&mut self, holder: usize) {
        let holder = &mut self.holders[holder];
        let (id, sequence) = (holder.id.clone(), holder.next);
        holder.next += 1;
        let bills = std::mem::take(&mut holder.bills);
        self.append(&id, &id, sequence, bills);
    }

    /// Bills the lost holder's requests from the engines' records, as far as its journal lacks
    /// them. The records do not say which bills the ledger has consumed.
    fn lose(&mut self, holder: usize) {
        let fresh = self.start();
        let mut lost = std::mem::replace(&mut self.holders[holder], fresh);
        let rows = self
            .store
            .table
            .scan(&format!("journal/{}/", lost.id), "", 1_000);
        let decode = |row: &Row| serde_json::from_str(&row.value).expect("a journal row");
        let journal: Vec<Journal> = rows.iter().map(decode).collect();
        let own = self
            .executions
            .iter()
            .filter(|(_, e)| e.holders.contains(&lost.id));
        let records: Vec<_> = own.map(|(request, e)| record(request, e)).collect();
        if !self.has(Defect::NoRecovery) {
            let bills = missing(&journal, &records);
            self.append(&lost.id.clone(), &"reclaimer".into(), lost.next, bills);
            lost.next += 1;
        } else {
            lost.bills.clear();
        }
        self.away.push_back(lost);
    }

    fn resume(&mut self) {
        if let Some(mut holder) = self.away.pop_front() {
            let bills = std::mem::take(&mut holder.bills);
            self.append(&holder.id, &holder.id, holder.next, bills);
        }
    }

    fn acquire(&mut self, ledger: usize, fault: Fault) {
        let row = self.store.table.get("lease/ledger").cloned();
        let id: HolderId = format!("ledger.{ledger}").into();
        let lease = Lease::acquire("ledger", row.as_ref(), &id, self.now, TERM);
        let Some(transaction) = lease.expect("a lease row") else {
            return;
        };
        self.store.commit(transaction.clone(), fault);
        let row = self.store.table.get("lease/ledger").cloned();
        let own = row.clone().filter(|row| {
            let lease = Lease::decode(row).expect("a lease");
            self.has(Defect::UnconfirmedLease) && lease.holder == id
        });
        let row = own.or_else(|| Lease::confirm(&transaction, row, &id));
        let Some(row) = row else {
            self.ledgers[ledger] = None;
            return;
        };
        let renewed = self.ledgers[ledger].as_mut().map(|l| l.renew(&row));
        if !matches!(renewed, Some(Ok(()))) {
            self.ledgers[ledger] = Some(self.ledger(&row));
        }
    }

    fn ledger(&self, lease: &Row) -> Ledger {
        let settings = Settings {
            rows: 3,
            bills: 4,
            cached: 8,
            ..Settings::default()
        };
        let cursors = self.store.table.scan("ledger/", "", 1_000);
        Ledger::new(lease, &cursors, settings).expect("cursor rows")
    }

    fn visit(&mut self, number: usize, journal: usize, fault: Fault, stored: usize) {
        let Some(mut ledger) = self.ledgers[number].take() else {
            return;
        };
        let urgent = ledger.urgent().cloned();
        let holder = urgent.unwrap_or_else(|| self.journals[journal % self.journals.len()].clone());
        let row = self.store.table.get(&bill::key(&holder)).cloned();
        let cursor = Page::cursor(row.as_ref()).expect("a cursor row");
        let (prefix, after) = Page::range(&holder, &cursor);
        let rows = self.store.table.scan(&prefix, &after, 10);
        let page = Page::decode(holder, row.as_ref(), &rows).expect("a page");
        let reply = match page.batch() {
            Some(_) => self.publish(&mut ledger, &page, fault, stored),
            None => self.decide(&mut ledger, &page, fault),
        };
        let is_deposed = reply
            .as_ref()
            .is_some_and(|verdict| ledger.is_deposed(verdict));
        if self.has(Defect::ForgetDoubt) && reply.is_none() {
            let lease = self.store.table.get("lease/ledger").expect("held").clone();
            ledger = self.ledger(&lease);
        }
        // Some drivers start anew after a lost reply, others visit the same holder again.
        let is_restarted = reply.is_none() && journal.is_multiple_of(2);
        self.ledgers[number] = Some(ledger).filter(|_| !is_deposed && !is_restarted);
        if is_restarted {
            self.acquire(number, fault);
        }
    }

    /// Returns the verdict, `Committed` when nothing was to do and `None` for a lost reply.
    fn decide(&mut self, ledger: &mut Ledger, page: &Page, fault: Fault) -> Option<Verdict> {
        for slot in ledger.slots(self.now, page) {
            let prefix = index_prefix(slot);
            let keys = self
                .objects
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix));
            let mut objects: Vec<_> = keys.map(|(_, value)| value.clone()).collect();
            if self.has(Defect::NoIndex) {
                objects.clear();
            }
            ledger.load(slot, &objects).expect("index objects");
        }
        let keys = ledger.accounts(self.now, page);
        let rows = keys
            .iter()
            .filter_map(|key| self.store.table.get(key).cloned());
        let rows: Vec<_> = rows.collect();
        let Some(decided) = ledger.decide(self.now, page, &rows).expect("a decision") else {
            return Some(Verdict::Committed);
        };
        self.store.commit(self.sabotage(decided.transaction), fault)
    }

    fn publish(
        &mut self,
        ledger: &mut Ledger,
        page: &Page,
        fault: Fault,
        stored: usize,
    ) -> Option<Verdict> {
        let objects = ledger.publish(page);
        let is_stored = stored >= objects.len();
        for (position, object) in objects.into_iter().enumerate() {
            if position < stored {
                self.objects.insert(object.key, object.value);
            } else if fault == Fault::Delayed {
                self.late_objects.push_back(object);
            }
        }
        if !is_stored && !self.has(Defect::CloseEarly) {
            return Some(Verdict::Committed);
        }
        let transaction = ledger.close(page).expect("an open batch");
        self.store.commit(self.sabotage(transaction), fault)
    }

    fn sabotage(&self, mut transaction: Transaction) -> Transaction {
        match self.defect {
            Some(Defect::NoLease) => transaction
                .conditions
                .retain(|c| !c.key.starts_with("lease/")),
            Some(Defect::NoCursor) => transaction
                .conditions
                .retain(|c| !c.key.starts_with("ledger/")),
            Some(Defect::NoRefund) => transaction.writes.retain(|write| match write {
                Write::Put { key, .. } | Write::Delete { key } => !key.starts_with("budget/"),
            }),
            _ => {}
        }
        transaction
    }

    fn deliver(&mut self) -> bool {
        let is_delivered = self.store.deliver();
        let Some(object) = self.late_objects.pop_front() else {
            return is_delivered;
        };
        self.objects.insert(object.key, object.value);
        true
    }

    fn billed(&self) -> BTreeMap<RequestId, Bill> {
        let mut billed = BTreeMap::new();
        for (key, value) in self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with("bills/"))
        {
            for bill in Segment::decode(key, value).expect("a segment").bills {
                let request = bill.request.clone();
                let earlier = billed.insert(request.clone(), bill);
                assert!(earlier.is_none(), "{request} was billed twice");
            }
        }
        billed
    }

    /// Runs everything to its end without faults.
    fn settle(&mut self) {
        for holder in 0..HOLDERS {
            self.flush(holder);
        }
        while !self.away.is_empty() {
            self.resume();
        }
        while self.deliver() {}
        self.now += TERM * 2;
        self.ledgers.fill_with(|| None);
        self.acquire(0, Fault::None);
        // A page takes two visits; urgent holders go first.
        for _ in 0..200 {
            for journal in 0..self.journals.len() {
                self.visit(0, journal, Fault::None, usize::MAX);
            }
            if self.is_idle() {
                break;
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.journals.iter().all(|holder| {
            let cursor = Page::cursor(self.store.table.get(&bill::key(holder))).expect("a cursor");
            let (prefix, after) = Page::range(holder, &cursor);
            cursor.batch.is_none() && self.store.table.scan(&prefix, &after, 1).is_empty()
        })
    }

    fn check_end(&self) {
        assert!(self.is_idle(), "the ledger did not finish");
        let billed = self.billed();
        let mut spent: BTreeMap<&str, Tokens> = BTreeMap::new();
        for (request, execution) in &self.executions {
            let bill = billed.get(request);
            let charged = bill.map_or(0, |bill| bill.charged);
            assert_eq!(charged, execution.tokens, "{request} was not billed");
            *spent.entry(&execution.budget).or_default() += charged;
        }
        let mut settled: BTreeMap<&str, Tokens> = BTreeMap::new();
        for bill in self.settled.iter() {
            *settled.entry(&bill.budget).or_default() += bill.charged;
        }
        for (budget, settled) in settled {
            let row = self
                .store
                .table
                .get(&format!("budget/{budget}"))
                .expect("a budget");
            let account: Account = serde_json::from_str(&row.value).expect("a budget");
            let returned = settled - spent.get(budget).copied().unwrap_or_default();
            assert_eq!(
                account.allocated + returned,
                ALLOCATED,
                "tokens of {budget} are lost"
            );
        }
    }
}

fn bill(request: &RequestId, budget: &Arc<str>, charged: Tokens) -> Bill {
    Bill {
        request: request.clone(),
        workspace: "siliguri".into(),
        budget: budget.clone(),
        model: "drafting".into(),
        upstream: "u1".into(),
        charged,
        uncovered: 0,
    }
}

fn record(request: &RequestId, execution: &Execution) -> Record {
    Record {
        request: request.clone(),
        workspace: "siliguri".into(),
        budget: execution.budget.clone(),
        model: "drafting".into(),
        upstream: "u1".into(),
        tokens: execution.tokens,
        reserved: execution.tokens,
        basis: Basis::Record,
    }
}

impl World for Fleet {
    type Step = Step;
    type Defect = Defect;

    fn steps() -> BoxedStrategy<Step> {
        let second = prop::option::weighted(0.4, 0..HOLDERS);
        let stored = prop_oneof![4 => Just(99_usize), 1 => 0..4_usize];
        prop_oneof![
            8 => (0..HOLDERS, second, 0..BUDGETS, 0..50_u64)
                .prop_map(|(holder, second, budget, n)| Step::Execute(holder, second, budget, n)),
            8 => (0..HOLDERS).prop_map(Step::Flush),
            1 => (0..HOLDERS).prop_map(Step::Lose),
            1 => Just(Step::Return),
            3 => (0..LEDGERS, fault()).prop_map(|(ledger, fault)| Step::Acquire(ledger, fault)),
            24 => (0..LEDGERS, 0..6_usize, fault(), stored)
                .prop_map(|(ledger, journal, fault, n)| Step::Visit(ledger, journal, fault, n)),
            1 => (0..LEDGERS).prop_map(Step::Restart),
            2 => prop::sample::select(vec![1, 40, 700]).prop_map(Step::Advance),
            2 => Just(Step::Deliver),
        ]
        .boxed()
    }

    fn new(defect: Option<Defect>) -> Self {
        let mut world = Self {
            defect,
            store: Store::default(),
            objects: BTreeMap::new(),
            now: EPOCH,
            executions: BTreeMap::new(),
            holders: Vec::new(),
            away: VecDeque::new(),
            journals: Vec::new(),
            ledgers: (0..LEDGERS).map(|_| None).collect(),
            settled: Vec::new(),
            late_objects: VecDeque::new(),
        };
        let mut transaction = Transaction::default();
        for budget in 0..BUDGETS {
            let value = format!(r#"{{"purchased":{ALLOCATED},"allocated":{ALLOCATED}}}"#);
            transaction.put(format!("budget/b{budget}"), value);
        }
        world.store.table.commit(&transaction);
        for _ in 0..HOLDERS {
            let holder = world.start();
            world.holders.push(holder);
        }
        world
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Execute(holder, second, budget, n) => self.execute(holder, second, budget, n),
            Step::Flush(holder) => self.flush(holder),
            Step::Lose(holder) => self.lose(holder),
            Step::Return => self.resume(),
            Step::Acquire(ledger, fault) => self.acquire(ledger, fault),
            Step::Visit(ledger, journal, fault, n) => self.visit(ledger, journal, fault, n),
            Step::Restart(ledger) => self.ledgers[ledger] = None,
            Step::Advance(seconds) => self.now += Duration::from_secs(seconds),
            Step::Deliver => drop(self.deliver()),
        }
    }

    fn check(&self) {
        self.billed();
    }

    fn finish(&mut self) {
        self.settle();
        self.check_end();
    }
}

/// Guards against a second bill, a lost bill and tokens that are neither billed nor returned.
#[test]
fn bills_count_exactly_once_under_faults() {
    let failure = fuzz::first_failure::<Fleet>(None, SEED, CASES, 3_000);
    assert_eq!(failure, None);
}

/// Guards against an oracle that accepts faults.
#[test]
fn oracle_detects_defects() {
    let (twice, never, lost) = ("billed twice", "was not billed", "are lost");
    for (defect, reasons) in [
        (Defect::NoLease, &[twice][..]),
        (Defect::NoCursor, &["is missing", twice, never, lost]),
        (Defect::ForgetDoubt, &[twice]),
        (Defect::UnconfirmedLease, &[twice]),
        (Defect::NoIndex, &[twice]),
        (Defect::CloseEarly, &[never, twice]),
        (Defect::NoRefund, &[lost]),
        (Defect::NoRecovery, &[never]),
    ] {
        fuzz::detect::<Fleet>(defect, SEED, DEFECT_CASES, reasons);
    }
}
