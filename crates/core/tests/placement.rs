//! Placement of models as the router uses it: settings, halted rollouts, and the models that
//! upstreams hold.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute_core::{
        config::{Catalog, Change, Edit, Kind, Reason, Setting, Tree, Value},
        fleet::{
            Fact, Gossip, Held, Host, HostMark, Kind as Message, Mark, Phase, Settings as Times,
            View,
        },
        id::UpstreamId,
        placement::{
            Demand, Engine, EngineState, Halt, Lease, ModelVersion, Order, Planner, Settings,
        },
        table::{Memory, Transaction, Verdict, Write},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
};

const NOW: Duration = Duration::from_secs(1_000);

fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

fn model(extra: impl IntoIterator<Item = Edit>) -> Change {
    let mut edits = vec![Edit::Add {
        path: "drafting".into(),
        kind: Kind::Model,
    }];
    edits.extend(extra);
    Change {
        edits,
        force: false,
    }
}

fn complete_placement() -> Vec<Edit> {
    vec![
        set("drafting", Setting::Placement, Value::Flag(true)),
        set("drafting", Setting::ModelVersion, Value::Count(2)),
        set("drafting", Setting::Demand, Value::Tokens(180)),
        set("drafting", Setting::ReplicaRate, Value::Tokens(100)),
    ]
}

/// Guards against orders for a model whose placement is not enabled.
#[test]
fn placement_is_off_unless_it_is_set() {
    let placed = |change: Change| {
        let tree = change.validate(&Tree::default()).unwrap();
        Catalog::compile(1, &tree).placement.len()
    };
    assert_eq!(placed(model([])), 0);
    assert_eq!(placed(model(complete_placement().split_off(1))), 0);
    assert_eq!(placed(model(complete_placement())), 1);
}

/// Guards against a model that is placed without a version, a demand or a replica rate.
#[test]
fn placement_needs_a_version_and_a_size() {
    for missing in 1..4 {
        let mut edits = complete_placement();
        edits.remove(missing);
        let rejection = model(edits).validate(&Tree::default()).unwrap_err();
        assert!(matches!(rejection.0[0].reason, Reason::Missing { .. }));
    }
    let zeros = [
        (Setting::ModelVersion, Value::Count(0)),
        (Setting::ReplicaRate, Value::Tokens(0)),
    ];
    for (setting, zero) in zeros {
        let mut edits = complete_placement();
        edits.push(set("drafting", setting, zero));
        let rejection = model(edits).validate(&Tree::default()).unwrap_err();
        assert_eq!(rejection.0[0].reason, Reason::BadValue);
    }
}

fn engine(number: usize, models: &[&str]) -> Engine {
    Engine {
        id: format!("e{number}").into(),
        zone: "z0".into(),
        is_fencing: true,
        models: models.iter().map(|model| (*model).into()).collect(),
    }
}

fn demand(model: &str, version: u64) -> Demand {
    Demand {
        model: model.into(),
        version,
        rate: 180.0,
        replica_rate: 100.0,
    }
}

fn loaded(version: u64) -> EngineState {
    EngineState {
        loaded: Some(ModelVersion {
            model: "drafting".into(),
            version,
        }),
        loading: None,
    }
}

fn plan(
    planner: &mut Planner,
    now: Duration,
    engines: &[Engine],
    reports: &BTreeMap<UpstreamId, EngineState>,
    version: u64,
) -> Option<Order> {
    let lease = Lease {
        fencing: 3,
        acquired: now,
        until: now + Duration::from_secs(15),
    };
    planner.plan(
        now,
        &lease,
        engines,
        reports,
        &[demand("drafting", version)],
    )
}

/// Guards against an order to an engine that must not hold the model.
#[test]
fn engine_gets_only_models_that_it_may_hold() {
    let engines = [engine(0, &["desk"]), engine(1, &["desk", "drafting"])];
    let mut planner = Planner::new(Settings::default());
    let order = plan(&mut planner, NOW, &engines, &BTreeMap::new(), 1).unwrap();
    assert_eq!(&*order.engine, "e1");
    let later = NOW + Duration::from_secs(5);
    assert_eq!(
        plan(&mut planner, later, &engines, &BTreeMap::new(), 1),
        None
    );
}

/// Guards against a halted rollout that the next holder of the lease starts again, and against a
/// halt that prevents a rollback by an operator.
#[test]
fn recorded_halt_holds_for_the_next_holder() {
    let engines: Vec<_> = (0..4).map(|n| engine(n, &["drafting"])).collect();
    let reports: BTreeMap<_, _> = engines.iter().map(|e| (e.id.clone(), loaded(1))).collect();
    let mut first = Planner::new(Settings::default());
    let order = plan(&mut first, NOW, &engines, &reports, 2).unwrap();
    assert_eq!(order.load.version, 2);
    assert!(first.record_responses("drafting", 2, 100, 30));
    let halts = first.halts(7);
    assert_eq!(halts.len(), 1);
    let mut next = Planner::new(Settings::default());
    next.restore_halt(&halts[0]);
    assert_eq!(plan(&mut next, NOW, &engines, &reports, 2), None);
    // One replica was updated before the halt; the rollback needs no steps.
    let mut reports = reports;
    reports.insert("e0".into(), loaded(2));
    let order = plan(&mut next, NOW, &engines, &reports, 1).unwrap();
    assert_eq!((&*order.engine, order.load.version), ("e0", 1));
}

