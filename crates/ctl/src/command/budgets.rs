//! `marigoldctl budgets`.

use {
    super::{Context, name, paging, text},
    anyhow::Context as _,
    clap::{Arg, ArgMatches, Command, value_parser},
    reqwest::Method,
    serde_json::json,
};

const COLUMNS: [&str; 5] = ["budget", "purchased", "allocated", "rest", "pending_cut"];

fn budget() -> Arg {
    name("budget", "BUDGET", "Name of the budget")
}

fn tokens(help: &'static str) -> Arg {
    name("tokens", "TOKENS", help).value_parser(value_parser!(u64))
}

/// Returns the command line.
pub fn command() -> Command {
    Command::new("budgets")
        .about("Show and change budgets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("List the budgets")
                .args(paging()),
        )
        .subcommand(Command::new("show").about("Show a budget").arg(budget()))
        .subcommand(
            Command::new("bookings")
                .about("List the top-ups and cuts of a budget")
                .arg(budget())
                .args(paging()),
        )
        .subcommand(
            Command::new("top-up")
                .about("Add tokens to a budget, which is created when it does not exist")
                .arg(budget())
                .arg(tokens("Tokens to add")),
        )
        .subcommand(
            Command::new("cut")
                .about("Remove tokens from a budget")
                .arg(budget())
                .arg(tokens("Tokens to remove")),
        )
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let (action, matches) = matches.subcommand().context("no action")?;
    if action == "list" {
        let budgets = context.list("/budgets", &[], matches).await?;
        return context.form.list(&COLUMNS, &budgets);
    }
    let path = format!("/budgets/{}", text(matches, "budget")?);
    match action {
        "show" => {
            let budget = context.client.get(&path, &[]).await?;
            context.form.object(&budget)
        }
        "bookings" => {
            let path = format!("{path}/bookings");
            let bookings = context.list(&path, &[], matches).await?;
            let columns = ["id", "operator", "topped_up", "cut", "purchased"];
            context.form.list(&columns, &bookings)
        }
        change => {
            let tokens: u64 = *matches.get_one("tokens").context("TOKENS is missing")?;
            let body = json!({"tokens": tokens});
            let path = format!("{path}/{change}");
            let budget = context.write(Method::POST, &path, &body).await?;
            context.form.object(&budget)
        }
    }
}
