//! Detection of stalled streams.

use {marigoldroute_core::forward::Stall, std::time::Duration};

const MS: Duration = Duration::from_millis(1);

/// Guards against cutting a stream that is slower than its route's objectives but continues.
#[test]
fn slow_streams_that_continue_are_not_stalled() {
    let mut stall = Stall::new(Duration::ZERO, 100 * MS, 300 * MS);
    let mut now = Duration::ZERO;
    for pause in [400, 900, 1_400, 2_500, 3_000] {
        now += pause * MS;
        assert!(now < stall.deadline(), "cut in a pause of {pause} ms");
        stall.record_event(now);
    }
}

/// Guards against a silent stream that keeps its caller waiting until the deadline.
#[test]
fn silent_streams_are_stalled() {
    let mut stall = Stall::new(Duration::ZERO, 800 * MS, 300 * MS);
    (1..20).for_each(|count| stall.record_event(count * 60 * MS));
    let last = 19 * 60 * MS;
    assert!(stall.deadline() > last + 800 * MS);
    assert!(stall.deadline() <= last + 2_000 * MS);
}