/// Guards against a halt that an earlier holder of the lease writes, and against one that a host
/// with an older configuration removes.
#[test]
fn halt_is_written_under_the_lease_and_ends_with_a_newer_configuration() {
    let halt = Halt {
        model: "drafting".into(),
        from: 1,
        to: 2,
        config: 7,
    };
    let mut table = Memory::default();
    let put = |table: &mut Memory| {
        let mut transaction = Transaction::default();
        transaction.put("lease/placement", "{}");
        table.commit(&transaction);
        table.get("lease/placement").unwrap().clone()
    };
    let old = put(&mut table);
    let current = put(&mut table);
    assert!(matches!(
        table.commit(&halt.record(&old)),
        Verdict::Conflict(_)
    ));
    assert_eq!(table.commit(&halt.record(&current)), Verdict::Committed);
    let row = table.get(&Halt::key("drafting")).unwrap();
    assert_eq!(Halt::decode(row).unwrap(), halt);
    let removal = halt.remove(&current);
    assert!(matches!(&removal.writes[..], [Write::Delete { key }] if *key == row.key));
    let cases = [
        (7, Some(1), false),
        (8, Some(2), false),
        (8, Some(1), true),
        (8, None, true),
    ];
    for (config, wanted, is_over) in cases {
        assert_eq!(halt.is_over(config, wanted), is_over, "{config} {wanted:?}");
    }
}

fn view(id: &str) -> View {
    let host = Host {
        id: id.into(),
        incarnation: 1,
        region: "r".into(),
        zone: "z".into(),
        address: "127.0.0.1:1".into(),
        weight: 1,
    };
    View::new(host, Times::default(), NOW)
}

/// Delivers reports of another host to a view.
fn deliver(to: &mut View, reports: &[Held]) {
    let gossip = Gossip {
        marks: reports
            .iter()
            .map(|held| Fact::Held(held.clone()).into())
            .collect(),
        kind: Message::Urgent.into(),
        ..Gossip::default()
    };
    to.receive(
        NOW,
        &"peer".into(),
        &gossip,
        &mut SmallRng::seed_from_u64(5),
    );
}

fn held(reporter: &str, sequence: u64, model: &str) -> Held {
    Held {
        upstream: "u".into(),
        reporter: reporter.into(),
        sequence,
        model: model.into(),
    }
}

/// Guards against hosts that end with different models for an upstream, whatever the order in
/// which the reports arrive.
#[test]
fn hosts_agree_on_what_an_upstream_holds() {
    let reports = [
        held("a", 1, "desk"),
        held("b", 2, "drafting"),
        held("a", 2, ""),
    ];
    for order in [
        [0, 1, 2],
        [2, 1, 0],
        [1, 2, 0],
        [1, 0, 2],
        [0, 2, 1],
        [2, 0, 1],
    ] {
        let mut view = view("me");
        let reports = order.map(|index| reports[index].clone());
        deliver(&mut view, &reports);
        assert_eq!(&*view.held_models()["u"], "drafting", "{order:?}");
        // A host that probes the upstream and finds another model replaces the report.
        view.record_held_model(&"u".into(), "stock");
        assert_eq!(&*view.held_models()["u"], "stock");
        deliver(&mut view, &reports);
        assert_eq!(&*view.held_models()["u"], "stock");
    }
}

fn ready(id: &str) -> Fact {
    Fact::Host(HostMark {
        id: id.into(),
        incarnation: 1,
        revision: 1,
        phase: Phase::Ready.into(),
        region: "r".into(),
        zone: "z".into(),
        address: "127.0.0.1:1".into(),
        weight: 1,
    })
}

/// Guards against a host that never learns what an upstream holds because the mark was lost.
#[test]
fn lost_mark_is_repaired_by_a_digest() {
    let mut random = SmallRng::seed_from_u64(5);
    let (mut one, mut other) = (view("one"), view("other"));
    let introduce = |view: &mut View, id: &str| {
        let gossip = Gossip {
            marks: vec![ready(id).into()],
            kind: Message::Urgent.into(),
            ..Gossip::default()
        };
        view.receive(NOW, &id.into(), &gossip, &mut SmallRng::seed_from_u64(5));
    };
    introduce(&mut one, "other");
    introduce(&mut other, "one");
    one.record_held_model(&"u".into(), "drafting");
    let is_held = |mark: &Mark| matches!(mark.fact, Some(Fact::Held(_)));
    let mut now = NOW;
    let mut resent = 0;
    for _ in 0..10 {
        now += Duration::from_secs(1);
        let sent = one.tick(now, &mut random);
        resent = sent
            .iter()
            .flat_map(|(_, gossip)| &gossip.marks)
            .filter(|m| is_held(m))
            .count();
    }
    assert_eq!(resent, 0, "the mark is still sent");
    let sent = other.tick(now, &mut random);
    let digest = sent.iter().find(|(_, gossip)| !gossip.buckets.is_empty());
    let answer = one.receive(now, &"other".into(), &digest.unwrap().1, &mut random);
    other.receive(now, &"one".into(), &answer.unwrap(), &mut random);
    assert_eq!(&*other.held_models()["u"], "drafting");
}
