//! Messages under way between hosts, with faults.

use {
    rand::{Rng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// What goes wrong between hosts.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Directions in which nothing arrives.
    pub cut: BTreeSet<(usize, usize)>,
    pub lost_percent: u32,
    pub doubled_percent: u32,
    /// Share of the messages that take up to [`LATE`]; these also arrive out of order.
    pub late_percent: u32,
}

const USUAL: Duration = Duration::from_millis(50);
const LATE: Duration = Duration::from_secs(8);

/// Events by the time at which they happen.
pub struct Agenda<E> {
    pub faults: Faults,
    events: BTreeMap<(Duration, u64), E>,
    count: u64,
}

impl<E: Clone> Agenda<E> {
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

    /// Sends a message from one host to another.
    pub fn send(&mut self, now: Duration, way: (usize, usize), event: E, random: &mut SmallRng) {
        let mut happens = |percent| random.random_range(0..100) < percent;
        if self.faults.cut.contains(&way) || happens(self.faults.lost_percent) {
            return;
        }
        let copies = 1 + u32::from(happens(self.faults.doubled_percent));
        for _ in 0..copies {
            let is_late = random.random_range(0..100) < self.faults.late_percent;
            let longest = if is_late { LATE } else { USUAL };
            let delay = random.random_range(Duration::from_millis(1)..longest);
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
