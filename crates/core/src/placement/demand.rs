//! Number of replicas per model.

use {super::Settings, crate::id::ModelId};

/// Demand for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Model.
    pub model: ModelId,
    /// Version that is wanted.
    pub version: u64,
    /// Tokens per second.
    pub rate: f64,
    /// Tokens per second that one replica generates at full load; above 0.
    pub replica_rate: f64,
}

impl Demand {
    /// Returns the replicas that serve `factor` times the demand, also without one of `zones`
    /// availability zones; at least 1.
    pub fn planned_replicas(&self, settings: &Settings, factor: f64, zones: usize) -> usize {
        let planned = self.replica_rate.max(f64::MIN_POSITIVE) * settings.utilisation;
        let usual = (self.rate * factor / planned).ceil().max(1.0) as usize;
        zone_tolerant_replicas(usual, self.min_replicas(factor), zones)
    }

    /// Returns the replicas that serve `factor` times the demand at their full rate, which is
    /// accepted while an availability zone is lost; at least 1.
    pub fn min_replicas(&self, factor: f64) -> usize {
        let full = self.replica_rate.max(f64::MIN_POSITIVE);
        (self.rate * factor / full).ceil().max(1.0) as usize
    }
}

/// Returns the smallest number, `usual` or more, of which `least` remain after the loss of any of
/// `zones` availability zones over which the replicas are spread evenly.
pub fn zone_tolerant_replicas(usual: usize, least: usize, zones: usize) -> usize {
    if zones < 2 {
        return usual;
    }
    // The fullest availability zone has `count.div_ceil(zones)` replicas.
    let bound = usual.max(least * 2);
    let survives = |count: &usize| count - count.div_ceil(zones) >= least;
    (usual..=bound).find(survives).unwrap_or(bound)
}
