//! `marigoldctl spend` over a range of time and several pages.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute::Settings,
    marigoldroute_core::{
        bill::{Bill, Segment},
        config::hash_key,
    },
    marigoldroute_store::{Client, StandIn as Platform},
    serde_json::{Value, json},
    std::{net::SocketAddr, process::Command, time::Duration},
};

const KEY: &str = "key-of-the-operator";
/// More than one page of 500.
const SEGMENTS: u64 = 701;
/// 2026-03-01T00:00:00Z; one segment follows per second.
const START: u64 = 1_772_323_200;

async fn run(url: &str, arguments: &str) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldctl"));
    command.env_clear().args(arguments.split(' '));
    command.args(["--url", url, "--key", KEY]);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

/// Guards against a report that ends with its first page, against forms of the output that differ
/// in content, and against times that are misread.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_adds_up_all_pages_in_each_form() {
    let local: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (platform, serve) = Platform::default().bind(local).await.unwrap();
    tokio::spawn(serve);
    let platform = format!("http://{platform}");
    let client = Client::new(platform.as_str(), Duration::from_secs(5)).unwrap();
    for number in 0..SEGMENTS {
        let segment = Segment {
            holder: "router-9.00ff.1".into(),
            first: number,
            last: number,
            at: START + number,
            bills: vec![Bill {
                request: format!("r-{number}").as_str().into(),
                workspace: "kolkata".into(),
                budget: "hems".into(),
                model: "drafting".into(),
                upstream: "d1".into(),
                charged: 3,
                uncovered: 1,
            }],
        };
        let key = segment.key("hems");
        client.put_object(&key, segment.encode()).await.unwrap();
    }
    let settings = Settings {
        host: "router-1".into(),
        listen: local,
        listen_peers: local,
        platform: platform.into(),
        fleet_keys: vec!["a-fleet-key-for-the-tests".into()],
        admin_key_hash: Some(hash_key(KEY).into()),
        ..Settings::default()
    };
    let router = marigoldroute::start(settings).await.unwrap();
    let url = format!("http://{}", router.address());

    let (_, csv) = run(&url, "spend --by workspace --output csv").await;
    assert_eq!(csv, "name,bills,charged,uncovered\nkolkata,701,2103,701\n");
    let (_, shown) = run(&url, "spend --output json").await;
    let shown: Value = serde_json::from_str(&shown).unwrap();
    let total = json!({"name": "hems", "bills": 701, "charged": 2_103, "uncovered": 701});
    assert_eq!(shown, json!([total]));
    let (_, table) = run(&url, "spend --by model").await;
    let cells: Vec<_> = table.split_whitespace().collect();
    let header = ["NAME", "BILLS", "CHARGED", "UNCOVERED"];
    assert_eq!(cells[..4], header);
    assert_eq!(cells[4..], ["drafting", "701", "2103", "701"]);

    // The second of the 10 bills is the first of the range, which ends before the last one.
    let range = "--from 2026-03-01T05:30:01+05:30 --to 2026-03-01T00:00:09Z";
    let (_, csv) = run(&url, &format!("spend {range} --output csv")).await;
    assert_eq!(csv, "name,bills,charged,uncovered\nhems,8,24,8\n");
    let (_, csv) = run(&url, "spend --to 2026-03-01 --output csv").await;
    assert_eq!(csv, "name,bills,charged,uncovered\n");
    let (_, csv) = run(&url, "spend --from 2026-03-01 --to 2026-03-02 --output csv").await;
    assert!(csv.ends_with("hems,701,2103,701\n"), "{csv}");
    for mistake in [
        "--from yesterday",
        "--from 2026-03-01T00:00:00",
        "--to 1969-01-01",
    ] {
        let (code, _) = run(&url, &format!("spend {mistake}")).await;
        assert_eq!(code, Some(2), "{mistake}");
    }
}
