//! Operators who race, repeat their calls and lose answers.
//!
//! The platform is the in-memory stand-in with injected faults; each test states what it guards
//! against.

#![allow(clippy::unwrap_used)]

mod fleet;
mod operator;

use {
    futures_util::future::join_all,
    marigoldroute_core::{config::hash_key, retention::REQUEST_PREFIX},
    marigoldroute_store::InjectedFaults,
    operator::{Answer, Fleet, Operator},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    reqwest::Method,
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

fn priority(base: u64, class: u64) -> Value {
    json!({"base": base, "path": "kolkata", "setting": "priority", "value": {"class": class}})
}

fn down(down: bool) -> InjectedFaults {
    InjectedFaults {
        down,
        ..InjectedFaults::default()
    }
}

fn losing(lose_answers: u32) -> InjectedFaults {
    InjectedFaults {
        lose_answers,
        ..InjectedFaults::default()
    }
}

/// Guards against two operators who both believe that their change was made on what they saw.
#[tokio::test]
async fn one_of_two_racing_changes_is_accepted_and_the_other_sees_it() {
    let fleet = Fleet::start(2).await;
    fleet.configure().await;
    let operators = [fleet.operator(0), fleet.operator(1)];
    for round in 0..8 {
        let base = operators[0].version().await;
        let set = async |number: usize| {
            let body = priority(base, round % 4 + 4 * number as u64);
            let request = format!("race-{round}-{number}");
            operators[number]
                .post(&request, "/settings/value", &body)
                .await
        };
        let (first, second) = tokio::join!(set(0), set(1));
        let (won, lost) = match first.status {
            200 => (first, second),
            _ => (second, first),
        };
        assert_eq!(won.accepted()["version"], base + 1);
        assert_eq!(
            (lost.status, lost.kind()),
            (409, "conflict"),
            "{}",
            lost.body
        );
        let unseen = &lost.body["error"]["unseen"];
        assert_eq!(unseen["current"], base + 1, "{}", lost.body);
        assert_eq!(unseen["differences"][0]["path"], "kolkata");
        assert_eq!(unseen["differences"][0]["setting"], "priority");
    }
}

/// Guards against a refusal where nothing collides, and against an acceptance where it does.
#[tokio::test]
async fn disjoint_changes_are_rebased_only_when_asked_for() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    let edit = |path: &str, setting: &str, value: Value| {
        let set = json!({"set": {"path": path, "setting": setting, "value": value}});
        json!({"base": base, "edits": [set], "on_race": "disjoint"})
    };
    let price = edit("orders", "price", json!({"tokens": 7}));
    operator
        .post("b1", "/settings/apply", &price)
        .await
        .accepted();
    let class = edit("kolkata", "priority", json!({"class": 2}));
    operator
        .post("b2", "/settings/apply", &class)
        .await
        .accepted();
    let again = edit("kolkata", "share", json!({"weight": 2}));
    let refused = operator.post("b3", "/settings/apply", &again).await;
    assert_eq!(refused.kind(), "conflict", "{}", refused.body);
    let mut never = edit("drafting", "running_work", json!({"text": "move"}));
    never["on_race"] = "refuse".into();
    let refused = operator.post("b4", "/settings/apply", &never).await;
    assert_eq!(refused.kind(), "conflict", "{}", refused.body);
}

/// Guards against a withdrawal that loses a race although it is as wanted as before, and against
/// two withdrawals that together leave nothing in service.
#[tokio::test]
async fn racing_withdrawals_do_not_empty_a_model() {
    let fleet = Fleet::start(2).await;
    fleet.configure().await;
    let operators = [fleet.operator(0), fleet.operator(1)];
    let body = json!({});
    let (first, second) = tokio::join!(
        operators[0].post("w1", "/upstreams/d1/withdraw", &body),
        operators[1].post("w2", "/upstreams/d2/withdraw", &body),
    );
    let mut answers = [first, second];
    answers.sort_by_key(|answer| answer.status);
    assert_eq!(answers[0].status, 200, "{}", answers[0].body);
    assert_eq!(answers[1].kind(), "invalid_request", "{}", answers[1].body);
    let upstreams = operators[0].get("/upstreams").await.accepted();
    let upstreams = upstreams["items"].as_array().unwrap().clone();
    let out = upstreams
        .iter()
        .filter(|upstream| upstream["in_service"] == false);
    assert_eq!(out.count(), 1);
}

/// Guards against a restoration that undoes a withdrawal which its operator did not see.
#[tokio::test]
async fn a_batch_is_refused_when_others_touched_it() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    operator
        .make("w", "/upstreams/d1/withdraw", json!({}))
        .await;
    let restore =
        |base: u64, upstream: &str| json!({"base": base, "selector": {"upstreams": [upstream]}});
    let seen = restore(base, "d1");
    let refused = operator.post("r1", "/restorations", &seen).await;
    assert_eq!(refused.kind(), "conflict", "{}", refused.body);
    operator
        .make("r2", "/restorations", restore(base + 1, "d1"))
        .await;
    operator
        .make("w2", "/withdrawals", restore(base, "d2"))
        .await;
}

