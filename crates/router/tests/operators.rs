//! Operators who race, repeat their calls and lose answers.
//!
//! The platform is the in-memory stand-in with injected faults; each test states what it guards
//! against.

#![allow(clippy::unwrap_used)]

mod fleet;
mod operator;

use {
    futures_util::future::join_all,
    marigoldroute_core::{
        bill::{Bill, Segment},
        budget::{Account, Entry, Journal, Share},
        config::hash_key,
    },
    marigoldroute_platform::Order,
    operator::{Answer, Fleet, Operator},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    reqwest::Method,
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

fn priority(base: u64, class: u64) -> Value {
    json!({"base": base, "path": "kolkata", "setting": "priority", "value": {"class": class}})
}

fn down(down: bool) -> Order {
    Order {
        down,
        ..Order::default()
    }
}

fn losing(lose_answers: u32) -> Order {
    Order {
        lose_answers,
        ..Order::default()
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
    fleet.platform.inject(losing(1));
    let set = operator.make("l1", "/settings/value", priority(base, 2));
    assert_eq!(set.await["version"], base + 1);
    fleet.platform.inject(losing(1));
    let top_up = operator.make("l2", "/budgets/confetti/top-up", json!({"tokens": 9}));
    assert_eq!(top_up.await["purchased"], 9);
    fleet.platform.inject(losing(1));
    let withdraw = operator.make("l3", "/upstreams/d1/withdraw", json!({}));
    assert_eq!(withdraw.await["version"], base + 2);
    fleet.platform.inject(Order::default());
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
        fleet.platform.inject(losing(4));
        let unknown = operator.post(request, path, &body).await;
        assert_eq!(unknown.kind(), "store_unavailable", "{}", unknown.body);
        assert_eq!(unknown.body["error"]["outcome"], "unknown");
        fleet.platform.inject(Order::default());
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

/// Guards against a key, a hash or a secret in what operators with the role `read` see.
#[tokio::test]
async fn keys_are_listed_without_hashes() {
    let fleet = Fleet::start(1).await;
    let operator = fleet.operator(0);
    let hash = hash_key("the-second-key");
    let key = json!({"hash": hash, "roles": ["money"]});
    operator.put("k1", "/keys/second", &key).await.accepted();
    let listed = operator.get("/keys").await.accepted();
    assert_eq!(
        listed["items"],
        json!([{"name": "second", "roles": ["money"]}])
    );
    let audit = operator.get("/audit").await.accepted().to_string();
    assert!(!audit.contains(&hash));
}

/// Guards against an accepted write without an audit entry, and against an entry for a refused one.
#[tokio::test]
async fn each_accepted_write_leaves_one_audit_entry() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    operator
        .post("a1", "/settings/value", &priority(base, 2))
        .await
        .accepted();
    operator
        .post("a1", "/settings/value", &priority(base, 2))
        .await
        .accepted();
    let refused = operator
        .post("a2", "/settings/value", &priority(base, 3))
        .await;
    assert_eq!(refused.kind(), "conflict");
    let top_up = operator.make("a3", "/budgets/confetti/top-up", json!({"tokens": 9}));
    top_up.await;
    let audit = operator.get("/audit?limit=1000").await.accepted();
    let entries = audit["items"].as_array().unwrap();
    let find = |request: &str| -> Vec<&Value> {
        let found = entries.iter().filter(|entry| entry["request"] == request);
        found.collect()
    };
    let set = find("a1");
    assert_eq!(set.len(), 1);
    assert_eq!(set[0]["operator"], "initial");
    assert_eq!(set[0]["operation"], "settings set");
    assert_eq!(set[0]["target"], "kolkata:priority");
    assert_eq!(set[0]["from"], base.to_string());
    assert_eq!(set[0]["to"], (base + 1).to_string());
    assert!(find("a2").is_empty());
    assert_eq!(find("a3").len(), 1);
    assert_eq!(find("a3")[0]["target"], "confetti");
}

/// Guards against pages that leave out or repeat entries.
#[tokio::test]
async fn pages_join_to_the_whole_list() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    for number in 0..5 {
        let path = format!("/budgets/b{number}/top-up");
        let request = format!("p{number}");
        operator.make(&request, &path, json!({"tokens": 1})).await;
    }
    for (path, field, least) in [
        ("/budgets", "budget", 6),
        ("/settings/history", "version", 4),
        ("/audit", "id", 9),
        ("/upstreams", "upstream", 3),
    ] {
        let whole = operator.get(path).await.accepted();
        let whole = whole["items"].as_array().unwrap().clone();
        assert!(whole.len() >= least, "{path}: {whole:?}");
        let mut joined = Vec::new();
        let mut after = String::new();
        loop {
            let call = format!("{path}?limit=2&after={after}");
            let page = operator.get(&call).await.accepted();
            joined.extend(page["items"].as_array().unwrap().iter().cloned());
            let Some(next) = page["next"].as_str() else {
                break;
            };
            next.clone_into(&mut after);
        }
        assert_eq!(joined, whole, "{path}, by {field}");
    }
}

/// Guards against a comparison or an explanation that does not show what operators did.
#[tokio::test]
async fn versions_are_compared_and_values_explained() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    let edits = json!([
        {"set": {"path": "", "setting": "priority", "value": {"class": 5}}},
        {"set": {"path": "kolkata", "setting": "priority", "value": {"class": 1}}},
    ]);
    let body = json!({"base": base, "edits": edits});
    let shown = operator
        .post("-", "/settings/preview", &body)
        .await
        .accepted();
    assert_eq!(shown["differences"].as_array().unwrap().len(), 2);
    assert_eq!(operator.version().await, base);
    operator
        .post("v1", "/settings/apply", &body)
        .await
        .accepted();
    let unset = json!({"base": base + 1, "path": "kolkata", "setting": "priority"});
    operator
        .post("v2", "/settings/value", &unset)
        .await
        .accepted();

    let explained = operator
        .get("/settings/explain?path=kolkata")
        .await
        .accepted();
    let values = explained["values"].as_array().unwrap();
    let priority = values.iter().find(|value| value["setting"] == "priority");
    let priority = priority.unwrap();
    assert_eq!(priority["value"], json!({"class": 5}));
    assert_eq!(priority["origin"], "");

    let diff = async |from: u64, to: u64| {
        let path = format!("/settings/diff?from={from}&to={to}");
        operator.get(&path).await.accepted()["differences"].clone()
    };
    let root = json!({"path": "", "setting": "priority", "after": {"class": 5}});
    assert_eq!(diff(base, base + 2).await, json!([root]));
    let back = json!({"path": "kolkata", "setting": "priority", "before": {"class": 1}});
    assert_eq!(diff(base + 1, base + 2).await, json!([back]));
    assert_eq!(diff(base, base).await, json!([]));
}

