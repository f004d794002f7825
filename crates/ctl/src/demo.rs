//! A small fleet on stand-ins in one process: two workspaces, streams, an order that must not be
//! placed twice, a withdrawal, and the bills against the budgets.

mod fleet;
mod report;
mod setup;

use {
    anyhow::{Context, ensure},
    clap::ArgMatches,
    fleet::Fleet,
    reqwest::StatusCode,
    serde_json::json,
};

/// Runs the demonstration.
pub async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    if matches.get_flag("verbose") {
        marigoldroute::logs::init(log::LevelFilter::Info)?;
    }
    let mut fleet = Fleet::start().await?;
    println!(
        "three routers, two engines, one order service; budgets: hems 20000, confetti 600 tokens"
    );

    stream(&fleet).await?;
    exhaust(&fleet).await?;
    withdraw(&fleet).await?;
    order(&fleet).await?;

    fleet.stop().await;
    report::print(&fleet).await
}

/// One streamed answer through each router.
async fn stream(fleet: &Fleet) -> anyhow::Result<()> {
    for router in 0..fleet.routers.len() {
        let answer = fleet.complete(router, "kolkata-key", true, 64).await?;
        ensure!(
            answer.0 == StatusCode::OK,
            "the stream was refused: {}",
            answer.1
        );
        ensure!(
            answer.1.ends_with("data: [DONE]\n\n"),
            "the stream has no end mark"
        );
        let tokens = answer.1.matches("\"content\"").count();
        println!("router {router}: stream of {tokens} tokens, complete");
    }
    Ok(())
}

/// Spends a small budget to its end.
async fn exhaust(fleet: &Fleet) -> anyhow::Result<()> {
    let (mut served, mut refused) = (0, 0);
    for attempt in 0..24 {
        let (status, body) = fleet
            .complete(attempt % 3, "palermo-key", false, 32)
            .await?;
        match status {
            StatusCode::OK => served += 1,
            StatusCode::PAYMENT_REQUIRED => refused += 1,
            _ => anyhow::bail!("unexpected answer {status}: {body}"),
        }
    }
    println!("budget confetti: {served} requests served, {refused} refused as not run (402)");
    ensure!(
        served > 0 && refused > 0,
        "the budget was not spent to its end"
    );
    Ok(())
}

/// Withdraws an engine in the middle of the work.
async fn withdraw(fleet: &Fleet) -> anyhow::Result<()> {
    fleet.withdraw("engine-a").await?;
    let before = fleet.engines[0].records().len();
    for router in 0..fleet.routers.len() {
        let (status, body) = fleet.complete(router, "kolkata-key", false, 16).await?;
        ensure!(
            status == StatusCode::OK,
            "refused after the withdrawal: {body}"
        );
    }
    let after = fleet.engines[0].records().len();
    println!(
        "engine-a withdrawn: {} new requests on it, 3 served elsewhere",
        after - before
    );
    ensure!(after == before, "a withdrawn engine received work");
    Ok(())
}

/// Calls the plain service.
async fn order(fleet: &Fleet) -> anyhow::Result<()> {
    let body = json!({"cloth": "khadi", "metres": 120}).to_string();
    let (status, body) = fleet.order(0, "kolkata-key", "order-1", body).await?;
    ensure!(status == StatusCode::OK, "the order was refused: {body}");
    let record = fleet.service.records();
    let runs: u32 = record.values().map(|record| record.runs).sum();
    println!("order service: {runs} run");
    let context = || "the order did not run once";
    (runs == 1).then_some(()).with_context(context)
}
