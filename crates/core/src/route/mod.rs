//! Choice of an upstream for a request.
//!
//! A [`Policy`] holds the candidates, chooses one per request and learns from the progress reports
//! that follow. [`Adaptive`] is the default policy; [`RoundRobin`], [`LeastInFlight`] and
//! [`TwoChoices`] are baselines to compare it with.

mod adaptive;
mod baseline;
mod candidate;
mod choice;
mod engine;
mod prefix;
mod registry;
mod settings;

#[cfg(test)]
mod tests;

use {
    crate::id::HostId,
    derive_more::{Display, Error},
    rand::RngCore,
    std::{str::FromStr, time::Duration},
};

pub use {
    adaptive::Adaptive,
    baseline::{LeastInFlight, RoundRobin, TwoChoices},
    candidate::{CacheChange, CacheUpdate, Candidate, Load, Origin, PRIORITY_CLASSES},
    choice::{Choice, Progress, Reason, Request, SharedPrefix, Ticket},
    prefix::prefix_hashes,
    registry::Full,
    settings::Settings,
};

/// Chooses an upstream for each request.
pub trait Policy: Send {
    /// Returns the name that selects the policy in the settings.
    fn name(&self) -> PolicyName;

    /// Adds a candidate, or replaces the one with the same id if it changed.
    ///
    /// # Errors
    /// [`Full`] when the maximum number of candidates is reached.
    fn join(&mut self, now: Duration, candidate: &Candidate) -> Result<(), Full>;

    /// Removes a candidate; it is not chosen again until it joins again.
    fn withdraw(&mut self, upstream: &str);

    /// Sets the live hosts, including this one, that the candidates are divided between.
    fn set_hosts(&mut self, _hosts: &[HostId]) {}

    /// Chooses an upstream for a request; `None` when no known candidate is allowed.
    fn choose(
        &mut self,
        now: Duration,
        random: &mut dyn RngCore,
        request: &Request<'_>,
    ) -> Option<Choice>;

    /// Records the progress of a chosen request.
    ///
    /// Every ticket that was reported as sent must be reported as finished, cancelled, failed or
    /// refused.
    /// A report that is invalid in the ticket's current phase is ignored.
    fn report(&mut self, now: Duration, ticket: &mut Ticket, progress: Progress<'_>);

    /// Records a load report of an upstream.
    fn record_load(&mut self, _now: Duration, _upstream: &str, _load: &Load) {}

    /// Records the prompt tokens that another host has sent to an upstream and that are not yet
    /// answered.
    fn record_remote_pending(&mut self, _now: Duration, _upstream: &str, _host: u64, _tokens: u32) {
    }

    /// Applies an event of an upstream's prefix cache.
    fn apply_cache_update(&mut self, _now: Duration, _upstream: &str, _event: &CacheUpdate<'_>) {}

    /// Returns the memory that the policy uses on the heap and inline, in bytes.
    fn memory_bytes(&self) -> usize;
}

/// Name of a policy.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum PolicyName {
    /// [`Adaptive`].
    #[display("adaptive")]
    Adaptive,
    /// [`RoundRobin`].
    #[display("round-robin")]
    RoundRobin,
    /// [`LeastInFlight`].
    #[display("least-in-flight")]
    LeastInFlight,
    /// [`TwoChoices`].
    #[display("two-choices")]
    TwoChoices,
}

/// Error of parsing a [`PolicyName`].
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("unknown routing policy `{name}`")]
pub struct UnknownPolicy {
    name: String,
}

impl PolicyName {
    /// Names of all policies.
    pub const ALL: [Self; 4] = [
        Self::Adaptive,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoChoices,
    ];

    /// Creates the policy with this name; the baselines use only [`Settings::capacity`].
    pub fn policy(self, origin: Origin, settings: Settings) -> Box<dyn Policy> {
        let capacity = settings.capacity;
        match self {
            Self::Adaptive => Box::new(Adaptive::new(origin, settings)),
            Self::RoundRobin => Box::new(RoundRobin::new(origin, capacity)),
            Self::LeastInFlight => Box::new(LeastInFlight::new(origin, capacity)),
            Self::TwoChoices => Box::new(TwoChoices::new(origin, capacity)),
        }
    }
}

impl FromStr for PolicyName {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        let found = Self::ALL.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| UnknownPolicy { name: text.into() })
    }
}
