//! Tests of the placement of models with router processes that are paused, resumed and killed.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{
        Environment,
        placed::{Numbers, apply, assert_fenced, engines, placement, store},
        process::Process,
        set, until,
    },
    marigoldroute::Handle,
    marigoldroute_core::{
        config::{Setting, Value},
        placement::{HALT_PREFIX, Halt},
    },
    nix::sys::signal::Signal,
    serde_json::{Value as Json, json},
    std::collections::BTreeMap,
};

const PURCHASED: u64 = 100_000;
const LEASE: [&str; 4] = [
    "--placement-interval-ms",
    "100",
    "--placement-lease-ms",
    "2000",
];

/// Starts two routers that can hold the lease, and one that only makes changes.
async fn start(
    environment: &Environment,
    pause_bound_ms: &str,
    kinds: &[Numbers],
) -> (BTreeMap<usize, Process>, Handle) {
    let operator = environment.bystander().await;
    let arguments = [&LEASE[..], &["--pause-bound-ms", pause_bound_ms]].concat();
    let mut routers = BTreeMap::new();
    for number in 1..=2 {
        let router = Process::start_with(environment, number, &arguments).await;
        routers.insert(number, router);
    }
    until(|| async { environment.sees(operator.address(), 3).await }).await;
    apply(&operator, "placement", placement(kinds)).await;
    until(|| async { environment.lease_router().await.is_some() }).await;
    (routers, operator)
}

/// Waits until a router other than `number` holds the lease.
async fn taken_from(environment: &Environment, number: usize) {
    until(|| async { environment.lease_router().await != Some(number) }).await;
}

/// Guards against engines of either kind that act on an order of a paused lease holder after one of
/// its successor. Orders of the first holder are still in transit when the second one starts.
#[tokio::test(flavor = "multi_thread")]
async fn orders_of_a_stopped_holder_come_too_late() {
    let kinds = [Numbers::Ignored, Numbers::Checked];
    let environment = Environment::with_engines(engines(&kinds, &store(8)), PURCHASED).await;
    let [ignoring, checking] = [&environment.engines[0], &environment.engines[1]];
    environment
        .engines
        .iter()
        .for_each(|engine| engine.hold_orders());
    let (routers, operator) = start(&environment, "10000", &kinds).await;
    until(|| async { ignoring.orders_in_transit() == 1 && checking.orders_in_transit() == 1 })
        .await;
    let first = environment.lease_router().await.unwrap();
    routers[&first].signal(Signal::SIGSTOP);
    environment
        .engines
        .iter()
        .for_each(|engine| engine.pass_orders());
    taken_from(&environment, first).await;
    until(|| async { !checking.accepted_orders().is_empty() }).await;
    // The orders of the first holder arrive before the assumed bound on pauses has passed.
    environment
        .engines
        .iter()
        .for_each(|engine| engine.release_orders());
    routers[&first].signal(Signal::SIGCONT);
    let arrived = || checking.refused_orders() + checking.accepted_orders().len() as u64;
    until(|| async { arrived() == 2 && !ignoring.accepted_orders().is_empty() }).await;
    assert_eq!(checking.refused_orders(), 1);
    until(|| async { environment.serving().len() == 2 }).await;
    // The second holder sends an order to the engine that ignores fencing numbers.
    ignoring.drop_model();
    until(|| async { ignoring.accepted_orders().len() >= 2 }).await;
    environment.rounds(10).await;
    assert_fenced(&environment);
    let (lease, _) = environment.lease().await.unwrap();
    let numbers =
        [ignoring, checking].map(|engine| engine.accepted_orders().last().unwrap().fencing);
    assert_eq!(numbers, [lease.fencing, lease.fencing]);
    operator.stop().await;
}

