//! Stand-ins of upstreams for tests and the demo: a model engine, a plain service, and the weight
//! store that engines load models from.

mod cache;
mod engine;
mod fault;
mod models;
mod queue;
mod record;
mod server;
mod service;
mod weights;

pub use {
    cache::CacheEvent,
    engine::Settings,
    fault::Fault,
    models::{Holding, LoadFault, Loader, Model, Order, WeightSource},
    record::Record,
    server::{Load, StandIn},
    weights::{Rate, RateExceeded, Transfers, WeightStore},
};
