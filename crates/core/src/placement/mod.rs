//! Placement of models on engines.
//!
//! A [`Planner`] compares the desired with the observed state and returns [`Order`]s. It is driven
//! by the host that holds the placement lease; see [`Lease`] for what protects engines from the
//! orders of an earlier holder.

mod demand;
mod halt;
mod lease;
mod planner;
mod rollout;
mod settings;
mod state;

#[cfg(test)]
mod tests;

pub use {
    demand::{Demand, zone_tolerant_replicas},
    halt::{HALT_PREFIX, Halt},
    lease::Lease,
    planner::Planner,
    rollout::{Phase, Rollout},
    settings::Settings,
    state::{Engine, EngineState, ModelVersion, Order},
};
