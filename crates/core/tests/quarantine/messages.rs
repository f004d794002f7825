//! Single messages and times.

use {
    marigoldroute_core::{
        quarantine::{CRASH_LIMIT, QUARANTINE_LIMIT, Quarantine, TERM},
        wire::{Accusation, Parts, Suspect},
    },
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
const PART: u64 = 7;

/// Records ends of different upstreams, one in each second; returns the time after the last.
fn crash(quarantine: &mut Quarantine, from: Duration, count: usize) -> Duration {
    let mut now = from;
    for process in 0..count as u64 {
        now += SECOND;
        quarantine.record_crash(now, from.as_millis() as u64 + process, &[PART]);
    }
    now
}

/// Guards against a quarantine that never ends, and against one that has to be found out anew.
#[test]
fn a_quarantine_ends_and_one_more_crash_renews_it() {
    let mut quarantine = Quarantine::default();
    let now = crash(&mut quarantine, SECOND, CRASH_LIMIT - 1);
    assert_eq!(quarantine.check(now, &[PART]), None);
    let now = crash(&mut quarantine, now, 1);
    assert_eq!(quarantine.check(now, &[1, PART]), Some(TERM));
    let now = now + TERM;
    assert_eq!(quarantine.check(now, &[PART]), None);
    let now = crash(&mut quarantine, now, 1);
    assert_eq!(quarantine.check(now, &[PART]), Some(TERM));
}

/// Guards against evidence that counts twice: several requests at one process, and several
/// processes that end at the same instant.
#[test]
fn one_process_and_one_instant_count_once() {
    let mut quarantine = Quarantine::default();
    for second in 1..9 {
        quarantine.record_crash(SECOND * second, 1, &[PART]);
    }
    for process in 2..20 {
        quarantine.record_crash(SECOND * 9, process, &[PART]);
    }
    assert_eq!(quarantine.check(SECOND * 10, &[PART]), None);
}

/// Guards against the quarantine of a part that upstreams answer, and against a quarantine that an
/// answer does not end.
#[test]
fn an_answer_ends_suspicion_and_quarantine() {
    let mut quarantine = Quarantine::default();
    let now = crash(&mut quarantine, SECOND * 20, CRASH_LIMIT - 1);
    quarantine.record_success(now, &[PART]);
    let now = crash(&mut quarantine, now + SECOND * 11, CRASH_LIMIT - 1);
    assert_eq!(quarantine.check(now, &[PART]), None);
    let now = crash(&mut quarantine, now, 1);
    assert!(quarantine.check(now, &[PART]).is_some());
    quarantine.record_success(now, &[PART]);
    assert_eq!(quarantine.check(now, &[PART]), None);
    // The row of another host still has it.
    quarantine.restore(now + SECOND, PART, TERM - SECOND, &[]);
    assert_eq!(quarantine.check(now + SECOND, &[PART]), None);
}

/// Guards against the quarantine of a sound part that was in every prompt which crashed, when no
/// answer was known.
#[test]
fn parts_that_crashed_together_are_told_apart() {
    let (first, deadly) = (1, 2);
    let mut quarantine = Quarantine::default();
    for process in 1..=CRASH_LIMIT as u64 {
        let now = SECOND * process as u32;
        quarantine.record_crash(now, process, &[first, deadly]);
    }
    let now = SECOND * 9;
    assert!(quarantine.check(now, &[first, deadly]).is_some());
    assert_eq!(quarantine.check(now, &[first, 3]), None);
    let mut guilty = quarantine.clone();
    quarantine.record_success(now, &[first, 3]);
    assert!(quarantine.check(now, &[deadly]).is_some());
    assert_eq!(quarantine.check(now, &[first]), None);
    guilty.record_crash(now, 9, &[first, 3]);
    assert!(guilty.check(now, &[first, 4]).is_some());
}

fn message(suspects: impl Iterator<Item = Suspect>) -> Parts {
    Parts {
        suspects: suspects.collect(),
        sound: Vec::new(),
    }
}

/// Guards against messages without sense that quarantine for longer than the term or fill the
/// memory.
#[test]
fn messages_of_other_hosts_are_bounded() {
    let mut quarantine = Quarantine::default();
    let now = SECOND * 5;
    let extreme = |part| Suspect {
        part,
        accusations: (0..20)
            .map(|process| Accusation {
                process,
                age_ms: u64::MAX - process,
                companions: vec![part; 100],
            })
            .collect(),
        quarantined_ms: u64::MAX,
        common: vec![part; 100],
    };
    for first in 0..100 {
        quarantine.learn(now, &message((first * 100..).map(extreme).take(100)));
    }
    let quarantined = quarantine.quarantined(now);
    assert_eq!(quarantined.len(), QUARANTINE_LIMIT);
    assert!(quarantined.iter().all(|(_, rest, _)| *rest <= TERM));
    assert!(quarantine.quarantined(now + TERM).is_empty());
}

/// Guards against a host that believes an accusation against its own knowledge.
#[test]
fn accusations_of_sound_parts_are_contradicted() {
    let mut quarantine = Quarantine::default();
    let now = SECOND * 5;
    quarantine.record_success(now, &[PART]);
    let accusations = (1..4).map(|process| Accusation {
        process,
        age_ms: process * 200,
        companions: Vec::new(),
    });
    let suspect = Suspect {
        part: PART,
        accusations: accusations.collect(),
        quarantined_ms: 1_000,
        common: Vec::new(),
    };
    let learned = quarantine.learn(now + SECOND, &message([suspect].into_iter()));
    assert_eq!(learned.contradicted, [PART]);
    assert_eq!(quarantine.check(now + SECOND, &[PART]), None);
}
