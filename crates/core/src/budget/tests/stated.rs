//! Totals that a configuration states.

use super::super::{Account, ConfiguredTotal};
use crate::table::{Memory, Row, Verdict};

fn account(memory: &Memory) -> Account {
    let row = memory.get("budget/hostel").expect("the budget exists");
    serde_json::from_str(&row.value).expect("the row is an account")
}

fn state(memory: &mut Memory, version: u64, total: u64) -> bool {
    let statement = ConfiguredTotal {
        budget: "hostel".into(),
        version,
        total,
    };
    let row: Option<Row> = memory.get("budget/hostel").cloned();
    match statement
        .propose(row.as_ref())
        .expect("the row can be read")
    {
        Some(transaction) => memory.commit(&transaction) == Verdict::Committed,
        None => false,
    }
}

/// Guards against a host with an old configuration that takes a top-up back, and against one that
/// applies the same statement twice.
#[test]
fn older_statements_change_nothing() {
    let mut memory = Memory::default();
    assert!(state(&mut memory, 3, 1_000));
    assert!(!state(&mut memory, 3, 1_000));
    assert!(state(&mut memory, 7, 1_500));
    assert!(!state(&mut memory, 3, 1_000));
    assert_eq!(account(&memory).total(), 1_500);
}

/// Guards against overspend after a cut below what holders have, and against losing tokens when
/// the cut is taken back.
#[test]
fn totals_below_the_allocated_tokens_are_pending_cuts() {
    let mut account = Account::default();
    account.set_total(1, 1_000).expect("no overflow");
    account.grant(800);
    account.set_total(2, 500).expect("no overflow");
    assert_eq!(
        (account.total(), account.unallocated(), account.cut),
        (500, 0, 300)
    );
    account.set_total(3, 900).expect("no overflow");
    assert_eq!(
        (account.total(), account.unallocated(), account.cut),
        (900, 100, 0)
    );
}
