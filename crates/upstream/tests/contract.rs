//! Contract tests of the engines' protocol for load orders and of the weight store, run against the
//! stand-ins.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute_upstream::{
        Holding, Load, LoadFault, Loader, Model, Order, Rate, Settings, StandIn, Transfers,
        WeightSource, WeightStore,
    },
    reqwest::{Client, StatusCode},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of a call whose answer is lost by an injected fault.
const LOST_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether an engine checks the fencing numbers of orders.
#[derive(Clone, Copy)]
enum Fencing {
    Checked,
    Ignored,
}

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn engine(fencing: Fencing, weights: WeightSource) -> (StandIn, String) {
    let loader = Loader {
        is_fencing: matches!(fencing, Fencing::Checked),
        start_time: Duration::from_millis(10),
        weights,
    };
    let engine = StandIn::with_loader(Settings::default(), loader);
    let (address, serve) = engine.bind(local()).await.unwrap();
    tokio::spawn(serve);
    (engine, format!("http://{address}"))
}

async fn store(rate: Rate) -> (WeightStore, String) {
    let store = WeightStore::new(rate);
    let (address, serve) = store.bind(local()).await.unwrap();
    tokio::spawn(serve);
    (store, format!("http://{address}"))
}

fn model(version: u64) -> Model {
    Model {
        model: "drafting".into(),
        version,
    }
}

async fn send(url: &str, version: u64, fencing: u64) -> reqwest::Result<StatusCode> {
    let order = Order {
        load: model(version),
        fencing,
    };
    let call = Client::new().post(format!("{url}/v1/models/load"));
    let response = call.json(&order).timeout(LOST_TIMEOUT * 10).send().await?;
    Ok(response.status())
}

async fn report(url: &str) -> Holding {
    let response = reqwest::get(format!("{url}/v1/load")).await.unwrap();
    response.json::<Load>().await.unwrap().holding.unwrap()
}

/// Waits until the engine is not loading and returns the loaded model; the test runner's timeout
/// ends a wait that never succeeds.
async fn wait_for_load(url: &str) -> Option<Model> {
    let mut tick = tokio::time::interval(Duration::from_millis(10));
    loop {
        tick.tick().await;
        let holding = report(url).await;
        if holding.loading.is_none() {
            return holding.loaded;
        }
    }
}

/// Guards against a report that shows a model before it is loaded.
#[tokio::test]
async fn model_without_weights_is_reported_as_loading() {
    let (_, base) = store(Rate {
        concurrent: 0,
        ..Rate::default()
    })
    .await;
    let (_, url) = engine(Fencing::Checked, WeightSource::Remote(base.into())).await;
    assert_eq!(report(&url).await, Holding::default());
    assert_eq!(send(&url, 1, 7).await.unwrap(), StatusCode::ACCEPTED);
    let expected = Holding {
        loading: Some(model(1)),
        ..Holding::default()
    };
    assert_eq!(report(&url).await, expected);
}

/// Guards against an engine that loads without the weight store, or never completes a load.
#[tokio::test]
async fn model_is_loaded_from_the_weight_store() {
    let (store, base) = store(Rate::default()).await;
    let (_, url) = engine(Fencing::Checked, WeightSource::Remote(base.into())).await;
    assert_eq!(send(&url, 1, 7).await.unwrap(), StatusCode::ACCEPTED);
    assert_eq!(wait_for_load(&url).await, Some(model(1)));
    assert_eq!(store.transfers().complete, 1);
}

/// Guards against an engine that checks fencing numbers but accepts a lower one, and against a
/// stand-in without the check that refuses it.
#[tokio::test]
async fn old_numbers_are_refused_only_where_they_are_checked() {
    let cases = [
        (Fencing::Checked, StatusCode::CONFLICT, 2, 1),
        (Fencing::Ignored, StatusCode::ACCEPTED, 1, 0),
    ];
    for (fencing, expected, version, refused) in cases {
        let weights = WeightSource::Local(WeightStore::default());
        let (engine, url) = engine(fencing, weights).await;
        assert_eq!(send(&url, 2, 7).await.unwrap(), StatusCode::ACCEPTED);
        assert_eq!(send(&url, 1, 6).await.unwrap(), expected);
        assert_eq!(wait_for_load(&url).await, Some(model(version)));
        assert_eq!(engine.refused_orders(), refused);
        assert_eq!(send(&url, 3, 7).await.unwrap(), StatusCode::ACCEPTED);
    }
}

