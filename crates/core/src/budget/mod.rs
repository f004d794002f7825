//! Escrow of prepaid tokens.
//!
//! Tokens move from the [`Account`] row of a budget to a [`Holder`], one in each process, before
//! they can be spent. For each budget, the holder's [`Journal`] rows state the tokens allocated to
//! it, the mark up to which it may spend, and the tokens it has spent. A holder reserves tokens
//! only below the mark of a durable row, so that the holders of a budget never spend more than it
//! has.

pub mod account;
mod assignment;
pub mod bound;
mod change;
pub mod era;
mod flush;
mod grant;
mod holder;
pub mod journal;
pub mod reclaim;
pub mod remote;
mod restate;
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
    restate::{Restated, Surviving},
};
