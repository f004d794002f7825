//! Decision on what each engine holds.

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

/// EngineState states by engine.
type Reports = BTreeMap<UpstreamId, EngineState>;

/// An order whose effect is not observed yet.
#[derive(Clone, Debug)]
struct Sent {
    load: ModelVersion,
    at: Duration,
}

/// Plans the placement of models. Its memory is bounded by the engines in service and the models
/// in demand.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    sent: BTreeMap<UpstreamId, Sent>,
    /// Time of the last move of each engine.
    moved: BTreeMap<UpstreamId, Duration>,
    pub(super) rollouts: BTreeMap<ModelId, Rollout>,
    last_load: Option<Duration>,
}

/// One call of [`Planner::plan`].
struct Round<'a> {
    now: Duration,
    lease: &'a Lease,
    engines: &'a [Engine],
    demands: &'a [Demand],
    /// What each engine holds once everything that was ordered has happened.
    held: BTreeMap<UpstreamId, ModelVersion>,
    /// Replicas of each model by availability zone.
    counts: BTreeMap<ModelId, BTreeMap<Zone, usize>>,
    /// Number of availability zones with engines that may hold each model.
    zones: BTreeMap<ModelId, usize>,
}

impl Round<'_> {
    fn have(&self, model: &str) -> usize {
        let zones = self.counts.get(model);
        zones.map_or(0, |zones| zones.values().sum())
    }

    fn in_zone(&self, model: &str, zone: &Zone) -> usize {
        let count = self.counts.get(model).and_then(|zones| zones.get(zone));
        count.copied().unwrap_or(0)
    }

    /// Returns the replicas of a model in its fullest availability zone.
    fn fullest(&self, model: &str) -> usize {
        let zones = self.counts.get(model);
        zones
            .and_then(|zones| zones.values().max().copied())
            .unwrap_or(0)
    }

    fn zones(&self, model: &str) -> usize {
        self.zones.get(model).copied().unwrap_or(0)
    }

    fn demand(&self, model: &str) -> Option<&Demand> {
        self.demands.iter().find(|demand| *demand.model == *model)
    }
}

