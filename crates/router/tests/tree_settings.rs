//! Tests that settings of the tree take effect in a running router.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Environment, KEY, complete, order, set, until},
    marigoldroute::Handle,
    marigoldroute_core::{
        budget::Share,
        config::{Change, Setting, Value},
    },
    marigoldroute_upstream::Fault,
    serde_json::json,
    std::time::Duration,
};

/// Large enough that the rest of the budget does not limit a mark.
const PURCHASED: u64 = 1_000_000_000;
/// Bytes of a prompt of 100,000 tokens.
const PROMPT_BYTES: usize = 400_000;

/// Changes a setting and waits until it is in effect.
async fn apply(router: &Handle, path: &str, setting: Setting, value: Value) {
    let change = Change {
        edits: vec![set(path, setting, value)],
        force: false,
    };
    let request = format!("set {setting} on {}", router.version());
    let version = router.propose(change, "test", &request).await.unwrap();
    until(|| async { router.version() >= version }).await;
}

async fn complete_long(router: &Handle) {
    let body = json!({
        "model": "drafting", "max_tokens": 16,
        "messages": [{"role": "user", "content": "a".repeat(PROMPT_BYTES)}],
    });
    let url = format!("http://{}/v1/chat/completions", router.address());
    let call = reqwest::Client::new()
        .post(url)
        .bearer_auth(KEY)
        .json(&body);
    let answer = call.send().await.unwrap();
    assert!(answer.status().is_success(), "{}", answer.status());
}

/// Returns the share of the budget in the last journal row.
async fn share(environment: &Environment) -> Share {
    environment.shares().await.pop().unwrap_or_default()
}

/// Guards against a setting `endurance` without effect, with which marks would follow the preset.
#[tokio::test]
async fn endurance_sets_the_lead_of_marks() {
    let environment = Environment::start(1, PURCHASED).await;
    let router = environment.router(1).await;
    let seconds = |seconds| Value::Seconds(seconds);
    apply(&router, "", Setting::Endurance, seconds(1)).await;
    complete_long(&router).await;
    // Grants of this size follow the measured demand, at most one prompt a second.
    until(|| async {
        let share = share(&environment).await;
        share.spent >= 100_000 && share.allocated > PURCHASED / 8
    })
    .await;
    let short = share(&environment).await;
    // The tokens of one reservation, plus a lead of one second or of the smallest grant.
    let bound = 2 * PROMPT_BYTES as u64;
    assert!(short.mark - short.spent <= bound, "{short:?}");
    apply(&router, "", Setting::Endurance, seconds(86_400)).await;
    complete_long(&router).await;
    until(|| async {
        let long = share(&environment).await;
        long.mark - long.spent > 10 * bound
    })
    .await;
    router.stop().await;
}

/// Guards against a setting `drain_limit` without effect, with which the stop would wait for the
/// flag's limit, here until the request ends.
#[tokio::test]
async fn drain_limit_bounds_a_planned_stop() {
    let environment = Environment::start(1, PURCHASED).await;
    let settings = marigoldroute::Settings {
        upstream_timeout: Duration::from_secs(60),
        ..environment.settings(1)
    };
    let router = environment.router_with(settings).await;
    apply(&router, "", Setting::DrainLimit, Value::Seconds(1)).await;
    environment.engines[0].inject([Fault::Silent]);
    let address = router.address();
    let call = tokio::spawn(async move { complete(address, true, None).await });
    until(|| async { environment.runs() == 1 }).await;
    router.stop().await;
    assert!(!call.is_finished(), "the stop waited for the request");
    call.abort();
}

/// Guards against a workspace that uses models or services beyond the setting `allowed`.
#[tokio::test]
async fn allowed_names_limit_a_workspace() {
    let environment = Environment::start(1, PURCHASED).await;
    let router = environment.router(1).await;
    let address = router.address();
    let names = Value::Names(vec!["orders".into()]);
    apply(&router, "kolkata", Setting::Allowed, names).await;
    let refused = complete(address, false, None).await.unwrap();
    let expected = Some(("forbidden".into(), "not_run".into()));
    assert_eq!(refused.error(), expected, "{}", refused.body);
    let url = format!("http://{address}/v1/models");
    let listed = reqwest::Client::new().get(url).bearer_auth(KEY);
    let listed = listed.send().await.unwrap().text().await.unwrap();
    assert!(!listed.contains("drafting"), "{listed}");
    let accepted = order(address, "order-1").await.unwrap();
    assert_eq!(accepted.status, 200, "{}", accepted.body);
    let names = Value::Names(vec!["drafting".into()]);
    apply(&router, "kolkata", Setting::Allowed, names).await;
    let refused = order(address, "order-2").await.unwrap();
    assert_eq!(refused.error(), expected, "{}", refused.body);
    assert_eq!(environment.runs(), 1);
    router.stop().await;
}
