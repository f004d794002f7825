//! Number of replicas per model.

use {super::Settings, crate::id::ModelId};

/// Load that a model must serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Model that the replicas serve.
    pub model: ModelId,
    /// Version that the configuration asks for.
    pub version: u64,
    /// Generated tokens per second to serve.
    pub rate: f64,
    /// Tokens per second that one replica generates at full load; above 0.
    pub replica_rate: f64,
}

impl Demand {
    /// Returns the number of replicas that serve `factor` times the demand at the planned
    /// utilisation, and at full load without any one of `zones` availability zones; at least 1.
    pub fn planned_replicas(&self, settings: &Settings, factor: f64, zones: usize) -> usize {
        let planned = self.replica_rate.max(f64::MIN_POSITIVE) * settings.utilisation;
        let base = (self.rate * factor / planned).ceil().max(1.0) as usize;
        zone_tolerant_replicas(base, self.min_replicas(factor), zones)
    }

    /// Returns the number of replicas that serve `factor` times the demand at full load, which is
    /// accepted while an availability zone is lost; at least 1.
    pub fn min_replicas(&self, factor: f64) -> usize {
        let full = self.replica_rate.max(f64::MIN_POSITIVE);
        (self.rate * factor / full).ceil().max(1.0) as usize
    }
}

/// Returns the smallest number of replicas, `base` or more, of which `min_remaining` survive the
/// loss of any of the `zones` availability zones over which they are spread evenly.
pub fn zone_tolerant_replicas(base: usize, min_remaining: usize, zones: usize) -> usize {
    if zones < 2 {
        return base;
    }
    // The fullest availability zone has `count.div_ceil(zones)` replicas.
    let upper = base.max(min_remaining * 2);
    let survives = |count: &usize| count - count.div_ceil(zones) >= min_remaining;
    (base..=upper).find(survives).unwrap_or(upper)
}
