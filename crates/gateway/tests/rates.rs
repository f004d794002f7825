//! Rates that upstreams state, kept by all hosts together.

mod harness;

use {
    harness::{
        Harness,
        upstream::{Script, Upstream},
    },
    marigoldroute_gateway::Settings,
    std::time::{Duration, Instant},
    tokio::task::JoinSet,
};

/// Time that hosts have to learn of a rate.
const LEARN_TIME: Duration = Duration::from_secs(3);
/// Length of the spans in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Requests that each host receives in a second.
const REQUESTS_PER_SECOND: u32 = 20;

/// Returns settings with a short renewal of the membership.
fn settings() -> Settings {
    Settings {
        renew_interval: Duration::from_millis(300),
        ..Settings::default()
    }
}

/// Starts a fleet of hosts with a common store.
async fn start_fleet(hosts: usize, scripts: Vec<Script>) -> (Vec<Harness>, Vec<Upstream>) {
    let (mut harness, upstreams) = Harness::unlimited(scripts).await;
    harness.gateway.take().expect("it runs").stop().await;
    let mut fleet = Vec::new();
    for index in 0..hosts {
        fleet.push(harness.start_host(&format!("h{index}"), settings()).await);
    }
    (fleet, upstreams)
}

/// Sends requests to every host for this time, and returns how many were answered with a success.
async fn load(fleet: &[Harness], path: &'static str, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut calls = JoinSet::new();
    let mut id = 0;
    while Instant::now() < end {
        for host in fleet {
            id += 1;
            let request = host.plain_request(path, &format!("{path}{id}")).send();
            calls.spawn(async move {
                let response = request.await.expect("an answer");
                let is_success = response.status().is_success();
                // The status alone counts; a body that breaks off is of another test.
                let _ = response.bytes().await;
                is_success
            });
        }
        tokio::time::sleep(Duration::from_secs(1) / REQUESTS_PER_SECOND).await;
    }
    let answered = calls.join_all().await;
    answered
        .into_iter()
        .filter(|is_success| *is_success)
        .count()
}

/// Returns the most arrivals in one span, from the time that hosts have to learn of the rate on.
fn busiest_span(upstream: &Upstream, stated_at: Instant) -> usize {
    let mut times = upstream.times();
    times.retain(|time| *time >= stated_at + LEARN_TIME);
    let counts = times.iter().map(|start| {
        times
            .iter()
            .filter(|time| (*start..*start + SPAN).contains(time))
            .count()
    });
    counts.max().unwrap_or(0)
}

/// Returns how many requests of all hosts an upstream may get in a span.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * SPAN.as_secs_f64()) as usize + 5
}

/// Guards against hosts that each send what an upstream takes from all of them together.
#[tokio::test]
async fn six_hosts_share_the_rate_that_an_upstream_states() {
    let (fleet, upstreams) =
        start_fleet(6, vec![Script::Rated, Script::Complete(200, "free")]).await;
    upstreams[0].state_rate(Some("1"));
    let stated_at = Instant::now();
    load(&fleet, "safe", LEARN_TIME + SPAN * 2).await;
    let most = busiest_span(&upstreams[0], stated_at);
    assert!(most <= allowed(1.0), "{most} requests in {SPAN:?}");
    assert!(most > 0, "the upstream was not used");
}