/// Guards against a top-up that counts twice because it was sent twice at the same time.
#[tokio::test]
async fn a_request_id_sent_many_times_at_once_counts_once() {
    let fleet = Fleet::start(2).await;
    let operators = [fleet.operator(0), fleet.operator(1)];
    let body = json!({"tokens": 500});
    let calls = (0..12).map(|number| {
        let operator = &operators[number % 2];
        operator.post("same", "/budgets/confetti/top-up", &body)
    });
    let answers: Vec<Answer> = join_all(calls).await;
    for answer in answers {
        assert_eq!(answer.accepted()["purchased"], 500);
    }
    assert_eq!(operators[0].purchased("confetti").await, 500);
    let audit = operators[0].get("/audit").await.accepted();
    assert_eq!(audit["items"].as_array().unwrap().len(), 1);
}

/// Guards against an answer for another write under a request id that was used before.
#[tokio::test]
async fn a_request_id_is_refused_for_another_write() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let top_up = |tokens: u64| json!({"tokens": tokens});
    let path = "/budgets/confetti/top-up";
    operator.post("x", path, &top_up(5)).await.accepted();
    operator.post("x", path, &top_up(5)).await.accepted();
    let others = [
        (path, top_up(6)),
        ("/budgets/other/top-up", top_up(5)),
        ("/budgets/confetti/cut", top_up(5)),
        ("/workspaces", json!({"path": "zisa"})),
    ];
    for (path, body) in others {
        let refused = operator.post("x", path, &body).await;
        assert_eq!(refused.kind(), "conflict", "{path}: {}", refused.body);
    }
    let key = json!({"hash": hash_key("second-operator-key"), "roles": ["money"]});
    operator.put("k", "/keys/second", &key).await.accepted();
    let second = fleet.operator_with(0, "second-operator-key");
    let refused = second.post("x", path, &top_up(5)).await;
    assert_eq!(refused.kind(), "conflict", "{}", refused.body);
    assert_eq!(operator.purchased("confetti").await, 5);
}

/// Guards against a write that is made twice, or reported as failed, because the store's answer
/// was lost after it took effect.
#[tokio::test]
async fn writes_survive_a_lost_answer_of_the_store() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    let lose_answer_of = |request: &str| {
        let receipt = format!("{REQUEST_PREFIX}{request}");
        fleet.platform.lose_answers_of(receipt, 1);
    };
    lose_answer_of("l1");
    let set = operator.make("l1", "/settings/value", priority(base, 2));
    assert_eq!(set.await["version"], base + 1);
    assert_eq!(fleet.platform.answers_to_lose(), 0);
    lose_answer_of("l2");
    let top_up = operator.make("l2", "/budgets/confetti/top-up", json!({"tokens": 9}));
    assert_eq!(top_up.await["purchased"], 9);
    assert_eq!(fleet.platform.answers_to_lose(), 0);
    lose_answer_of("l3");
    let withdraw = operator.make("l3", "/upstreams/d1/withdraw", json!({}));
    assert_eq!(withdraw.await["version"], base + 2);
    assert_eq!(fleet.platform.answers_to_lose(), 0);
    assert_eq!(operator.version().await, base + 2);
    assert_eq!(operator.purchased("confetti").await, 9);
}

/// Guards against "nothing was done" for a write that took effect, and against a repetition that
/// makes it twice.
#[tokio::test]
async fn a_write_without_any_answer_is_unknown_and_a_repetition_finds_out() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    let calls = [
        ("u1", "/settings/value", priority(base, 2)),
        ("u2", "/budgets/confetti/top-up", json!({"tokens": 9})),
    ];
    for (request, path, body) in calls {
        let receipt = format!("{REQUEST_PREFIX}{request}");
        fleet.platform.lose_answers_of(receipt, 4);
        // As background tasks do.
        fleet.put("other", &request).await;
        let unknown = operator.post(request, path, &body).await;
        assert_eq!(unknown.kind(), "store_unavailable", "{}", unknown.body);
        assert_eq!(unknown.body["error"]["outcome"], "unknown");
        assert_eq!(fleet.platform.answers_to_lose(), 0);
        operator.make(request, path, body).await;
    }
    assert_eq!(operator.version().await, base + 1);
    assert_eq!(operator.purchased("confetti").await, 9);
}

