//! Tests of the progress of a withdrawal with several routers and streams that are held open.

#![allow(clippy::unwrap_used)]

mod fleet;
mod operator;

use {
    fleet::{Environment, ready, until},
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::hash_key,
    operator::Operator,
    reqwest::{Client, Response},
    serde_json::{Value, json},
    std::time::Duration,
};

async fn start(environment: &Environment, number: usize) -> Handle {
    let settings = Settings {
        admin_key_hash: Some(hash_key(operator::KEY).into()),
        // A stream that the engine holds is silent for longer than the fleet's default.
        upstream_timeout: Duration::from_secs(60),
        ..environment.settings(number)
    };
    let router = marigoldroute::start(settings).await.unwrap();
    until(|| async {
        let proposed = router.propose(environment.change(), "test", "first").await;
        proposed.is_ok()
    })
    .await;
    ready(router.address()).await;
    router
}

/// Opens a stream and reads its first token, after which the engine holds it.
async fn open(router: &Handle) -> Response {
    let url = format!("http://{}/v1/chat/completions", router.address());
    let body = json!({
        "model": "drafting", "stream": true, "max_tokens": 16,
        "messages": [{"role": "user", "content": "Draft a work sheet."}],
    });
    let call = Client::new().post(url).bearer_auth(fleet::KEY).json(&body);
    let mut stream = call.send().await.unwrap();
    assert_eq!(stream.status(), 200);
    assert!(stream.chunk().await.unwrap().is_some());
    stream
}

async fn progress(operator: &Operator, version: &Value) -> Value {
    let path = format!("/progress?version={version}");
    operator.get(&path).await.accepted()
}

/// Guards against a withdrawal that is reported as done while a request runs through a host other
/// than the queried one, and against requests that are counted although their upstream is in
/// service.
#[tokio::test(flavor = "multi_thread")]
async fn each_host_shows_what_runs_on_withdrawn_upstreams() {
    let environment = Environment::start(2, 100_000).await;
    let mut routers = Vec::new();
    for number in 0..3 {
        routers.push(start(&environment, number).await);
    }
    let asked = Operator::at(routers[2].address());
    environment
        .engines
        .iter()
        .for_each(|engine| engine.pause_at(Some(1)));
    let streams = [
        open(&routers[0]).await,
        open(&routers[0]).await,
        open(&routers[1]).await,
    ];
    let counts = |counts: [u64; 3]| {
        let host = |(number, count)| json!({"host": format!("router-{number}"), "requests": count});
        Value::Array(counts.into_iter().enumerate().map(host).collect())
    };
    // Only the model is withdrawn: the engines stay in service for the plain service.
    let selector = json!({"models": ["drafting"]});
    let body = json!({"selector": selector, "force": true, "running": "finish"});
    let withdrawn = asked.make("w-1", "/withdrawals", body).await;
    let version = &withdrawn["version"];
    until(|| async { progress(&asked, version).await["running"] == counts([2, 1, 0]) }).await;
    let shown = progress(&asked, version).await;
    assert_eq!(shown["idle"], false, "{shown}");
    assert_eq!(shown["everywhere"], true, "{shown}");

    let restored = asked.make("r-1", "/restorations", json!({"selector": selector}));
    let version = &restored.await["version"];
    until(|| async { progress(&asked, version).await["idle"] == true }).await;
    assert_eq!(
        progress(&asked, version).await["running"],
        counts([0, 0, 0])
    );

    let selector = json!({"upstreams": ["engine-0", "engine-1"]});
    let body = json!({"selector": selector, "force": true, "running": "finish"});
    let withdrawn = asked.make("w-2", "/withdrawals", body).await;
    let version = &withdrawn["version"];
    until(|| async { progress(&asked, version).await["running"] == counts([2, 1, 0]) }).await;

    environment
        .engines
        .iter()
        .for_each(|engine| engine.pause_at(None));
    for stream in streams {
        let rest = stream.text().await.unwrap();
        assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
    }
    until(|| async { progress(&asked, version).await["idle"] == true }).await;
    assert_eq!(
        progress(&asked, version).await["running"],
        counts([0, 0, 0])
    );
}
