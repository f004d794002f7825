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
struct SimulatedEngine {
    report: EngineState,
    fencing: u64,
}

/// Engines, two planners that hold the lease in turn, and orders in flight.
struct Simulation {
    settings: Settings,
    now: Duration,
    engines: Vec<Engine>,
    simulated: BTreeMap<UpstreamId, SimulatedEngine>,
    planners: [Planner; 2],
    leases: [Option<Lease>; 2],
    fencing: u64,
    demands: Vec<Demand>,
    in_flight: Vec<(Duration, Order)>,
    /// Time of the last order of each planner.
    last_order: [Option<Duration>; 2],
}

impl Simulation {
    /// The planners use `planning`; the simulated network keeps to the bounds in `settings`.
    fn new(settings: Settings, planning: &Settings) -> Self {
        let engines = engines();
        let simulated = engines
            .iter()
            .map(|e| (e.id.clone(), SimulatedEngine::default()));
        Self {
            settings,
            now: seconds(100),
            simulated: simulated.collect(),
            engines,
            planners: [
                Planner::new(planning.clone()),
                Planner::new(planning.clone()),
            ],
            leases: [None, None],
            fencing: 0,
            demands: MODELS.map(|model| demand(model, 50.0, 1)).into(),
            in_flight: Vec::new(),
            last_order: [None, None],
        }
    }

    fn reports(&self) -> BTreeMap<UpstreamId, EngineState> {
        let reports = self.simulated.iter();
        reports
            .map(|(id, model)| (id.clone(), model.report.clone()))
            .collect()
    }

