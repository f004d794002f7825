//! Forecast of how long requests last, from recent ones of the same route.
//!
//! A planned stop takes a request only if it can be expected to end in time. To take one that is
//! cut costs an answer, to refuse one costs its caller the way to another host. The forecast
//! therefore follows the longest recent requests, and says nothing about routes with few of them.

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

/// Figures of the requests of one term.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Requests with an answer or a first event.
    answers: u32,
    /// Longest time from sending a request to its answer or its first event.
    wait: Duration,
    /// Streams that have ended.
    streams: u32,
    /// Longest time between two events, each averaged over its stream.
    interval: Duration,
    /// Longest time from the first event of a stream to its end.
    streaming: Duration,
}

impl Figures {
    fn merge(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            wait: self.wait.max(other.wait),
            streams: self.streams.saturating_add(other.streams),
            interval: self.interval.max(other.interval),
            streaming: self.streaming.max(other.streaming),
        }
    }

    /// Returns the time that the longest of these requests would take.
    fn longest(&self, response: Response) -> Option<Duration> {
        let streaming = match response {
            Response::Whole => Duration::ZERO,
            Response::Stream(_) if self.streams < MIN_REQUESTS => return None,
            Response::Stream(None) => self.streaming,
            Response::Stream(Some(events)) => {
                let events = u32::try_from(events).unwrap_or(u32::MAX);
                self.interval.saturating_mul(events)
            }
        };
        (self.answers >= MIN_REQUESTS).then(|| self.wait.saturating_add(streaming))
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
            figures.answers = figures.answers.saturating_add(1);
            figures.wait = figures.wait.max(wait);
        }
    }

    /// Records a stream that ended this time after its first event, with its number of events.
    pub fn record_stream(&mut self, now: Duration, route: &Arc<str>, events: u64, time: Duration) {
        let intervals = u32::try_from(events).unwrap_or(u32::MAX).saturating_sub(1);
        if let Some(figures) = self.figures(now, route) {
            figures.streams = figures.streams.saturating_add(1);
            figures.interval = figures.interval.max(time / intervals.max(1));
            figures.streaming = figures.streaming.max(time);
        }
    }

    /// Returns the time that a request of a route is expected to last at most from sending it, with
    /// a margin of half of it; `None` if too few have ended lately.
    pub fn expect(&self, now: Duration, route: &str, response: Response) -> Option<Duration> {
        let mut recent = *self.routes.get(route)?;
        recent.advance(term(now));
        let longest = recent.current.merge(recent.previous).longest(response)?;
        Some(longest.saturating_add(longest / 2))
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
