//! The gateway: forwards callers' requests unchanged to upstreams, within prepaid budgets.
//!
//! The gateway knows neither the spelling of its callers' requests nor the calls of its store.
//! Both come from the program that embeds it, as an [`Protocol`] and a [`Store`].

mod accept;
mod answer;
mod dispatch;
mod escrow;
mod exchange;
mod front;
mod job;
mod life;
mod listen;
mod members;
mod memory;
mod metrics;
mod peers;
mod pool;
mod profile;
pub mod protocol;
mod relay;
mod settings;
pub mod store;
mod succession;
mod supervise;
mod view;
mod watch;

use marigoldroute_process::Clock;

pub use {
    life::{Handle, start},
    protocol::Protocol,
    settings::Settings,
    store::Store,
};