impl Planner {
    /// Creates a planner that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            sent: BTreeMap::new(),
            moved: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            last_load: None,
        }
    }

    /// Forgets an order that was not sent.
    pub fn cancel(&mut self, order: &Order) {
        self.sent.remove(&order.engine);
        self.moved.remove(&order.engine);
    }

    /// Replaces the settings; what is known is kept.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Counts responses of a model version, which can halt its rollout. Returns whether there is
    /// a rollout of that version; otherwise they are not counted.
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

    /// Returns where the rollout of a model stands, if there is one.
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
        observed: &Reports,
        demands: &[Demand],
    ) -> Option<Order> {
        self.forget(now, engines, observed, demands);
        let held = self.held(engines, observed);
        let round = Round {
            now,
            lease,
            engines,
            demands,
            counts: count(engines, &held),
            held,
            zones: zones(engines, demands),
        };
        self.track(&round, observed);
        if !self.may_load(&round, observed) {
            return None;
        }
        let order = self
            .fill(&round)
            .or_else(|| self.spread(&round))
            .or_else(|| self.update(&round, observed))?;
        let load = order.load.clone();
        self.sent
            .insert(order.engine.clone(), Sent { load, at: now });
        self.moved.insert(order.engine.clone(), now);
        self.last_load = Some(now);
        Some(order)
    }

    /// Drops what concerns engines or models that are gone, and orders that have taken effect or
    /// are due to be decided anew.
    fn forget(
        &mut self,
        now: Duration,
        engines: &[Engine],
        observed: &Reports,
        demands: &[Demand],
    ) {
        let known: BTreeSet<_> = engines.iter().map(|engine| &engine.id).collect();
        let resend_interval = self.settings.resend_interval;
        self.sent.retain(|id, sent| {
            let target = observed.get(id).and_then(EngineState::target);
            let is_open = now.saturating_sub(sent.at) < resend_interval;
            known.contains(id) && is_open && target != Some(&sent.load)
        });
        self.moved.retain(|id, _| known.contains(id));
        let wanted = |model: &ModelId| demands.iter().any(|demand| demand.model == *model);
        self.rollouts.retain(|model, _| wanted(model));
    }

    fn held(&self, engines: &[Engine], observed: &Reports) -> BTreeMap<UpstreamId, ModelVersion> {
        let target = |engine: &Engine| {
            let sent = self.sent.get(&engine.id).map(|sent| &sent.load);
            let load = sent.or_else(|| observed.get(&engine.id)?.target())?;
            Some((engine.id.clone(), load.clone()))
        };
        engines.iter().filter_map(target).collect()
    }

    fn may_load(&self, round: &Round<'_>, observed: &Reports) -> bool {
        let is_loading = |engine: &&Engine| {
            let report = observed.get(&engine.id);
            let is_reported = report.is_some_and(|report| report.loading.is_some());
            is_reported || self.sent.contains_key(&engine.id)
        };
        let loading = round.engines.iter().filter(is_loading).count();
        let interval = self.settings.load_interval;
        let is_spaced = |last: Duration| round.now.saturating_sub(last) >= interval;
        loading < self.settings.concurrent_loads && self.last_load.is_none_or(is_spaced)
    }

    /// Gives a replica to the model that lacks the largest share of its replicas.
    fn fill(&self, round: &Round<'_>) -> Option<Order> {
        let share = |demand: &Demand| {
            let need = demand.planned_replicas(&self.settings, 1.0, round.zones(&demand.model));
            round.have(&demand.model) as f64 / need as f64
        };
        let mut lacking: Vec<_> = round.demands.iter().filter(|d| share(d) < 1.0).collect();
        lacking.sort_by(|a, b| share(a).total_cmp(&share(b)));
        lacking.into_iter().find_map(|demand| {
            let engine = self.free(round, demand, usize::MAX)?;
            Some(self.order(round, engine, demand.model.clone(), "replicas are missing"))
        })
    }

    /// Adds a replica to a model that has enough of them but would not survive the loss of its
    /// fullest availability zone. The engines that may be used at the time of the first orders can
    /// be in few availability zones.
    fn spread(&self, round: &Round<'_>) -> Option<Order> {
        round.demands.iter().find_map(|demand| {
            let fullest = round.fullest(&demand.model);
            let remaining = round.have(&demand.model) - fullest;
            if round.zones(&demand.model) < 2 || remaining >= demand.min_replicas(1.0) {
                return None;
            }
            let engine = self.free(round, demand, fullest)?;
            Some(self.order(round, engine, demand.model.clone(), "spread over zones"))
        })
    }

    /// Returns the engine for another replica: without a wanted model first, then one of a model
    /// with more replicas than it needs, each in the availability zone with the fewest replicas,
    /// which must have less than `below` of them.
    fn free(&self, round: &Round<'_>, demand: &Demand, below: usize) -> Option<UpstreamId> {
        let is_starving = round.have(&demand.model) == 0;
        let class = |engine: &Engine| match round.held.get(&engine.id) {
            _ if !engine.accepts(&demand.model) => None,
            None => Some(0),
            Some(load) if !engine.accepts(&load.model) => Some(1),
            Some(load) if load.model == demand.model => None,
            Some(load) => match round.demand(&load.model) {
                None => Some(1),
                Some(other) if self.is_spare(round, engine, other) => Some(2),
                Some(other) if is_starving && round.have(&other.model) > 1 => Some(3),
                Some(_) => None,
            },
        };
        let usable = round
            .engines
            .iter()
            .filter(|engine| round.lease.permits(&self.settings, round.now, engine));
        let rated = usable.filter_map(|engine| {
            let class = class(engine)?;
            let place = round.in_zone(&demand.model, &engine.zone);
            (place < below).then(|| ((place, class, engine.id.clone()), engine))
        });
        let best = rated.min_by(|(a, _), (b, _)| a.cmp(b));
        best.map(|(_, engine)| engine.id.clone())
    }

    /// Returns whether a model can do without this replica, also if its demand rises by the
    /// hysteresis, and the replica is in its fullest availability zone.
    fn is_spare(&self, round: &Round<'_>, engine: &Engine, demand: &Demand) -> bool {
        let factor = 1.0 + self.settings.hysteresis;
        let need = demand.planned_replicas(&self.settings, factor, round.zones(&demand.model));
        let own = round.in_zone(&demand.model, &engine.zone);
        let is_fullest = own == round.fullest(&demand.model);
        let moved = self.moved.get(&engine.id);
        let reload_interval = self.settings.reload_interval;
        let is_rested = moved.is_none_or(|at| round.now.saturating_sub(*at) >= reload_interval);
        round.have(&demand.model) > need && is_fullest && is_rested
    }

    /// Starts and advances the rollouts of versions.
    fn track(&mut self, round: &Round<'_>, observed: &Reports) {
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
                let count = round.have(&demand.model);
                rollout.advance(&self.settings, round.now, updated, count);
            }
        }
    }

    /// Gives the new version to the next replica of a rollout; one at a time per model, and not
    /// while another replica of the model is out.
    fn update(&self, round: &Round<'_>, observed: &Reports) -> Option<Order> {
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
            let mut covered =
                old.filter(|engine| round.lease.permits(&self.settings, round.now, engine));
            let engine = covered.next()?.id.clone();
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

fn count(
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

fn zones(engines: &[Engine], demands: &[Demand]) -> BTreeMap<ModelId, usize> {
    let count = |demand: &Demand| {
        let accepting = engines.iter().filter(|e| e.accepts(&demand.model));
        let zones: BTreeSet<_> = accepting.map(|engine| &engine.zone).collect();
        (demand.model.clone(), zones.len())
    };
    demands.iter().map(count).collect()
}
