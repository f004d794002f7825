//! What an operator is shown who loses against others.

#![allow(clippy::unwrap_used)]

mod fleet;
mod operator;

use {
    marigoldroute_core::config::hash_key,
    operator::Fleet,
    serde_json::{Value, json},
};

fn set(base: u64, path: &str, setting: &str, value: Value) -> Value {
    json!({"base": base, "path": path, "setting": setting, "value": value})
}

/// Guards against a conflict that does not say what was changed from what to what by whom, and
/// against one without any difference, where a value was changed and set back.
#[tokio::test]
async fn a_conflict_names_each_touched_value_and_who_changed_it() {
    let fleet = Fleet::start(2).await;
    fleet.configure().await;
    let first = fleet.operator(0);
    let hash = hash_key("key-of-the-second-operator");
    let key = json!({"hash": hash, "roles": ["operate"]});
    first.put("k", "/keys/second", &key).await.accepted();
    let second = fleet.operator_with(1, "key-of-the-second-operator");
    let class = |class: u64| json!({"class": class});

    let base = first.version().await;
    let steps = [
        (&first, "kolkata", "priority", class(2)),
        (&second, "kolkata", "priority", class(5)),
        (&second, "kolkata", "share", json!({"weight": 3})),
        (&first, "", "priority", class(1)),
        (&second, "", "priority", class(6)),
        (&first, "", "priority", class(1)),
    ];
    for (number, (operator, path, setting, value)) in (0..).zip(steps) {
        let body = set(base + number, path, setting, value);
        let request = format!("step-{number}");
        operator.make(&request, "/settings/value", body).await;
    }

    let body = set(base + 4, "kolkata", "priority", class(7));
    let lost = second.post("lost-1", "/settings/value", &body).await;
    assert_eq!((lost.status, lost.kind()), (409, "conflict"));
    let by = |operator: &str, number: u64| json!({"operator": operator, "version": base + number});
    let back = json!({
        "path": "", "setting": "priority", "before": class(1), "after": class(1),
        "by": [by("second", 5), by("initial", 6)],
    });
    assert_eq!(lost.body["error"]["unseen"]["differences"], json!([back]));

    let body = set(base, "kolkata", "priority", class(7));
    let lost = first.post("lost-2", "/settings/value", &body).await;
    let unseen = &lost.body["error"]["unseen"];
    assert_eq!(unseen["operators"], json!(["initial", "second"]));
    let changed = json!([
        {"path": "", "setting": "priority", "before": null, "after": class(1),
         "by": [by("initial", 4), by("second", 5), by("initial", 6)]},
        {"path": "kolkata", "setting": "priority", "before": null, "after": class(5),
         "by": [by("initial", 1), by("second", 2)]},
        {"path": "kolkata", "setting": "share", "before": null, "after": {"weight": 3},
         "by": [by("second", 3)]},
    ]);
    assert_eq!(unseen["differences"], changed);
}
