//! `marigoldctl withdraw --wait-idle` while a stream runs on the batch.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::hash_key,
    marigoldroute_store::StandIn as Platform,
    marigoldroute_upstream::StandIn as Engine,
    serde_json::json,
    std::{
        net::SocketAddr,
        process::{Command, Output},
        time::Duration,
    },
};

const KEY: &str = "key-of-the-operator";
const WORKSPACE_KEY: &str = "workspace-key";

async fn run(router: &Handle, arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldctl"));
    command.env_clear().args(arguments.split(' '));
    command.args(["--key", KEY, "--url"]);
    command.arg(format!("http://{}", router.address()));
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.unwrap().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Starts a router with a model on one engine and a workspace that may use it.
async fn start(engine: &Engine) -> Handle {
    let local: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (platform, serve) = Platform::default().bind(local).await.unwrap();
    tokio::spawn(serve);
    let (upstream, serve) = engine.bind(local).await.unwrap();
    tokio::spawn(serve);
    let settings = Settings {
        host: "router-1".into(),
        listen: local,
        listen_peers: local,
        platform: format!("http://{platform}").into(),
        fleet_keys: vec!["a-fleet-key-for-the-tests".into()],
        admin_key_hash: Some(hash_key(KEY).into()),
        ..Settings::default()
    };
    let router = marigoldroute::start(settings).await.unwrap();
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("withdraw-tree.json");
    let tree = json!({"edits": [
        {"set": {"path": "", "setting": "region", "value": {"text": "region-1"}}},
        {"set": {"path": "", "setting": "availability_zone", "value": {"text": "zone-1"}}},
        {"set": {"path": "", "setting": "output_limit", "value": {"tokens": 16}}},
        {"add": {"path": "drafting", "kind": "model"}},
    ]});
    std::fs::write(&file, tree.to_string()).unwrap();
    let hash = hash_key(WORKSPACE_KEY);
    for arguments in [
        format!("settings apply {}", file.display()),
        format!("upstreams add drafting/engine-a --base-url http://{upstream}"),
        "budgets top-up hems 100000".to_owned(),
        format!("workspaces create kolkata --budget hems --key-hash {hash}"),
        "progress --wait".to_owned(),
    ] {
        let output = run(&router, &arguments).await;
        assert_eq!(output.status.code(), Some(0), "{arguments}: {output:?}");
    }
    router
}

/// Opens a stream as soon as the router takes work, and reads its first token.
async fn open(router: &Handle) -> reqwest::Response {
    let body = json!({"model": "drafting", "stream": true, "prompt": "Draft a work sheet."});
    let url = format!("http://{}/v1/completions", router.address());
    let call = reqwest::Client::new().post(url).bearer_auth(WORKSPACE_KEY);
    let call = call.json(&body);
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    loop {
        tick.tick().await;
        let mut stream = call.try_clone().unwrap().send().await.unwrap();
        if stream.status().is_success() {
            assert!(stream.chunk().await.unwrap().is_some());
            return stream;
        }
    }
}

/// Guards against a wait that ends while work runs on the batch, and against one that does not
/// say where.
#[tokio::test(flavor = "multi_thread")]
async fn the_wait_for_idle_ends_with_the_last_stream() {
    let engine = Engine::default();
    let router = start(&engine).await;
    engine.pause_at(Some(1));
    let stream = open(&router).await;

    let withdraw = "withdraw --upstream engine-a --force --wait --wait-seconds 60";
    let done = run(&router, withdraw).await;
    assert_eq!(done.status.code(), Some(0), "{done:?}");
    let late = run(&router, "progress --wait-idle --wait-seconds 1").await;
    assert_eq!(late.status.code(), Some(8), "{late:?}");
    let shown = text(&late.stderr);
    let line = "not on: none; running on withdrawn upstreams: router-1 (1)";
    assert!(shown.contains(line), "{shown}");

    let withdraw = "withdraw --upstream engine-a --force --wait-idle --output json";
    let (idle, rest) = tokio::join!(run(&router, withdraw), async {
        engine.pause_at(None);
        stream.text().await.unwrap()
    });
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
    assert_eq!(idle.status.code(), Some(0), "{idle:?}");
    let shown = text(&run(&router, "progress --output json").await.stdout);
    let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(shown["idle"], true, "{shown}");
}