/// Guards against a stand-in that ignores the order when it loses the answer, which would hide
/// double loads.
#[tokio::test]
async fn lost_answer_follows_an_effective_order() {
    let weights = WeightSource::Local(WeightStore::default());
    let (engine, url) = engine(Fencing::Checked, weights).await;
    engine.inject_load_faults([LoadFault::LoseAnswer]);
    let call = Client::new().post(format!("{url}/v1/models/load"));
    let order = json!({"model": "drafting", "version": 1, "fencing": 1});
    let lost = call.json(&order).timeout(LOST_TIMEOUT).send().await;
    assert!(lost.unwrap_err().is_timeout());
    assert_eq!(wait_for_load(&url).await, Some(model(1)));
    assert_eq!(engine.accepted_orders().len(), 1);
}

/// Guards against a report that still shows a model after its load failed or it was dropped.
#[tokio::test]
async fn failed_load_and_lost_model_leave_nothing() {
    let weights = WeightSource::Local(WeightStore::default());
    let (engine, url) = engine(Fencing::Checked, weights).await;
    engine.inject_load_faults([LoadFault::FailLoad]);
    send(&url, 1, 1).await.unwrap();
    assert_eq!(wait_for_load(&url).await, None);
    send(&url, 1, 1).await.unwrap();
    assert_eq!(wait_for_load(&url).await, Some(model(1)));
    engine.drop_model();
    assert_eq!(report(&url).await, Holding::default());
}

/// Guards against an engine that runs a request for a model that it does not hold.
#[tokio::test]
async fn request_for_another_model_does_not_run() {
    let weights = WeightSource::Local(WeightStore::default());
    let (engine, url) = engine(Fencing::Checked, weights).await;
    send(&url, 1, 1).await.unwrap();
    wait_for_load(&url).await;
    for (model, status) in [("desk", 503), ("drafting", 200)] {
        let call = Client::new().post(format!("{url}/v1/completions"));
        let body = json!({"model": model, "prompt": "Draft.", "max_tokens": 2});
        let response = call.header("x-request-id", model).json(&body).send().await;
        let response = response.unwrap();
        assert_eq!(response.status().as_u16(), status, "{model}");
        let is_not_run = response.headers().contains_key("x-not-run");
        assert_eq!(is_not_run, status == 503, "{model}");
    }
    assert_eq!(engine.records().len(), 1);
    let holding = report(&url).await;
    assert_eq!(
        (holding.requests, holding.errors, holding.tokens),
        (1, 0, 2)
    );
}

/// Guards against a weight store that accepts more concurrent transfers than its limit.
#[tokio::test]
async fn weight_store_refuses_too_many_transfers_at_a_time() {
    let (store, base) = store(Rate {
        concurrent: 1,
        transfer: Duration::from_secs(3_600),
        ..Rate::default()
    })
    .await;
    let url = format!("{base}/v1/weights/drafting/1");
    let first = tokio::spawn(reqwest::get(url.clone()));
    let mut tick = tokio::time::interval(Duration::from_millis(10));
    while store.transfers().running == 0 {
        tick.tick().await;
    }
    let second = reqwest::get(&url).await.unwrap();
    assert_eq!(second.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!((store.transfers().peak, store.transfers().refused), (1, 1));
    first.abort();
}

/// Guards against a weight store that accepts transfers with less than the minimum interval between
/// their starts.
#[tokio::test]
async fn weight_store_refuses_transfers_in_quick_succession() {
    let (store, base) = store(Rate {
        interval: Duration::from_secs(3_600),
        ..Rate::default()
    })
    .await;
    let url = format!("{base}/v1/weights/drafting/1");
    for status in [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS] {
        assert_eq!(reqwest::get(&url).await.unwrap().status(), status);
    }
    let expected = Transfers {
        complete: 1,
        refused: 1,
        running: 0,
        peak: 1,
    };
    assert_eq!(store.transfers(), expected);
}

/// Guards against an engine that does not retry a transfer that the weight store refused.
#[tokio::test]
async fn engine_repeats_a_refused_transfer() {
    let (store, base) = store(Rate {
        concurrent: 1,
        ..Rate::default()
    })
    .await;
    let weights = WeightSource::Remote(base.into());
    let (_, first) = engine(Fencing::Checked, weights.clone()).await;
    let (_, second) = engine(Fencing::Checked, weights).await;
    send(&first, 1, 1).await.unwrap();
    send(&second, 1, 1).await.unwrap();
    assert_eq!(wait_for_load(&first).await, Some(model(1)));
    assert_eq!(wait_for_load(&second).await, Some(model(1)));
    assert_eq!(store.transfers().complete, 2);
    assert_eq!(store.transfers().peak, 1);
}
