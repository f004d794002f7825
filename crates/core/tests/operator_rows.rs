//! Stateful test of the removal of operators' rows, with request ids that are used again and
//! removals that arrive late. The oracle is the list of accepted writes with their times.

mod fuzz;

use {
    fuzz::{Fault, Store, World, fault},
    marigoldroute_core::{
        retention::{
            AUDIT_PREFIX, CURSOR_KEY, REQUEST_PREFIX, Settings, VERSION_PREFIX, expire_history,
            expire_requests, position,
        },
        table::{Row, Transaction, Verdict},
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

const SEED: u64 = 0x6d61_7269_0005;
const CASES: u32 = 600;
const DEFECT_CASES: u32 = 2_000;
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
const HOUR: Duration = Duration::from_secs(3_600);
/// Request ids that operators use.
const IDS: u8 = 4;

fn settings() -> Settings {
    Settings {
        history: HOUR * 72,
        row_limit: 3,
        ..Settings::default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    /// Request ids are removed without the condition on the cursor.
    NoCursor,
    /// Audit entries are removed before their request id.
    HistoryBeforeRequests,
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator writes under a request id.
    Write(u8),
    ExpireRequests(Fault),
    ExpireHistory(Fault),
    /// Advances time by a number of hours.
    Advance(u32),
    Deliver,
}

struct Rows {
    defect: Option<Defect>,
    store: Store,
    now: Duration,
    /// Time and request key of each accepted write, by audit key.
    accepted: BTreeMap<String, (Duration, String)>,
}

impl Rows {
    fn lease(&self) -> Row {
        self.store
            .table
            .get("lease/ledger")
            .expect("a lease")
            .clone()
    }

    fn first(&self, prefix: &str, after: &str) -> Vec<Row> {
        self.store
            .table
            .scan(prefix, after, settings().row_limit + 1)
    }

    fn write(&mut self, id: u8) {
        self.now += Duration::from_millis(1);
        let time_ms = self.now.as_millis();
        let request = format!("{REQUEST_PREFIX}r{id}");
        let audit = format!("{AUDIT_PREFIX}{time_ms:015}/r{id}");
        let version = format!("{VERSION_PREFIX}{:012}", self.accepted.len() + 1);
        let mut transaction = Transaction::default();
        transaction.require(request.as_str(), 0);
        transaction.put(request.as_str(), "{}");
        transaction.put(audit.as_str(), "{}");
        transaction.put(version, format!(r#"{{"time_ms":{time_ms}}}"#));
        if self.store.table.commit(&transaction) == Verdict::Committed {
            self.accepted.insert(audit, (self.now, request));
        }
    }

    fn expire_requests(&mut self, fault: Fault) {
        let cursor = self.store.table.get(CURSOR_KEY).cloned();
        let audit = self.first(AUDIT_PREFIX, &position(cursor.as_ref()));
        let lease = self.lease();
        let transaction = expire_requests(&lease, cursor.as_ref(), &audit, self.now, &settings());
        if let Some(mut transaction) = transaction {
            if self.defect == Some(Defect::NoCursor) {
                transaction.conditions.retain(|c| *c.key != *CURSOR_KEY);
            }
            self.store.commit(transaction, fault);
        }
    }

    fn expire_history(&mut self, fault: Fault) {
        let mut cursor = self.store.table.get(CURSOR_KEY).cloned();
        if self.defect == Some(Defect::HistoryBeforeRequests) {
            cursor = Some(Row {
                key: CURSOR_KEY.into(),
                version: 1,
                value: r#""audit0""#.into(),
            });
        }
        let audit = self.first(AUDIT_PREFIX, "");
        let versions = self.first(VERSION_PREFIX, "");
        let (lease, settings) = (self.lease(), settings());
        let transaction = expire_history(
            &lease,
            cursor.as_ref(),
            &audit,
            &versions,
            self.now,
            &settings,
        );
        if let Some(transaction) = transaction {
            self.store.commit(transaction, fault);
        }
    }
}

impl World for Rows {
    type Step = Step;
    type Defect = Defect;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..IDS).prop_map(Step::Write),
            4 => fault().prop_map(Step::ExpireRequests),
            2 => fault().prop_map(Step::ExpireHistory),
            3 => (1..30_u32).prop_map(Step::Advance),
            2 => Just(Step::Deliver),
        ]
        .boxed()
    }

    fn new(defect: Option<Defect>) -> Self {
        let mut store = Store::default();
        let mut lease = Transaction::default();
        lease.put("lease/ledger", "{}");
        store.table.commit(&lease);
        Self {
            defect,
            store,
            now: EPOCH,
            accepted: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Write(id) => self.write(id),
            Step::ExpireRequests(fault) => self.expire_requests(fault),
            Step::ExpireHistory(fault) => self.expire_history(fault),
            Step::Advance(hours) => self.now += HOUR * hours,
            Step::Deliver => drop(self.store.deliver()),
        }
    }

    fn check(&self) {
        let Settings {
            requests, history, ..
        } = settings();
        for (audit, (time, request)) in &self.accepted {
            let age = self.now - *time;
            let has = |key: &str| self.store.table.get(key).is_some();
            assert!(age > requests || has(request), "{request} forgotten early");
            assert!(age > history || has(audit), "{audit} removed early");
        }
    }

    fn finish(&mut self) {
        while self.store.deliver() {}
        self.now += settings().history * 2;
        for _ in 0..self.accepted.len() + 1 {
            self.expire_requests(Fault::None);
            self.expire_history(Fault::None);
        }
        for prefix in [REQUEST_PREFIX, AUDIT_PREFIX, VERSION_PREFIX] {
            let rows = self.first(prefix, "");
            assert!(rows.is_empty(), "rows remain: {rows:?}");
        }
    }
}

/// Guards against a request id that is removed while a repeated write may still arrive, against
/// audit entries that are removed early, and against rows that are never removed.
#[test]
fn operators_rows_are_removed_in_time_under_faults() {
    let failure = fuzz::first_failure::<Rows>(None, SEED, CASES, 3_000);
    assert_eq!(failure, None);
}

/// Guards against an oracle that accepts faults.
#[test]
fn oracle_detects_defects() {
    for (defect, reasons) in [
        (Defect::NoCursor, &["forgotten early"][..]),
        (Defect::HistoryBeforeRequests, &["rows remain"]),
    ] {
        fuzz::detect::<Rows>(defect, SEED, DEFECT_CASES, reasons);
    }
}
