//! Load of a host's link over simulated time.

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

/// Simulates `seconds` of a load in bytes per second, and returns whether the link is then busy.
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

/// Guards against a host that takes more callers than its link carries. The link carries 1,250,000
/// bytes per second; the hash assigns the host 100 requests of 10,000 bytes per second.
#[test]
fn a_loaded_link_is_busy_until_its_load_has_ended() {
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
        "low for too short a time"
    );
    assert!(!load(&mut link, &mut now, 5, 200_000.0));
}

/// Guards against a host that refuses callers after a single large request, or without a known
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

/// Guards against a host that is overloaded each time it takes callers again, because the load
/// balancer sends it the same ones.
#[test]
fn a_link_that_is_busy_again_has_a_longer_cooldown() {
    let mut link = link(1_250_000.0);
    let mut now = Duration::ZERO;
    for cooldown in [4, 8, 16] {
        assert!(load(&mut link, &mut now, 3, 1_000_000.0));
        assert!(
            load(&mut link, &mut now, cooldown, 0.0),
            "busy for {cooldown} s"
        );
        assert!(
            !load(&mut link, &mut now, 2, 0.0),
            "recovered after {cooldown} s"
        );
    }
}
