//! Withdrawal and restoration of batches of upstreams, models and versions.
//!
//! A [`Selector`] selects the batch. A [`Plan`] is a dry run: it lists what is selected and which
//! capacity remains, and contains the single change of the settings tree that carries it out.
//! Concurrent changes by two operators are ordered by the configuration log like any others; the
//! second change is validated against the tree that the first one left.

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
