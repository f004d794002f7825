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

/// A version is not in effect on every host in time, or requests still run on withdrawn upstreams.
#[derive(Clone, Debug, Display, Error)]
#[display("in time, {state}")]
pub struct Late {
    #[error(not(source))]
    state: String,
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
        .arg(idle())
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

/// Returns the option of a wait for running work.
pub(super) fn idle() -> Arg {
    Arg::new("wait-idle")
        .long("wait-idle")
        .action(clap::ArgAction::SetTrue)
        .help("As --wait, and until nothing runs on withdrawn upstreams")
}

/// Returns whether the command line asks for a wait.
pub(super) fn is_waiting(matches: &ArgMatches) -> bool {
    matches.get_flag("wait") || is_idle_wanted(matches)
}

/// A command without running work lacks the option.
fn is_idle_wanted(matches: &ArgMatches) -> bool {
    let wanted = matches.try_get_one("wait-idle");
    wanted.ok().flatten().copied().unwrap_or(false)
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let version = matches.get_one::<u64>("version").copied();
    let progress = look(context, version).await?;
    if is_waiting(matches) {
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

/// Waits until a version is in effect everywhere, and until nothing runs on withdrawn upstreams
/// when the command line asks for that; writes the progress to standard error.
pub(super) async fn wait(
    context: &Context,
    version: u64,
    matches: &ArgMatches,
) -> anyhow::Result<()> {
    let seconds = matches.get_one::<u64>("wait-seconds").copied();
    let end = Instant::now() + Duration::from_secs(seconds.unwrap_or(WAIT_SECONDS));
    let mut shown = String::new();
    let is_idle_wanted = is_idle_wanted(matches);
    loop {
        let progress = look(context, Some(version)).await?;
        let applied = progress["applied"].as_array().map_or(0, Vec::len);
        let mut line = format!(
            "version {version}: in effect on {applied} hosts, not on: {}",
            behind(&progress)
        );
        if is_idle_wanted {
            line += &format!("; running on withdrawn upstreams: {}", running(&progress));
        }
        if line != shown {
            eprintln!("{line}");
            shown.clone_from(&line);
        }
        let is_idle = !is_idle_wanted || progress["idle"] == true;
        if progress["everywhere"] == true && is_idle {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(Late { state: line }.into());
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

/// Returns the hosts with running requests; a host that has not answered has `?`.
fn running(progress: &Value) -> String {
    let hosts = progress["running"].as_array().into_iter().flatten();
    let busy = hosts.filter(|at| at["requests"] != 0);
    let count = |at: &Value| match at["requests"].as_u64() {
        Some(count) => count.to_string(),
        None => "?".to_owned(),
    };
    let busy: Vec<_> = busy
        .map(|at| format!("{} ({})", cell(&at["host"]), count(at)))
        .collect();
    if busy.is_empty() {
        "none".into()
    } else {
        busy.join(", ")
    }
}
