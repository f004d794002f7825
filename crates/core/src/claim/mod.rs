//! At-most-once execution of non-idempotent requests.
//!
//! A request with an `Idempotency-Key` creates a [`Claim`] row before any upstream sees it. The
//! [`Registry`] groups attempts into transactions and turns the store's replies into a
//! [`Decision`] per request. A held claim is a [`Permit`] value whose state says whether a byte of
//! the request may have left the host; only an unsent claim can be released.
//!
//! Memory holds attempts whose decision is open and [`Update`]s that are not yet in the store, both
//! bounded. Finished claims live in the store only: at 3,200 requests per second a retention of
//! 24 h would be 276 million entries.

mod attempt;
mod backlog;
mod decision;
mod permit;
mod registry;
mod row;
mod sweep;

#[cfg(test)]
mod tests;

pub use {
    attempt::{Attempt, Batch, Timestamp},
    backlog::{Action, Backlog, Update},
    decision::{Capability, Decision, Finding, Presence, Query},
    permit::{Permit, Sent, Unsent},
    registry::{Registry, Settings},
    row::{Body, Claim, Response, State, digest, key},
    sweep::{Sweep, sweep},
};
