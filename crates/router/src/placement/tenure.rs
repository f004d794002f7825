//! State of the lease holder, from taking the lease to losing it.

use {
    super::{Times, lease::HeldLease, report::Reports},
    marigoldroute_core::{
        config::Catalog,
        id::{ModelId, UpstreamId, Version},
        placement::{Demand, Engine, Halt, Order, Planner, Settings},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// An order with the data on which its check and its log line depend.
pub(super) struct Planned {
    pub(super) order: Order,
    /// Engine that the order is for.
    pub(super) engine: Engine,
    /// Engines in service that may hold the model.
    pub(super) considered: usize,
}

/// State of this process while it holds the lease.
pub(super) struct Tenure {
    pub(super) held: HeldLease,
    pub(super) planner: Planner,
    pub(super) settings: Settings,
    pub(super) reports: Reports,
    /// Halted rollouts as recorded in the table service.
    pub(super) halts: BTreeMap<ModelId, Halt>,
}

impl Tenure {
    pub(super) fn new(held: HeldLease, halts: Vec<Halt>) -> Self {
        let settings = Settings::default();
        let halts = halts.into_iter().map(|halt| (halt.model.clone(), halt));
        Self {
            held,
            planner: Planner::new(settings.clone()),
            settings,
            reports: Reports::new(),
            halts: halts.collect(),
        }
    }

    /// Applies the settings of the configuration in effect.
    pub(super) fn apply_settings(&mut self, catalog: &Catalog, times: &Times) {
        let base = Settings::default();
        let loads = catalog.limits.concurrent_loads;
        let loads = loads.and_then(|loads| usize::try_from(loads).ok());
        self.settings = Settings {
            lease_time: times.lease,
            pause_bound: times.pause_bound,
            concurrent_loads: loads.unwrap_or(base.concurrent_loads),
            load_interval: catalog.limits.load_interval.unwrap_or(base.load_interval),
            ..base
        };
        self.planner.update_settings(self.settings.clone());
    }

    /// Passes the engines' new responses and errors to the rollouts of the planner.
    pub(super) fn record_responses(&mut self) {
        for stats in self.reports.values_mut() {
            let Some((loaded, requests, errors)) = stats.uncounted() else {
                continue;
            };
            let planner = &mut self.planner;
            if planner.record_responses(&loaded.model, loaded.version, requests, errors) {
                stats.mark_counted();
            }
        }
    }

    /// Returns the halted rollouts that were not recorded yet.
    pub(super) fn new_halts(&self, config: Version) -> Vec<Halt> {
        let is_known = |halt: &Halt| {
            let known = self.halts.get(&halt.model);
            known.is_some_and(|known| known.to == halt.to)
        };
        let mut halts = self.planner.halts(config);
        halts.retain(|halt| !is_known(halt));
        halts
    }

    /// Returns the recorded halts that an operator has ended.
    pub(super) fn ended_halts(&self, catalog: &Catalog) -> Vec<Halt> {
        let wanted = |halt: &Halt| catalog.placement.get(&halt.model).map(|p| p.version);
        let halts = self.halts.values();
        halts
            .filter(|halt| halt.is_over(catalog.version, wanted(halt)))
            .cloned()
            .collect()
    }

    /// Returns the order to send now, if any.
    pub(super) fn plan(&mut self, now: Duration, catalog: &Catalog) -> Option<Planned> {
        let demands = self.demands(catalog);
        let engines: Vec<_> = self
            .reports
            .keys()
            .filter_map(|id| engine(catalog, id))
            .collect();
        for demand in &demands {
            let halt = self.halts.get(&demand.model);
            if let Some(halt) = halt.filter(|halt| halt.to == demand.version) {
                self.planner.restore_halt(halt);
            }
        }
        let observed = self.reports.iter();
        let observed = observed
            .map(|(id, stats)| (id.clone(), stats.state()))
            .collect();
        let lease = &self.held.lease;
        let order = self
            .planner
            .plan(now, lease, &engines, &observed, &demands)?;
        let accepting = engines.iter().filter(|e| e.accepts(&order.load.model));
        let considered = accepting.count();
        let engine = engines.into_iter().find(|e| e.id == order.engine)?;
        Some(Planned {
            order,
            engine,
            considered,
        })
    }

    /// Returns the demand of each model: the setting, or the reported rate if that is greater.
    fn demands(&self, catalog: &Catalog) -> Vec<Demand> {
        let placed = catalog.placement.iter();
        placed
            .map(|(model, placement)| {
                let rate: f64 = self.reports.values().map(|stats| stats.rate(model)).sum();
                Demand {
                    model: model.clone(),
                    version: placement.version,
                    rate: rate.max(placement.demand as f64),
                    replica_rate: placement.replica_rate as f64,
                }
            })
            .collect()
    }
}

fn engine(catalog: &Catalog, id: &UpstreamId) -> Option<Engine> {
    let upstream = catalog.upstreams.get(id)?;
    let serves = upstream.serves.iter();
    let hosting = catalog.hosting.get(id);
    Some(Engine {
        id: id.clone(),
        zone: upstream.zone.clone(),
        is_fencing: hosting.is_some_and(|hosting| hosting.is_fencing),
        models: serves
            .filter(|model| catalog.placement.contains_key(*model))
            .cloned()
            .collect(),
    })
}
