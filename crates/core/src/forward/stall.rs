//! Detection of stalled streams.
//!
//! An engine whose batch is full, or that preempts a request and processes its prompt again, pauses
//! for longer than a route's objectives and then continues; an engine that died behind an open
//! connection never does. Moving a live stream costs processing its prompt a second time. Waiting
//! for a dead one costs the caller, who leaves after several pauses.

use std::time::Duration;

/// Multiple of the route's objective for the first event.
const OBJECTIVE_FACTOR: u32 = 2;
/// Multiple of the route's interval between events.
const EVENT_INTERVAL_FACTOR: u32 = 5;
/// Multiple of the longest pause after which the stream continued.
const LONGEST_PAUSE_FACTOR: u32 = 3;
/// Time until a stalled stream that could not be moved is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Detects from the times of its events that a stream has stalled.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Pause that is always allowed.
    min_pause: Duration,
    /// Longest pause after which an event arrived.
    longest_pause: Duration,
    /// Arrival of the last event.
    last_event: Duration,
    /// Earliest time at which the stream counts as stalled.
    not_before: Duration,
}

impl Stall {
    /// Starts at the first event, with the route's objective for the first event and its interval
    /// between events.
    pub fn new(now: Duration, objective: Duration, event_interval: Duration) -> Self {
        Self {
            min_pause: (objective * OBJECTIVE_FACTOR).max(event_interval * EVENT_INTERVAL_FACTOR),
            longest_pause: Duration::ZERO,
            last_event: now,
            not_before: now,
        }
    }

    /// Records that a stalled stream was kept, as no other upstream could continue it.
    pub fn postpone(&mut self, now: Duration) {
        self.not_before = now + RECHECK_INTERVAL;
    }

    /// Records a complete event; bytes of an incomplete one must not be recorded.
    pub fn record_event(&mut self, now: Duration) {
        self.longest_pause = self.longest_pause.max(now.saturating_sub(self.last_event));
        self.last_event = now;
    }

    /// Returns the arrival time of the last event.
    pub fn last_event(&self) -> Duration {
        self.last_event
    }

    /// Returns the time at which the stream counts as stalled unless an event arrives first.
    pub fn deadline(&self) -> Duration {
        let pause = self
            .min_pause
            .max(self.longest_pause * LONGEST_PAUSE_FACTOR);
        self.not_before.max(self.last_event + pause)
    }
}
