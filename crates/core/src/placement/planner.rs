//! Decides which model each engine holds.

use {
    super::{
        Demand, Engine, EngineState, Lease, ModelVersion, Order, Rollout, Settings, rollout::Phase,
    },
    crate::id::{ModelId, UpstreamId, Zone},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Last reported state by engine.
type States = BTreeMap<UpstreamId, EngineState>;

/// An order whose effect is not observed yet.
#[derive(Clone, Debug)]
struct OpenOrder {
    load: ModelVersion,
    at: Duration,
}

/// Plans the placement of models. Its memory is bounded by the number of engines in service and
/// of models in demand.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    /// Open order of each engine.
    open_orders: BTreeMap<UpstreamId, OpenOrder>,
    /// Time of the last order to each engine.
    last_ordered: BTreeMap<UpstreamId, Duration>,
    pub(super) rollouts: BTreeMap<ModelId, Rollout>,
    /// Time of the last order to any engine.
    last_load: Option<Duration>,
}

/// Inputs of one call of [`Planner::plan`], with counts derived from them.
struct Round<'a> {
    now: Duration,
    lease: &'a Lease,
    engines: &'a [Engine],
    demands: &'a [Demand],
    /// What each engine holds once all open orders and loads have finished.
    held: BTreeMap<UpstreamId, ModelVersion>,
    /// Replicas of each model by availability zone.
    counts: BTreeMap<ModelId, BTreeMap<Zone, usize>>,
    /// Number of availability zones with engines that may hold each model.
    zones: BTreeMap<ModelId, usize>,
}

impl Round<'_> {
    fn replicas(&self, model: &str) -> usize {
        let zones = self.counts.get(model);
        zones.map_or(0, |zones| zones.values().sum())
    }

    fn replicas_in_zone(&self, model: &str, zone: &Zone) -> usize {
        let count = self.counts.get(model).and_then(|zones| zones.get(zone));
        count.copied().unwrap_or(0)
    }

    /// Returns the number of replicas in the availability zone with the most replicas of a model.
    fn max_in_zone(&self, model: &str) -> usize {
        let zones = self.counts.get(model);
        zones
            .and_then(|zones| zones.values().max().copied())
            .unwrap_or(0)
    }

    /// Returns the number of availability zones with engines that may hold a model.
    fn zone_count(&self, model: &str) -> usize {
        self.zones.get(model).copied().unwrap_or(0)
    }

    fn demand(&self, model: &str) -> Option<&Demand> {
        self.demands.iter().find(|demand| *demand.model == *model)
    }
}

