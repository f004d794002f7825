//! Tests of reservations for other hosts, with lost, repeated and late messages.

use {
    crate::budget::remote::{Admission, Reservations},
    proptest::prelude::*,
    std::{collections::BTreeSet, time::Duration},
};

const NOW: Duration = Duration::from_secs(1);

/// Guards against a second reservation for a request whose message is repeated.
#[test]
fn a_request_is_reserved_once() {
    let mut reservations = Reservations::default();
    let request = "r1".into();
    assert_eq!(reservations.admit(NOW, &request), Admission::New);
    assert_eq!(reservations.admit(NOW, &request), Admission::Waiting);
    reservations.hold(NOW, &request, 100).expect("it waits");
    assert_eq!(reservations.admit(NOW, &request), Admission::Held);
    assert_eq!(reservations.end(NOW, &request), Some(100));
    assert_eq!(reservations.end(NOW, &request), None);
    assert_eq!(reservations.admit(NOW, &request), Admission::Refused);
}

/// Guards against tokens that stay reserved for a request whose release arrives before its
/// reservation.
#[test]
fn an_ended_request_gets_no_reservation() {
    let mut reservations = Reservations::default();
    let (early, late) = ("r1".into(), "r2".into());
    assert_eq!(reservations.end(NOW, &early), None);
    assert_eq!(reservations.admit(NOW, &early), Admission::Refused);
    assert_eq!(reservations.admit(NOW, &late), Admission::New);
    assert_eq!(reservations.end(NOW, &late), None);
    assert_eq!(reservations.hold(NOW, &late, 100), Err(100));
}

/// Guards against refusing a request for good after one attempt without enough tokens.
#[test]
fn a_refused_request_may_ask_again() {
    let mut reservations = Reservations::<u64>::default();
    let request = "r1".into();
    assert_eq!(reservations.admit(NOW, &request), Admission::New);
    reservations.cancel(&request);
    assert_eq!(reservations.admit(NOW, &request), Admission::New);
}

/// Guards against tokens that stay reserved for a host that is gone, and against unbounded memory
/// use.
#[test]
fn reservations_of_hosts_that_are_gone_end() {
    let mut reservations = Reservations::default();
    for number in 0..20_000 {
        let request = format!("r{number}").as_str().into();
        if reservations.admit(NOW, &request) == Admission::New {
            reservations.hold(NOW, &request, number).expect("it waits");
        }
    }
    assert!(
        reservations
            .expire(NOW + Duration::from_secs(20))
            .is_empty()
    );
    let gone = reservations.expire(NOW + Duration::from_secs(60));
    assert!(gone.len() < 20_000);
    assert!(
        reservations
            .expire(NOW + Duration::from_secs(80))
            .is_empty()
    );
    assert_eq!(
        reservations.admit(NOW + Duration::from_secs(80), &"r1".into()),
        Admission::New
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d61_7269_0006),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a reservation that is lost or returned twice under any order of messages.
    #[test]
    fn every_reservation_ends_once(steps in prop::collection::vec((0..5_u8, 0..4_u8), 1..80)) {
        let mut reservations = Reservations::default();
        let (mut made, mut ended) = (BTreeSet::new(), BTreeSet::new());
        for (number, (step, request)) in steps.into_iter().enumerate() {
            let now = NOW + Duration::from_secs(number as u64);
            let request = format!("r{request}").as_str().into();
            match step {
                0 => drop(reservations.admit(now, &request)),
                1 => match reservations.hold(now, &request, number) {
                    Ok(()) => assert!(made.insert(number)),
                    Err(returned) => assert_eq!(returned, number),
                },
                2 => reservations.cancel(&request),
                3 => {
                    if let Some(held) = reservations.end(now, &request) {
                        assert!(ended.insert(held));
                    }
                }
                _ => reservations.expire(now).into_iter().for_each(|held| assert!(ended.insert(held))),
            }
        }
        reservations.close(NOW).into_iter().for_each(|held| assert!(ended.insert(held)));
        prop_assert_eq!(made, ended);
    }
}
