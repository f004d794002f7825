//! Rates that upstreams state.

mod rate;

pub use rate::{Rate, Statement};
