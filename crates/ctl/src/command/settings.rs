//! `marigoldctl settings`.

use {
    super::{Context, name, paging, text, value},
    anyhow::Context as _,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    reqwest::Method,
    serde_json::{Value, json},
    std::io::Read,
};

/// Returns the command line.
pub fn command() -> Command {
    Command::new("settings")
        .about("Show and change the settings tree")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("get")
                .about("List the nodes at and below a path with their overrides")
                .arg(node().required(false).default_value("/"))
                .args(paging()),
        )
        .subcommand(
            Command::new("explain")
                .about("Show the effective values of a node and the nodes that set them")
                .arg(node()),
        )
        .subcommands(turns())
        .subcommand(apply())
        .subcommand(diff())
        .subcommand(
            Command::new("history")
                .about("List the accepted versions, oldest first")
                .args(paging()),
        )
}

fn node() -> Arg {
    name("path", "PATH", "Path of the node; / for the root")
}

fn turns() -> [Command; 2] {
    let setting = || name("setting", "SETTING", "Name of the setting");
    let value = name("value", "VALUE", "Value; lists are separated by commas");
    [
        Command::new("set")
            .about("Override a setting")
            .arg(node())
            .arg(setting())
            .arg(value)
            .arg(base()),
        Command::new("unset")
            .about("Remove an override")
            .arg(node())
            .arg(setting())
            .arg(base()),
    ]
}

fn base() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Version that the change is based on; the newest one when absent")
}

fn apply() -> Command {
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show what would change, without effect");
    Command::new("apply")
        .about("Make the edits of a JSON file, all of them or none")
        .arg(name(
            "file",
            "FILE",
            "File with {\"edits\": [...]}; - for standard input",
        ))
        .arg(base())
        .arg(dry_run)
}

fn diff() -> Command {
    let version = |id: &'static str, value: &'static str, help: &'static str| {
        name(id, value, help).value_parser(value_parser!(u64))
    };
    Command::new("diff")
        .about("Compare two versions")
        .arg(version("from", "FROM", "Earlier version"))
        .arg(version("to", "TO", "Later version; the newest one when absent").required(false))
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let (action, matches) = matches.subcommand().context("no action")?;
    match action {
        "get" => {
            let query = [("under", path(matches)?)];
            let nodes = context.list("/settings", &query, matches).await?;
            context.form.list(&["path", "kind", "settings"], &nodes)
        }
        "explain" => explain(context, matches).await,
        "set" | "unset" => turn(context, matches).await,
        "apply" => make(context, matches).await,
        "diff" => compare(context, matches).await,
        _ => {
            let versions = context.list("/settings/history", &[], matches).await?;
            let columns = [
                "version",
                "base",
                "time_ms",
                "operator",
                "request",
                "differences",
            ];
            context.form.list(&columns, &versions)
        }
    }
}

fn path(matches: &ArgMatches) -> anyhow::Result<String> {
    Ok(text(matches, "path")?.trim_matches('/').to_owned())
}

/// Returns the version that a change is based on.
async fn seen(context: &Context, matches: &ArgMatches) -> anyhow::Result<u64> {
    if let Some(base) = matches.get_one::<u64>("base") {
        return Ok(*base);
    }
    let query = [("limit", "1".to_owned())];
    let tree = context.client.get("/settings", &query).await?;
    tree["version"]
        .as_u64()
        .context("the answer has no version")
}

async fn explain(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let query = [("path", path(matches)?)];
    let node = context.client.get("/settings/explain", &query).await?;
    let values = node["values"].as_array().cloned().unwrap_or_default();
    let columns = ["setting", "value", "origin", "overrides"];
    context.form.list(&columns, &values)
}

async fn turn(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let setting = text(matches, "setting")?;
    let mut body = json!({
        "base": seen(context, matches).await?,
        "path": path(matches)?,
        "setting": setting,
    });
    if let Ok(Some(text)) = matches.try_get_one::<String>("value") {
        body["value"] = serde_json::to_value(value::parse(setting, text)?)?;
    }
    let accepted = context
        .write(Method::POST, "/settings/value", &body)
        .await?;
    context.form.object(&accepted)
}

async fn make(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let file = text(matches, "file")?;
    let mut body: Value = serde_json::from_str(&read(file)?)
        .with_context(|| format!("{file} is not a JSON object"))?;
    if body["base"].is_null() || matches.get_one::<u64>("base").is_some() {
        body["base"] = seen(context, matches).await?.into();
    }
    if matches.get_flag("dry-run") {
        let preview = context.client.ask("/settings/preview", &body).await?;
        return lines(context, &preview);
    }
    let accepted = context
        .write(Method::POST, "/settings/apply", &body)
        .await?;
    context.form.object(&accepted)
}

fn read(file: &str) -> anyhow::Result<String> {
    if file != "-" {
        return std::fs::read_to_string(file).with_context(|| format!("read {file}"));
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .context("read standard input")?;
    Ok(text)
}

async fn compare(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let version = |id: &str| matches.get_one::<u64>(id).map(ToString::to_string);
    let mut query = vec![("from", version("from").unwrap_or_default())];
    query.extend(version("to").map(|to| ("to", to)));
    let compared = context.client.get("/settings/diff", &query).await?;
    lines(context, &compared)
}

fn lines(context: &Context, answer: &Value) -> anyhow::Result<()> {
    let lines = answer["differences"].as_array();
    let lines = lines.cloned().unwrap_or_default();
    context
        .form
        .list(&["path", "setting", "before", "after"], &lines)
}
