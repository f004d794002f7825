//! State-machine test of the modules of the core crate together, against the guarantees P1 to P8:
//! routers in two regions, the table service, the object store, upstreams and callers, with faults
//! in any order and combination.
//!
//! `MARIGOLDROUTE_PROOF=START:COUNT` runs COUNT more seeds from START.

mod answer;
mod audit;
mod background;
mod delivery;
mod escrow;
#[path = "../fuzz/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod fuzz;
mod host;
mod ledger;
mod message;
#[path = "../control/network.rs"]
mod network;
mod operator;
mod oracle;
mod request;
mod simulation;
mod steps;
#[path = "../control/store.rs"]
mod store;
mod upstream;

use simulation::{Defect, Simulation};

const SEED: u64 = 0x6d61_7269_0003;
const CASES: u32 = 200;
const DEFECT_CASES: u32 = 100;

fn run(defect: Option<Defect>, seed: u64, cases: u32, shrink: u32) {
    if let Some((case, reason)) = fuzz::first_failure::<Simulation>(defect, seed, cases, shrink) {
        panic!("seed {seed}, case {case}: {reason}");
    }
}

/// Guards against modules that keep the guarantees each by itself, but not together.
#[test]
fn guarantees_hold_under_faults() {
    run(None, SEED, CASES, 200);
    let reached = simulation::PATH_COUNTS.take();
    println!("{reached:?}");
    // Cases that never take these paths would not test the guarantees.
    for path in simulation::PATHS {
        assert!(reached.contains_key(path), "no case reached {path}");
    }
}

/// Guards against a bill for an order that no service has seen. Plain services keep no usage
/// records, as in production; in the other tests they do.
#[test]
fn orders_that_did_not_run_are_not_billed() {
    run(Some(Defect::NoServiceRecords), SEED, CASES, 50);
}

/// Runs both tests above with the seeds of `MARIGOLDROUTE_PROOF`.
#[test]
fn guarantees_hold_for_more_seeds() {
    let Ok(seeds) = std::env::var("MARIGOLDROUTE_PROOF") else {
        return;
    };
    let (start, count) = seeds.split_once(':').expect("START:COUNT");
    let start: u64 = start.parse().expect("START is a number");
    let count: u64 = count.parse().expect("COUNT is a number");
    for seed in start..start + count {
        run(None, seed, 1, 2_000);
        run(Some(Defect::NoServiceRecords), seed, 1, 2_000);
    }
}

/// Guards against an oracle that does not detect a broken guarantee.
#[test]
fn oracle_finds_each_defect() {
    for (defect, reason) in [
        (Defect::SkipAccount, "spent of"),
        (Defect::FreshRequest, "P2"),
        (Defect::TruncatedAsComplete, "P3"),
        (Defect::LostAsNotRun, "P4"),
        (Defect::SkipClaim, "P5"),
        (Defect::SendToWithdrawn, "P6"),
        (Defect::StopAtOnce, "dropped by a planned stop"),
        (Defect::KeepTokens, "were not returned"),
        (Defect::OlderVersion, "P8"),
    ] {
        fuzz::detect::<Simulation>(defect, SEED, DEFECT_CASES, &[reason]);
    }
}
