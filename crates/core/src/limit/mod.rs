//! Overload protection.
//!
//! [`Intake`] holds requests back while upstreams have no room for them, [`Concurrency`] limits the requests in flight at an upstream, [`Ramp`] lowers that limit for a
//! new upstream, [`Queue`] holds requests that wait for an upstream and sheds them early,
//! [`Fairness`] orders them fairly between workspaces, [`RetryBudget`] bounds retries as a share of
//! the traffic, [`Link`] detects that a host should take no new callers, and [`AdaptiveTimeout`]
//! derives the timeout of calls to the store. Failing upstreams are excluded by the health marks
//! in [`fleet`](crate::fleet).

mod concurrency;
mod fairness;
mod intake;
mod link;
mod queue;
mod ramp;
mod retry;
mod timeout;

#[cfg(test)]
mod burst;
#[cfg(test)]
mod tests;

pub use {
    concurrency::{Concurrency, Settings as ConcurrencySettings},
    fairness::Fairness,
    intake::{Intake, Settings as IntakeSettings},
    link::{Link, Settings as LinkSettings},
    queue::{Entry, Key, Queue, Settings as QueueSettings, Shed},
    ramp::{Ramp, Settings as RampSettings},
    retry::{RetryBudget, Settings as RetrySettings},
    timeout::{AdaptiveTimeout, Settings as AdaptiveTimeoutSettings},
};
