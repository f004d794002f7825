//! Tests of withdrawals and restorations.

use {
    super::{Action, Disposition, Plan, Progress, Repeat, Selector},
    crate::{
        config::{Catalog, Change, Edit, Kind, Reason, RunningPolicy, Setting, Tree, Value},
        fleet,
    },
    std::{collections::BTreeSet, sync::Arc},
};

const WITHDRAW: Action = Action::Withdraw(RunningPolicy::Finish);

fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

fn text(text: &str) -> Value {
    Value::Text(text.into())
}

fn pairs(pairs: &[(&str, &str)]) -> Value {
    let pairs = pairs.iter().map(|(a, b)| ((*a).into(), (*b).into()));
    Value::Labels(pairs.collect())
}

/// Returns a tree with three upstreams in two availability zones; two have the label of lot 7, and
/// one serves two models.
fn tree() -> Tree {
    let mut edits = Vec::new();
    for path in ["drafting", "desk"] {
        let kind = Kind::Model;
        let path = path.into();
        edits.push(Edit::Add { path, kind });
    }
    for (id, zone, lot, version) in [
        ("d1", "howrah", "7", "1"),
        ("d2", "howrah", "8", "2"),
        ("d3", "durgapur", "7", "2"),
    ] {
        let path = format!("drafting/{id}");
        edits.push(Edit::Add {
            path: path.as_str().into(),
            kind: Kind::Upstream,
        });
        edits.push(set(&path, Setting::Url, text(&format!("http://{id}"))));
        edits.push(set(&path, Setting::Region, text("east")));
        edits.push(set(&path, Setting::Zone, text(zone)));
        edits.push(set(&path, Setting::Labels, pairs(&[("lot", lot)])));
        edits.push(set(
            &path,
            Setting::Versions,
            pairs(&[("drafting", version)]),
        ));
    }
    let both = ["drafting", "desk"].map(Into::into).to_vec();
    edits.push(set("drafting/d3", Setting::Serves, Value::Names(both)));
    let change = Change {
        edits,
        force: false,
    };
    change.validate(&Tree::default()).unwrap()
}

fn lot(lot: &str) -> Selector {
    Selector {
        labels: [("lot".into(), lot.into())].into(),
        ..Selector::default()
    }
}

