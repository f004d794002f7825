//! `marigoldctl workspaces`.

use {
    super::{Context, name, paging, text},
    anyhow::Context as _,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    reqwest::Method,
    serde_json::{Value, json},
};

/// Returns the command line.
pub fn command() -> Command {
    let path = || {
        name(
            "path",
            "PATH",
            "Path of the workspace; its parent must exist",
        )
    };
    Command::new("workspaces")
        .about("Show, create and remove workspaces")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("List the workspaces")
                .args(paging()),
        )
        .subcommand(create().arg(path()))
        .subcommand(
            Command::new("delete")
                .about("Remove a workspace and those below it")
                .arg(path()),
        )
}

fn create() -> Command {
    let number = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("N")
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let budget = Arg::new("budget")
        .long("budget")
        .value_name("BUDGET")
        .help("Budget that pays; inherited when absent");
    let hash = Arg::new("key-hash")
        .long("key-hash")
        .value_name("HASH")
        .action(ArgAction::Append)
        .help("SHA-256 hash of an API key; may be repeated");
    Command::new("create")
        .about("Create a workspace")
        .arg(budget)
        .arg(hash)
        .arg(number(
            "output-limit",
            "Output token limit for requests that name none",
        ))
        .arg(number("priority", "Priority class; 0 is served first"))
        .arg(number("share", "Weight when capacity is short"))
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let (action, matches) = matches.subcommand().context("no action")?;
    if action == "list" {
        let workspaces = context.list("/workspaces", &[], matches).await?;
        let columns = [
            "path",
            "budget",
            "keys",
            "output_limit",
            "priority",
            "share",
        ];
        return context.form.list(&columns, &workspaces);
    }
    let path = text(matches, "path")?.trim_start_matches('/');
    let accepted = if action == "create" {
        let body = new(path, matches);
        context.write(Method::POST, "/workspaces", &body).await?
    } else {
        let call = format!("/workspaces?path={path}");
        context.write(Method::DELETE, &call, &Value::Null).await?
    };
    context.form.object(&accepted)
}

fn new(path: &str, matches: &ArgMatches) -> Value {
    let hashes = matches.get_many::<String>("key-hash");
    let hashes: Vec<_> = hashes.into_iter().flatten().collect();
    let mut body = json!({"path": path, "key_hashes": hashes});
    if let Some(budget) = matches.get_one::<String>("budget") {
        body["budget"] = budget.as_str().into();
    }
    for (id, field) in [
        ("output-limit", "output_limit"),
        ("priority", "priority"),
        ("share", "share"),
    ] {
        if let Some(number) = matches.get_one::<u64>(id) {
            body[field] = (*number).into();
        }
    }
    body
}
