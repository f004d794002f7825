//! Engines, what they hold, and orders to them.

use {
    crate::id::{ModelId, UpstreamId, Zone},
    derive_more::Display,
};

/// An engine in service; it holds one model at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Upstream id of the engine.
    pub id: UpstreamId,
    /// Availability zone.
    pub zone: Zone,
    /// Whether the engine refuses an order with an old fencing number.
    pub is_fencing: bool,
    /// Models that it may hold.
    pub models: Vec<ModelId>,
}

impl Engine {
    /// Returns whether the engine may hold a model.
    pub fn accepts(&self, model: &str) -> bool {
        self.models.iter().any(|accepted| **accepted == *model)
    }
}

/// A model in a version.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{model} version {version}")]
pub struct ModelVersion {
    /// Model.
    pub model: ModelId,
    /// Version of the model.
    pub version: u64,
}

/// What an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// What it serves.
    pub loaded: Option<ModelVersion>,
    /// What it is loading.
    pub loading: Option<ModelVersion>,
}

impl EngineState {
    /// Returns what the engine serves or will serve.
    pub fn target(&self) -> Option<&ModelVersion> {
        self.loading.as_ref().or(self.loaded.as_ref())
    }
}

/// An order to an engine to load a model in place of what it holds.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("load {load} on {engine} ({reason}, fencing number {fencing})")]
pub struct Order {
    /// Engine.
    pub engine: UpstreamId,
    /// What to load.
    pub load: ModelVersion,
    /// Fencing number of the lease under which the order was decided.
    pub fencing: u64,
    /// Why, for the log line.
    pub reason: &'static str,
}
