//! Tests of the settings tree.

use super::{Catalog, Change, Edit, Kind, Mistake, Reason, Setting, State, Tree, Value};

pub(super) fn add(path: &str, kind: Kind) -> Edit {
    Edit::Add {
        path: path.into(),
        kind,
    }
}

pub(super) fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

pub(super) fn unset(path: &str, setting: Setting) -> Edit {
    Edit::Unset {
        path: path.into(),
        setting: setting.to_string().into(),
    }
}

pub(super) fn change(edits: impl IntoIterator<Item = Edit>) -> Change {
    Change {
        edits: edits.into_iter().collect(),
        force: false,
    }
}

fn text(text: &str) -> Value {
    Value::Text(text.into())
}

/// One model with two upstreams, and a workspace with a nested one.
fn base() -> Tree {
    let edits = [
        add("drafting", Kind::Model),
        add("drafting/d1", Kind::Upstream),
        add("drafting/d2", Kind::Upstream),
        set("", Setting::Region, text("east")),
        set("drafting", Setting::Zone, text("howrah")),
        set("drafting/d1", Setting::Url, text("http://127.0.0.1:1")),
        set("drafting/d2", Setting::Url, text("http://127.0.0.1:2")),
        add("kolkata", Kind::Workspace),
        add("kolkata/hems", Kind::Workspace),
        set("kolkata", Setting::Budget, text("kolkata")),
        set("kolkata", Setting::OutputLimit, Value::Tokens(500)),
        set(
            "kolkata/hems",
            Setting::ApiKeys,
            Value::Hashes(vec![super::hash_key("k1").into()]),
        ),
    ];
    change(edits).validate(&Tree::default()).unwrap()
}

fn reasons(change: &Change, tree: &Tree) -> Vec<Reason> {
    let mistakes: Vec<Mistake> = change.validate(tree).unwrap_err().0;
    mistakes.into_iter().map(|m| m.reason).collect()
}

/// Guards against a nested workspace that does not see its parent's settings.
#[test]
fn children_inherit_unless_they_override() {
    let tree = base();
    let catalog = Catalog::compile(1, &tree);
    let access = catalog.access("k1").unwrap();
    assert_eq!((&*access.budget, access.output_limit), ("kolkata", 500));
    assert_eq!(&*access.workspace, "kolkata/hems");
    let own = set("kolkata/hems", Setting::OutputLimit, Value::Tokens(7));
    let tree = change([own]).validate(&tree).unwrap();
    assert_eq!(
        Catalog::compile(2, &tree)
            .access("k1")
            .unwrap()
            .output_limit,
        7
    );
}

/// Guards against treating the removal of an override as setting the parent's present value.
#[test]
fn removed_override_follows_the_parent() {
    let path = "kolkata/hems";
    let pinned = set(path, Setting::OutputLimit, Value::Tokens(500));
    let tree = change([pinned]).validate(&base()).unwrap();
    let raise = change([set("kolkata", Setting::OutputLimit, Value::Tokens(900))]);
    let limit = |tree: &Tree| Catalog::compile(1, tree).access("k1").unwrap().output_limit;
    assert_eq!(limit(&raise.validate(&tree).unwrap()), 500);
    let released = change([unset(path, Setting::OutputLimit)])
        .validate(&tree)
        .unwrap();
    assert_eq!(limit(&raise.validate(&released).unwrap()), 900);
}

/// Guards against an explanation that names the wrong origin.
#[test]
fn explanation_names_the_origin() {
    let lines = base().explain("drafting/d1").unwrap();
    let origin = |setting| {
        let line = lines.iter().find(|line| line.setting == setting);
        line.map(|line| line.origin.to_string())
    };
    assert_eq!(origin(Setting::Region).as_deref(), Some(""));
    assert_eq!(origin(Setting::Zone).as_deref(), Some("drafting"));
    assert_eq!(origin(Setting::Url).as_deref(), Some("drafting/d1"));
    assert_eq!(origin(Setting::Labels), None);
}

/// Guards against a difference that misses an override, a removal or a changed kind.
#[test]
fn difference_lists_each_changed_override() {
    let before = base();
    let edits = [
        Edit::Remove {
            path: "drafting/d2".into(),
        },
        set("kolkata", Setting::Share, Value::Weight(3)),
    ];
    let after = change(edits).validate(&before).unwrap();
    let lines: Vec<_> = before.diff(&after);
    let lines: Vec<_> = lines.iter().map(|d| (&*d.path, d.setting)).collect();
    assert_eq!(
        lines,
        [("drafting/d2", None), ("kolkata", Some(Setting::Share))]
    );
    assert_eq!(before.diff(&before), []);
}

/// Guards against a change that silently takes the last upstream of a model out of service.
#[test]
fn last_upstream_needs_force() {
    let withdraw = |path| set(path, Setting::State, text("withdrawn"));
    let one = change([withdraw("drafting/d1")]).validate(&base()).unwrap();
    let both = change([withdraw("drafting/d2")]);
    assert_eq!(reasons(&both, &one), [Reason::NothingLeft]);
    let forced = Change {
        force: true,
        ..both
    };
    let tree = forced.validate(&one).unwrap();
    let catalog = Catalog::compile(3, &tree);
    assert_eq!(catalog.candidates("drafting").count(), 0);
    assert_eq!(catalog.upstreams["d1"].state, State::Withdrawn);
}

/// Guards against a model that is removed while a workspace or upstream still names it.
#[test]
fn removal_with_references_is_refused() {
    let allow = set(
        "kolkata",
        Setting::Allowed,
        Value::Names(vec!["drafting".into()]),
    );
    let tree = change([allow]).validate(&base()).unwrap();
    let remove = Edit::Remove {
        path: "drafting".into(),
    };
    let name = "drafting".into();
    assert_eq!(
        reasons(&change([remove]), &tree),
        [Reason::Dangling { name }]
    );
}

/// Guards against siblings whose names share a prefix being removed together.
#[test]
fn removal_spares_names_with_the_same_prefix() {
    let edits = [
        add("kolkata-north", Kind::Workspace),
        add("kolkata0", Kind::Workspace),
        Edit::Remove {
            path: "kolkata".into(),
        },
    ];
    let tree = change(edits).validate(&base()).unwrap();
    let names = ["kolkata", "kolkata/hems", "kolkata-north", "kolkata0"];
    assert_eq!(
        names.map(|name| tree.get(name).is_some()),
        [false, false, true, true]
    );
}
