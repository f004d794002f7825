//! Tests of the placement of models.

use {
    super::{
        Demand, Engine, EngineState, Lease, ModelVersion, Order, Phase, Planner, Rollout, Settings,
        zone_tolerant_replicas,
    },
    crate::id::UpstreamId,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner},
    },
    std::{collections::BTreeMap, time::Duration},
};

const ENGINES: usize = 9;
const MODELS: [&str; 3] = ["drafting", "desk", "stock"];

fn settings() -> Settings {
    Settings {
        reload_interval: seconds(60),
        concurrent_loads: 2,
        ..Settings::default()
    }
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn engines() -> Vec<Engine> {
    let engine = |n: usize| Engine {
        id: format!("e{n}").into(),
        zone: format!("z{}", n / 3).into(),
        is_fencing: n.is_multiple_of(2),
        models: MODELS.map(Into::into).into(),
    };
    (0..ENGINES).map(engine).collect()
}

fn demand(model: &str, rate: f64, version: u64) -> Demand {
    Demand {
        model: model.into(),
        version,
        rate,
        replica_rate: 100.0,
    }
}

/// A simulated engine with the highest fencing number that it acted on.
#[derive(Clone, Debug, Default)]
struct Model {
    report: EngineState,
    fencing: u64,
}

/// Engines, two planners that hold the lease in turn, and orders on their way.
struct World {
    settings: Settings,
    now: Duration,
    engines: Vec<Engine>,
    models: BTreeMap<UpstreamId, Model>,
    planners: [Planner; 2],
    leases: [Option<Lease>; 2],
    fencing: u64,
    demands: Vec<Demand>,
    transit: Vec<(Duration, Order)>,
    /// Time of the last order of each planner.
    last: [Option<Duration>; 2],
}

impl World {
    /// `planning` are the settings of the planners; the network keeps to `settings`.
    fn new(settings: Settings, planning: &Settings) -> Self {
        let engines = engines();
        let models = engines.iter().map(|e| (e.id.clone(), Model::default()));
        Self {
            settings,
            now: seconds(100),
            models: models.collect(),
            engines,
            planners: [
                Planner::new(planning.clone()),
                Planner::new(planning.clone()),
            ],
            leases: [None, None],
            fencing: 0,
            demands: MODELS.map(|model| demand(model, 50.0, 1)).into(),
            transit: Vec::new(),
            last: [None, None],
        }
    }

    fn reports(&self) -> BTreeMap<UpstreamId, EngineState> {
        let reports = self.models.iter();
        reports
            .map(|(id, model)| (id.clone(), model.report.clone()))
            .collect()
    }

    /// Lets a planner take or extend the lease, as the table service allows it.
    fn acquire(&mut self, planner: usize) {
        let until = self.now + self.settings.lease_time;
        if self.leases[1 - planner].is_some_and(|other| other.until > self.now) {
            return;
        }
        if let Some(own) = self.leases[planner]
            .as_mut()
            .filter(|l| l.fencing == self.fencing)
        {
            own.until = until;
            return;
        }
        self.fencing += 1;
        self.leases[planner] = Some(Lease {
            fencing: self.fencing,
            acquired: self.now,
            until,
        });
    }

    fn plan(&mut self, planner: usize) -> Result<(), TestCaseError> {
        let Some(lease) = self.leases[planner] else {
            return Ok(());
        };
        let reports = self.reports();
        let planned = &mut self.planners[planner];
        let order = planned.plan(self.now, &lease, &self.engines, &reports, &self.demands);
        if let Some(order) = order {
            prop_assert!(self.now < lease.until, "an order without the lease");
            prop_assert!(self.demands.iter().any(|d| d.model == order.load.model));
            let loading = reports.values().filter(|r| r.loading.is_some()).count();
            prop_assert!(loading < self.settings.concurrent_loads);
            let gap = self.last[planner].map(|last| self.now - last);
            prop_assert!(gap.is_none_or(|gap| gap >= self.settings.load_interval));
            self.last[planner] = Some(self.now);
            self.transit.push((self.now, order));
        }
        Ok(())
    }

    /// Delivers an order. An engine that ignores fencing numbers acts on any.
    fn deliver(&mut self, index: usize) -> Result<(), TestCaseError> {
        if self.transit.is_empty() {
            return Ok(());
        }
        let (_, order) = self.transit.remove(index % self.transit.len());
        let is_fencing = self
            .engines
            .iter()
            .any(|e| e.id == order.engine && e.is_fencing);
        let Some(model) = self.models.get_mut(&order.engine) else {
            return Ok(());
        };
        if is_fencing && order.fencing < model.fencing {
            return Ok(());
        }
        prop_assert!(
            order.fencing >= model.fencing,
            "{} acts on {} after {}",
            order.engine,
            order.fencing,
            model.fencing
        );
        model.fencing = order.fencing;
        model.report.loaded = None;
        model.report.loading = Some(order.load);
        Ok(())
    }

    /// Passes time; an order arrives at most one pause bound after it was decided.
    fn pass(&mut self, time: Duration) -> Result<(), TestCaseError> {
        let end = self.now + time;
        let bound = self.settings.pause_bound;
        while let Some(index) = self.transit.iter().position(|(at, _)| *at + bound <= end) {
            self.deliver(index)?;
        }
        self.now = end;
        Ok(())
    }

    fn finish(&mut self, engine: usize) {
        let id = &self.engines[engine % ENGINES].id;
        let report = self.models.get_mut(id).map(|model| &mut model.report);
        if let Some(report) = report.filter(|report| report.loading.is_some()) {
            report.loaded = report.loading.take();
        }
    }

    /// Runs one planner with engines that obey at once, and returns the number of orders.
    fn settle(&mut self, rounds: usize) -> usize {
        let mut orders = 0;
        for _ in 0..rounds {
            self.acquire(0);
            self.plan(0).unwrap();
            orders += self.transit.len();
            while !self.transit.is_empty() {
                self.deliver(0).unwrap();
            }
            (0..ENGINES).for_each(|engine| self.finish(engine));
            self.now += seconds(5);
        }
        orders
    }

    fn have(&self, model: &str, without: &str) -> usize {
        let remaining = self
            .engines
            .iter()
            .filter(|engine| *engine.zone != *without);
        let loaded = remaining.filter_map(|e| self.models[&e.id].report.loaded.as_ref());
        loaded.filter(|load| *load.model == *model).count()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Acquire(usize),
    Plan(usize),
    Deliver(usize),
    Finish(usize),
    Crash(usize),
    Demand(usize, u32, u64),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..2_usize).prop_map(Step::Acquire),
        6 => (0..2_usize).prop_map(Step::Plan),
        3 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => (0..ENGINES).prop_map(Step::Crash),
        1 => (0..3_usize, 0..400_u32, 1..3_u64)
            .prop_map(|(model, rate, version)| Step::Demand(model, rate, version)),
        4 => (1..20_u64).prop_map(Step::Pass),
    ];
    vec(step, 1..200)
}

