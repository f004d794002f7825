//! Tests of network partitions between real router processes, and to the platform.
//!
//! Each test ends with a check of what callers were told, what the engines executed and what was
//! billed.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{
        Answer, BUDGET, Environment, complete, gauge,
        links::{Links, PLATFORM},
        order,
        process::{FLEET_KEY, Process},
        set, until,
    },
    marigoldroute_core::{
        budget::{Change as Sum, Proposal, Request},
        config::{Change, Setting, Value},
        fleet::{WeightedHost, rank},
        table::Verdict,
    },
    nix::sys::signal::Signal,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

const PURCHASED: u64 = 60_000;
const TOP_UP: u64 = 40_000;
/// Requests sent to one router at a time.
const BATCH: usize = 6;
/// Delay before a caller retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Engines that [`Harness::withdraw`] leaves in service and withdraws.
const KEPT: usize = 0;
const WITHDRAWN: usize = 1;

/// Three routers behind links.
struct Harness {
    environment: Environment,
    links: Links,
    /// In the order of their rank for the budget.
    routers: Vec<(String, Process)>,
    /// Answers by idempotency key.
    answers: BTreeMap<String, Answer>,
}

impl Harness {
    async fn start() -> Self {
        let environment = Environment::start(2, PURCHASED).await;
        let links = Links::new(FLEET_KEY);
        let operator = environment.router(9).await;
        let mut routers = BTreeMap::new();
        for number in 1..=3 {
            let process = Process::start_linked(&environment, number, &links).await;
            routers.insert(format!("router-{number}"), process);
        }
        operator.stop().await;
        let hosts = routers.keys().map(|name| WeightedHost {
            host: name.as_str().into(),
            weight: 1,
        });
        let hosts: Vec<_> = hosts.collect();
        let ranked = rank(BUDGET, &hosts).into_iter();
        let ranked = ranked.map(|name| routers.remove_entry(&**name).unwrap());
        let harness = Self {
            environment,
            links,
            routers: ranked.collect(),
            answers: BTreeMap::new(),
        };
        for (_, router) in &harness.routers {
            until(|| harness.environment.sees(router.address, 3)).await;
        }
        harness
    }

    fn address(&self, router: usize) -> SocketAddr {
        self.routers[router].1.address
    }

    async fn version(&self, router: usize) -> i64 {
        gauge(self.address(router), "marigoldroute_config_version").await
    }

    /// Sends streamed and unstreamed requests to each of the routers at the same time; all must get
    /// a complete answer.
    async fn serve(&mut self, name: &str, routers: &[usize]) {
        let mut calls = JoinSet::new();
        for router in routers {
            for number in 0..BATCH {
                let (address, key) = (self.address(*router), format!("{name}-{router}-{number}"));
                let is_stream = number % 2 == 0;
                calls.spawn(async move { (key.clone(), served(address, is_stream, &key).await) });
            }
        }
        for (key, answer) in calls.join_all().await {
            let is_whole = answer.is_whole_stream() || answer.error().is_none();
            assert!(answer.status == 200 && is_whole, "{key}: {answer:?}");
            assert!(!answer.text().is_empty(), "{key}: {answer:?}");
            self.answers.insert(key, answer);
        }
    }

    /// Adds tokens to the budget, as an operator's request that reaches the table service.
    async fn top_up(&self) {
        let request = Request {
            budget: BUDGET.into(),
            id: "top-up".into(),
            change: Sum::TopUp(TOP_UP),
            operator: "test".into(),
        };
        let client = &self.environment.client;
        loop {
            let rows = client.get_all(&request.keys()).await.unwrap();
            match request.propose(&rows).unwrap() {
                Proposal::Done(_) => return,
                Proposal::Commit(transaction) => {
                    let verdict = client.commit(&transaction).await.unwrap();
                    assert!(matches!(verdict, Verdict::Committed | Verdict::Conflict(_)));
                }
            }
        }
    }

    /// Withdraws an engine through a router that is not cut off; returns the version.
    async fn withdraw(&self) -> i64 {
        let operator = self.environment.router(9).await;
        let state = Value::Text("withdrawn".into());
        let change = Change {
            edits: vec![set(&format!("engine-{WITHDRAWN}"), Setting::State, state)],
            force: false,
        };
        let version = operator.propose(change, "test", "withdraw").await.unwrap();
        operator.stop().await;
        version as i64
    }

    fn runs_of_withdrawn(&self) -> u32 {
        let records = self.environment.engines[WITHDRAWN].records();
        records.into_values().map(|record| record.runs).sum()
    }

