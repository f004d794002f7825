//! The bound on questions to other hosts.

use {
    super::{ASKED_HOSTS, Counts, WINDOW},
    marigoldroute_core::{
        id::HostId,
        wire::{Body, Count, Counted, Frame, size},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// What a host may send and receive in a second, less what `CAPACITY.md` computes for a busy one.
const ROOM_BYTES: usize = 24_000 - 16_200;

fn hosts(count: usize) -> Vec<HostId> {
    let hosts = (0..count).map(|number| format!("router-{number:03}").into());
    hosts.collect()
}

fn counted(running: u64) -> Counted {
    let version = 7;
    Counted { version, running }
}

/// Guards against questions that take more of the network than a node has left.
#[test]
fn the_questions_of_a_window_fit_into_what_a_host_has_left() {
    let frame = |body| Frame {
        from: "router-of-a-long-name-001".into(),
        to: "router-of-a-long-name-002".into(),
        correlation: u64::from(u32::MAX),
        body: Some(body),
    };
    let question = size(&frame(Body::Count(Count {})));
    let answer = size(&frame(Body::Counted(Counted {
        version: 1 << 40,
        running: 1 << 20,
    })));
    assert_eq!(WINDOW, Duration::from_secs(1));
    assert!(ASKED_HOSTS * (question + answer) <= ROOM_BYTES);
}

/// Guards against operators who together ask more often than the bound, and against hosts whose
/// turn never comes.
#[test]
fn each_host_is_asked_in_turn_within_the_bound() {
    let hosts = hosts(390);
    let mut counts = Counts::default();
    let mut asked = BTreeSet::new();
    for second in 1..=13 {
        let now = WINDOW * second;
        let first = counts.due(now, &hosts, 7);
        assert!(counts.due(now + WINDOW / 2, &hosts, 7).is_empty());
        assert!(first.len() <= ASKED_HOSTS);
        asked.extend(first);
    }
    assert_eq!(asked.len(), hosts.len());
}

/// Guards against an endless wait, where nothing is left but hosts are asked again, and against
/// an answer by an older version that counts as "nothing runs".
#[test]
fn only_a_host_that_is_idle_by_the_version_is_not_asked_again() {
    let hosts = hosts(3);
    let mut counts = Counts::default();
    assert_eq!(counts.due(WINDOW, &hosts, 7).len(), 3);
    counts.note(&hosts[0], counted(0));
    counts.note(&hosts[1], counted(2));
    assert_eq!(counts.running(&hosts[0], 7), Some(0));
    assert_eq!(counts.running(&hosts[1], 7), Some(2));
    assert_eq!(counts.running(&hosts[2], 7), None);
    assert_eq!(counts.due(WINDOW * 2, &hosts, 7), hosts[1..]);
    assert_eq!(counts.running(&hosts[0], 8), None);
    assert_eq!(counts.due(WINDOW * 3, &hosts, 8).len(), 3);
    counts.due(WINDOW * 4, &hosts[1..], 8);
    assert_eq!(
        counts.running(&hosts[0], 7),
        None,
        "a host that left is kept"
    );
}
