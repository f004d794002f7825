//! Stand-ins of upstreams: a model engine and a plain service, for tests and the demo.

mod cache;
mod engine;
mod fault;
mod queue;
mod record;
mod server;
mod service;

pub use {
    cache::CacheEvent,
    engine::Settings,
    fault::Fault,
    record::Record,
    server::{Load, StandIn},
};
