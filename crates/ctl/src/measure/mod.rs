//! Measurements of the decision logic on a simulated clock, printed as CSV.

pub mod bills;
pub mod budgets;
pub mod control;
pub mod path;
pub mod routing;

use {
    anyhow::Result,
    clap::{Arg, ArgMatches, Command, value_parser},
    std::{io, time::Duration},
};

/// Returns the command line.
pub fn command() -> Command {
    let number = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .value_parser(value_parser!(u64))
    };
    let text = |name: &'static str| Arg::new(name).long(name).value_name("NAME");
    let budgets = Command::new("budgets")
        .about("Compare ways to hold grants")
        .args([number("seed"), number("runs"), number("seconds")])
        .args([text("size"), text("variant")]);
    let cases = Arg::new("case")
        .num_args(0..)
        .help("Cases to run; all when none is named");
    let routing = Command::new("routing")
        .about("Compare the routing policies")
        .arg(cases);
    let rates = Arg::new("requests-per-second")
        .long("requests-per-second")
        .value_name("RATE")
        .num_args(1..)
        .value_parser(value_parser!(f64))
        .help("Send at these rates, with answers of the design size");
    let path = Command::new("path")
        .about("Measure what the router adds to a request")
        .arg(rates);
    let list = |name: &'static str, help: &'static str| number(name).num_args(1..).help(help);
    let control = Command::new("control")
        .about("Measure configuration and membership")
        .arg(list("hosts", "Numbers of hosts; several sizes when absent"))
        .arg(list("loss", "Shares of lost messages in percent"))
        .arg(list("seed", "Seeds"));
    Command::new("measure")
        .about("Measure the decision logic; prints CSV")
        .subcommand_required(true)
        .subcommand(budgets)
        .subcommand(Command::new("bills").about("Measure journals, ledger and claims"))
        .subcommand(control)
        .subcommand(routing)
        .subcommand(path)
}

/// Runs a measurement.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let mut out = io::stdout().lock();
    match matches.subcommand() {
        Some(("budgets", matches)) => budgets::run(&budget_options(matches), &mut out),
        Some(("bills", _)) => bills::run(&bills::Settings::default(), &mut out),
        Some(("control", matches)) => control::run(&control_settings(matches), &mut out),
        Some(("routing", matches)) => {
            let cases = matches.get_many::<String>("case").into_iter().flatten();
            let settings = routing::Settings {
                cases: cases.cloned().collect(),
                ..routing::Settings::default()
            };
            routing::run(&settings, &mut out)
        }
        Some(("path", matches)) => {
            let rates = matches.get_many("requests-per-second");
            let settings = path::Settings {
                rates: rates.into_iter().flatten().copied().collect(),
                ..path::Settings::default()
            };
            tokio::runtime::Runtime::new()?.block_on(path::run(&settings, &mut out))
        }
        _ => anyhow::bail!("no such measurement"),
    }
}

fn control_settings(matches: &ArgMatches) -> control::Settings {
    let defaults = control::Settings::default();
    let list = |name, default: Vec<u64>| match matches.get_many(name) {
        Some(values) => values.copied().collect(),
        None => default,
    };
    control::Settings {
        hosts: list("hosts", defaults.hosts),
        losses: list("loss", defaults.losses),
        seeds: list("seed", defaults.seeds),
        ..defaults
    }
}

fn budget_options(matches: &ArgMatches) -> budgets::Options {
    let defaults = budgets::Options::default();
    let number = |name, default| matches.get_one(name).copied().unwrap_or(default);
    let text = |name| matches.get_one::<String>(name).cloned();
    budgets::Options {
        seed: number("seed", defaults.seed),
        runs: number("runs", defaults.runs),
        duration: Duration::from_secs(number("seconds", defaults.duration.as_secs())),
        size: text("size"),
        variant: text("variant"),
    }
}
