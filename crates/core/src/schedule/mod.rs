//! Choice of engines for a whole fleet by one of its hosts.
//!
//! A host of a large fleet sends a request to each engine once in many seconds, so by itself it
//! knows neither the load nor the speed of the engines, nor which prefixes they have cached. In such
//! a fleet, one host, the scheduler of a service, chooses for all. [`Election`] says which host that
//! is, [`Scheduler`] is its state, and [`Silence`] keeps the others from asking a host that does not
//! answer. All of it is a hint: when a scheduler is lost, hosts choose for themselves.

mod election;
mod scheduler;
mod silence;
#[cfg(test)]
mod tests;

pub use {
    election::{Election, Scope},
    scheduler::{Key, Outcome, Question, Scheduler, Selection, Settings},
    silence::{Settings as SilenceSettings, Silence},
};
