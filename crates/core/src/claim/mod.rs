//! At-most-once execution of non-idempotent requests.
//!
//! A request with an `Idempotency-Key` creates a [`Claim`] row before it is sent to any upstream.
//! The [`Registry`] groups attempts into transactions and turns the replies of the store into one
//! [`Decision`] per attempt. The attempt that owns a claim gets a [`Permit`], whose type parameter
//! says whether a byte of the request may have left the host. Only an unsent claim can be released.
//!
//! Only attempts without a decision and [`Update`]s that are not in the store yet are kept in
//! memory, both up to a limit. Finished claims are kept in the store only: at 3,200 requests per
//! second and a retention of 24 h they would be 276 million entries.

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
