//! Command line of the operators.

mod measure;

use {
    anyhow::Result,
    clap::{Arg, ArgMatches, Command, value_parser},
    measure::budgets,
    std::{io, time::Duration},
};

fn main() -> Result<()> {
    let matches = command().get_matches();
    if let Some((_, measure)) = matches.subcommand()
        && let Some((_, budgets)) = measure.subcommand()
    {
        return measure_budgets(budgets);
    }
    Ok(())
}

fn command() -> Command {
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64));
    let text = |name: &'static str| Arg::new(name).long(name);
    let budgets = Command::new("budgets")
        .about("Compares ways to hold grants on a simulated clock")
        .args([number("seed"), number("runs"), number("seconds")])
        .args([text("size"), text("variant")]);
    let measure = Command::new("measure").hide(true).subcommand_required(true);
    Command::new("marigoldctl").subcommand(measure.subcommand(budgets))
}

fn measure_budgets(matches: &ArgMatches) -> Result<()> {
    let defaults = budgets::Options::default();
    let number = |name, default| matches.get_one(name).copied().unwrap_or(default);
    let text = |name| matches.get_one::<String>(name).cloned();
    let options = budgets::Options {
        seed: number("seed", defaults.seed),
        runs: number("runs", defaults.runs),
        duration: Duration::from_secs(number("seconds", defaults.duration.as_secs())),
        size: text("size"),
        variant: text("variant"),
    };
    budgets::run(&options, &mut io::stdout().lock())
}
