//! Table-driven tests of upstream faults: what the caller sees, how often the request runs and what
//! is billed.

mod fleet;

use {
    fleet::{Answer, Environment},
    marigoldroute_upstream::Fault,
    serde::Deserialize,
    std::path::Path,
};

/// Text of a complete answer of 16 tokens.
const COMPLETE_TEXT: &str = "w0 w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 w11 w12 w13 w14 w15 ";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Failure that the case guards against.
    guards: String,
    engines: usize,
    /// `chat`, `stream` or `order`.
    request: String,
    /// Faults that each engine injects into its next answers.
    faults: Vec<Fault>,
    status: u16,
    /// Error kind and outcome; absent for a complete answer.
    error: Option<(String, String)>,
    /// Expected number of executions, over all engines.
    runs: u32,
    bills: usize,
}

datatest_stable::harness! {
    { test = run, root = "tests/faults", pattern = r"\.json$" },
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(check(&case));
    Ok(())
}

async fn check(case: &Case) {
    let environment = Environment::start(case.engines, 10_000).await;
    for engine in &environment.engines {
        engine.inject(case.faults.iter().copied());
    }
    let router = environment.router(1).await;
    let answer = match case.request.as_str() {
        "chat" => fleet::complete(router.address(), false, None).await,
        "stream" => fleet::complete(router.address(), true, None).await,
        "order" => fleet::order(router.address(), "order-1").await,
        other => panic!("unknown request {other}"),
    };
    let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.guards));
    router.stop().await;
    assert_eq!(
        answer.status, case.status,
        "{}: {}",
        case.guards, answer.body
    );
    assert_eq!(
        answer.error(),
        case.error,
        "{}: {}",
        case.guards,
        answer.body
    );
    check_answer(case, &answer);
    assert_eq!(environment.runs(), case.runs, "{}: runs", case.guards);
    let bills = environment.bills().await;
    assert_eq!(bills.len(), case.bills, "{}: {bills:?}", case.guards);
}

fn check_answer(case: &Case, answer: &Answer) {
    if case.request == "order" {
        return;
    }
    let is_whole =
        answer.text() == COMPLETE_TEXT && (case.request == "chat" || answer.is_whole_stream());
    assert_eq!(
        is_whole,
        case.error.is_none(),
        "{}: {}",
        case.guards,
        answer.body
    );
}
