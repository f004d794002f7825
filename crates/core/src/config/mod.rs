//! Configuration of the fleet.

mod catalog;

pub use catalog::{Access, Catalog, Service, State, Upstream, hash_key};
