//! Rates, and what responses say about them.

use {derive_more::Display, std::time::Duration};

/// Longest time between two requests to an upstream, however low its rate. Only the answer to a
/// request tells that a rate has ended.
const LONGEST_INTERVAL: Duration = Duration::from_secs(30);

/// Requests per second that an upstream takes from all hosts together.
///
/// Finite and not negative.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate; `None` for a number that cannot be one.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the time between two requests: at most half a minute, so that the end of a very low
    /// rate is noticed.
    pub fn interval(self) -> Duration {
        let lowest = LONGEST_INTERVAL.as_secs_f64().recip();
        Duration::from_secs_f64(self.0.max(lowest).recip())
    }
}

/// What a response says about the rate that its upstream takes.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub enum Statement {
    /// The upstream states no rate.
    #[default]
    #[display("none")]
    Unlimited,
    /// The upstream takes at most this rate.
    Limited(Rate),
    /// The upstream states something that is no rate.
    #[display("unreadable")]
    Unreadable,
}
