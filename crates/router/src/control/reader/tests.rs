//! Tests of the byte budget for reads of engines.

use super::{ANSWER_BYTES, HEAD_BYTES, READ_RATE_BYTES, Reader};
use std::{collections::BTreeSet, time::Duration};

fn used(count: usize) -> BTreeSet<std::sync::Arc<str>> {
    (0..count).map(|n| format!("engine-{n}").into()).collect()
}

/// Returns the bytes and engines read in `seconds` by a host that uses 8 replicas of each of 35
/// models and probes 5 engines a second, while the hosts exchange `exchanged` bytes a second.
fn read(seconds: u64, exchanged: u64) -> (i64, usize) {
    let mut reader = Reader::default();
    let mut bytes = 0;
    let mut reached = BTreeSet::new();
    for second in 1..=seconds {
        let now = Duration::from_secs(second);
        reader.refill(now, exchanged * second);
        for _ in 0..5 {
            reader.charge(300);
            bytes += HEAD_BYTES + 300;
        }
        for id in reader.next(now, used(280)) {
            // Answers with cache events are larger than assumed.
            reader.record_answer(1_600);
            bytes += HEAD_BYTES + 1_600;
            reached.insert(id);
        }
    }
    (bytes, reached.len())
}

/// Guards against reads above their share of the control traffic, and against engines that are
/// never read in the largest deployment.
#[test]
fn reads_stay_within_the_bound_and_reach_every_engine() {
    const SECONDS: u64 = 120;
    const LAST_BYTES: i64 = HEAD_BYTES + 1_600 + ANSWER_BYTES;
    let (bytes, reached) = read(SECONDS, 0);
    let most = READ_RATE_BYTES * SECONDS as i64 + LAST_BYTES;
    assert!(bytes <= most, "{bytes} bytes in {SECONDS} s");
    assert_eq!(reached, 280);
    // Traffic between hosts has precedence over reads.
    let (bytes, reached) = read(SECONDS, 19_000);
    let most = 5_000 * SECONDS as i64 + LAST_BYTES;
    assert!(bytes <= most, "{bytes} bytes in {SECONDS} s");
    assert!(reached > 0);
    let (_, reached) = read(SECONDS, 24_000);
    assert_eq!(reached, 0);
}

/// Guards against engines that are read more often than once per probe interval, and against memory
/// kept for engines that are no longer used.
#[test]
fn few_engines_are_read_once_a_second() {
    let mut reader = Reader::default();
    let reads = |reader: &mut Reader, millis, count| {
        let now = Duration::from_millis(millis);
        reader.refill(now, 0);
        let next = reader.next(now, used(count));
        next.iter().for_each(|_| reader.record_answer(300));
        next.len()
    };
    assert_eq!(reads(&mut reader, 1_000, 3), 3);
    assert_eq!(reads(&mut reader, 1_500, 3), 0);
    assert_eq!(reads(&mut reader, 2_000, 3), 3);
    assert_eq!(reads(&mut reader, 3_000, 1), 1);
    assert_eq!(reader.reads.len(), 1);
}
