//! Tests of what becomes of an attempt with records at several engines.

use super::{Found, State, Used};

fn found(records: &[Used]) -> Found {
    let mut found = Found::default();
    for (number, used) in records.iter().enumerate() {
        found.add(&format!("engine-{number}").into(), *used);
    }
    found
}

/// Guards against a bill for the part of a moved answer that the first engine generated.
#[test]
fn a_moved_attempt_is_billed_where_it_went_furthest() {
    for records in [
        [Used::Finished(5), Used::Finished(21), Used::Absent],
        [Used::Finished(21), Used::Unanswered, Used::Finished(5)],
    ] {
        let found = found(&records);
        assert_eq!(found.state(), State::Finished);
        assert_eq!(found.most.map(|(_, tokens)| tokens), Some(21));
    }
}

/// Guards against a bill for a moved attempt that still runs, and against one that is given up
/// while the only engine that may know of it does not answer.
#[test]
fn an_attempt_that_may_run_is_not_settled() {
    for records in [
        [Used::Finished(5), Used::Running],
        [Used::Running, Used::Finished(5)],
        [Used::Absent, Used::Unanswered],
    ] {
        assert_eq!(found(&records).state(), State::Running, "{records:?}");
    }
    let absent = found(&[Used::Absent, Used::Absent]);
    assert_eq!((absent.state(), absent.most), (State::Finished, None));
}
