//! The platform's table service and object store: async clients, and a stand-in server of both
//! for tests and the demo.

mod client;
mod listen;
mod read;
mod stand_in;

pub use {
    client::{Client, Fault, http},
    listen::{listen, serve},
    stand_in::{Counters, InjectedFaults, StandIn},
};
