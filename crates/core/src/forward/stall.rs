//! When a stream counts as stalled.
//!
//! The load that this answers: engines whose batches are full, or that put a request back and read its
//! prompt again, pause for longer than a route aims for and go on; engines that have died behind an
//! open connection never do. Moving a sound stream costs a second reading of its prompt, waiting for
//! a dead one costs its caller, who leaves after several pauses.

use std::time::Duration;

/// Multiple of the time to the first event that the route aims for.
const OBJECTIVES: u32 = 2;
/// Multiple of the pause that the route aims for.
const PAUSES: u32 = 5;
/// Multiple of the longest pause after which the stream went on.
const SEEN: u32 = 3;

/// Events of one stream as their times show it.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Pause that is allowed in any case.
    least: Duration,
    /// Longest pause after which an event came.
    longest: Duration,
    /// When the last event came.
    last: Duration,
}

impl Stall {
    /// Starts at the first event; `objective` and `pause` are what the route aims for.
    pub fn new(now: Duration, objective: Duration, event_interval: Duration) -> Self {
        Self {
            least: (objective * OBJECTIVES).max(event_interval * PAUSES),
            longest: Duration::ZERO,
            last: now,
        }
    }

    /// Notes a complete event. Bytes that complete none do not count.
    pub fn record_event(&mut self, now: Duration) {
        self.longest = self.longest.max(now.saturating_sub(self.last));
        self.last = now;
    }

    /// Returns when the last event came.
    pub fn last_event(&self) -> Duration {
        self.last
    }

    /// Returns when the stream counts as stalled, unless an event comes before.
    pub fn deadline(&self) -> Duration {
        self.last + self.least.max(self.longest * SEEN)
    }
}
