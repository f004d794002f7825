//! Withdrawal and restoration of batches of upstreams, models and versions.
//!
//! A [`Selector`] names the batch. A [`Plan`] shows, without effect, what it hits and what
//! remains, and holds the one change of the settings tree that makes it. Two operators who race
//! are ordered by the configuration log like any other change; the second one's change is
//! validated against what the first one left.

mod plan;
mod progress;
mod selector;

#[cfg(test)]
mod tests;

pub use {
    plan::{Action, Capacity, Plan},
    progress::{Disposition, Progress, Repeat},
    selector::{Hit, Selector},
};
