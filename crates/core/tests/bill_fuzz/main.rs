//! Stateful test of billing. Holders are declared lost and return, requests are settled at two
//! holders, two ledgers compete, and the table and the object store fail. The oracle is the list of
//! executed requests.

mod fleet;
#[path = "../fuzz/mod.rs"]
mod fuzz;
mod step;
mod world;

use {fleet::Fleet, step::Defect};

const SEED: u64 = 0x6d61_7269_0002;
const CASES: u32 = 800;
const DEFECT_CASES: u32 = 2_000;

/// Guards against a request that is billed twice or never, and against tokens that are neither
/// billed nor returned.
#[test]
fn bills_count_exactly_once_under_faults() {
    let failure = fuzz::first_failure::<Fleet>(None, SEED, CASES, 3_000);
    assert_eq!(failure, None);
}

/// Guards against an oracle that does not detect deliberate defects.
#[test]
fn oracle_detects_defects() {
    let (twice, never, lost) = ("billed twice", "was not billed", "are lost");
    for (defect, reasons) in [
        (Defect::NoLease, &[twice][..]),
        (Defect::NoCursor, &["is missing", twice, never, lost]),
        (Defect::ForgetOpenBatch, &[twice]),
        (Defect::UnconfirmedLease, &[twice]),
        (Defect::NoIndex, &[twice]),
        (Defect::CloseEarly, &[never, twice]),
        (Defect::NoRefund, &[lost]),
        (Defect::NoRecovery, &[never]),
    ] {
        fuzz::detect::<Fleet>(defect, SEED, DEFECT_CASES, reasons);
    }
}
