//! Forwarding of requests that pass through unchanged.
//!
//! A [`Directory`] finds the route and the workspace of a request in one configuration version,
//! [`retry`] decides what follows from the outcome of an attempt, [`Allowance`] bounds retries over
//! the whole fleet, [`Roster`] knows which upstreams may receive work, and [`Sequence`] checks the
//! order of a stream's events.

mod allowance;
mod directory;
mod plan;
pub mod retry;
mod roster;
mod sequence;
mod stall;

#[cfg(test)]
mod tests;

pub use {
    allowance::{Allowance, Settings as AllowanceSettings},
    directory::{Access, AccessError, Directory},
    plan::{Engine, Kind, Limits, Route, Service, Snapshot, Target, Workspace},
    roster::{Change, Registration, Roster, State},
    sequence::{Accepted, Rejected, Sequence, event_id},
    stall::Stall,
};
