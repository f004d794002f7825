//! Rates, and what responses say about them.

use derive_more::Display;

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
