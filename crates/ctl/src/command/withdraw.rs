//! `marigoldctl withdraw`.

use {
    super::{Context, progress, selector},
    clap::{Arg, ArgAction, ArgMatches, Command},
    reqwest::Method,
    serde_json::{Value, json},
};

/// Returns the command line.
pub fn command() -> Command {
    let flag = |id: &'static str, help: &'static str| {
        Arg::new(id).long(id).action(ArgAction::SetTrue).help(help)
    };
    let running = Arg::new("running")
        .long("running")
        .value_name("FATE")
        .value_parser(["finish", "move"])
        .default_value("finish")
        .help("What happens to running work");
    let command = Command::new("withdraw")
        .about("Withdraw a batch of upstreams, models or versions: it gets no new work");
    selector::add(command)
        .arg(running)
        .arg(flag("dry-run", "Show what would happen, without effect"))
        .arg(flag(
            "force",
            "Accept that a model or service has no upstream left",
        ))
        .args(progress::waiting())
        .arg(progress::idle())
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let body = json!({
        "selector": selector::read(matches)?,
        "running": super::text(matches, "running")?,
        "force": matches.get_flag("force"),
    });
    turn(context, matches, "/withdrawals", &body).await
}

/// Shows a plan, or carries it out and waits when asked to.
pub(super) async fn turn(
    context: &Context,
    matches: &ArgMatches,
    path: &str,
    body: &Value,
) -> anyhow::Result<()> {
    if matches.get_flag("dry-run") {
        let plan = context.client.ask(&format!("{path}/preview"), body).await?;
        return context.form.object(&plan);
    }
    let accepted = context.write(Method::POST, path, body).await?;
    if progress::is_waiting(matches) {
        let version = accepted["version"].as_u64().unwrap_or_default();
        progress::wait(context, version, matches).await?;
    }
    context.form.object(&accepted)
}
