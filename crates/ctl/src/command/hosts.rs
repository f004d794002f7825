//! `marigoldctl hosts`.

use {
    super::{Context, name, paging, text},
    crate::output::Form,
    anyhow::Context as _,
    clap::{Arg, ArgMatches, Command},
    reqwest::Method,
    serde_json::{Value, json},
};

/// Returns the command line.
pub fn command() -> Command {
    let host = || name("host", "HOST", "Name of the host");
    let incarnation = Arg::new("incarnation")
        .long("incarnation")
        .value_name("ID")
        .help("Only this start of the host's process");
    Command::new("hosts")
        .about("Show hosts and state their loss")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("List the hosts").args(paging()))
        .subcommand(
            Command::new("show")
                .about("Show a host and the journals of its processes")
                .arg(host()),
        )
        .subcommand(
            Command::new("lost")
                .about("State that a host is permanently lost, which returns its unbilled tokens")
                .arg(host())
                .arg(incarnation),
        )
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let (action, matches) = matches.subcommand().context("no action")?;
    if action == "list" {
        let hosts = context.list("/hosts", &[], matches).await?;
        let columns = [
            "host", "region", "zone", "address", "phase", "alive", "version", "current",
        ];
        return context.form.list(&columns, &hosts);
    }
    let path = format!("/hosts/{}", text(matches, "host")?);
    if action == "show" {
        let status = context.client.get(&path, &[]).await?;
        return show(context, &status);
    }
    let body = json!({"incarnation": matches.get_one::<String>("incarnation")});
    let path = format!("{path}/lost");
    let released = context.write(Method::POST, &path, &body).await?;
    context.form.object(&released)
}

/// Prints a host and its journals, for people as two tables.
fn show(context: &Context, status: &Value) -> anyhow::Result<()> {
    if context.form != Form::Table {
        return context.form.object(status);
    }
    if status["host"].is_object() {
        context.form.object(&status["host"])?;
    }
    let journals = status["journals"].as_array().cloned().unwrap_or_default();
    let columns = ["holder", "state", "stranded", "sequence"];
    context.form.list(&columns, &journals)
}
