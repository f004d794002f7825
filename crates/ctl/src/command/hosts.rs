//! `marigoldctl hosts`.

use {
    super::{Context, name, paging, text},
    anyhow::Context as _,
    clap::{Arg, ArgMatches, Command},
    reqwest::Method,
    serde_json::json,
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
    let answer = if action == "show" {
        context.client.get(&path, &[]).await?
    } else {
        let body = json!({"incarnation": matches.get_one::<String>("incarnation")});
        let path = format!("{path}/lost");
        context.write(Method::POST, &path, &body).await?
    };
    context.form.object(&answer)
}
