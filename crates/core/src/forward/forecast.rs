//! Forecast of how long requests last, from recent ones of the same route.
//!
//! A planned stop takes a request only if it can be expected to end in time. To take one that is
//! cut costs an answer. To refuse one costs its caller the way to another host, and an answer as
//! well if the caller comes back to this host, or has no attempt left. What is expected therefore
//! depends on where refused callers go, see [`Caution`].

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Requests count until the end of the term after their own.
const TERM: Duration = Duration::from_secs(30);
/// Recent requests below which there is no forecast.
const MIN_REQUESTS: u32 = 8;
/// Routes with figures.
const ROUTE_LIMIT: usize = 1_024;

/// What is left of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// A single answer.
    Whole,
    /// A stream; holds the limit on its events, if there is one.
    Stream(Option<u64>),
}

/// How long a request is expected to last, compared with recent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caution {
    /// As long as half of them at most: refused callers may come back to this host, as the load
    /// balancer still uses it.
    Low,
    /// As long as the longest: refused callers go to other hosts.
    High,
}

impl Caution {
    /// Returns the number of requests out of these that last no longer than is expected.
    fn within(self, total: u32) -> u32 {
        match self {
            Self::Low => total.div_ceil(2),
            Self::High => total,
        }
    }
}

/// Upper bound of the first bucket of times.
const FIRST_BUCKET: Duration = Duration::from_millis(1);
/// Factor between the bounds of two buckets: a time counts as up to this much longer.
const BUCKET_FACTOR: f64 = 1.3;
/// Buckets of times; the last one has all above 75 s.
const BUCKETS: usize = 44;

/// Counts of times by their length.
#[derive(Clone, Copy, Debug)]
struct Times([u32; BUCKETS]);

impl Default for Times {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

impl Times {
    fn record(&mut self, time: Duration) {
        let ratio = time.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
        let bucket = ratio.max(1.0).log(BUCKET_FACTOR).ceil() as usize;
        let count = &mut self.0[bucket.min(BUCKETS - 1)];
        *count = count.saturating_add(1);
    }

    fn merge(mut self, other: Self) -> Self {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(more);
        }
        self
    }

    /// Returns the time to expect, rounded up to the bound of a bucket; `None` if too few are counted.
    fn expect(&self, caution: Caution) -> Option<Duration> {
        let total = self
            .0
            .iter()
            .fold(0, |sum: u32, &count| sum.saturating_add(count));
        if total < MIN_REQUESTS {
            return None;
        }
        let within = caution.within(total);
        let mut sum = 0_u32;
        let bucket = self.0.iter().position(|&count| {
            sum = sum.saturating_add(count);
            sum >= within
        })?;
        Some(FIRST_BUCKET.mul_f64(BUCKET_FACTOR.powi(bucket as i32)))
    }
}

/// Figures of the requests of one term.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Times from sending a request to its answer or its first event.
    waits: Times,
    /// Times from the first event of a stream to its end.
    streams: Times,
    /// Times between two events, each averaged over its stream.
    intervals: Times,
}

impl Figures {
    fn merge(self, other: Self) -> Self {
        Self {
            waits: self.waits.merge(other.waits),
            streams: self.streams.merge(other.streams),
            intervals: self.intervals.merge(other.intervals),
        }
    }

    fn expect(&self, response: Response, caution: Caution) -> Option<Duration> {
        let wait = self.waits.expect(caution)?;
        let Response::Stream(limit) = response else {
            return Some(wait);
        };
        let stream = self.streams.expect(caution)?;
        let Some(events) = limit else {
            return Some(wait.saturating_add(stream));
        };
        let events = u32::try_from(events).unwrap_or(u32::MAX);
        let longest = self.intervals.expect(caution)?.saturating_mul(events);
        let stream = match caution {
            // Most streams end long before their limit.
            Caution::Low => stream.min(longest),
            Caution::High => longest,
        };
        Some(wait.saturating_add(stream))
    }
}

/// Figures of the requests of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    /// Number of the current term.
    term: u64,
    current: Figures,
    previous: Figures,
}

impl Recent {
    fn advance(&mut self, term: u64) {
        if term > self.term {
            let is_next = term == self.term + 1;
            self.previous = if is_next {
                self.current
            } else {
                Figures::default()
            };
            self.current = Figures::default();
            self.term = term;
        }
    }
}

/// Returns the number of the term of a time.
fn term(now: Duration) -> u64 {
    now.as_secs() / TERM.as_secs()
}

/// Forecast of how long requests last.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    routes: HashMap<Arc<str>, Recent>,
}

impl Forecast {
    /// Records the time from sending a request to its answer or its first event. A request that was
    /// given up before lasts for at least that long.
    pub fn record_wait(&mut self, now: Duration, route: &Arc<str>, wait: Duration) {
        if let Some(figures) = self.figures(now, route) {
            figures.waits.record(wait);
        }
    }

    /// Records a stream that ended this time after its first event, with its number of events.
    pub fn record_stream(&mut self, now: Duration, route: &Arc<str>, events: u64, time: Duration) {
        let intervals = u32::try_from(events).unwrap_or(u32::MAX).saturating_sub(1);
        if let Some(figures) = self.figures(now, route) {
            figures.streams.record(time);
            figures.intervals.record(time / intervals.max(1));
        }
    }

    /// Returns the time that a request of a route is expected to last from sending it; `None` if too
    /// few have ended lately.
    pub fn expect(
        &self,
        now: Duration,
        route: &str,
        response: Response,
        caution: Caution,
    ) -> Option<Duration> {
        let mut recent = *self.routes.get(route)?;
        recent.advance(term(now));
        let figures = recent.current.merge(recent.previous);
        figures.expect(response, caution)
    }

    /// Returns the current figures of a route; `None` when there are too many routes.
    fn figures(&mut self, now: Duration, route: &Arc<str>) -> Option<&mut Figures> {
        let term = term(now);
        if !self.routes.contains_key(route) {
            if self.routes.len() >= ROUTE_LIMIT {
                self.routes.retain(|_, recent| term <= recent.term + 1);
            }
            if self.routes.len() >= ROUTE_LIMIT {
                return None;
            }
        }
        let recent = self.routes.entry(route.clone()).or_default();
        recent.advance(term);
        Some(&mut recent.current)
    }
}

/// Returns for how long a request may still wait before it is sent, so that it ends before `end`:
/// by its own deadline, or within the expected time.
pub fn slack(
    now: Duration,
    end: Duration,
    deadline: Duration,
    expected: Option<Duration>,
) -> Duration {
    if deadline <= end {
        return Duration::MAX;
    }
    let left = end.saturating_sub(now);
    expected.map_or(Duration::ZERO, |expected| left.saturating_sub(expected))
}
