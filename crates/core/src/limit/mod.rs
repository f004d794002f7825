//! Overload protection.
//!
//! [`Concurrency`] limits the requests in flight at an upstream, [`Ramp`] lowers that limit for a
//! new one, [`Queue`] holds requests for which there is no place and sheds them early,
//! [`Fairness`] divides the places between workspaces, [`RetryBudget`] bounds retries as a share of
//! the traffic, [`Link`] tells when a host should take no new callers, and [`AdaptiveTimeout`] how long to wait for the
//! store. Failing upstreams are taken out by the health marks of the slice
//! [`fleet`](crate::fleet).

mod concurrency;
mod fairness;
mod link;
mod queue;
mod ramp;
mod retry;
mod timeout;

#[cfg(test)]
mod tests;

pub use {
    concurrency::{Concurrency, Settings as ConcurrencySettings},
    fairness::Fairness,
    link::{Link, Settings as LinkSettings},
    queue::{Entry, Key, Queue, Settings as QueueSettings, Shed},
    ramp::{Ramp, Settings as RampSettings},
    retry::{RetryBudget, Settings as RetrySettings},
    timeout::{AdaptiveTimeout, Settings as AdaptiveTimeoutSettings},
};