    /// Lets a planner acquire or renew the lease, unless the other planner holds it.
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
            let gap = self.last_order[planner].map(|last| self.now - last);
            prop_assert!(gap.is_none_or(|gap| gap >= self.settings.load_interval));
            self.last_order[planner] = Some(self.now);
            self.in_flight.push((self.now, order));
        }
        Ok(())
    }

    /// Delivers an order. An engine that ignores fencing numbers acts on any.
    fn deliver(&mut self, index: usize) -> Result<(), TestCaseError> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let (_, order) = self.in_flight.remove(index % self.in_flight.len());
        let is_fencing = self
            .engines
            .iter()
            .any(|e| e.id == order.engine && e.is_fencing);
        let Some(model) = self.simulated.get_mut(&order.engine) else {
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

    /// Advances time; an order arrives at most one pause bound after it was decided.
    fn advance(&mut self, time: Duration) -> Result<(), TestCaseError> {
        let end = self.now + time;
        let bound = self.settings.pause_bound;
        while let Some(index) = self.in_flight.iter().position(|(at, _)| *at + bound <= end) {
            self.deliver(index)?;
        }
        self.now = end;
        Ok(())
    }

    fn finish_load(&mut self, engine: usize) {
        let id = &self.engines[engine % ENGINES].id;
        let report = self.simulated.get_mut(id).map(|model| &mut model.report);
        if let Some(report) = report.filter(|report| report.loading.is_some()) {
            report.loaded = report.loading.take();
        }
    }

    /// Runs one planner with engines that load at once, and returns the number of orders.
    fn run(&mut self, rounds: usize) -> usize {
        let mut orders = 0;
        for _ in 0..rounds {
            self.acquire(0);
            self.plan(0).unwrap();
            orders += self.in_flight.len();
            while !self.in_flight.is_empty() {
                self.deliver(0).unwrap();
            }
            (0..ENGINES).for_each(|engine| self.finish_load(engine));
            self.now += seconds(5);
        }
        orders
    }

    fn replicas(&self, model: &str, without: &str) -> usize {
        let remaining = self
            .engines
            .iter()
            .filter(|engine| *engine.zone != *without);
        let loaded = remaining.filter_map(|e| self.simulated[&e.id].report.loaded.as_ref());
        loaded.filter(|load| *load.model == *model).count()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Acquire(usize),
    Plan(usize),
    Deliver(usize),
    FinishLoad(usize),
    Crash(usize),
    Demand(usize, u32, u64),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..2_usize).prop_map(Step::Acquire),
        6 => (0..2_usize).prop_map(Step::Plan),
        3 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::FinishLoad),
        1 => (0..ENGINES).prop_map(Step::Crash),
        1 => (0..3_usize, 0..400_u32, 1..3_u64)
            .prop_map(|(model, rate, version)| Step::Demand(model, rate, version)),
        4 => (1..20_u64).prop_map(Step::Advance),
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
        let mut simulation = Simulation::new(settings(), planning);
        for step in steps {
            match step {
                Step::Acquire(planner) => simulation.acquire(planner),
                Step::Plan(planner) => simulation.plan(planner)?,
                Step::Deliver(index) => simulation.deliver(index)?,
                Step::FinishLoad(engine) => simulation.finish_load(engine),
                Step::Crash(engine) => {
                    let id = simulation.engines[engine].id.clone();
                    let model = simulation.simulated.get_mut(&id);
                    model
                        .into_iter()
                        .for_each(|m| m.report = EngineState::default());
                }
                Step::Demand(model, rate, version) => {
                    simulation.demands[model] = demand(MODELS[model], f64::from(rate), version);
                }
                Step::Advance(time) => simulation.advance(seconds(time))?,
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

/// Guards against a property that cannot fail: without the wait for lease time and pause bound,
/// engines that ignore fencing numbers act on old orders.
#[test]
fn property_detects_a_missing_wait() {
    let without_wait = Settings {
        lease_time: Duration::ZERO,
        pause_bound: Duration::ZERO,
        ..settings()
    };
    assert!(check(&without_wait).is_err());
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

/// Guards against a rollout that reloads several replicas of a model at the same time.
#[test]
fn rollout_waits_until_the_last_replica_is_ready() {
    let mut simulation = Simulation::new(settings(), &settings());
    simulation.demands = vec![demand("drafting", 400.0, 1)];
    simulation.run(100);
    let steps = vec![1.0];
    simulation.planners[0] = Planner::new(Settings {
        steps,
        ..settings()
    });
    simulation.demands = vec![demand("drafting", 400.0, 2)];
    let mut orders = 0;
    for _ in 0..50 {
        simulation.acquire(0);
        simulation.plan(0).unwrap();
        orders += simulation.in_flight.len();
        while !simulation.in_flight.is_empty() {
            simulation.deliver(0).unwrap();
        }
        simulation.now += seconds(5);
    }
    assert_eq!(orders, 1);
}

/// Guards against a placement that never settles, and against replicas that do not survive the
/// loss of an availability zone.
#[test]
fn placement_settles_and_survives_the_loss_of_a_zone() {
    let mut simulation = Simulation::new(settings(), &settings());
    // Most engines are in one availability zone, so that an even spread is not a coincidence.
    for (engine, zone) in simulation
        .engines
        .iter_mut()
        .zip([0, 0, 0, 0, 0, 1, 1, 2, 2])
    {
        engine.zone = format!("z{zone}").into();
    }
    simulation.demands = vec![demand("drafting", 180.0, 1), demand("desk", 60.0, 1)];
    simulation.run(60);
    for zone in ["z0", "z1", "z2"] {
        assert!(simulation.replicas("drafting", zone) >= 2, "{zone}");
        assert!(simulation.replicas("desk", zone) >= 1, "{zone}");
    }
    assert_eq!(simulation.run(100), 0);
}

/// Guards against reloads back and forth when the demand varies a little.
#[test]
fn small_changes_of_the_demand_move_nothing() {
    let mut simulation = Simulation::new(settings(), &settings());
    let rates = |a, b| vec![demand("drafting", a, 1), demand("desk", b, 1)];
    simulation.demands = rates(310.0, 190.0);
    simulation.run(60);
    let mut orders = 0;
    for round in 0..20 {
        let up = round % 2 == 1;
        simulation.demands = if up {
            rates(310.0, 190.0)
        } else {
            rates(290.0, 205.0)
        };
        orders += simulation.run(20);
    }
    assert_eq!(orders, 0);
}

/// Guards against a planner that takes its orders for the observed state: the replica of an engine
/// that lost its model has to be replaced.
#[test]
fn lost_replica_is_replaced() {
    let mut simulation = Simulation::new(settings(), &settings());
    simulation.demands = vec![demand("drafting", 180.0, 1)];
    simulation.run(60);
    let before = simulation.replicas("drafting", "");
    let holder = |(_, model): &(&UpstreamId, &SimulatedEngine)| model.report.loaded.is_some();
    let id = simulation
        .simulated
        .iter()
        .find(holder)
        .map(|(id, _)| id.clone())
        .unwrap();
    simulation.simulated.insert(id, SimulatedEngine::default());
    simulation.run(20);
    assert_eq!(simulation.replicas("drafting", ""), before);
}

/// Guards against an order that is lost in in_flight and never sent again.
#[test]
fn lost_order_is_sent_again() {
    let mut simulation = Simulation::new(settings(), &settings());
    simulation.demands = vec![demand("drafting", 10.0, 1)];
    let mut orders = Vec::new();
    for _ in 0..20 {
        simulation.acquire(0);
        simulation.plan(0).unwrap();
        orders.extend(simulation.in_flight.drain(..).map(|(at, _)| at));
        simulation.now += seconds(5);
    }
    assert_eq!(orders.len(), 8);
    assert_eq!(orders[2] - orders[0], settings().resend_interval);
}

/// Guards against a rollout that continues despite errors.
#[test]
fn rollout_halts_on_errors_after_its_first_replica() {
    let mut simulation = Simulation::new(settings(), &settings());
    simulation.demands = vec![demand("drafting", 180.0, 1)];
    simulation.run(60);
    simulation.demands = vec![demand("drafting", 180.0, 2)];
    simulation.run(10);
    simulation.planners[0].record_responses("drafting", 2, 100, 30);
    simulation.run(400);
    assert_eq!(
        simulation.planners[0].rollout_phase("drafting"),
        Some(Phase::Halted)
    );
    assert_eq!(updated(&simulation), 1);
}

/// Guards against a rollout that stops although errors are below the limit.
#[test]
fn rollout_without_errors_reaches_all_replicas() {
    let mut simulation = Simulation::new(settings(), &settings());
    simulation.demands = vec![demand("drafting", 180.0, 1)];
    simulation.run(60);
    let count = simulation.replicas("drafting", "");
    simulation.demands = vec![demand("drafting", 180.0, 2)];
    for _ in 0..10 {
        simulation.run(70);
        simulation.planners[0].record_responses("drafting", 2, 100, 1);
    }
    assert_eq!(updated(&simulation), count);
    assert_eq!(
        simulation.planners[0].rollout_phase("drafting"),
        Some(Phase::Done)
    );
}

fn updated(simulation: &Simulation) -> usize {
    let new = Some(ModelVersion {
        model: "drafting".into(),
        version: 2,
    });
    let reports = simulation.simulated.values();
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
