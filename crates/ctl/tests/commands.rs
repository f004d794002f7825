//! Commands of `marigoldctl` against a router in this process.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::hash_key,
    marigoldroute_store::StandIn as Platform,
    serde_json::{Value, json},
    std::{
        io::Read,
        net::{SocketAddr, TcpListener},
        process::{Command, Output},
    },
};

const KEY: &str = "key-of-the-operator";

/// A router with the address of its API.
struct Scene {
    url: String,
    _router: Handle,
}

impl Scene {
    async fn start() -> Self {
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (platform, serve) = Platform::default().bind(local).await.unwrap();
        tokio::spawn(serve);
        let settings = Settings {
            host: "router-1".into(),
            listen: local,
            listen_peers: local,
            platform: format!("http://{platform}").into(),
            fleet_keys: vec!["a-fleet-key-for-the-tests".into()],
            admin_key_hash: Some(hash_key(KEY).into()),
            ..Settings::default()
        };
        let router = marigoldroute::start(settings).await.unwrap();
        Self {
            url: format!("http://{}", router.address()),
            _router: router,
        }
    }

    async fn run(&self, arguments: &str) -> Output {
        run(&self.url, KEY, arguments).await
    }

    /// Runs a command that must succeed and returns its JSON output.
    async fn json(&self, arguments: &str) -> Value {
        let output = self.run(&format!("{arguments} --output json")).await;
        assert_eq!(output.status.code(), Some(0), "{arguments}: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    }
}

async fn run(url: &str, key: &str, arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldctl"));
    command.env_clear().args(arguments.split(' '));
    command.env("MARIGOLDCTL_URL", url);
    if !key.is_empty() {
        command.env("MARIGOLDCTL_KEY", key);
    }
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.unwrap().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Guards against an exit code other than the one that the help documents, and against messages on
/// standard output, where a program reads.
#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_are_as_documented() {
    let scene = Scene::start().await;
    scene.json("budgets top-up hems 5 --request-id a").await;
    let cases = [
        ("budgets", 2),
        ("budgets top-up hems much", 2),
        ("withdraw", 2),
        ("settings set / priority 9", 2),
        ("budgets show nothing", 4),
        ("settings explain nowhere", 4),
        ("budgets top-up hems 6 --request-id a", 5),
        ("settings set / priority 1 --base 7", 5),
        ("settings set / no_such 1", 1),
        ("settings set / priority high", 1),
        ("settings apply /nowhere.json", 1),
    ];
    for (arguments, code) in cases {
        let output = scene.run(arguments).await;
        assert_eq!(output.status.code(), Some(code), "{arguments}: {output:?}");
        assert!(output.stdout.is_empty(), "{arguments}");
        assert!(!output.stderr.is_empty(), "{arguments}");
    }
    let unknown = run(&scene.url, "another-key", "budgets list").await;
    assert_eq!(unknown.status.code(), Some(3), "{unknown:?}");
    let missing = run(&scene.url, "", "budgets list").await;
    assert_eq!(missing.status.code(), Some(1), "{missing:?}");
}

/// Guards against "nothing was done" where the call may have arrived, and the reverse.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_told_from_a_refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let server = std::thread::spawn(move || {
        for stream in listener.incoming().take(4) {
            // Reads the request and closes the connection without an answer.
            let _ = stream.unwrap().read(&mut [0; 4_096]);
        }
    });
    let lost = run(&url, KEY, "budgets top-up hems 5").await;
    assert_eq!(lost.status.code(), Some(7), "{lost:?}");
    assert!(text(&lost.stderr).contains("request id"), "{lost:?}");
    server.join().unwrap();
    // Nothing listens on port 1, and no system gives it to a process that asks for any port.
    let refused = run("http://127.0.0.1:1", KEY, "budgets top-up hems 5").await;
    assert_eq!(refused.status.code(), Some(6), "{refused:?}");
}

/// Guards against a mistake that is not shown, and against one line for several mistakes.
#[tokio::test(flavor = "multi_thread")]
async fn each_mistake_is_a_line_with_its_path() {
    let scene = Scene::start().await;
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("mistakes.json");
    let edits = json!({"edits": [
        {"set": {"path": "kolkata", "setting": "share", "value": {"weight": 1}}},
        {"set": {"path": "", "setting": "no_such", "value": {"weight": 1}}},
    ]});
    std::fs::write(&file, edits.to_string()).unwrap();
    let output = scene
        .run(&format!("settings apply {}", file.display()))
        .await;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let shown = text(&output.stderr);
    assert!(shown.contains("  /kolkata:share: no such node"), "{shown}");
    assert!(shown.contains("  /:no_such: unknown setting"), "{shown}");
}

