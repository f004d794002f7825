//! `marigoldctl keys`.

use {
    super::{Context, name, paging, text},
    anyhow::{Context as _, ensure},
    clap::{Arg, ArgAction, ArgMatches, Command},
    marigoldroute_core::config::hash_key,
    reqwest::Method,
    serde_json::{Value, json},
};

/// Returns the command line.
pub fn command() -> Command {
    let operator = || name("name", "NAME", "Name of the operator");
    let hash = Arg::new("hash")
        .long("hash")
        .value_name("HASH")
        .required(true)
        .help("SHA-256 hash of the key, as printed by `marigoldctl keys hash`");
    let role = Arg::new("role")
        .long("role")
        .value_name("ROLE")
        .value_parser(["read", "operate", "money"])
        .action(ArgAction::Append)
        .default_value("read")
        .help("What the key allows; may be repeated");
    Command::new("keys")
        .about("Show and change the operators' keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("hash").about("Print the hash of the key on standard input"))
        .subcommand(Command::new("list").about("List the keys").args(paging()))
        .subcommand(
            Command::new("put")
                .about("Accept a key of an operator")
                .arg(operator())
                .arg(hash)
                .arg(role),
        )
        .subcommand(
            Command::new("delete")
                .about("Remove the key of an operator")
                .arg(operator()),
        )
}

/// Prints the hash of the key on standard input.
pub fn hash() -> anyhow::Result<()> {
    let mut key = String::new();
    std::io::stdin()
        .read_line(&mut key)
        .context("read the key")?;
    let key = key.trim_end_matches(['\r', '\n']);
    ensure!(!key.is_empty(), "the key is empty");
    println!("{}", hash_key(key));
    Ok(())
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let (action, matches) = matches.subcommand().context("no action")?;
    if action == "list" {
        let keys = context.list("/keys", &[], matches).await?;
        return context.form.list(&["name", "roles"], &keys);
    }
    let path = format!("/keys/{}", text(matches, "name")?);
    let (method, body) = if action == "put" {
        let roles = matches.get_many::<String>("role");
        let roles: Vec<_> = roles.into_iter().flatten().collect();
        let hash = text(matches, "hash")?;
        (Method::PUT, json!({"hash": hash, "roles": roles}))
    } else {
        (Method::DELETE, Value::Null)
    };
    let changed = context.write(method, &path, &body).await?;
    context.form.object(&changed)
}
