//! Timeouts for a service that answers late or not at all.

use {
    marigoldroute_core::limit::{AdaptiveTimeout, AdaptiveTimeoutSettings},
    std::time::Duration,
};

const MS: Duration = Duration::from_millis(1);

fn known(usual: Duration) -> AdaptiveTimeout {
    let mut timeout = AdaptiveTimeout::new(AdaptiveTimeoutSettings::default());
    (0..40).for_each(|_| timeout.record_answer(usual));
    timeout
}

/// Guards against requests that wait a second for each lost answer of a store that answers in
/// milliseconds.
#[test]
fn lost_answers_time_out_soon() {
    let mut timeout = known(5 * MS);
    assert!(timeout.current() <= 150 * MS);
    timeout.record_failure(1_000 * MS);
    assert!(
        !timeout.is_unreachable(1_100 * MS),
        "one lost answer is no outage"
    );
    timeout.record_answer(5 * MS);
    assert!(!timeout.is_unreachable(5_000 * MS));
}

/// Guards against timeouts of every call to a store that has become slow: the timeout grows until
/// an answer arrives, and then stays above the new latency.
#[test]
fn the_timeout_adapts_to_a_slow_service() {
    let slow = 450 * MS;
    let mut timeout = known(5 * MS);
    let mut now = Duration::ZERO;
    let mut timeouts = 0;
    while timeout.current() < slow {
        now += timeout.current();
        timeout.record_failure(now);
        timeouts += 1;
    }
    assert!(timeouts <= 2, "{timeouts} calls timed out");
    (0..20).for_each(|_| timeout.record_answer(slow));
    assert!(timeout.current() > slow);
}

/// Guards against treating the store as unreachable after a few lost answers, and against never
/// detecting an outage.
#[test]
fn an_outage_is_detected_after_its_minimum_duration() {
    let mut timeout = known(5 * MS);
    for at in [0, 60, 120, 180, 480] {
        timeout.record_failure(at * MS);
        assert!(!timeout.is_unreachable(at * MS));
    }
    timeout.record_failure(510 * MS);
    assert!(timeout.is_unreachable(510 * MS));
    assert!(timeout.current() <= 1_100 * MS);
}
