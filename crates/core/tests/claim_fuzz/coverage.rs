//! Counts of the paths that the cases take.

use std::{cell::RefCell, collections::BTreeMap};

thread_local! {
    /// Number of times that each path was taken, over all cases.
    pub static COVERAGE: RefCell<BTreeMap<&'static str, u32>> = RefCell::default();
}

/// Paths that the cases must take at least once.
pub const PATHS: [&str; 8] = [
    "run",
    "run after a lost reply",
    "query",
    "takeover",
    "replay",
    "unavailable",
    "send time passed",
    "swept",
];

pub fn count(name: &'static str) {
    assert!(PATHS.contains(&name));
    COVERAGE.with_borrow_mut(|coverage| *coverage.entry(name).or_default() += 1);
}