/// Guards against an outage that is reported as something else than "nothing was done", and
/// against reads of the settings that need the store.
#[tokio::test]
async fn an_outage_of_the_store_refuses_writes_as_not_run() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    fleet.platform.inject(down(true));
    let calls = [
        ("/settings/value", priority(base, 2)),
        ("/budgets/confetti/top-up", json!({"tokens": 9})),
        ("/upstreams/d1/withdraw", json!({})),
    ];
    for (path, body) in &calls {
        let refused = operator.post("down", path, body).await;
        assert_eq!(refused.status, 503, "{path}: {}", refused.body);
        assert_eq!(refused.kind(), "store_unavailable");
        assert_eq!(refused.body["error"]["outcome"], "not_run");
    }
    for path in [
        "/settings",
        "/upstreams",
        "/workspaces",
        "/hosts",
        "/progress",
    ] {
        operator.get(path).await.accepted();
    }
    fleet.platform.inject(down(false));
    assert_eq!(operator.version().await, base);
    let set = operator.make("down", "/settings/value", priority(base, 2));
    assert_eq!(set.await["version"], base + 1);
}

/// Guards against a key that works after its removal, also while the store is down, and against
/// an outage that locks operators out of what they may read.
#[tokio::test]
async fn keys_end_with_their_removal_and_outlive_an_outage() {
    let fleet = Fleet::start(1).await;
    let first = fleet.operator(0);
    let key = json!({"hash": hash_key("the-second-key"), "roles": []});
    first.put("k1", "/keys/second", &key).await.accepted();
    let second = fleet.operator_with(0, "the-second-key");
    second.get("/settings").await.accepted();
    fleet.platform.inject(down(true));
    second.get("/settings").await.accepted();
    fleet.platform.inject(down(false));
    let removed = first.call(Method::DELETE, "/keys/second", Some("k2"), &Value::Null);
    removed.await.accepted();
    assert_eq!(second.get("/settings").await.kind(), "unauthenticated");
    fleet.platform.inject(down(true));
    assert_eq!(second.get("/settings").await.kind(), "unauthenticated");
}

/// Tokens of the budgets as the operators' accepted writes make them.
#[derive(Debug, Default)]
struct Oracle {
    budgets: BTreeMap<String, u64>,
    /// Writes that took effect, by request id.
    made: BTreeMap<String, (String, i64)>,
}

impl Oracle {
    /// Takes the final answer of a write.
    fn take(&mut self, request: &str, budget: &str, change: i64, answer: &Answer) {
        if let Some(made) = self.made.get(request) {
            let is_same = *made == (budget.to_owned(), change);
            assert_eq!(answer.status == 200, is_same, "{request}: {}", answer.body);
            return;
        }
        let before = self.budgets.get(budget).copied();
        let after = before.unwrap_or_default().checked_add_signed(change);
        let is_possible = change > 0 || before.is_some() && after.is_some();
        assert_eq!(
            answer.status == 200,
            is_possible,
            "{request}: {}",
            answer.body
        );
        if let Some(after) = after.filter(|_| is_possible) {
            self.budgets.insert(budget.to_owned(), after);
            self.made
                .insert(request.to_owned(), (budget.to_owned(), change));
        }
    }
}

/// Repeats a write until its answer is final, as `marigoldctl` does.
async fn book(operator: &Operator, request: &str, budget: &str, change: i64) -> Answer {
    let (action, tokens) = match change {
        1.. => ("top-up", change),
        _ => ("cut", -change),
    };
    let path = format!("/budgets/{budget}/{action}");
    operator
        .post(request, &path, &json!({"tokens": tokens}))
        .await
}

/// Guards against any sequence of top-ups, cuts, repetitions and faults of the store after which
/// a budget differs from the sum of the accepted writes. Budgets have no holders here, so that
/// cuts take effect at once.
#[tokio::test]
async fn budgets_equal_the_sum_of_accepted_writes() {
    for seed in [1, 2, 3] {
        let fleet = Fleet::start(2).await;
        let operators = [fleet.operator(0), fleet.operator(1)];
        let mut random = SmallRng::seed_from_u64(seed);
        let mut oracle = Oracle::default();
        for _ in 0..150 {
            let operator = &operators[random.random_range(0..2)];
            let request = format!("r{}", random.random_range(0..60));
            let budget = format!("b{}", random.random_range(0..3));
            let change = random.random_range(-40..=60);
            let change = if change == 0 { 1 } else { change };
            match random.random_range(0..6) {
                0 => fleet.platform.inject(losing(random.random_range(1..3))),
                1 => fleet.platform.inject(down(true)),
                _ => fleet.platform.inject(InjectedFaults::default()),
            }
            let mut answer = book(operator, &request, &budget, change).await;
            if answer.status == 503 {
                fleet.platform.inject(InjectedFaults::default());
                answer = book(operator, &request, &budget, change).await;
            }
            oracle.take(&request, &budget, change, &answer);
        }
        fleet.platform.inject(InjectedFaults::default());
        for (budget, tokens) in &oracle.budgets {
            let purchased = operators[0].purchased(budget).await;
            assert_eq!(purchased, *tokens, "seed {seed}, budget {budget}");
        }
        assert!(
            oracle.made.len() > 20,
            "seed {seed}: too few writes took effect"
        );
    }
}
