//! Overload protection.
//!
//! [`Concurrency`] limits the requests in flight at an upstream, [`Ramp`] lowers that limit for a
//! new one, [`Queue`] holds requests for which there is no place and sheds them early,
//! [`Fairness`] divides the places between workspaces, [`RetryBudget`] bounds retries as a share
//! of the traffic, and [`Ejector`] takes failing upstreams out for a while.

mod concurrency;
mod ejector;
mod fairness;
mod queue;
mod ramp;
mod retry;

#[cfg(test)]
mod tests;

pub use {
    concurrency::{Concurrency, Settings as ConcurrencySettings},
    ejector::{Ejector, Settings as EjectorSettings},
    fairness::Fairness,
    queue::{Entry, Key, Queue, Settings as QueueSettings, Shed},
    ramp::{Ramp, Settings as RampSettings},
    retry::{RetryBudget, Settings as RetrySettings},
};
