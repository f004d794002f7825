//! `marigoldctl progress`, and the wait until a version is in effect.

use {
    super::Context,
    crate::output::cell,
    clap::{Arg, ArgMatches, Command, value_parser},
    derive_more::{Display, Error},
    serde_json::Value,
    std::time::{Duration, Instant},
};

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(250);
/// Default bound on the wait; a change is in effect everywhere within 5 s as a rule.
const WAIT_SECONDS: u64 = 60;

/// A version is not in effect on every host in time.
#[derive(Clone, Debug, Display, Error)]
#[display("version {version} is not in effect on: {behind}")]
pub struct Late {
    version: u64,
    behind: String,
}

/// Returns the command line.
pub fn command() -> Command {
    Command::new("progress")
        .about("Show on which hosts a version is in effect")
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version; the newest one when absent"),
        )
        .args(waiting())
}

/// Returns the options of a wait.
pub(super) fn waiting() -> [Arg; 2] {
    [
        Arg::new("wait")
            .long("wait")
            .action(clap::ArgAction::SetTrue)
            .help("Show the progress until the version is in effect on every host"),
        Arg::new("wait-seconds")
            .long("wait-seconds")
            .value_name("S")
            .value_parser(value_parser!(u64))
            .help("Bound on the wait; 60 when absent"),
    ]
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let version = matches.get_one::<u64>("version").copied();
    let progress = look(context, version).await?;
    if matches.get_flag("wait") {
        let version = progress["version"].as_u64().unwrap_or_default();
        wait(context, version, matches).await?;
    }
    context.form.object(&look(context, version).await?)
}

async fn look(context: &Context, version: Option<u64>) -> anyhow::Result<Value> {
    let query: Vec<_> = version
        .iter()
        .map(|version| ("version", version.to_string()))
        .collect();
    context.client.get("/progress", &query).await
}

/// Waits until a version is in effect everywhere and writes the progress to standard error.
pub(super) async fn wait(
    context: &Context,
    version: u64,
    matches: &ArgMatches,
) -> anyhow::Result<()> {
    let seconds = matches.get_one::<u64>("wait-seconds").copied();
    let end = Instant::now() + Duration::from_secs(seconds.unwrap_or(WAIT_SECONDS));
    let mut shown = String::new();
    loop {
        let progress = look(context, Some(version)).await?;
        let behind = behind(&progress);
        let applied = progress["applied"].as_array().map_or(0, Vec::len);
        let line = format!("version {version}: in effect on {applied} hosts, not on: {behind}");
        if line != shown {
            eprintln!("{line}");
            shown = line;
        }
        if progress["everywhere"] == true {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(Late { version, behind }.into());
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn behind(progress: &Value) -> String {
    let lists = [&progress["behind"], &progress["unreachable"]];
    let hosts = lists.into_iter().filter_map(Value::as_array).flatten();
    let hosts: Vec<_> = hosts
        .map(|at| format!("{} ({})", cell(&at["host"]), cell(&at["version"])))
        .collect();
    if hosts.is_empty() {
        "none".into()
    } else {
        hosts.join(", ")
    }
}
