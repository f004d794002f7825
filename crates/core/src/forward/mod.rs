//! Forwarding of requests to upstreams without changing them.
//!
//! A [`Directory`] looks up the route and the workspace of a request in one configuration version,
//! [`retry`] decides whether to retry after an attempt, [`Allowance`] bounds the retries of the
//! whole fleet, [`Roster`] tracks which upstreams may receive work, [`Sequence`] checks the order
//! of a stream's events, [`Stall`] detects stalled streams, [`Forecast`] tells how long requests
//! last, [`hedge`] decides when a slow request gets a second copy, and [`feed`] lets a few hosts read
//! the list of upstreams for all others.

mod allowance;
mod directory;
pub mod feed;
pub mod forecast;
pub mod hedge;
pub mod retry;
mod roster;
mod sequence;
mod snapshot;
mod stall;

#[cfg(test)]
mod tests;

pub use {
    allowance::{Allowance, Settings as AllowanceSettings},
    directory::{Access, AccessError, Directory, Urgency},
    forecast::Forecast,
    hedge::Hedge,
    roster::{Change, Registration, Roster, State},
    sequence::{Accepted, Rejected, Sequence, event_id},
    snapshot::{ColdStart, Engine, Kind, Limits, Route, Service, Snapshot, Target, Workspace},
    stall::Stall,
};