/// Guards against a conflict that does not show what others changed.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_shows_the_difference() {
    let scene = Scene::start().await;
    scene.json("settings set / priority 2").await;
    let output = scene.run("settings set / priority 4 --base 0").await;
    assert_eq!(output.status.code(), Some(5), "{output:?}");
    let shown = text(&output.stderr);
    let line = "  changed by others: / priority from unset to {\"class\":2} by initial (version 1)";
    assert!(shown.contains(line), "{shown}");
    scene.json("workspaces create kolkata").await;
    let output = scene.run("settings set / priority 4 --base 1").await;
    let shown = text(&output.stderr);
    let line = "  changed by others: /kolkata added or removed by initial (version 2)";
    assert!(shown.contains(line), "{shown}");
}

/// Guards against forms of the output that differ in content.
#[tokio::test(flavor = "multi_thread")]
async fn lists_are_printed_in_three_forms() {
    let scene = Scene::start().await;
    scene.json("budgets top-up confetti 600").await;
    scene.json("budgets top-up hems 20000").await;
    let csv = scene.run("budgets list --output csv").await;
    let expected = "budget,purchased,allocated,rest,pending_cut\n\
                    confetti,600,0,600,0\nhems,20000,0,20000,0\n";
    assert_eq!(text(&csv.stdout), expected);
    let rows = scene.json("budgets list").await;
    assert_eq!(rows[1]["budget"], "hems");
    assert_eq!(rows[1]["purchased"], 20_000);
    let table = text(&scene.run("budgets list").await.stdout);
    let header = table.lines().next().unwrap();
    let columns: Vec<_> = header.split_whitespace().collect();
    assert_eq!(
        columns,
        ["BUDGET", "PURCHASED", "ALLOCATED", "REST", "PENDING_CUT"]
    );
    let page = scene.run("budgets list --limit 1 --output csv").await;
    assert_eq!(text(&page.stdout).lines().count(), 2);
    assert!(
        text(&page.stderr).contains("--after 'confetti'"),
        "{page:?}"
    );
}

/// Guards against values that reach the tree with another unit or content than typed.
#[tokio::test(flavor = "multi_thread")]
async fn values_are_read_by_the_unit_of_the_setting() {
    let scene = Scene::start().await;
    let cases = [
        ("output_limit 256", json!({"tokens": 256})),
        ("endurance 60", json!({"seconds": 60})),
        ("retry_share 5", json!({"percent": 5})),
        ("share 3", json!({"weight": 3})),
        ("priority 2", json!({"class": 2})),
        ("holders_per_region 2", json!({"count": 2})),
        ("idempotent true", json!({"flag": true})),
        ("region east", json!({"text": "east"})),
        (
            "labels lot=7,shelf=b",
            json!({"labels": {"lot": "7", "shelf": "b"}}),
        ),
    ];
    for (arguments, expected) in cases {
        scene.json(&format!("settings set / {arguments}")).await;
        let setting = arguments.split(' ').next().unwrap();
        let values = scene.json("settings explain /").await;
        let values = values.as_array().unwrap();
        let value = values.iter().find(|value| value["setting"] == setting);
        assert_eq!(value.unwrap()["value"], expected, "{arguments}");
        scene.json(&format!("settings unset / {setting}")).await;
    }
    assert_eq!(scene.json("settings explain /").await, json!([]));
}

/// Guards against a completion script that lacks a command.
#[tokio::test(flavor = "multi_thread")]
async fn completions_name_every_command() {
    let help = text(&run("", "", "--help").await.stdout);
    let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let commands = commands.take_while(|line| !line.is_empty());
    let script = text(&run("", "", "completions bash").await.stdout);
    let mut count = 0;
    for line in commands {
        let command = line.split_whitespace().next().unwrap();
        assert!(script.contains(command), "{command} is missing");
        count += 1;
    }
    assert!(count > 14, "only {count} commands");
}
