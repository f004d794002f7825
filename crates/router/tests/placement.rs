//! Tests of the placement of models, with routers in the test's process.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{
        Environment, add, complete,
        placed::{Numbers, apply, assert_fenced, engines, placement, store},
        set, until,
    },
    marigoldroute::Settings,
    marigoldroute_core::{
        config::{Kind, Setting, Value},
        route::PolicyName,
    },
    marigoldroute_upstream::{LoadFault, Rate, WeightStore},
    serde_json::json,
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

const PURCHASED: u64 = 100_000;
/// Tries until all engines were probed; a try takes 100 ms or more, and engines are probed each
/// second.
const PROBING_TICKS: usize = 100;
/// Tries until the placement has made progress; a try takes as long as a round.
const ROUND_TICKS: usize = 200;
const FOUR: [Numbers; 4] = [
    Numbers::Ignored,
    Numbers::Checked,
    Numbers::Ignored,
    Numbers::Checked,
];
const CHECKED: [Numbers; 4] = [Numbers::Checked; 4];

/// Guards against orders to a fleet without placement settings, against a placement that does not
/// converge, and against loads above the rate of the weight store.
#[tokio::test(flavor = "multi_thread")]
async fn orders_converge_to_the_wanted_replicas() {
    // A transfer takes longer than a round, so that one order per round would exceed the rate.
    let store = WeightStore::new(Rate {
        concurrent: 1,
        transfer: Duration::from_millis(500),
        ..Rate::default()
    });
    let environment = Environment::with_engines(engines(&FOUR, &store), PURCHASED).await;
    let router = environment.router(1).await;
    // A journal row is written every 100 ms, as often as a round of the placement takes place.
    complete(router.address(), true, None).await.unwrap();
    until(|| async { environment.platform.counters().writes > 40 }).await;
    assert_eq!(environment.lease().await, None);
    assert_eq!(environment.acted(), 0);
    let mut edits = placement(&FOUR);
    edits.push(set("", Setting::ConcurrentLoads, Value::Count(1)));
    apply(&router, "placement", edits).await;
    environment.served(3, 1).await;
    environment.rounds(10).await;
    assert_eq!(environment.acted(), 3, "orders after the placement settled");
    assert_eq!((store.transfers().refused, store.transfers().peak), (0, 1));
    assert_fenced(&environment);
    let url = format!("http://{}/metrics", router.address());
    let metrics = reqwest::get(url).await.unwrap().text().await.unwrap();
    let sent = "marigoldroute_placement_orders_total{result=\"sent\"} 3\n";
    assert!(metrics.contains(sent), "{metrics}");
    router.stop().await;
    let (lease, _) = environment.lease().await.unwrap();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    assert!(lease.until <= wall.as_secs(), "the lease was not given up");
    let other = environment.router(2).await;
    until(|| async { environment.lease_router().await == Some(2) }).await;
    let (next, _) = environment.lease().await.unwrap();
    assert_eq!(next.fencing, lease.fencing + 1);
    other.stop().await;
}

/// Guards against a model that is loaded twice because the answer to its order was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_leads_to_no_double_load() {
    let store = store(8);
    let environment = Environment::with_engines(engines(&CHECKED, &store), PURCHASED).await;
    for engine in &environment.engines {
        engine.inject_load_faults([LoadFault::LoseAnswer]);
    }
    let router = environment.router(1).await;
    apply(&router, "placement", placement(&CHECKED)).await;
    environment.served(3, 1).await;
    environment.rounds(5).await;
    assert_eq!((environment.acted(), store.transfers().complete), (3, 3));
    router.stop().await;
}

/// Guards against a planner that takes the desired state for the observed one: after an engine
/// failed to load, and after one lost its model.
#[tokio::test(flavor = "multi_thread")]
async fn lost_model_is_loaded_again() {
    // Long enough that a report shows the load in progress. An order without any effect in the
    // reports is repeated only after 30 s.
    let store = WeightStore::new(Rate {
        transfer: Duration::from_millis(400),
        ..Rate::default()
    });
    let environment = Environment::with_engines(engines(&CHECKED[..3], &store), PURCHASED).await;
    environment.engines[1].inject_load_faults([LoadFault::FailLoad]);
    let router = environment.router(1).await;
    apply(&router, "placement", placement(&CHECKED[..3])).await;
    environment.served(3, 1).await;
    assert_eq!(environment.acted(), 4);
    environment.engines[2].drop_model();
    environment.served(3, 1).await;
    assert_eq!(environment.acted(), 5);
    router.stop().await;
}

