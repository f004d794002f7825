//! Stateful test of claims: requests are retried through several routers, which share a store and
//! an upstream. The oracle is the list of executions and of final answers.

mod action;
mod coverage;
mod fleet;
#[path = "../fuzz/mod.rs"]
mod fuzz;
mod router;

use {
    action::Defect,
    coverage::{COVERAGE, PATHS},
    fleet::Fleet,
};

const SEED: u64 = 0x6d61_7269_0001;
const CASES: u32 = 1_200;
const DEFECT_CASES: u32 = 3_000;

/// Guards against a key that is executed twice, an execution after the answer "not run", and a
/// replay that differs from the first response.
#[test]
fn claims_hold_under_faults() {
    let failure = fuzz::first_failure::<Fleet>(None, SEED, CASES, 5_000);
    assert_eq!(failure, None);
    let coverage = COVERAGE.with_borrow(Clone::clone);
    println!("{coverage:?}");
    assert_eq!(coverage.len(), PATHS.len(), "paths not taken: {coverage:?}");
}

/// Guards against an oracle that does not detect deliberate defects.
#[test]
fn oracle_detects_defects() {
    let (early, twice, differs) = ("ran after the answer", "executed twice", "differs");
    for (defect, reasons) in [
        (Defect::SendUnconfirmed, &[early][..]),
        (Defect::Unconditional, &[twice]),
        (Defect::SendLate, &[early, twice]),
        (Defect::NoFence, &[twice]),
        (Defect::ReleaseSent, &[early, twice]),
        (Defect::ReplayOfOtherKey, &[differs]),
    ] {
        fuzz::detect::<Fleet>(defect, SEED, DEFECT_CASES, reasons);
    }
}
