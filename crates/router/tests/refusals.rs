//! Table-driven tests of calls of the administration API that must be refused.
//!
//! Guards against calls that are accepted despite mistakes or without the role, against mistakes
//! that hide each other, and against error answers of a wrong form or kind.

#![allow(clippy::unwrap_used)]

mod fleet;
mod operator;

use {
    marigoldroute_core::config::hash_key,
    operator::{Fleet, KEY},
    reqwest::Method,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{path::Path, sync::OnceLock},
    tokio::runtime::Runtime,
};

/// A call and the refusal that is expected.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    method: String,
    path: String,
    /// Role of the key that is used; the initial key if absent.
    role: Option<String>,
    /// Key that is used instead of a role's key.
    key: Option<String>,
    request: Option<String>,
    #[serde(default)]
    body: Value,
    status: u16,
    kind: String,
    /// Paths of all mistakes, sorted; not compared when absent.
    mistakes: Option<Vec<String>>,
}

struct Harness {
    runtime: Runtime,
    fleet: Fleet,
}

/// Returns the fleet that all cases share; refused calls do not change it.
fn harness() -> &'static Harness {
    static HARNESS: OnceLock<Harness> = OnceLock::new();
    HARNESS.get_or_init(|| {
        let runtime = Runtime::new().unwrap();
        let fleet = runtime.block_on(async {
            let fleet = Fleet::start(1).await;
            fleet.configure().await;
            let operator = fleet.operator(0);
            for role in ["read", "operate", "money"] {
                let body = json!({"hash": hash_key(&key_of(role)), "roles": [role]});
                let path = format!("/keys/{role}");
                let request = format!("key-{role}");
                operator.put(&request, &path, &body).await.accepted();
            }
            fleet
        });
        Harness { runtime, fleet }
    })
}

fn key_of(role: &str) -> String {
    format!("key-with-the-role-{role}")
}

fn check(path: &Path) -> datatest_stable::Result<()> {
    let cases: Vec<Case> = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let Harness { runtime, fleet } = harness();
    for case in cases {
        let key = match (&case.key, &case.role) {
            (Some(key), _) => key.clone(),
            (None, Some(role)) => key_of(role),
            (None, None) => KEY.to_owned(),
        };
        let operator = fleet.operator_with(0, &key);
        let method: Method = case.method.parse()?;
        let request = case.request.as_deref();
        let before = runtime.block_on(fleet.operator(0).version());
        let answer = runtime.block_on(operator.call(method, &case.path, request, &case.body));
        assert_eq!(answer.status, case.status, "{}: {}", case.name, answer.body);
        assert_eq!(answer.kind(), case.kind, "{}: {}", case.name, answer.body);
        assert_eq!(
            answer.body["error"]["request_id"],
            request.unwrap_or_default(),
            "{}",
            case.name
        );
        if let Some(mistakes) = &case.mistakes {
            assert_eq!(
                answer.mistakes(),
                *mistakes,
                "{}: {}",
                case.name,
                answer.body
            );
        }
        let after = runtime.block_on(fleet.operator(0).version());
        assert_eq!(
            after, before,
            "{}: the refused call made a version",
            case.name
        );
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/refusals", pattern = r"\.json$" },
}
