//! The platform's table service and object store: an async client, and an in-memory stand-in server
//! of both for tests and the demo.

mod client;
mod listen;
mod read;
mod stand_in;

pub use {
    client::{Client, Fault, http_client_builder},
    listen::{listen, serve},
    stand_in::{Counters, InjectedFaults, StandIn},
};
