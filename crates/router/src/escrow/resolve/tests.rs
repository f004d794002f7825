//! Tests of attempts with usage records at several engines.

use super::{Findings, State, UsageAnswer};

fn findings(records: &[UsageAnswer]) -> Findings {
    let mut findings = Findings::default();
    for (number, used) in records.iter().enumerate() {
        findings.record(&format!("engine-{number}").into(), *used);
    }
    findings
}

/// Guards against a bill for only the part of a moved answer that the first engine generated.
#[test]
fn a_moved_attempt_is_billed_where_it_went_furthest() {
    for records in [
        [
            UsageAnswer::Finished(5),
            UsageAnswer::Finished(21),
            UsageAnswer::Absent,
        ],
        [
            UsageAnswer::Finished(21),
            UsageAnswer::Unanswered,
            UsageAnswer::Finished(5),
        ],
    ] {
        let findings = findings(&records);
        assert_eq!(findings.state(), State::Finished);
        assert_eq!(findings.largest.map(|(_, tokens)| tokens), Some(21));
    }
}

/// Guards against a bill for a moved attempt that still runs, and against a release of one while
/// the only engine that may have a record does not answer.
#[test]
fn an_attempt_that_may_run_is_not_settled() {
    for records in [
        [UsageAnswer::Finished(5), UsageAnswer::Running],
        [UsageAnswer::Running, UsageAnswer::Finished(5)],
        [UsageAnswer::Absent, UsageAnswer::Unanswered],
    ] {
        assert_eq!(findings(&records).state(), State::Running, "{records:?}");
    }
    let absent = findings(&[UsageAnswer::Absent, UsageAnswer::Absent]);
    assert_eq!((absent.state(), absent.largest), (State::Finished, None));
}