    /// Stops the fleet and checks that each request that ran is billed once, within the budget, and
    /// that all unused tokens are returned.
    async fn end(self, purchased: u64) {
        for (_, router) in &self.routers {
            router.signal(Signal::SIGTERM);
        }
        for (name, router) in self.routers {
            let (status, lines) = router.wait();
            assert!(status.success(), "{name}: {status}: {lines:?}");
        }
        let environment = self.environment;
        let operator = environment.router(9).await;
        until(|| async { environment.unread().await == 0 }).await;
        operator.stop().await;
        let bills = environment.bills().await;
        let mut billed: Vec<_> = bills.iter().map(|bill| bill.request.to_string()).collect();
        billed.sort_unstable();
        let ran: Vec<_> = environment.runs_by_request().into_keys().collect();
        assert_eq!(billed, ran, "billed requests, and those that ran");
        let spent: u64 = bills.iter().map(|bill| bill.charged).sum();
        let account = environment.account().await;
        assert_eq!(account.purchased, purchased);
        assert!(spent <= account.purchased);
        assert_eq!(account.allocated, spent, "tokens kept by stopped routers");
    }
}

/// Repeats a request while it is refused with 503 and the outcome "not run".
async fn served(address: SocketAddr, stream: bool, key: &str) -> Answer {
    let mut tick = tokio::time::interval(RETRY_INTERVAL);
    loop {
        tick.tick().await;
        let answer = complete(address, stream, Some(key)).await.unwrap();
        let outcome = answer.error().map(|(_, outcome)| outcome);
        if answer.status != 503 || outcome.as_deref() != Some("not_run") {
            return answer;
        }
    }
}

/// Repeats an order until it is answered with its result.
async fn placed(address: SocketAddr, key: &str) -> Answer {
    let mut tick = tokio::time::interval(RETRY_INTERVAL);
    loop {
        tick.tick().await;
        let answer = order(address, key).await.unwrap();
        if answer.status == 200 {
            return answer;
        }
        let (kind, _) = answer.error().unwrap();
        let is_passing = ["key_in_use", "claim_unavailable"].contains(&kind.as_str());
        assert!(is_passing, "{key}: {answer:?}");
    }
}

/// Guards against overspend, repeated bills, a refused request that runs, and a withdrawal that a
/// partitioned host misses or reverts.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_router_serves_and_catches_up() {
    const CUT: usize = 0;
    let mut harness = Harness::start().await;
    harness.serve("before", &[0, 1, 2]).await;
    let before = harness.version(CUT).await;

    let names: Vec<_> = harness
        .routers
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    harness
        .links
        .isolate(&names[CUT], &[&names[1], &names[2], PLATFORM]);
    let refused = order(harness.address(CUT), "order").await.unwrap();
    let expected = Some(("claim_unavailable".into(), "not_run".into()));
    assert_eq!(refused.error(), expected, "{refused:?}");
    harness.serve("during", &[0, 1, 2]).await;
    harness.top_up().await;
    let version = harness.withdraw().await;
    for router in [1, 2] {
        until(|| async { harness.version(router).await == version }).await;
    }
    let runs = harness.runs_of_withdrawn();
    harness.serve("withdrawn", &[1, 2]).await;
    assert_eq!(
        harness.runs_of_withdrawn(),
        runs,
        "work for a withdrawn engine"
    );
    assert_eq!(
        harness.version(CUT).await,
        before,
        "the cut lets versions through"
    );
    harness.serve("cut-off", &[CUT]).await;
    let orders = harness
        .environment
        .engines
        .iter()
        .flat_map(|engine| engine.records());
    let is_refused = orders
        .into_iter()
        .all(|(attempt, _)| !refused.body.contains(&*attempt));
    assert!(is_refused, "an order that was told \"not run\" ran");

    harness.links.heal();
    until(|| async { harness.version(CUT).await == version }).await;
    let runs = harness.runs_of_withdrawn();
    harness.serve("healed", &[0, 1, 2]).await;
    assert_eq!(
        harness.runs_of_withdrawn(),
        runs,
        "work for a withdrawn engine"
    );
    let first = placed(harness.address(CUT), "order").await;
    let second = placed(harness.address(1), "order").await;
    assert_eq!(first.body, second.body, "an order ran twice");
    for router in [0, 1, 2] {
        assert_eq!(harness.version(router).await, version, "a version reverted");
    }
    assert!(!harness.environment.engines[KEPT].records().is_empty());
    harness.end(PURCHASED + TOP_UP).await;
}

/// Guards against a claim, a grant or a bill that counts twice because its answer was lost: the
/// router's messages arrive, but it receives none.
#[tokio::test(flavor = "multi_thread")]
async fn deaf_router_does_nothing_twice() {
    const DEAF: usize = 0;
    let mut harness = Harness::start().await;
    harness.serve("before", &[0, 1, 2]).await;
    let names: Vec<_> = harness
        .routers
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    for other in [&names[1], &names[2], PLATFORM] {
        harness.links.cut(other, &names[DEAF]);
    }
    let refused = order(harness.address(DEAF), "order").await.unwrap();
    let expected = Some(("claim_unavailable".into(), "not_run".into()));
    assert_eq!(refused.error(), expected, "{refused:?}");
    harness.serve("during", &[0, 1, 2]).await;
    harness.top_up().await;

    harness.links.heal();
    harness.serve("healed", &[0, 1, 2]).await;
    let first = placed(harness.address(DEAF), "order").await;
    let second = placed(harness.address(2), "order").await;
    assert_eq!(first.body, second.body, "an order ran twice");
    harness.end(PURCHASED + TOP_UP).await;
}
