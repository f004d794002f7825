//! Cost of a settings tree of the full size.

use {
    super::{Settings, resident_kib},
    anyhow::Result,
    marigoldroute_core::{
        config::{
            self, Catalog, Change, Edit, Kind, Log, Record, Setting, Value, hash_key, log_key,
        },
        table::{Row, Write},
    },
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const REPEATS: u32 = 20;

/// Prints the cost of the steps of a change on a tree of the size of `settings`.
pub(super) fn run(settings: &Settings, out: &mut dyn std::io::Write) -> Result<()> {
    let resident = resident_kib();
    let mut log = log(settings)?;
    let memory = resident_kib().saturating_sub(resident);
    writeln!(out, "nodes,keys,step,milliseconds")?;
    let size = format!("{},{}", log.tree().len(), log.catalog().keys.len());
    let mut line =
        |step, time: Duration| writeln!(out, "{size},{step},{:.2}", time.as_secs_f64() * 1e3);
    let change = share("w0001", 7);
    let tree = log.tree().clone();
    line("validate", time(|| change.validate(&tree)))?;
    line("compile", time(|| Catalog::compile(1, &tree)))?;
    line("explain", time(|| tree.explain("w0001/b00001")))?;
    let start = Instant::now();
    for version in 0..u64::from(REPEATS) {
        let row = row(&log, share("w0001", version))?;
        log.apply_rows(Duration::ZERO, &[row]);
    }
    line("apply", start.elapsed() / REPEATS)?;
    line("snapshot", time(|| log.snapshot(None)))?;
    let snapshot = log.snapshot(None).map(|t| t.writes).unwrap_or_default();
    let bytes = snapshot.iter().map(|write| match write {
        Write::Put { value, .. } => value.len(),
        Write::Delete { .. } => 0,
    });
    writeln!(out, "snapshot_rows,snapshot_bytes,resident_kib")?;
    writeln!(out, "{},{},{memory}", snapshot.len(), bytes.sum::<usize>())?;
    Ok(())
}

fn time<T>(mut step: impl FnMut() -> T) -> Duration {
    let start = Instant::now();
    for _ in 0..REPEATS {
        black_box(step());
    }
    start.elapsed() / REPEATS
}

fn share(path: &str, weight: u64) -> Change {
    Change {
        edits: vec![set(path, Setting::Share, Value::Weight(weight))],
        force: false,
    }
}

fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

fn row(log: &Log, change: Change) -> Result<Row> {
    let version = log.version() + 1;
    let record = Record {
        version,
        base: version - 1,
        author: "operator".into(),
        time_ms: 0,
        request: format!("request-{version}").into(),
        change,
    };
    Ok(Row {
        key: log_key(version).into(),
        version,
        value: serde_json::to_string(&record)?.into(),
    })
}

/// Builds the tree with changes of a usual size.
fn log(settings: &Settings) -> Result<Log> {
    const EDITS: usize = 1_000;
    let settings_of_log = config::Settings {
        snapshot_versions: 1,
        ..config::Settings::default()
    };
    let mut log = Log::new(settings_of_log, Duration::ZERO);
    for edits in edits(settings).chunks(EDITS) {
        let change = Change {
            edits: edits.to_vec(),
            force: false,
        };
        let row = row(&log, change)?;
        log.apply_rows(Duration::ZERO, &[row]);
    }
    Ok(log)
}

fn edits(settings: &Settings) -> Vec<Edit> {
    let add = |path: &str, kind| Edit::Add {
        path: path.into(),
        kind,
    };
    let text = |text: &str| Value::Text(text.into());
    let mut edits = vec![
        add("model", Kind::Model),
        set("", Setting::Region, text("region-0")),
        set("", Setting::Zone, text("zone-0")),
        set("", Setting::OutputLimit, Value::Tokens(1_024)),
    ];
    for workspace in 0..settings.workspaces {
        let path = format!("w{workspace:04}");
        edits.push(add(&path, Kind::Workspace));
        edits.push(set(&path, Setting::Share, Value::Weight(2)));
    }
    for budget in 0..settings.budgets {
        let workspace = budget % settings.workspaces;
        let path = format!("w{workspace:04}/b{budget:05}");
        let hash = hash_key(&path).into();
        edits.push(add(&path, Kind::Workspace));
        edits.push(set(&path, Setting::Budget, text(&path)));
        edits.push(set(&path, Setting::ApiKeys, Value::Hashes(vec![hash])));
    }
    for upstream in 0..settings.upstreams {
        let path = format!("model/u{upstream:03}");
        edits.push(add(&path, Kind::Upstream));
        edits.push(set(
            &path,
            Setting::Url,
            text(&format!("http://u{upstream}")),
        ));
    }
    edits
}
