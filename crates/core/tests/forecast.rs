//! The forecast of how long requests last.

use {
    marigoldroute_core::forward::{
        Forecast, Kind,
        forecast::{Caution, Response, slack},
        retry::{Attempt, Decision, Outcome, decide},
    },
    std::{sync::Arc, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);
const WHOLE: Response = Response::Whole;
const HIGH: Caution = Caution::High;

/// Returns a forecast after ten requests of the route `r` that took up to a second to their first of
/// up to eleven events, which came a tenth of a second apart.
fn forecast(now: Duration) -> (Forecast, Arc<str>) {
    let (mut forecast, route) = (Forecast::default(), "r".into());
    for number in 1..=10 {
        forecast.record_wait(now, &route, SECOND / 10 * number);
        let events = u64::from(number) + 1;
        forecast.record_stream(now, &route, events, SECOND / 10 * number);
    }
    (forecast, route)
}

/// Guards against a forecast that the recent requests exceed, and against one that follows the
/// longest of them, or a limit on events that none of them reaches, when callers may come back.
#[test]
fn forecasts_follow_recent_requests() {
    let (forecast, _) = forecast(SECOND);
    let cases = [
        (WHOLE, 500, 1_000),
        (Response::Stream(Some(0)), 500, 1_000),
        (Response::Stream(Some(2)), 700, 1_200),
        (Response::Stream(Some(20)), 1_000, 3_000),
        (Response::Stream(Some(10_000)), 1_000, 1_001_000),
        (Response::Stream(None), 1_000, 2_000),
    ];
    for (response, low, high) in cases {
        for (caution, least) in [(Caution::Low, low), (Caution::High, high)] {
            let expected = forecast.expect(SECOND, "r", response, caution);
            let expected = expected.expect("enough requests");
            let least = Duration::from_millis(least);
            assert!(
                expected >= least && expected <= least.mul_f64(1.3),
                "{expected:?} for {response:?} with {caution:?}"
            );
        }
    }
    assert_eq!(forecast.expect(SECOND, "other", WHOLE, HIGH), None);
}

/// Guards against a forecast from few or from old requests.
#[test]
fn forecasts_need_recent_requests() {
    let (forecast, route) = forecast(SECOND);
    assert!(forecast.expect(SECOND * 59, "r", WHOLE, HIGH).is_some());
    assert_eq!(forecast.expect(SECOND * 60, "r", WHOLE, HIGH), None);
    let mut few = Forecast::default();
    for _ in 0..7 {
        few.record_wait(SECOND, &route, SECOND);
        few.record_stream(SECOND, &route, 5, SECOND);
    }
    assert_eq!(few.expect(SECOND, "r", WHOLE, HIGH), None);
    few.record_wait(SECOND, &route, SECOND);
    assert!(few.expect(SECOND, "r", WHOLE, HIGH).is_some());
    assert_eq!(
        few.expect(SECOND, "r", Response::Stream(Some(1)), HIGH),
        None
    );
}

/// Guards against memory that grows with the routes that come and go.
#[test]
fn routes_are_forgotten() {
    let (mut forecast, first) = forecast(SECOND);
    let crowd: Vec<Arc<str>> = (0..10_000)
        .map(|number| format!("r{number}").into())
        .collect();
    for route in &crowd {
        for _ in 0..10 {
            forecast.record_wait(SECOND * 31, route, SECOND);
        }
    }
    let known = |forecast: &Forecast, now| {
        let known = crowd
            .iter()
            .filter(|route| forecast.expect(now, route, WHOLE, HIGH).is_some());
        known.count()
    };
    assert!((1_000..2_000).contains(&known(&forecast, SECOND * 31)));
    assert!(forecast.expect(SECOND * 31, &first, WHOLE, HIGH).is_some());
    for _ in 0..10 {
        forecast.record_wait(SECOND * 120, &"late".into(), SECOND);
    }
    assert!(forecast.expect(SECOND * 120, "late", WHOLE, HIGH).is_some());
    assert_eq!(known(&forecast, SECOND * 120), 0);
}

/// Guards against sending what cannot end in time, and against refusing what can.
#[test]
fn slack_ends_before_a_request_could_not_end_in_time() {
    let slack = |deadline: u32, expected: Option<u32>| {
        let expected = expected.map(|expected| SECOND * expected);
        slack(SECOND * 10, SECOND * 15, SECOND * deadline, expected)
    };
    assert_eq!(slack(15, None), Duration::MAX);
    assert_eq!(slack(15, Some(9)), Duration::MAX);
    assert_eq!(slack(16, None), Duration::ZERO);
    assert_eq!(slack(16, Some(3)), SECOND * 2);
    assert_eq!(slack(16, Some(5)), Duration::ZERO);
    assert_eq!(slack(16, Some(9)), Duration::ZERO);
}

/// Guards against another attempt, which would be too late as well, and against answering "not run"
/// after an attempt that may have run.
#[test]
fn late_requests_are_not_repeated() {
    for kind in [Kind::Idempotent, Kind::Once, Kind::Stream, Kind::Resumable] {
        for (is_unexecuted, expected) in [(true, Decision::Refuse), (false, Decision::Fail)] {
            let attempt = Attempt {
                kind,
                outcome: Outcome::Late,
                is_unexecuted,
                sent: 0,
                attempt_limit: 3,
                remaining: SECOND,
            };
            assert_eq!(decide(&attempt, || true), expected, "{attempt:?}");
        }
    }
}