impl Planner {
    /// Creates a planner without open orders and rollouts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            open_orders: BTreeMap::new(),
            last_ordered: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            last_load: None,
        }
    }

    /// Drops an order of [`plan`](Self::plan) that was not sent.
    pub fn cancel(&mut self, order: &Order) {
        self.open_orders.remove(&order.engine);
        self.last_ordered.remove(&order.engine);
    }

    /// Replaces the settings; open orders and rollouts are kept.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Counts responses of a model version, whose errors can halt its rollout. Returns whether
    /// there is a rollout of that version; otherwise the responses are not counted.
    pub fn record_responses(
        &mut self,
        model: &str,
        version: u64,
        requests: u64,
        errors: u64,
    ) -> bool {
        let rollout = self.rollouts.get_mut(model).filter(|r| r.to == version);
        let is_counted = rollout.is_some();
        if let Some(rollout) = rollout {
            rollout.record_responses(&self.settings, requests, errors);
        }
        is_counted
    }

    /// Returns the phase of a model's rollout, if there is one.
    pub fn rollout_phase(&self, model: &str) -> Option<Phase> {
        self.rollouts.get(model).map(Rollout::phase)
    }

    /// Returns the order to send now, if any. At most one is due at a time, because loads are
    /// spaced by the rate of the weight store.
    pub fn plan(
        &mut self,
        now: Duration,
        lease: &Lease,
        engines: &[Engine],
        observed: &States,
        demands: &[Demand],
    ) -> Option<Order> {
        self.prune(now, engines, observed, demands);
        let held = self.expected_models(engines, observed);
        let round = Round {
            now,
            lease,
            engines,
            demands,
            counts: count_replicas(engines, &held),
            held,
            zones: count_zones(engines, demands),
        };
        self.update_rollouts(&round, observed);
        if !self.can_load(&round, observed) {
            return None;
        }
        let order = self
            .add_missing_replica(&round)
            .or_else(|| self.spread_over_zones(&round))
            .or_else(|| self.continue_rollout(&round, observed))?;
        let load = order.load.clone();
        self.open_orders
            .insert(order.engine.clone(), OpenOrder { load, at: now });
        self.last_ordered.insert(order.engine.clone(), now);
        self.last_load = Some(now);
        Some(order)
    }

    /// Drops the state of engines and models that are gone, and orders that have taken effect or
    /// whose resend interval has passed.
    fn prune(&mut self, now: Duration, engines: &[Engine], observed: &States, demands: &[Demand]) {
        let known: BTreeSet<_> = engines.iter().map(|engine| &engine.id).collect();
        let resend_interval = self.settings.resend_interval;
        self.open_orders.retain(|id, sent| {
            let target = observed.get(id).and_then(EngineState::target);
            let is_open = now.saturating_sub(sent.at) < resend_interval;
            known.contains(id) && is_open && target != Some(&sent.load)
        });
        self.last_ordered.retain(|id, _| known.contains(id));
        let wanted = |model: &ModelId| demands.iter().any(|demand| demand.model == *model);
        self.rollouts.retain(|model, _| wanted(model));
    }

    fn expected_models(
        &self,
        engines: &[Engine],
        observed: &States,
    ) -> BTreeMap<UpstreamId, ModelVersion> {
        let target = |engine: &Engine| {
            let sent = self.open_orders.get(&engine.id).map(|sent| &sent.load);
            let load = sent.or_else(|| observed.get(&engine.id)?.target())?;
            Some((engine.id.clone(), load.clone()))
        };
        engines.iter().filter_map(target).collect()
    }

    fn can_load(&self, round: &Round<'_>, observed: &States) -> bool {
        let is_loading = |engine: &&Engine| {
            let report = observed.get(&engine.id);
            let is_reported = report.is_some_and(|report| report.loading.is_some());
            is_reported || self.open_orders.contains_key(&engine.id)
        };
        let loading = round.engines.iter().filter(is_loading).count();
        let interval = self.settings.load_interval;
        let is_spaced = |last: Duration| round.now.saturating_sub(last) >= interval;
        loading < self.settings.concurrent_loads && self.last_load.is_none_or(is_spaced)
    }

    /// Orders a replica for the model that lacks the largest share of its planned replicas.
    fn add_missing_replica(&self, round: &Round<'_>) -> Option<Order> {
        let share = |demand: &Demand| {
            let need =
                demand.planned_replicas(&self.settings, 1.0, round.zone_count(&demand.model));
            round.replicas(&demand.model) as f64 / need as f64
        };
        let mut lacking: Vec<_> = round.demands.iter().filter(|d| share(d) < 1.0).collect();
        lacking.sort_by(|a, b| share(a).total_cmp(&share(b)));
        lacking.into_iter().find_map(|demand| {
            let engine = self.choose_engine(round, demand, usize::MAX)?;
            Some(self.order(round, engine, demand.model.clone(), "replicas are missing"))
        })
    }

    /// Orders a replica for a model that has the planned number of replicas but would not keep its
    /// minimum if it lost the availability zone with the most of them. This happens when the
    /// engines that could be used for the first orders were in few availability zones.
    fn spread_over_zones(&self, round: &Round<'_>) -> Option<Order> {
        round.demands.iter().find_map(|demand| {
            let max_in_zone = round.max_in_zone(&demand.model);
            let remaining = round.replicas(&demand.model) - max_in_zone;
            if round.zone_count(&demand.model) < 2 || remaining >= demand.min_replicas(1.0) {
                return None;
            }
            let engine = self.choose_engine(round, demand, max_in_zone)?;
            Some(self.order(round, engine, demand.model.clone(), "spread over zones"))
        })
    }

    /// Returns the engine for another replica. It is in the availability zone with the fewest
    /// replicas of the model, and only in one with less than `below`. Within a zone, engines
    /// without a model in demand come first, then those of models with more replicas than planned,
    /// and for a model without any replica also those of models with several.
    fn choose_engine(
        &self,
        round: &Round<'_>,
        demand: &Demand,
        below: usize,
    ) -> Option<UpstreamId> {
        let has_no_replica = round.replicas(&demand.model) == 0;
        let rank = |engine: &Engine| match round.held.get(&engine.id) {
            _ if !engine.accepts(&demand.model) => None,
            None => Some(0),
            Some(load) if !engine.accepts(&load.model) => Some(1),
            Some(load) if load.model == demand.model => None,
            Some(load) => match round.demand(&load.model) {
                None => Some(1),
                Some(other) if self.is_spare(round, engine, other) => Some(2),
                Some(other) if has_no_replica && round.replicas(&other.model) > 1 => Some(3),
                Some(_) => None,
            },
        };
        let usable = round
            .engines
            .iter()
            .filter(|engine| round.lease.permits(&self.settings, round.now, engine));
        let ranked = usable.filter_map(|engine| {
            let rank = rank(engine)?;
            let in_zone = round.replicas_in_zone(&demand.model, &engine.zone);
            (in_zone < below).then(|| ((in_zone, rank, engine.id.clone()), engine))
        });
        let best = ranked.min_by(|(a, _), (b, _)| a.cmp(b));
        best.map(|(_, engine)| engine.id.clone())
    }

    /// Returns whether a replica may be used for another model: its model has enough others even if
    /// the demand rises by the hysteresis, no availability zone has more replicas of the model, and
    /// the engine was not reloaded recently.
    fn is_spare(&self, round: &Round<'_>, engine: &Engine, demand: &Demand) -> bool {
        let factor = 1.0 + self.settings.hysteresis;
        let need = demand.planned_replicas(&self.settings, factor, round.zone_count(&demand.model));
        let in_zone = round.replicas_in_zone(&demand.model, &engine.zone);
        let is_largest = in_zone == round.max_in_zone(&demand.model);
        let last_ordered = self.last_ordered.get(&engine.id);
        let reload_interval = self.settings.reload_interval;
        let can_reload =
            last_ordered.is_none_or(|at| round.now.saturating_sub(*at) >= reload_interval);
        round.replicas(&demand.model) > need && is_largest && can_reload
    }

    /// Starts rollouts of new versions and advances the running ones.
    fn update_rollouts(&mut self, round: &Round<'_>, observed: &States) {
        for demand in round.demands {
            let holds = |load: &&ModelVersion| load.model == demand.model;
            let old = round.held.values().filter(holds).map(|load| load.version);
            let old = old.filter(|version| *version != demand.version).max();
            let known = self.rollouts.get(&demand.model).map(|rollout| rollout.to);
            if let Some(from) = old.filter(|_| known != Some(demand.version)) {
                let rollout = match self.rollouts.get(&demand.model) {
                    Some(last) if last.from == demand.version => {
                        Rollout::rollback(last.to, demand.version)
                    }
                    _ => Rollout::new(from, demand.version),
                };
                self.rollouts.insert(demand.model.clone(), rollout);
            }
            let updated = observed
                .values()
                .filter_map(|report| report.loaded.as_ref());
            let is_updated =
                |load: &&ModelVersion| load.model == demand.model && load.version == demand.version;
            let updated = updated.filter(is_updated).count();
            if let Some(rollout) = self.rollouts.get_mut(&demand.model) {
                let count = round.replicas(&demand.model);
                rollout.advance(&self.settings, round.now, updated, count);
            }
        }
    }

    /// Orders the new version for the next replica of a rollout: one at a time per model, and only
    /// while every other replica of the model has finished loading.
    fn continue_rollout(&self, round: &Round<'_>, observed: &States) -> Option<Order> {
        round.demands.iter().find_map(|demand| {
            let rollout = self.rollouts.get(&demand.model)?;
            let holders = round.engines.iter().filter(|engine| {
                let load = round.held.get(&engine.id);
                let is_held = load.is_some_and(|load| load.model == demand.model);
                is_held && engine.accepts(&demand.model)
            });
            let holders: Vec<_> = holders.collect();
            let is_ready = |engine: &&Engine| {
                let loaded = observed.get(&engine.id).and_then(|r| r.loaded.as_ref());
                loaded.is_some() && loaded == round.held.get(&engine.id)
            };
            if !holders.iter().all(is_ready) {
                return None;
            }
            let is_new = |engine: &&&Engine| round.held[&engine.id].version == demand.version;
            let updated = holders.iter().filter(is_new).count();
            if updated >= rollout.allowed_replicas(&self.settings, holders.len()) {
                return None;
            }
            let old = holders.iter().filter(|engine| !is_new(engine));
            let mut permitted =
                old.filter(|engine| round.lease.permits(&self.settings, round.now, engine));
            let engine = permitted.next()?.id.clone();
            let load = ModelVersion {
                model: demand.model.clone(),
                version: demand.version,
            };
            Some(Order {
                engine,
                load,
                fencing: round.lease.fencing,
                reason: "rollout of a version",
            })
        })
    }

    fn order(
        &self,
        round: &Round<'_>,
        engine: UpstreamId,
        model: ModelId,
        reason: &'static str,
    ) -> Order {
        let wanted = round.demand(&model).map_or(0, |demand| demand.version);
        // During a rollout, further replicas get the version that is known to work.
        let rollout = self
            .rollouts
            .get(&model)
            .filter(|r| r.phase() != Phase::Done);
        Order {
            engine,
            load: ModelVersion {
                version: rollout.map_or(wanted, |rollout| rollout.from),
                model,
            },
            fencing: round.lease.fencing,
            reason,
        }
    }
}

fn count_replicas(
    engines: &[Engine],
    held: &BTreeMap<UpstreamId, ModelVersion>,
) -> BTreeMap<ModelId, BTreeMap<Zone, usize>> {
    let mut counts = BTreeMap::<ModelId, BTreeMap<Zone, usize>>::new();
    for engine in engines {
        let load = held.get(&engine.id);
        if let Some(load) = load.filter(|load| engine.accepts(&load.model)) {
            let zones = counts.entry(load.model.clone()).or_default();
            *zones.entry(engine.zone.clone()).or_default() += 1;
        }
    }
    counts
}

fn count_zones(engines: &[Engine], demands: &[Demand]) -> BTreeMap<ModelId, usize> {
    let count = |demand: &Demand| {
        let accepting = engines.iter().filter(|e| e.accepts(&demand.model));
        let zones: BTreeSet<_> = accepting.map(|engine| &engine.zone).collect();
        (demand.model.clone(), zones.len())
    };
    demands.iter().map(count).collect()
}
