//! The router: forwards requests of callers to upstreams within prepaid token budgets.

pub mod cli;
mod ledger;
pub mod settings;

mod admin;
mod caller;
mod claim;
mod control;
mod dispatch;
mod escrow;
mod gate;
mod metrics;
mod ops;
mod outbox;
mod peer;
mod placement;
mod reclaim;
mod reserver;
mod response;
mod router;
mod running;
mod tls;
mod upstream;

pub(crate) use marigoldroute_process::Clock;
pub use {
    marigoldroute_process::logs,
    router::{Handle, start},
    settings::Settings,
};
