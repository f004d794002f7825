//! Availability zones that operators have evacuated.

use {
    super::Dispatcher,
    crate::view::lock,
    marigoldroute_core::{
        admission::{Admission, Evacuation},
        id::Zone,
    },
    marigoldroute_process::logs::BELIEFS,
    std::collections::BTreeSet,
};

impl Dispatcher {
    /// Replaces the evacuated zones.
    pub(crate) fn replace_evacuated(&self, zones: BTreeSet<Zone>) {
        self.update_evacuated(|admission| admission.replace_evacuated(zones));
    }

    /// Applies changes of the evacuated zones.
    pub(crate) fn apply_evacuations(&self, changes: Vec<Evacuation>) {
        self.update_evacuated(|admission| admission.apply_evacuations(changes));
    }

    fn update_evacuated(&self, update: impl FnOnce(&mut Admission) -> Vec<Evacuation>) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let changes = update(&mut inner.admission);
        for change in &changes {
            if let Evacuation::Ended(zone) = change {
                inner.admission.restore(now, zone);
            }
        }
        let count = inner.admission.evacuated().len();
        drop(inner);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Evacuation::Begun(zone) => {
                    log::info!(target: BELIEFS, zone:%; "availability zone evacuated");
                }
                Evacuation::Ended(zone) => {
                    log::info!(target: BELIEFS, zone:%; "evacuation ended");
                }
            }
        }
        self.metrics.evacuated_zones.set(count as i64);
        // Requests that wait look at the upstreams again.
        self.capacity_freed.notify_waiters();
    }
}
