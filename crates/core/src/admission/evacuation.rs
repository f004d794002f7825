//! Availability zones that are evacuated.

use {
    super::Admission,
    crate::id::Zone,
    std::{collections::BTreeSet, time::Duration},
};

/// A change of the availability zones that operators have evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evacuation {
    /// The upstreams of the zone get nothing new.
    Begun(Zone),
    /// The upstreams of the zone take requests again.
    Ended(Zone),
}

impl Admission {
    /// Replaces the zones that are evacuated; returns what has changed.
    pub fn replace_evacuated(&mut self, zones: BTreeSet<Zone>) -> Vec<Evacuation> {
        let ended = self.evacuated.difference(&zones).cloned();
        let ended = ended.map(Evacuation::Ended);
        let begun = zones.difference(&self.evacuated).cloned();
        let changes = ended.chain(begun.map(Evacuation::Begun)).collect();
        self.evacuated = zones;
        changes
    }

    /// Applies changes in their order; returns those that were not known.
    pub fn apply_evacuations(
        &mut self,
        changes: impl IntoIterator<Item = Evacuation>,
    ) -> Vec<Evacuation> {
        let mut is_new = |change: &Evacuation| match change {
            Evacuation::Begun(zone) => self.evacuated.insert(zone.clone()),
            Evacuation::Ended(zone) => self.evacuated.remove(zone),
        };
        changes
            .into_iter()
            .filter(|change| is_new(change))
            .collect()
    }

    /// Records that the upstreams of a zone take requests again after an evacuation. They may have
    /// become cold meanwhile, and all of them are idle.
    pub fn restore(&mut self, now: Duration, zone: &Zone) {
        for (id, upstream) in &self.upstreams {
            if upstream.zone == *zone {
                self.cold_starts.restore(now, id);
            }
        }
    }

    /// Returns the zones that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<Zone> {
        &self.evacuated
    }
}
