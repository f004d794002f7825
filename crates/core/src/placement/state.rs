//! Engines, the models that they hold, and orders to them.

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

/// A model at a version.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{model} version {version}")]
pub struct ModelVersion {
    /// Id of the model.
    pub model: ModelId,
    /// Version of the model.
    pub version: u64,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Model that it serves.
    pub loaded: Option<ModelVersion>,
    /// Model that it is loading.
    pub loading: Option<ModelVersion>,
}

impl EngineState {
    /// Returns the model that the engine serves once a load in progress has finished.
    pub fn target(&self) -> Option<&ModelVersion> {
        self.loading.as_ref().or(self.loaded.as_ref())
    }
}

/// An order to an engine to load a model in place of what it holds.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("load {load} on {engine} ({reason}, fencing number {fencing})")]
pub struct Order {
    /// Engine that the order is sent to.
    pub engine: UpstreamId,
    /// Model version to load.
    pub load: ModelVersion,
    /// Fencing number of the lease under which the order was decided.
    pub fencing: u64,
    /// Reason for the order, for the log line.
    pub reason: &'static str,
}
