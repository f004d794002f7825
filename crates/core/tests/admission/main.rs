//! Whether upstreams may be sent requests, checked from what the upstreams see.

mod world;

use {
    marigoldroute_core::{
        admission::{Admission, Evacuation, Notice, Stage, Standing},
        id::UpstreamId,
    },
    proptest::{prelude::ProptestConfig, proptest},
    std::time::Duration,
    world::{Action, LIMIT, UPSTREAMS, World, actions, admission, process, zone},
};

fn pause(time: Duration) -> Notice {
    Notice {
        pause: Some(time),
        ..Notice::default()
    }
}

fn may_choose(admission: &Admission, now: Duration, id: &UpstreamId) -> bool {
    let standing = admission.standing(now, id, Stage::Choose { limit: LIMIT });
    !matches!(standing, Standing::Barred(_))
}

/// Guards against 300 hosts that all send at the instant at which a pause ends, and against a host
/// that sends all that it has before the upstream has answered.
#[test]
fn hosts_come_back_one_after_the_other_with_one_request_each() {
    let mut hosts: Vec<_> = (0..300)
        .map(|host| admission(&format!("h{host}")))
        .collect();
    let id: UpstreamId = "u".into();
    for host in &mut hosts {
        host.join(Duration::ZERO, &process(&id, 1), &zone(0));
        host.record(
            Duration::ZERO,
            &process(&id, 1),
            Duration::ZERO,
            pause(Duration::from_secs(4)),
        );
    }
    let mut sent = Vec::new();
    for ms in 0..5_100_u64 {
        let now = Duration::from_millis(ms);
        hosts.retain_mut(|host| {
            if !may_choose(host, now, &id) {
                return true;
            }
            host.begin(now, &id);
            assert!(!may_choose(host, now, &id), "a second request at once");
            sent.push(ms);
            host.record(now, &process(&id, 1), now, Notice::default());
            assert!(may_choose(host, now, &id), "the upstream has answered");
            false
        });
    }
    assert!(hosts.is_empty(), "{} hosts stay away", hosts.len());
    assert!(sent.iter().all(|ms| *ms >= 4_000), "sent in the pause");
    let most = sent.iter().map(|start| {
        sent.iter()
            .filter(|ms| (*start..start + 100).contains(ms))
            .count()
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= 60, "{most} of 300 hosts within 100 ms");
    let first = sent.iter().filter(|ms| **ms < 4_500).count();
    assert!(
        (100..=200).contains(&first),
        "{first} requests in the first half second"
    );
}

/// Guards against callers that were refused in a pause and come back together, or before its end.
#[test]
fn callers_come_back_in_the_order_in_which_they_were_refused() {
    let mut host = admission("h");
    let id: UpstreamId = "u".into();
    host.join(Duration::ZERO, &process(&id, 1), &zone(0));
    host.record(
        Duration::ZERO,
        &process(&id, 1),
        Duration::ZERO,
        pause(Duration::from_secs(10)),
    );
    let mut returns = Vec::new();
    for ms in (0..10_000).step_by(50) {
        let now = Duration::from_millis(ms);
        let after = host.schedule_return(now, &"s".into(), &[&id]);
        returns.push(now + after.expect("a time to return"));
    }
    assert!(returns.is_sorted());
    assert!(returns.iter().all(|at| *at >= Duration::from_secs(10)));
    let gaps = returns.windows(2).map(|pair| pair[1] - pair[0]);
    let least = gaps.min().unwrap_or_default();
    assert!(
        least >= Duration::from_millis(20),
        "{least:?} between callers"
    );
}

/// Guards against an upstream that one number takes out of use for good, and one whose pause is
/// ended by a shorter one.
#[test]
fn extreme_pauses_end_and_are_not_shortened() {
    let id: UpstreamId = "u".into();
    let cases = [
        (vec![Duration::MAX], 600, 602),
        (vec![Duration::from_secs(9), Duration::ZERO], 9, 11),
        (vec![Duration::from_secs(9), Duration::from_secs(2)], 9, 11),
        (vec![Duration::from_secs(2), Duration::from_secs(9)], 9, 11),
        (vec![Duration::ZERO], 0, 0),
    ];
    for (pauses, closed_s, open_s) in cases {
        let mut host = admission("h");
        host.join(Duration::ZERO, &process(&id, 1), &zone(0));
        for time in &pauses {
            host.record(
                Duration::ZERO,
                &process(&id, 1),
                Duration::ZERO,
                pause(*time),
            );
        }
        if closed_s > 0 {
            let late = Duration::from_secs(closed_s) - Duration::from_millis(1);
            assert!(!may_choose(&host, late, &id), "{pauses:?}");
        }
        assert!(
            may_choose(&host, Duration::from_secs(open_s), &id),
            "{pauses:?}"
        );
    }
}

/// Guards against notices that are lost when an upstream is off the list for a while, as after an
/// outage of the store, and against ones that hold for its next process.
#[test]
fn notices_hold_for_the_process_that_gave_them() {
    let id: UpstreamId = "u".into();
    let leaving = Notice {
        is_leaving: true,
        pause: None,
    };
    for notice in [leaving, pause(Duration::from_secs(60))] {
        let mut host = admission("h");
        let at = Duration::from_secs;
        host.join(at(0), &process(&id, 1), &zone(0));
        host.record(at(1), &process(&id, 1), at(0), notice);
        host.leave(at(2), &id);
        host.join(at(3), &process(&id, 1), &zone(0));
        assert!(!may_choose(&host, at(4), &id), "{notice:?}");
        host.join(at(5), &process(&id, 2), &zone(0));
        host.record(at(5), &process(&id, 1), at(0), notice);
        assert!(may_choose(&host, at(6), &id), "a late answer: {notice:?}");
    }
}

/// Guards against an evacuation that an upstream escapes by leaving the list or by a new process,
/// against one that outlasts its end, and against a time to return that nobody knows.
#[test]
fn an_evacuation_holds_for_the_zone_until_it_ends() {
    let at = Duration::from_secs;
    let (id, other): (UpstreamId, UpstreamId) = ("u".into(), "o".into());
    let mut host = admission("h");
    host.join(at(0), &process(&id, 1), &zone(0));
    host.join(at(0), &process(&other, 1), &zone(1));
    host.record(at(0), &process(&id, 1), at(0), pause(at(60)));
    let begun = Evacuation::Begun(zone(0));
    let changes = host.apply_evacuations([begun.clone(), begun.clone()]);
    assert_eq!(changes, [begun], "a second order changes nothing");
    assert!(may_choose(&host, at(1), &other), "another zone");
    assert_eq!(host.schedule_return(at(1), &"s".into(), &[&id]), None);
    host.leave(at(2), &id);
    host.join(at(3), &process(&id, 2), &zone(0));
    assert!(!may_choose(&host, at(4), &id));
    host.join(at(5), &process(&id, 2), &zone(1));
    assert!(may_choose(&host, at(6), &id), "it has moved");
    let moved = host.replace_evacuated([zone(1)].into());
    let expected = [Evacuation::Ended(zone(0)), Evacuation::Begun(zone(1))];
    assert_eq!(moved, expected);
    assert!(!may_choose(&host, at(7), &id));
    let ended = Evacuation::Ended(zone(1));
    assert_eq!(host.apply_evacuations([ended.clone()]), [ended]);
    assert!(may_choose(&host, at(8), &id) && host.evacuated().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a path on which one of the reasons is forgotten: first tries and requests
    /// that are chosen and sent later, as after a wait for a permit or a connection.
    #[test]
    fn every_reason_holds_on_every_path(actions in actions()) {
        let mut world = World::new();
        for upstream in 0..UPSTREAMS {
            world.apply(Action::Join { upstream, zone: upstream, is_restart: false })?;
        }
        for action in actions {
            world.apply(action)?;
        }
    }
}
