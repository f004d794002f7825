//! The gateway: forwards callers' requests unchanged to upstreams, within prepaid budgets.
//!
//! The gateway depends neither on the headers of its callers' requests nor on the API of its store:
//! the program that embeds it implements [`Protocol`] and [`Store`].

mod accept;
mod body;
mod dispatch;
mod drain;
mod error;
mod escrow;
mod exchange;
mod frontend;
mod life;
mod listen;
mod members;
mod memory;
mod metrics;
mod peers;
mod permit;
mod pool;
mod probe;
mod profile;
pub mod protocol;
mod quarantine;
mod relay;
mod relief;
mod request;
mod settings;
pub mod store;
mod succession;
mod supervise;
mod unanswered;
mod view;
mod watch;
mod whole;

use marigoldroute_process::Clock;

pub use {
    life::{Handle, start},
    protocol::Protocol,
    settings::Settings,
    store::Store,
};
