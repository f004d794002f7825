//! Stand-ins of upstreams: a model engine and a plain service, for tests and the demo.

mod engine;
mod fault;
mod record;
mod server;
mod service;

pub use {
    engine::Settings,
    fault::Fault,
    record::Record,
    server::{Load, StandIn},
};
