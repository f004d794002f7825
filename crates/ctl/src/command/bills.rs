//! `marigoldctl bills`.

use {
    super::{Context, paging},
    clap::{Arg, ArgMatches, Command},
};

/// Returns the option that names a budget.
pub(super) fn budget() -> Arg {
    Arg::new("budget")
        .long("budget")
        .value_name("BUDGET")
        .help("Only bills of this budget")
}

/// Returns the command line.
pub fn command() -> Command {
    Command::new("bills")
        .about("List the bills")
        .arg(budget())
        .args(paging())
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let budget = matches.get_one::<String>("budget");
    let query: Vec<_> = budget
        .iter()
        .map(|budget| ("budget", (*budget).clone()))
        .collect();
    let bills = context.list("/bills", &query, matches).await?;
    let columns = [
        "request",
        "workspace",
        "budget",
        "model",
        "upstream",
        "charged",
        "uncovered",
        "settled",
    ];
    context.form.list(&columns, &bills)
}