/// Guards against a dry run with an effect, and against a restoration that leaves traces.
#[tokio::test]
async fn a_withdrawal_is_planned_made_and_undone() {
    let fleet = Fleet::start(2).await;
    fleet.configure().await;
    let operator = fleet.operator(0);
    let base = operator.version().await;
    let lot = json!({"selector": {"labels": {"lot": "a"}}, "force": true});
    let plan = operator
        .post("-", "/withdrawals/preview", &lot)
        .await
        .accepted();
    assert_eq!(plan["hits"].as_array().unwrap().len(), 3);
    assert_eq!(plan["emptied"], json!(["drafting", "orders"]));
    assert_eq!(operator.version().await, base);

    let made = operator.post("w1", "/withdrawals", &lot).await.accepted();
    assert_eq!(made["version"], base + 1);
    let again = operator.post("w2", "/withdrawals", &lot).await.accepted();
    assert_eq!(
        (&again["version"], &again["changed"]),
        (&json!(base + 1), &json!(false))
    );
    operator.post("w3", "/restorations", &lot).await.accepted();
    let diff = format!("/settings/diff?from={base}&to={}", base + 2);
    assert_eq!(
        operator.get(&diff).await.accepted()["differences"],
        json!([])
    );

    let path = format!("/progress?version={}", base + 2);
    loop {
        let progress = operator.get(&path).await.accepted();
        if progress["everywhere"] == true && progress["applied"].as_array().unwrap().len() == 2 {
            break;
        }
        tokio::task::yield_now().await;
    }
}

/// Guards against tokens of a lost host that do not return, that return twice, or that return
/// although they were billed.
#[tokio::test]
async fn a_statement_of_loss_returns_unbilled_tokens_once() {
    let fleet = Fleet::start(1).await;
    let operator = fleet.operator(0);
    let account = Account {
        purchased: 500,
        allocated: 100,
        ..Account::default()
    };
    let share = Share {
        allocated: 100,
        mark: 60,
        spent: 20,
    };
    let bill = Bill {
        request: "abc.1".into(),
        workspace: "kolkata".into(),
        budget: "confetti".into(),
        model: "drafting".into(),
        upstream: "d1".into(),
        charged: 20,
        uncovered: 0,
    };
    let journal = Journal {
        author: "router-9.00ff.1".into(),
        entry: Entry::Flush {
            shares: [("confetti".into(), share)].into(),
            bills: vec![bill],
        },
    };
    fleet.put("budget/confetti", &account).await;
    fleet
        .put("journal/router-9.00ff.1/000000000001", &journal)
        .await;
    fleet.put("host/router-9.00ff", &json!({})).await;

    let status = operator.get("/hosts/router-9").await.accepted();
    assert_eq!(status["journals"][0]["state"], "open");
    assert_eq!(status["journals"][0]["stranded"], 80);
    for request in ["lost-1", "lost-1", "lost-2"] {
        let released = operator.make(request, "/hosts/router-9/lost", json!({}));
        assert_eq!(released.await["holders"], json!(["router-9.00ff.1"]));
        let budget = operator.get("/budgets/confetti").await.accepted();
        assert_eq!(
            (&budget["allocated"], &budget["rest"]),
            (&json!(20), &json!(480))
        );
    }
    let status = operator.get("/hosts/router-9").await.accepted();
    assert_eq!(status["journals"][0]["state"], "lost");
    let bills = operator.get("/bills?budget=confetti").await.accepted();
    assert_eq!(bills["items"].as_array().unwrap().len(), 1);
    assert_eq!(bills["items"][0]["charged"], 20);
    let spend = operator.get("/spend?by=workspace").await.accepted();
    assert_eq!(spend["totals"][0]["name"], "kolkata");
    assert_eq!(spend["totals"][0]["charged"], 20);
}

