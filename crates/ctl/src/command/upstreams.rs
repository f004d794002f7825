//! `marigoldctl upstreams`.

use {
    super::{Context, name, paging, selector::pair, text},
    anyhow::Context as _,
    clap::{Arg, ArgAction, ArgMatches, Command},
    reqwest::Method,
    serde_json::{Map, Value, json},
};

fn option(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name(value).help(help)
}

/// Returns the command line.
pub fn command() -> Command {
    let upstream = || name("upstream", "UPSTREAM", "Name of the upstream");
    let running = option("running", "FATE", "What happens to running work")
        .value_parser(["finish", "move"])
        .default_value("finish");
    let force = Arg::new("force")
        .long("force")
        .action(ArgAction::SetTrue)
        .help("Accept that a model or service has no upstream left");
    Command::new("upstreams")
        .about("Show upstreams, put them into service and take them out")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("List the upstreams")
                .args(paging()),
        )
        .subcommand(add())
        .subcommand(
            Command::new("withdraw")
                .about("Take an upstream out of service")
                .arg(upstream())
                .arg(running)
                .arg(force),
        )
        .subcommand(
            Command::new("restore")
                .about("Put an upstream back into service")
                .arg(upstream()),
        )
}

fn add() -> Command {
    let pairs = |id: &'static str, help: &'static str| {
        option(id, "NAME=VALUE", help).action(ArgAction::Append)
    };
    Command::new("add")
        .about("Add an upstream, which takes work at once")
        .arg(name(
            "path",
            "PATH",
            "Path, below the model or service that it serves",
        ))
        .arg(option("base-url", "URL", "Base URL of the upstream").required(true))
        .arg(option("region", "REGION", "Region"))
        .arg(option("zone", "ZONE", "Availability zone"))
        .arg(pairs("label", "Label; may be repeated"))
        .arg(pairs(
            "model-version",
            "Version served of a model; may be repeated",
        ))
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let (action, matches) = matches.subcommand().context("no action")?;
    if action == "list" {
        let upstreams = context.list("/upstreams", &[], matches).await?;
        let columns = [
            "upstream",
            "path",
            "url",
            "serves",
            "withdrawn",
            "in_service",
            "region",
            "zone",
            "labels",
        ];
        return context.form.list(&columns, &upstreams);
    }
    let accepted = if action == "add" {
        let body = new(matches)?;
        context.write(Method::POST, "/upstreams", &body).await?
    } else {
        let path = format!("/upstreams/{}/{action}", text(matches, "upstream")?);
        let body = match action {
            "withdraw" => json!({
                "running": text(matches, "running")?,
                "force": matches.get_flag("force"),
            }),
            _ => Value::Null,
        };
        context.write(Method::POST, &path, &body).await?
    };
    context.form.object(&accepted)
}

fn new(matches: &ArgMatches) -> anyhow::Result<Value> {
    let pairs = |id: &str| -> anyhow::Result<Map<String, Value>> {
        let texts = matches.get_many::<String>(id).into_iter().flatten();
        texts.map(|text| pair(text)).collect()
    };
    let mut body = json!({
        "path": text(matches, "path")?.trim_start_matches('/'),
        "url": text(matches, "base-url")?,
        "labels": pairs("label")?,
        "versions": pairs("model-version")?,
    });
    for id in ["region", "zone"] {
        if let Some(value) = matches.get_one::<String>(id) {
            body[id] = value.as_str().into();
        }
    }
    Ok(body)
}
