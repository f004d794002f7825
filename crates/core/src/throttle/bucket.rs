//! Spacing of the permits for one upstream.

use std::time::Duration;

/// Time by which permits may be ahead of their spacing. Two hosts whose requests arrive at the same
/// time both get one when the rate allows several permits in this time.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Longest turn given to an asker; an asker whose turn is later would miss a rate that rises.
const TURN_LIMIT: Duration = Duration::from_secs(4);

/// Spaces permits, by the generic cell rate algorithm, and spreads the askers that get none.
///
/// In any span, the number of permits is at most one more than the span and [`BURST_TIME`] hold
/// intervals.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// Place of this host among the granters, from 0. Their permits alternate, because the first
    /// ones are due one after the other.
    rank: u32,
    /// When the next permit is due; it may be taken by the burst time earlier.
    next: Duration,
    /// Turn of the next asker that gets none.
    turn: Duration,
}

impl Bucket {
    /// Creates a bucket whose first permit is due after one interval of the whole rate, because the
    /// upstream has just received a request, and after those of the granters of lower rank.
    pub(super) fn new(now: Duration, rank: u32, interval: Duration) -> Self {
        Self {
            rank,
            next: now + interval * (rank + 1),
            turn: now,
        }
    }

    /// Lets the next permit follow as in a new bucket, after a change of the rate to one of this
    /// interval.
    pub(super) fn limit_wait(&mut self, now: Duration, interval: Duration) {
        self.next = self.next.min(now + interval * (self.rank + 1));
        self.turn = now;
    }

    /// Takes a permit; the next one is due after `interval`.
    ///
    /// # Errors
    /// The time until the turn of this asker, which differs from those of the askers before it.
    pub(super) fn take(&mut self, now: Duration, interval: Duration) -> Result<(), Duration> {
        let open_at = self.next.saturating_sub(BURST_TIME);
        if now >= open_at {
            self.next = self.next.max(now) + interval;
            return Ok(());
        }
        let turn = self.turn.max(open_at);
        self.turn = (turn + interval).min(now + TURN_LIMIT);
        Err(turn - now)
    }
}
