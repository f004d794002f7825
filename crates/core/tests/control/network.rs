//! Messages in flight between hosts, with faults.

use {
    rand::{Rng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Faults of the network between hosts.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Sender and recipient of the links on which nothing arrives.
    pub cut: BTreeSet<(usize, usize)>,
    pub lost_percent: u32,
    pub doubled_percent: u32,
    /// Share of the messages that take up to [`LATE_DELAY`]; these also arrive out of order.
    pub late_percent: u32,
}

const USUAL_DELAY: Duration = Duration::from_millis(50);
const LATE_DELAY: Duration = Duration::from_secs(8);

/// Future events in the order of their times.
pub struct EventQueue<E> {
    pub faults: Faults,
    events: BTreeMap<(Duration, u64), E>,
    count: u64,
}

impl<E: Clone> EventQueue<E> {
    pub fn new() -> Self {
        Self {
            faults: Faults::default(),
            events: BTreeMap::new(),
            count: 0,
        }
    }

    pub fn add(&mut self, at: Duration, event: E) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// Sends a message over a link, given as sender and recipient.
    pub fn send(&mut self, now: Duration, link: (usize, usize), event: E, random: &mut SmallRng) {
        let mut happens = |percent| random.random_range(0..100) < percent;
        if self.faults.cut.contains(&link) || happens(self.faults.lost_percent) {
            return;
        }
        let copies = 1 + u32::from(happens(self.faults.doubled_percent));
        for _ in 0..copies {
            let is_late = random.random_range(0..100) < self.faults.late_percent;
            let delay_limit = if is_late { LATE_DELAY } else { USUAL_DELAY };
            let delay = random.random_range(Duration::from_millis(1)..delay_limit);
            self.add(now + delay, event.clone());
        }
    }

    pub fn next(&mut self, until: Duration) -> Option<(Duration, E)> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > until {
            return None;
        }
        let ((at, _), event) = entry.remove_entry();
        Some((at, event))
    }
}
