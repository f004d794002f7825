//! Patience with a service that answers late, or not at all.

use {
    marigoldroute_core::limit::{Contact, ContactSettings},
    std::time::Duration,
};

const MS: Duration = Duration::from_millis(1);

fn known(usual: Duration) -> Contact {
    let mut contact = Contact::new(ContactSettings::default());
    (0..40).for_each(|_| contact.answered(usual));
    contact
}

/// Guards against requests that wait a second for each lost answer of a store that answers in
/// milliseconds.
#[test]
fn lost_answers_are_given_up_soon() {
    let mut contact = known(5 * MS);
    assert!(contact.patience() <= 150 * MS);
    contact.failed(1_000 * MS);
    assert!(!contact.is_lost(1_100 * MS), "one lost answer is no outage");
    contact.answered(5 * MS);
    assert!(!contact.is_lost(5_000 * MS));
}

/// Guards against giving up each call to a store that has become slow: the patience grows until an
/// answer arrives, and stays at what the answers take.
#[test]
fn a_slow_service_is_waited_for() {
    let slow = 450 * MS;
    let mut contact = known(5 * MS);
    let mut now = Duration::ZERO;
    let mut given_up = 0;
    while contact.patience() < slow {
        now += contact.patience();
        contact.failed(now);
        given_up += 1;
    }
    assert!(given_up <= 2, "{given_up} calls given up");
    (0..20).for_each(|_| contact.answered(slow));
    assert!(contact.patience() > slow);
}

/// Guards against serving callers without rows, or refusing them, before an outage is certain, and
/// against never noticing one.
#[test]
fn an_outage_is_noticed_after_the_time_of_silence() {
    let mut contact = known(5 * MS);
    for at in [0, 60, 120, 180, 480] {
        contact.failed(at * MS);
        assert!(!contact.is_lost(at * MS));
    }
    contact.failed(510 * MS);
    assert!(contact.is_lost(510 * MS));
    assert!(contact.patience() <= 1_100 * MS);
}
