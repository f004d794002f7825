//! Arbitrary input of configuration and membership. Guards against panics and against a host that
//! puts a configuration from malformed or hostile messages into effect.

use {
    marigoldroute_core::{
        config::{self, Change, Log, Packet, Piece, Proposal, Rebase, Submission, Tree, Versions},
        fleet::{Applied, Fact, Gossip, Host, HostMark, Report, Suspicion, View},
        id::HostId,
        table::Row,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    prost::Message,
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const CASES: u32 = 512;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

fn log() -> Log {
    Log::new(config::Settings::default(), NOW)
}

fn view() -> View {
    let host = Host {
        id: "me".into(),
        incarnation: 1,
        region: "r".into(),
        zone: "z".into(),
        address: "a".into(),
        weight: 1,
    };
    View::new(host, Default::default(), NOW)
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..300);
    let result = runner().run(&bytes, |bytes| {
        let peer: HostId = "peer".into();
        if let Ok(packet) = Packet::decode(&*bytes) {
            let mut log = log();
            log.receive(NOW, &peer, packet);
            prop_assert_eq!(log.version(), 0);
        }
        if let Ok(gossip) = Gossip::decode(&*bytes) {
            let mut random = SmallRng::seed_from_u64(1);
            view().receive(NOW, &peer, &gossip, &mut random);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn arbitrary_rows_do_not_panic() {
    let value = prop_oneof![
        any::<String>(),
        Just(r#"{"version":18446744073709551615}"#.to_owned()),
        Just(r#"{"version":5,"parts":18446744073709551615}"#.to_owned()),
        Just(r#"{"version":1,"base":0,"author":"","time_ms":0,"request":"","change":{}}"#.into()),
    ];
    let rows = proptest::collection::vec((any::<String>(), value), 0..4);
    let result = runner().run(&rows, |rows| {
        let rows: Vec<_> = rows
            .into_iter()
            .map(|(key, value)| Row {
                key: key.into(),
                version: 1,
                value: value.into(),
            })
            .collect();
        let mut log = log();
        log.apply_pointer(NOW, rows.first());
        log.apply_parts(NOW, &rows);
        log.apply_rows(NOW, &rows);
        log.apply_head(NOW, rows.first());
        log.snapshot(rows.first());
        log.trim(rows.first(), &rows);
        prop_assert_eq!(log.version(), 0);
        let mut proposal = Proposal::new(Submission {
            change: Change::default(),
            author: "".into(),
            request: "".into(),
            time_ms: 0,
            base: 0,
            rebase: Rebase::Never,
        });
        let _ = proposal.decide(&rows, &log);
        Ok(())
    });
    result.unwrap();
}

fn extreme() -> impl Strategy<Value = u64> {
    prop_oneof![0..3_u64, Just(u64::MAX), Just(u64::MAX - 1)]
}

#[test]
fn extreme_numbers_do_not_panic() {
    let message = (
        extreme(),
        extreme(),
        any::<String>(),
        any::<i32>(),
        any::<bool>(),
    );
    let result = runner().run(&message, |(first, second, text, number, flag)| {
        let peer: HostId = "peer".into();
        let mut log = log();
        let bodies = [
            config::Body::Fetch(config::Fetch { after: first }),
            config::Body::Copy(config::Copy {
                version: first,
                after: text.clone(),
            }),
            config::Body::Versions(Versions {
                newest: first,
                is_serving: flag,
                records: vec![text.clone()],
                is_answer: true,
            }),
            config::Body::Piece(Piece {
                version: second,
                after: String::new(),
                nodes: text.clone(),
                is_last: flag,
            }),
        ];
        for body in bodies {
            log.receive(NOW, &peer, Packet { body: Some(body) });
        }
        prop_assert_eq!(log.version(), 0);
        let mut view = view();
        let id = if flag { "me".to_owned() } else { text.clone() };
        let facts = [
            Fact::Host(HostMark {
                id: id.clone(),
                incarnation: first,
                revision: second,
                phase: number,
                weight: number.unsigned_abs(),
                ..HostMark::default()
            }),
            Fact::Applied(Applied {
                id: id.clone(),
                incarnation: first,
                version: second,
            }),
            Fact::Suspicion(Suspicion {
                id,
                incarnation: first,
                revision: second,
                reporter: text.clone(),
            }),
            Fact::Report(Report {
                upstream: text.clone(),
                reporter: text,
                incarnation: first,
                sequence: second,
                evidence: number,
            }),
        ];
        let gossip = Gossip {
            version: first,
            buckets: vec![first, second],
            marks: facts.into_iter().map(Into::into).collect(),
            kind: number,
        };
        let mut random = SmallRng::seed_from_u64(1);
        view.receive(NOW, &peer, &gossip, &mut random);
        for second in 0..30 {
            view.tick(NOW + Duration::from_secs(second), &mut random);
        }
        Ok(())
    });
    result.unwrap();
}

/// Guards against a malformed change that makes validation panic instead of listing mistakes.
#[test]
fn arbitrary_changes_do_not_panic() {
    let path = prop_oneof![any::<String>(), Just("a".to_owned()), Just(String::new())];
    let value = prop_oneof![
        Just(r#"{"tokens": 1}"#),
        Just(r#"{"tokens": -1}"#),
        Just(r#"{"names": [""]}"#),
        Just("null"),
        Just(r#"{"labels": {"": ""}}"#),
        Just("[[[]]]"),
    ];
    let setting = prop_oneof![
        Just("output_limit"),
        Just("serves"),
        Just("labels"),
        Just("x")
    ];
    let edits = proptest::collection::vec((path, setting, value), 0..5);
    let result = runner().run(&edits, |edits| {
        let mut tree = Tree::default();
        for (path, setting, value) in edits {
            let path = serde_json::Value::from(path);
            let text = format!(
                r#"{{"edits": [{{"add": {{"path": {path}, "kind": "model"}}}},
                {{"set": {{"path": {path}, "setting": "{setting}", "value": {value}}}}}]}}"#
            );
            let change: Change = serde_json::from_str(&text).unwrap();
            if let Ok(later) = change.validate(&tree) {
                tree = later;
            }
            change.apply(&mut tree.clone());
        }
        Ok(())
    });
    result.unwrap();
}