/// Guards against an engine that blocks orders to all others because its fencing number is greater
/// than the current one, as happens after the rows of the table service were restored.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_refuses_does_not_hold_up_the_others() {
    let environment = Environment::with_engines(engines(&CHECKED, &store(8)), PURCHASED).await;
    let url = format!("{}/v1/models/load", environment.urls[0]);
    let order = json!({"model": "drafting", "version": 1, "fencing": 1_000_000});
    let taken = reqwest::Client::new().post(url).json(&order).send().await;
    assert!(taken.unwrap().status().is_success());
    environment.engines[0].drop_model();
    let router = environment.router(1).await;
    apply(&router, "placement", placement(&CHECKED)).await;
    let replicas = || environment.serving().len();
    let mut tick = tokio::time::interval(Duration::from_millis(100));
    for _ in 0..ROUND_TICKS {
        tick.tick().await;
        if replicas() >= 2 {
            break;
        }
    }
    // The refused order counts as the third replica until it is repeated.
    assert!(replicas() >= 2, "{:?}", environment.serving());
    assert!(environment.engines[0].refused_orders() > 0);
    router.stop().await;
}

/// Guards against a request that is sent to an engine without the model.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_to_engines_that_hold_the_model() {
    let store = store(8);
    let environment = Environment::with_engines(engines(&CHECKED, &store), PURCHASED).await;
    // The adaptive policy would send equal prompts to one engine.
    let settings = Settings {
        policy: PolicyName::RoundRobin,
        ..environment.settings(1)
    };
    let router = environment.router_with(settings).await;
    apply(&router, "placement", placement(&CHECKED)).await;
    environment.served(3, 1).await;
    let address = router.address();
    let url = format!("http://{address}/metrics");
    let refusals = || async {
        let text = reqwest::get(&url).await.unwrap().text().await.unwrap();
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with("marigoldroute_upstream_refusals_total"));
        line.unwrap().to_owned()
    };
    let batch = |count: usize| async move {
        let mut whole = 0;
        for _ in 0..count {
            let answer = complete(address, true, None).await.unwrap();
            whole += usize::from(answer.is_whole_stream());
        }
        whole
    };
    // Before a probe has shown what an engine holds, the engine may get requests that it refuses.
    let mut tick = tokio::time::interval(Duration::from_millis(100));
    for _ in 0..PROBING_TICKS {
        tick.tick().await;
        let before = refusals().await;
        if batch(8).await == 8 && refusals().await == before {
            break;
        }
    }
    let expected = refusals().await;
    assert_eq!(batch(40).await, 40);
    assert_eq!(refusals().await, expected);
    // Without placement only the settings count, and the engine refuses what it does not hold.
    let off = vec![set("drafting", Setting::Placement, Value::Flag(false))];
    apply(&router, "off", off).await;
    until(|| async {
        complete(address, true, None).await.unwrap();
        refusals().await != expected
    })
    .await;
    router.stop().await;
}

/// Guards against an order for a model that the engine must not hold, and against a model without a
/// replica while another one has more than it needs.
#[tokio::test(flavor = "multi_thread")]
async fn second_model_gets_the_engines_that_may_hold_it() {
    let store = store(8);
    let environment = Environment::with_engines(engines(&CHECKED, &store), PURCHASED).await;
    let router = environment.router(1).await;
    let mut edits = placement(&CHECKED);
    let both = vec!["drafting".into(), "desk".into()];
    edits.extend([
        add("desk", Kind::Model),
        set("desk", Setting::Placement, Value::Flag(true)),
        set("desk", Setting::ModelVersion, Value::Count(5)),
        set("desk", Setting::Demand, Value::Tokens(50)),
        set("desk", Setting::ReplicaRate, Value::Tokens(100)),
        set("engine-0", Setting::Serves, Value::Names(both)),
    ]);
    apply(&router, "placement", edits).await;
    until(|| async {
        let desk = environment.engines[0].holding().loaded;
        desk.is_some_and(|loaded| (loaded.model.as_str(), loaded.version) == ("desk", 5))
    })
    .await;
    environment.served(3, 1).await;
    environment.rounds(5).await;
    assert_eq!(environment.serving(), [(1, 1), (2, 1), (3, 1)]);
    router.stop().await;
}