fn check(planning: &Settings) -> Result<(), String> {
    let config = ProptestConfig {
        cases: 256,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[61; 32]);
    let run = |steps: Vec<Step>| {
        let mut world = World::new(settings(), planning);
        for step in steps {
            match step {
                Step::Acquire(planner) => world.acquire(planner),
                Step::Plan(planner) => world.plan(planner)?,
                Step::Deliver(index) => world.deliver(index)?,
                Step::Finish(engine) => world.finish(engine),
                Step::Crash(engine) => {
                    let id = world.engines[engine].id.clone();
                    let model = world.models.get_mut(&id);
                    model
                        .into_iter()
                        .for_each(|m| m.report = EngineState::default());
                }
                Step::Demand(model, rate, version) => {
                    world.demands[model] = demand(MODELS[model], f64::from(rate), version);
                }
                Step::Pass(time) => world.pass(seconds(time))?,
            }
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, random)
        .run(&steps(), run)
        .map_err(|error| error.to_string())
}

/// Guards against engines of either kind that act on the order of an earlier lease holder after
/// that of a later one, and against orders without the lease or above the load limit.
#[test]
fn engines_never_act_on_an_older_order() {
    assert_eq!(check(&settings()), Ok(()));
}

/// Guards against a property that cannot fail: without the wait, engines that ignore fencing
/// numbers act on old orders.
#[test]
fn property_detects_a_missing_wait() {
    let hasty = Settings {
        lease_time: Duration::ZERO,
        pause_bound: Duration::ZERO,
        ..settings()
    };
    assert!(check(&hasty).is_err());
}

/// Guards against a wait that is too short for orders which a paused holder still sends.
#[test]
fn engine_that_ignores_numbers_waits_for_lease_and_pause() {
    let [mut fencing, mut ignoring] = [engines()[0].clone(), engines()[0].clone()];
    fencing.is_fencing = true;
    ignoring.is_fencing = false;
    let lease = Lease {
        fencing: 2,
        acquired: seconds(100),
        until: seconds(200),
    };
    let permits = |engine: &Engine, at| lease.permits(&settings(), seconds(at), engine);
    assert_eq!(
        [100, 144, 145, 199, 200].map(|at| permits(&fencing, at)),
        [true, true, true, true, false]
    );
    assert_eq!(
        [100, 144, 145, 199, 200].map(|at| permits(&ignoring, at)),
        [false, false, true, true, false]
    );
}

/// Guards against a rollout that takes several replicas of a model out at the same time.
#[test]
fn rollout_waits_until_the_last_replica_is_ready() {
    let mut world = World::new(settings(), &settings());
    world.demands = vec![demand("drafting", 400.0, 1)];
    world.settle(100);
    let steps = vec![1.0];
    world.planners[0] = Planner::new(Settings {
        steps,
        ..settings()
    });
    world.demands = vec![demand("drafting", 400.0, 2)];
    let mut orders = 0;
    for _ in 0..50 {
        world.acquire(0);
        world.plan(0).unwrap();
        orders += world.transit.len();
        while !world.transit.is_empty() {
            world.deliver(0).unwrap();
        }
        world.now += seconds(5);
    }
    assert_eq!(orders, 1);
}

/// Guards against a placement that never settles, and against replicas that do not survive the
/// loss of an availability zone.
#[test]
fn placement_settles_and_survives_the_loss_of_a_zone() {
    let mut world = World::new(settings(), &settings());
    // Most engines are in one availability zone, so that an even spread is not a coincidence.
    for (engine, zone) in world.engines.iter_mut().zip([0, 0, 0, 0, 0, 1, 1, 2, 2]) {
        engine.zone = format!("z{zone}").into();
    }
    world.demands = vec![demand("drafting", 180.0, 1), demand("desk", 60.0, 1)];
    world.settle(60);
    for zone in ["z0", "z1", "z2"] {
        assert!(world.have("drafting", zone) >= 2, "{zone}");
        assert!(world.have("desk", zone) >= 1, "{zone}");
    }
    assert_eq!(world.settle(100), 0);
}

/// Guards against reloads back and forth when the demand varies a little.
#[test]
fn small_changes_of_the_demand_move_nothing() {
    let mut world = World::new(settings(), &settings());
    let rates = |a, b| vec![demand("drafting", a, 1), demand("desk", b, 1)];
    world.demands = rates(310.0, 190.0);
    world.settle(60);
    let mut orders = 0;
    for round in 0..20 {
        let up = round % 2 == 1;
        world.demands = if up {
            rates(310.0, 190.0)
        } else {
            rates(290.0, 205.0)
        };
        orders += world.settle(20);
    }
    assert_eq!(orders, 0);
}

/// Guards against desired state that is assumed to be observed: an engine that lost its model is
/// given one again.
#[test]
fn lost_replica_is_replaced() {
    let mut world = World::new(settings(), &settings());
    world.demands = vec![demand("drafting", 180.0, 1)];
    world.settle(60);
    let before = world.have("drafting", "");
    let holder = |(_, model): &(&UpstreamId, &Model)| model.report.loaded.is_some();
    let id = world
        .models
        .iter()
        .find(holder)
        .map(|(id, _)| id.clone())
        .unwrap();
    world.models.insert(id, Model::default());
    world.settle(20);
    assert_eq!(world.have("drafting", ""), before);
}

/// Guards against an order that is lost on its way and never repeated.
#[test]
fn lost_order_is_sent_again() {
    let mut world = World::new(settings(), &settings());
    world.demands = vec![demand("drafting", 10.0, 1)];
    let mut orders = Vec::new();
    for _ in 0..20 {
        world.acquire(0);
        world.plan(0).unwrap();
        orders.extend(world.transit.drain(..).map(|(at, _)| at));
        world.now += seconds(5);
    }
    assert_eq!(orders.len(), 8);
    assert_eq!(orders[2] - orders[0], settings().resend_interval);
}

/// Guards against a rollout that continues despite errors.
#[test]
fn rollout_halts_on_errors_after_its_first_replica() {
    let mut world = World::new(settings(), &settings());
    world.demands = vec![demand("drafting", 180.0, 1)];
    world.settle(60);
    world.demands = vec![demand("drafting", 180.0, 2)];
    world.settle(10);
    world.planners[0].record_responses("drafting", 2, 100, 30);
    world.settle(400);
    assert_eq!(
        world.planners[0].rollout_phase("drafting"),
        Some(Phase::Halted)
    );
    assert_eq!(updated(&world), 1);
}

/// Guards against a rollout that stops although nothing is wrong.
#[test]
fn rollout_without_errors_reaches_all_replicas() {
    let mut world = World::new(settings(), &settings());
    world.demands = vec![demand("drafting", 180.0, 1)];
    world.settle(60);
    let count = world.have("drafting", "");
    world.demands = vec![demand("drafting", 180.0, 2)];
    for _ in 0..10 {
        world.settle(70);
        world.planners[0].record_responses("drafting", 2, 100, 1);
    }
    assert_eq!(updated(&world), count);
    assert_eq!(
        world.planners[0].rollout_phase("drafting"),
        Some(Phase::Done)
    );
}

fn updated(world: &World) -> usize {
    let new = Some(ModelVersion {
        model: "drafting".into(),
        version: 2,
    });
    let reports = world.models.values();
    reports.filter(|model| model.report.loaded == new).count()
}

/// Guards against a step that proceeds without enough requests.
#[test]
fn rollout_step_needs_requests() {
    let mut rollout = Rollout::new(1, 2);
    rollout.advance(&settings(), seconds(0), 1, 10);
    rollout.advance(&settings(), seconds(3_600), 1, 10);
    assert_eq!(rollout.allowed_replicas(&settings(), 10), 1);
    rollout.record_responses(&settings(), 50, 0);
    rollout.advance(&settings(), seconds(3_600), 1, 10);
    rollout.advance(&settings(), seconds(3_600), 1, 10);
    assert_eq!(rollout.allowed_replicas(&settings(), 40), 4);
}

/// Guards against too few spare replicas for the loss of an availability zone.
#[test]
fn spare_replicas_cover_the_loss_of_any_zone() {
    for zones in 2..7 {
        for least in 1..40 {
            let count = zone_tolerant_replicas(least, least, zones);
            assert!(count - count.div_ceil(zones) >= least);
            let fewer = count - 1;
            assert!(fewer < least || fewer - fewer.div_ceil(zones) < least);
        }
    }
}
