//! Escrow of prepaid tokens.
//!
//! A budget's tokens move from its [`Account`] row to a [`Holder`] before they can be spent. The
//! holder's [`Journal`] rows carry, for each budget, what it was allocated, up to which mark it
//! may spend and what it spent. It only reserves below the mark of a durable row.

pub mod account;
mod assignment;
pub mod bound;
mod change;
mod flush;
mod grant;
mod holder;
pub mod journal;
pub mod reclaim;
pub mod remote;
mod slot;

#[cfg(test)]
mod tests;

pub use {
    account::{Account, Shortfall},
    assignment::Assignment,
    bound::Bound,
    change::{Change, ConfiguredTotal, Proposal, Receipt, Request},
    grant::{Demand, Preset, Settings},
    holder::{Execution, Holder, Phase, ReserveError, Summary, Usage},
    journal::{Entry, Journal, Reason, Share, Shares},
};