/// Guards against a bill that is counted once in a segment and once more in the journal.
#[tokio::test]
async fn a_bill_in_journal_and_segment_counts_once() {
    let fleet = Fleet::start(1).await;
    let operator = fleet.operator(0);
    let bill = |request: &str, charged: u64| Bill {
        request: request.into(),
        workspace: "kolkata".into(),
        budget: "confetti".into(),
        model: "drafting".into(),
        upstream: "d1".into(),
        charged,
        uncovered: 0,
    };
    let segment = Segment {
        holder: "router-9.00ff.1".into(),
        first: 1,
        last: 1,
        // Far in the future, so that the segment counts as recent.
        at: 99_999_999_999,
        bills: vec![bill("a", 3), bill("b", 4)],
    };
    fleet
        .put_object(&segment.key("confetti"), segment.encode())
        .await;
    for (sequence, bills) in [
        (1, vec![bill("b", 4)]),
        (2, vec![bill("b", 4), bill("c", 5)]),
    ] {
        let entry = Entry::Flush {
            shares: BTreeMap::new(),
            bills,
        };
        let journal = Journal {
            author: "router-9.00ff.1".into(),
            entry,
        };
        let key = format!("journal/router-9.00ff.1/{sequence:012}");
        fleet.put(&key, &journal).await;
    }
    let spend = operator.get("/spend?by=budget").await.accepted();
    let total = json!({"name": "confetti", "bills": 3, "charged": 12, "uncovered": 0});
    assert_eq!(spend, json!({"totals": [total], "complete": true}));
    let mut requests = Vec::new();
    let mut after = String::new();
    loop {
        let call = format!("/bills?limit=1&after={}", after.replace('#', "%23"));
        let page = operator.get(&call).await.accepted();
        for bill in page["items"].as_array().unwrap() {
            requests.push(bill["request"].as_str().unwrap().to_owned());
        }
        match page["next"].as_str() {
            Some(next) => next.clone_into(&mut after),
            None => break,
        }
    }
    assert_eq!(requests, ["a", "b", "c"]);
}

/// Guards against "in effect everywhere" from a host that has not heard of a listed host.
#[tokio::test]
async fn a_listed_host_that_is_not_heard_counts_as_unreachable() {
    let fleet = Fleet::start(1).await;
    fleet.configure().await;
    fleet.put("host/router-9.00ff", &json!({})).await;
    let progress = fleet.operator(0).get("/progress").await.accepted();
    let unheard = json!([{"host": "router-9", "version": 0}]);
    assert_eq!(progress["unreachable"], unheard);
    assert_eq!(progress["everywhere"], false);
}

/// Guards against an OpenAPI document that lacks an operation or the form of errors.
#[tokio::test]
async fn the_openapi_document_lists_every_resource() {
    let fleet = Fleet::start(1).await;
    let document = fleet.operator(0).get("/openapi.json").await.accepted();
    let paths = document["paths"].as_object().unwrap();
    for path in [
        "/settings",
        "/settings/explain",
        "/settings/value",
        "/settings/apply",
        "/settings/preview",
        "/settings/history",
        "/settings/diff",
        "/workspaces",
        "/budgets",
        "/budgets/{budget}",
        "/budgets/{budget}/top-up",
        "/budgets/{budget}/cut",
        "/upstreams",
        "/upstreams/{upstream}/withdraw",
        "/upstreams/{upstream}/restore",
        "/withdrawals",
        "/withdrawals/preview",
        "/restorations",
        "/restorations/preview",
        "/progress",
        "/hosts",
        "/hosts/{host}",
        "/hosts/{host}/lost",
        "/bills",
        "/spend",
        "/audit",
        "/keys",
        "/keys/{name}",
    ] {
        let operations = paths
            .get(&format!("/admin/v1{path}"))
            .unwrap_or_else(|| panic!("{path} is missing"));
        for (method, operation) in operations.as_object().unwrap() {
            let errors = &operation["responses"]["400"]["content"];
            assert!(
                !errors.is_null(),
                "{method} {path} does not describe errors"
            );
        }
    }
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
                _ => fleet.platform.inject(Order::default()),
            }
            let mut answer = book(operator, &request, &budget, change).await;
            if answer.status == 503 {
                fleet.platform.inject(Order::default());
                answer = book(operator, &request, &budget, change).await;
            }
            oracle.take(&request, &budget, change, &answer);
        }
        fleet.platform.inject(Order::default());
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
