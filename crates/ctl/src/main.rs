//! Command line of the operators.

mod cli;
mod demo;
mod measure;
mod stand_in;

use {clap::ArgMatches, std::process::ExitCode};

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marigoldctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    match matches.subcommand() {
        Some(("demo", matches)) => runtime.block_on(demo::run(matches)),
        Some(("measure", matches)) => measure::run(matches),
        Some(("stand-in", matches)) => runtime.block_on(stand_in::run(matches)),
        _ => anyhow::bail!("no such command"),
    }
}
