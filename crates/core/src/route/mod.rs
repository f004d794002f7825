//! Choice of an upstream for a request.
//!
//! A [`Policy`] knows the candidates, chooses one per request and learns from what the caller
//! reports afterwards. [`Adaptive`] is the product's policy; [`RoundRobin`], [`LeastInFlight`] and
//! [`TwoChoices`] are the baselines that it is measured against.

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
    candidate::{CLASSES, CacheChange, CacheUpdate, Candidate, Load, Origin},
    choice::{Choice, Home, Progress, Reason, Request, Ticket},
    prefix::prefix_hashes,
    registry::Full,
    settings::Settings,
};

/// Chooses an upstream for each request.
pub trait Policy: Send {
    /// Returns the name under which the policy is selected.
    fn name(&self) -> Name;

    /// Adds a candidate, or replaces the one of the same id when it changed.
    ///
    /// # Errors
    /// [`Full`] when the bound on known candidates is reached.
    fn join(&mut self, now: Duration, candidate: &Candidate) -> Result<(), Full>;

    /// Removes a candidate; it is not chosen again until it joins again.
    fn withdraw(&mut self, upstream: &str);

    /// Sets the live hosts, this one included, between which the candidates are divided.
    fn set_hosts(&mut self, _hosts: &[HostId]) {}

    /// Chooses an upstream; `None` when no known candidate is allowed.
    fn choose(
        &mut self,
        now: Duration,
        random: &mut dyn RngCore,
        request: &Request<'_>,
    ) -> Option<Choice>;

    /// Takes a progress report on a chosen request.
    ///
    /// Every ticket that was reported as sent must be reported as finished, failed or refused.
    /// A report that does not follow from the ticket's state is ignored.
    fn report(&mut self, now: Duration, ticket: &mut Ticket, progress: Progress<'_>);

    /// Takes a load report of an upstream.
    fn record_load(&mut self, _now: Duration, _upstream: &str, _load: &Load) {}

    /// Takes the prompt tokens that another host has sent to an upstream and not seen answered.
    fn record_remote_pending(&mut self, _now: Duration, _upstream: &str, _host: u64, _tokens: u32) {
    }

    /// Takes a cache event of an upstream.
    fn apply_cache_update(&mut self, _now: Duration, _upstream: &str, _event: &CacheUpdate<'_>) {}

    /// Returns the heap and inline memory of the policy, in bytes.
    fn memory_bytes(&self) -> usize;
}

/// Names of the policies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Name {
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

/// The name belongs to no policy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("unknown routing policy `{name}`")]
pub struct Unknown {
    name: String,
}

impl Name {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Adaptive,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoChoices,
    ];

    /// Creates the policy of this name.
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

impl FromStr for Name {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let found = Self::ALL.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| Unknown { name: text.into() })
    }
}
