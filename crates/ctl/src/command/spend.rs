//! `marigoldctl spend`.

use {
    super::{Context, bills},
    clap::{Arg, ArgMatches, Command},
};

/// Returns the command line.
pub fn command() -> Command {
    let by = Arg::new("by")
        .long("by")
        .value_name("GROUP")
        .value_parser(["workspace", "budget", "model", "upstream"])
        .default_value("budget")
        .help("What to group by");
    Command::new("spend")
        .about("Add up the bills")
        .arg(by)
        .arg(bills::budget())
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let by = super::text(matches, "by")?;
    let mut query = vec![("by", by.to_owned())];
    let budget = matches.get_one::<String>("budget");
    query.extend(budget.map(|budget| ("budget", budget.clone())));
    let report = context.client.get("/spend", &query).await?;
    if report["complete"] == false {
        eprintln!("marigoldctl: not all bills were counted; name a budget with --budget");
    }
    let totals = report["totals"].as_array().cloned().unwrap_or_default();
    let columns = ["name", "bills", "charged", "uncovered"];
    context.form.list(&columns, &totals)
}
