//! A time for which an upstream wants nothing from this host.

use {std::time::Duration, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Longest pause that one answer can ask for. An upstream that is away for longer leaves the list,
/// so a larger number is a mistake, and must not cost the upstream for good. Afterwards the
/// upstream gets a single request, and may ask again.
const PAUSE_LIMIT: Duration = Duration::from_secs(600);
/// Part of a pause over which hosts, and the callers that were refused during it, come back.
const SPREAD: f64 = 0.5;
/// Longest time over which hosts come back after a pause.
const HOST_SPREAD_LIMIT: Duration = Duration::from_secs(1);
/// Longest time over which refused callers come back after a pause.
const CALLER_SPREAD_LIMIT: Duration = Duration::from_secs(5);
/// Time for which others wait for the answer to the first request after a pause. Upstreams that
/// turn a request away do so at once, so one that still has it after this time has taken it.
const RESUME_TIME: Duration = Duration::from_millis(500);

/// A pause that an upstream has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pause {
    /// When it was first asked for.
    since: Duration,
    /// When this host may send a request again: at the end of the longest time that was asked for,
    /// and a part of the spread later that differs by host. Never earlier than that end.
    opens_at: Duration,
    /// When the first request after the pause was assigned.
    resumed_at: Option<Duration>,
}

/// What a pause allows now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Nothing until this time.
    Closed(Duration),
    /// No second request until this time, or an answer to the first one.
    Resuming(Duration),
    /// Everything.
    Over,
}

impl Pause {
    /// Creates the pause of a host, by its name, that an upstream asks for now.
    pub(super) fn new(now: Duration, asked: Duration, (host, upstream): (&str, &str)) -> Self {
        let asked = asked.min(PAUSE_LIMIT);
        let until = now + asked;
        // Another order of the hosts after each pause.
        let seed = xxh3_64_with_seed(upstream.as_bytes(), until.as_secs());
        let hash = xxh3_64_with_seed(host.as_bytes(), seed);
        let place = hash as f64 / u64::MAX as f64;
        let spread = asked.mul_f64(SPREAD).min(HOST_SPREAD_LIMIT);
        Self {
            since: now,
            opens_at: until + spread.mul_f64(place),
            resumed_at: None,
        }
    }

    /// Returns the pause that keeps this one and a newer one. A shorter time does not end a longer
    /// one, since answers may overtake each other.
    pub(super) fn extended(self, newer: Self) -> Self {
        Self {
            since: self.since,
            opens_at: self.opens_at.max(newer.opens_at),
            resumed_at: None,
        }
    }

    pub(super) fn opens_at(&self) -> Duration {
        self.opens_at
    }

    pub(super) fn state(&self, now: Duration) -> State {
        if now < self.opens_at {
            return State::Closed(self.opens_at);
        }
        match self.resumed_at.map(|at| at + RESUME_TIME) {
            Some(until) if now < until => State::Resuming(until),
            Some(_) | None => State::Over,
        }
    }

    /// Records that a request was assigned to the upstream.
    pub(super) fn begin(&mut self, now: Duration) {
        if now >= self.opens_at {
            self.resumed_at.get_or_insert(now);
        }
    }

    /// Returns when a caller should return that is refused now: after the pause, in the order in
    /// which callers were refused.
    pub(super) fn turn(&self, now: Duration) -> Duration {
        let length = self.opens_at.saturating_sub(self.since);
        let spread = length.mul_f64(SPREAD).min(CALLER_SPREAD_LIMIT);
        let elapsed = now.saturating_sub(self.since).as_secs_f64();
        let place = elapsed / length.as_secs_f64().max(f64::MIN_POSITIVE);
        self.opens_at + spread.mul_f64(place.clamp(0.0, 1.0))
    }
}