fn names(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against a dry run that miscounts the remaining capacity.
#[test]
fn plan_counts_what_remains() {
    let plan = Plan::new(4, &tree(), &lot("7"), WITHDRAW);
    let hits: Vec<_> = plan.hits.iter().map(|hit| &*hit.upstream).collect();
    assert_eq!(hits, ["d1", "d3"]);
    let lines = plan.capacity.iter();
    let lines: Vec<_> = lines
        .map(|line| (&*line.serves, &*line.zone, line.before, line.after))
        .collect();
    assert_eq!(
        lines,
        [
            ("desk", "durgapur", 1, 0),
            ("drafting", "durgapur", 1, 0),
            ("drafting", "howrah", 2, 1),
        ]
    );
    assert_eq!(plan.emptied, ["desk".into()]);
}

/// Guards against a withdrawal without force that takes the last upstream of a model out of
/// service.
#[test]
fn emptying_needs_force() {
    let plan = Plan::new(4, &tree(), &lot("7"), WITHDRAW);
    let mistakes = plan.validate(&tree()).unwrap_err().0;
    let reasons: Vec<_> = mistakes.iter().map(|m| (&*m.path, &m.reason)).collect();
    assert_eq!(reasons, [("desk", &Reason::NothingLeft)]);
    let changed = plan.with_force().validate(&tree()).unwrap();
    let catalog = Catalog::compile(5, &changed);
    let in_service = |serves| catalog.candidates(serves).map(|(id, _)| &**id).collect();
    let (drafting, desk): (Vec<_>, Vec<_>) = (in_service("drafting"), in_service("desk"));
    assert_eq!((drafting, desk), (vec!["d2"], vec![]));
}

/// Guards against an empty selector that selects everything.
#[test]
fn empty_selector_selects_nothing() {
    let plan = Plan::new(4, &tree(), &Selector::default(), WITHDRAW);
    assert_eq!(plan.hits, []);
    let mistakes = plan.validate(&tree()).unwrap_err().0;
    assert_eq!(mistakes[0].reason, Reason::Empty);
}

/// Guards against the withdrawal of one model also withdrawing the other models of an upstream.
#[test]
fn model_leaves_the_rest_of_its_upstream_in_service() {
    let selector = Selector {
        models: names(&["drafting"]),
        versions: names(&["2"]),
        ..Selector::default()
    };
    let plan = Plan::new(4, &tree(), &selector, WITHDRAW);
    let changed = plan.validate(&tree()).unwrap();
    let catalog = Catalog::compile(5, &changed);
    let in_service = |serves| catalog.candidates(serves).map(|(id, _)| &**id).collect();
    let (drafting, desk): (Vec<_>, Vec<_>) = (in_service("drafting"), in_service("desk"));
    assert_eq!((drafting, desk), (vec!["d1"], vec!["d3"]));
}

/// Guards against a restoration that leaves overrides behind or restores more than the batch.
#[test]
fn restoration_undoes_the_withdrawal() {
    let selectors = [
        lot("8"),
        Selector {
            versions: names(&["2"]),
            ..Selector::default()
        },
    ];
    for selector in selectors {
        for running in [RunningPolicy::Finish, RunningPolicy::Move] {
            let plan = Plan::new(4, &tree(), &selector, Action::Withdraw(running));
            let changed = plan.validate(&tree()).unwrap();
            assert_ne!(changed, tree());
            let restoration = Plan::new(5, &changed, &selector, Action::Restore);
            assert_eq!(restoration.validate(&changed).unwrap(), tree());
        }
    }
}

/// Guards against a change that only reorders the models that are already withdrawn. It would
/// create a version without effect, and a conflict for other operators.
#[test]
fn part_of_a_withdrawn_batch_needs_no_edit() {
    let batch = |models: &[&str]| Selector {
        upstreams: names(&["d3"]),
        models: names(models),
        ..Selector::default()
    };
    let plan = Plan::new(4, &tree(), &batch(&["drafting", "desk"]), WITHDRAW);
    let changed = plan.with_force().validate(&tree()).unwrap();
    for model in ["drafting", "desk"] {
        let again = Plan::new(5, &changed, &batch(&[model]), WITHDRAW);
        assert_eq!(again.change.edits, [], "{model}");
    }
}

/// Guards against a restoration without effect on an upstream whose parent is withdrawn.
#[test]
fn restoration_overrides_a_withdrawn_parent() {
    let edits = vec![set("drafting", Setting::State, text("withdrawn"))];
    let change = Change { edits, force: true };
    let changed = change.validate(&tree()).unwrap();
    let plan = Plan::new(5, &changed, &lot("8"), Action::Restore);
    let restored = plan.validate(&changed).unwrap();
    let catalog = Catalog::compile(6, &restored);
    let in_service: Vec<_> = catalog
        .candidates("drafting")
        .map(|(id, _)| &**id)
        .collect();
    assert_eq!(in_service, ["d2"]);
}

/// Guards against moving a request that must be executed at most once.
#[test]
fn only_idempotent_work_moves() {
    let plan = Plan::new(4, &tree(), &lot("8"), Action::Withdraw(RunningPolicy::Move));
    let catalog = Catalog::compile(5, &plan.validate(&tree()).unwrap());
    let disposition = |upstream, repeat| Disposition::of(&catalog, upstream, "drafting", repeat);
    assert_eq!(disposition("d2", Repeat::Allowed), Disposition::Move);
    assert_eq!(disposition("d2", Repeat::Never), Disposition::Finish);
    assert_eq!(disposition("d1", Repeat::Allowed), Disposition::Finish);
}

/// Guards against reporting a withdrawal as done before every reachable host has reported that no
/// requests run on withdrawn upstreams.
#[test]
fn progress_waits_for_each_reachable_host() {
    let mut progress = Progress {
        hosts: fleet::Progress {
            version: 5,
            applied: vec!["h1".into()],
            behind: vec![("h2".into(), 4)],
            unreachable: vec![("h3".into(), 4)],
        },
        running: [("h1".into(), 0)].into(),
    };
    assert!(!progress.is_in_effect());
    progress.hosts.behind.clear();
    assert!(progress.is_done());
    progress.hosts.applied.push("h2".into());
    assert!(!progress.is_done());
}