/// Guards against orders of a lease holder that was paused at any point of its round for longer
/// than its lease, and then resumed.
#[tokio::test(flavor = "multi_thread")]
async fn holders_that_are_stopped_in_turn_stay_fenced() {
    let kinds = [Numbers::Ignored, Numbers::Checked, Numbers::Checked];
    let environment = Environment::with_engines(engines(&kinds, &store(8)), PURCHASED).await;
    let (routers, operator) = start(&environment, "500", &kinds).await;
    environment.served(3, 1).await;
    let mut last = 0;
    for _ in 0..4 {
        let holder = environment.lease_router().await.unwrap();
        environment
            .engines
            .iter()
            .for_each(|engine| engine.drop_model());
        routers[&holder].signal(Signal::SIGSTOP);
        taken_from(&environment, holder).await;
        routers[&holder].signal(Signal::SIGCONT);
        let (lease, _) = environment.lease().await.unwrap();
        assert!(lease.fencing > last, "{} after {last}", lease.fencing);
        last = lease.fencing;
        until(|| async { environment.sees(operator.address(), 3).await }).await;
        environment.served(3, 1).await;
    }
    assert_fenced(&environment);
    operator.stop().await;
}

/// Returns the number of log lines about orders; checks that each states the choice and its reason.
fn logged(lines: &[String]) -> usize {
    // The last line of a killed process can be incomplete.
    let lines = lines
        .iter()
        .filter_map(|line| serde_json::from_str(line).ok());
    let is_order =
        |line: &Json| line["target"] == "marigoldroute::placement" && line["message"] == "order";
    let orders: Vec<Json> = lines.filter(is_order).collect();
    for order in &orders {
        assert!(order["engine"].as_str().unwrap().starts_with("engine-"));
        assert_eq!(
            (&order["model"], &order["considered"]),
            (&json!("drafting"), &json!(3))
        );
        assert!([1, 2].contains(&order["version"].as_u64().unwrap()));
        assert!(!order["reason"].as_str().unwrap().is_empty());
        assert_eq!(order["result"], "sent");
    }
    orders.len()
}

/// Guards against orders without an explanatory log line, and against a halted rollout that the
/// next lease holder starts again.
#[tokio::test(flavor = "multi_thread")]
async fn halted_rollout_stays_halted_after_the_holder_died() {
    let kinds = [Numbers::Checked; 3];
    let environment = Environment::with_engines(engines(&kinds, &store(8)), PURCHASED).await;
    let (mut routers, operator) = start(&environment, "500", &kinds).await;
    environment.served(3, 1).await;
    let version = |version| {
        vec![set(
            "drafting",
            Setting::ModelVersion,
            Value::Count(version),
        )]
    };
    apply(&operator, "two", version(2)).await;
    environment.served(1, 2).await;
    let is_new = |(number, version): (usize, u64)| (version == 2).then_some(number);
    let updated = environment.serving().into_iter().find_map(is_new).unwrap();
    environment.fail(updated, 25).await;
    let halts = || async { environment.client.scan(HALT_PREFIX, "", 10).await.unwrap() };
    until(|| async { !halts().await.is_empty() }).await;
    let halt = Halt::decode(&halts().await[0]).unwrap();
    assert_eq!((&*halt.model, halt.from, halt.to), ("drafting", 1, 2));
    let holder = environment.lease_router().await.unwrap();
    let killed = routers.remove(&holder).unwrap();
    killed.signal(Signal::SIGKILL);
    assert_eq!(logged(&killed.wait().1), 4);
    // The engine loses its counts of errors with the model, so that only the record shows the halt.
    environment.engines[updated].drop_model();
    taken_from(&environment, holder).await;
    environment.served(3, 1).await;
    environment.rounds(20).await;
    assert_eq!(environment.serving(), [(0, 1), (1, 1), (2, 1)]);
    let orders = environment
        .engines
        .iter()
        .flat_map(|engine| engine.accepted_orders());
    let updates = orders.filter(|order| order.load.version == 2).count();
    assert_eq!(updates, 1, "the rollout began again");
    // An operator ends the halt with another version.
    apply(&operator, "three", version(3)).await;
    environment.served(1, 3).await;
    until(|| async { halts().await.is_empty() }).await;
    operator.stop().await;
}
