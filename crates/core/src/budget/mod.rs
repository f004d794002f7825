//! Escrow of prepaid tokens.
//!
//! A budget's tokens move from its [`Account`] row to a [`Holder`] before they can be spent. The
//! holder's [`Journal`] rows carry, for each budget, what it was allocated, up to which mark it
//! may spend and what it spent. It only reserves below the mark of a durable row.

mod account;
mod grant;
mod holder;
mod journal;

#[cfg(test)]
mod tests;

pub use {
    account::Account,
    grant::Settings,
    holder::{Holder, Shortage, Usage},
    journal::{Entry, Journal, Share},
};
