//! Property tests of the decoders of billing and claim rows and objects.

use {
    marigoldroute_core::{
        bill::{Cursor, Lease, Ledger, Page, Position, Segment, Settings},
        claim::Claim,
        fault::{Fault, Kind},
        table::Row,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
};

const VALID: [&str; 5] = [
    r#"{"author":"h1.1","request":"r1","body":"b","created":7,"state":{"done":{"status":200,"content_type":"a","body":{"text":"x"}}}}"#,
    r#"{"next":9,"kept":2,"batch":{"first":3,"last":8,"at":7,"dropped":[0,4]}}"#,
    r#"{"author":"h1.1","entry":{"flush":{"shares":{"b":{"allocated":3,"mark":2,"spent":1}},"bills":[]}}}"#,
    r#"{"holder":"h1.1","fencing":3,"until":9}"#,
    r#"{"holder":"h1.1","first":1,"last":2,"at":3,"bills":[{"request":"r","workspace":"w","budget":"b","model":"m","upstream":"u","charged":3,"uncovered":0}]}"#,
];

fn config() -> Config {
    Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x6d61_7269_0003),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Generates arbitrary texts, and valid values with one part replaced by noise.
fn text() -> impl Strategy<Value = String> {
    let any_text = any::<String>();
    let noise = prop::sample::select(vec![
        "-1",
        "null",
        "\"",
        "}",
        "18446744073709551616",
        "[]",
        "",
    ]);
    let damaged = (
        prop::sample::select(VALID.to_vec()),
        any::<prop::sample::Index>(),
        0..12_usize,
        noise,
    )
        .prop_map(|(valid, index, length, noise)| {
            let start = index.index(valid.len());
            let end = (start + length).min(valid.len());
            format!("{}{noise}{}", &valid[..start], &valid[end..])
        });
    prop_oneof![1 => any_text, 4 => damaged]
}

fn is_internal<T>(result: Result<T, Fault>) -> bool {
    result
        .err()
        .is_none_or(|fault| fault.kind == Kind::Internal)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic on a damaged row or object.
    #[test]
    fn decoders_report_damage(text in text(), bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        let row = |key: &str| Row { key: key.into(), version: 1, value: text.as_str().into() };
        prop_assert!(is_internal(Claim::decode(&row("claim/w/k"))));
        prop_assert!(is_internal(Lease::decode(&row("lease/ledger"))));
        prop_assert!(is_internal(Page::decode_cursor(Some(&row("ledger/h")))));
        let journal = [row("journal/h/000000000001")];
        prop_assert!(is_internal(Page::decode("h".into(), None, &journal)));
        prop_assert!(is_internal(Segment::decode("bills/b/1", text.as_bytes())));
        prop_assert!(is_internal(Segment::decode("bills/b/1", &bytes)));
        let _ = text.parse::<Position>();

        let lease = Row { value: VALID[3].into(), ..row("lease/ledger") };
        let mut ledger = Ledger::new(&lease, &[], Settings::default())?;
        let is_whole = bytes.len() % 8 == 0;
        let loaded = ledger.load(1, std::slice::from_ref(&bytes));
        prop_assert_eq!(loaded.is_ok(), is_whole);
    }

    /// Guards against positions and cursors that change when they are encoded and decoded.
    #[test]
    fn positions_and_cursors_round_trip(segment in "[ -~]{0,20}", bill in any::<usize>(), next in 1_u64..1_000_000_000_000) {
        let position = Position { segment: segment.as_str().into(), bill };
        prop_assert_eq!(position.to_string().parse(), Ok(position));
        let cursor = Cursor { next, kept: 1, batch: None, ended: None };
        let value = serde_json::to_string(&cursor).map_err(|e| TestCaseError::fail(e.to_string()))?;
        let row = Row { key: "ledger/h".into(), version: 1, value: value.into() };
        prop_assert_eq!(Page::decode_cursor(Some(&row)), Ok(cursor));
    }
}
