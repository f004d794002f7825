//! Load of a host's link, played over time.

use {
    marigoldroute_core::limit::{Link, LinkSettings},
    std::time::Duration,
};

fn link(capacity: f64) -> Link {
    Link::new(LinkSettings {
        capacity: Some(capacity),
        ..LinkSettings::default()
    })
}

/// Plays `seconds` of a load in bytes per second, and returns whether the link was busy at the end.
fn load(link: &mut Link, from: &mut Duration, seconds: u64, rate: f64) -> bool {
    let step = Duration::from_millis(50);
    let mut is_busy = false;
    for _ in 0..seconds * 20 {
        *from += step;
        link.record_bytes(*from, (rate * step.as_secs_f64()) as usize);
        is_busy = link.is_busy(*from);
    }
    is_busy
}

/// Guards against a host that takes more callers than its link carries: 1,250,000 bytes per second
/// with 100 requests of 10,000 bytes each second, as a hash gives them to it.
#[test]
fn a_loaded_link_is_busy_until_its_load_has_gone() {
    let mut link = link(1_250_000.0);
    let mut now = Duration::ZERO;
    assert!(!load(&mut link, &mut now, 10, 300_000.0));
    assert!(load(&mut link, &mut now, 4, 1_000_000.0));
    assert!(
        load(&mut link, &mut now, 10, 600_000.0),
        "between the shares"
    );
    assert!(
        load(&mut link, &mut now, 2, 200_000.0),
        "not calm for long enough"
    );
    assert!(!load(&mut link, &mut now, 5, 200_000.0));
}

/// Guards against a host that turns callers away for a single large request, or without a known
/// capacity.
#[test]
fn a_link_is_not_busy_without_a_reason() {
    let mut link = link(1_250_000.0);
    link.record_bytes(Duration::from_secs(1), 100_000);
    assert!(!link.is_busy(Duration::from_secs(1)));
    let mut unknown = Link::new(LinkSettings::default());
    let mut now = Duration::ZERO;
    assert!(!load(&mut unknown, &mut now, 3, 1e9));
}

/// Guards against a host that takes its callers back and is overloaded by them again and again: the
/// balancer gives the same callers to the same host.
#[test]
fn a_link_that_is_busy_again_rests_for_longer() {
    let mut link = link(1_250_000.0);
    let mut now = Duration::ZERO;
    for rest in [4, 8, 16] {
        assert!(load(&mut link, &mut now, 3, 1_000_000.0));
        assert!(load(&mut link, &mut now, rest, 0.0), "busy for {rest} s");
        assert!(!load(&mut link, &mut now, 2, 0.0), "calm after {rest} s");
    }
}
