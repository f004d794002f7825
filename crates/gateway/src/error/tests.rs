//! Tests of error responses.

use super::seconds;

/// Guards against a time to return that is rounded to none, or to one before upstreams take
/// requests.
#[test]
fn times_to_return_are_not_rounded_down() {
    for time in [1e-9, 0.000_4, 0.001, 0.001_4, 0.2, 59.999_4] {
        let stated: f64 = seconds(time).parse().expect("seconds");
        assert!(stated >= time, "{stated} s, of at least {time}");
        assert!(stated < time + 0.002, "{stated} s, of {time}");
    }
    assert_eq!(seconds(0.0), "0.000");
}
