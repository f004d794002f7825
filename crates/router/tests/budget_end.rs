//! Tests of requests that the rest of a budget covers only in part.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Answer, BUDGET, Environment, KEY, set, until},
    marigoldroute_core::config::{Change, Setting, Value},
    marigoldroute_upstream::Fault,
    serde_json::json,
};

/// Tokens that the budget has left for an answer.
const TOKENS_LEFT: u64 = 10;
/// Output token limit that the caller requests.
const REQUESTED_LIMIT: u64 = 500;
/// Tokens that the router adds to the prompt's bytes for a chat template.
const TEMPLATE_TOKENS: u64 = 64;

fn body(stream: bool) -> Vec<u8> {
    let body = json!({
        "model": "drafting", "stream": stream, "max_tokens": REQUESTED_LIMIT,
        "messages": [{"role": "user", "content": "Draft a work sheet."}],
    });
    serde_json::to_vec(&body).unwrap()
}

struct Outcome {
    answer: Answer,
    runs: u32,
    charged: u64,
    purchased: u64,
}

/// Sends a request against a budget with [`TOKENS_LEFT`] tokens for its answer. `least` is the
/// setting `least_output`; without it answers are not shortened.
async fn ask(stream: bool, least: Option<u64>, fault: Fault) -> Outcome {
    let body = body(stream);
    let purchased = body.len() as u64 + TEMPLATE_TOKENS + TOKENS_LEFT;
    let environment = Environment::start(1, purchased).await;
    let router = environment.router(1).await;
    if let Some(least) = least {
        let edits = vec![
            set("kolkata", Setting::BudgetEnd, Value::Text("shorten".into())),
            set("kolkata", Setting::LeastOutput, Value::Tokens(least)),
        ];
        let change = Change {
            edits,
            force: false,
        };
        let version = router.propose(change, "test", "shorten").await.unwrap();
        until(|| async { router.version() >= version }).await;
    }
    environment.engines[0].inject([fault]);
    let url = format!("http://{}/v1/chat/completions", router.address());
    let call = reqwest::Client::new().post(url).bearer_auth(KEY).body(body);
    let response = call.send().await.unwrap();
    let status = response.status().as_u16();
    let answer = Answer {
        status,
        body: response.text().await.unwrap(),
    };
    router.stop().await;
    let bills = environment.bills().await;
    assert!(bills.iter().all(|bill| &*bill.budget == BUDGET));
    Outcome {
        answer,
        runs: environment.runs(),
        charged: bills.iter().map(|bill| bill.charged).sum(),
        purchased,
    }
}

fn assert_refused(outcome: &Outcome) {
    let expected = Some(("budget_exhausted".into(), "not_run".into()));
    assert_eq!(outcome.answer.error(), expected, "{}", outcome.answer.body);
    assert_eq!((outcome.runs, outcome.charged), (0, 0));
}

fn assert_shortened(outcome: &Outcome) {
    let text = outcome.answer.text();
    let tokens = text.split_whitespace().count() as u64;
    assert_eq!(tokens, TOKENS_LEFT, "{}", outcome.answer.body);
    let reason = r#""finish_reason":"length""#;
    assert!(
        outcome.answer.body.contains(reason),
        "{}",
        outcome.answer.body
    );
    assert!(outcome.charged > 0 && outcome.charged <= outcome.purchased);
}

/// Guards against answers that are shortened without the setting.
#[tokio::test]
async fn requests_are_refused_by_default() {
    assert_refused(&ask(false, None, Fault::None).await);
}

/// Guards against a limit below the rest of the budget, a limit that is not passed to the engine,
/// and a refusal despite the setting.
#[tokio::test]
async fn answers_are_shortened_to_the_rest() {
    assert_shortened(&ask(false, Some(TOKENS_LEFT / 2), Fault::None).await);
    assert_shortened(&ask(true, Some(TOKENS_LEFT / 2), Fault::None).await);
}

/// Guards against answers below the least useful limit.
#[tokio::test]
async fn answers_below_the_least_useful_limit_are_refused() {
    assert_refused(&ask(false, Some(TOKENS_LEFT + 1), Fault::None).await);
}

/// Guards against an answer above the smaller limit from an engine that ignores it.
#[tokio::test]
async fn router_ends_streams_at_the_smaller_limit() {
    let outcome = ask(true, Some(TOKENS_LEFT), Fault::Excess).await;
    assert_shortened(&outcome);
    assert!(outcome.answer.is_whole_stream(), "{}", outcome.answer.body);
}
