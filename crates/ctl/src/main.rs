//! Command line of the operators.

mod cli;
mod client;
mod command;
mod demo;
mod exit;
mod measure;
mod output;
mod stand_in;

use {clap::ArgMatches, command::Context, std::process::ExitCode};

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            exit::explain(&error);
            exit::code(&error)
        }
    }
}

fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let Some((name, matches)) = matches.subcommand() else {
        anyhow::bail!("no command");
    };
    match name {
        "completions" => return command::completions::run(cli::command(), matches),
        "measure" => return measure::run(matches),
        "keys" if matches.subcommand_name() == Some("hash") => return command::keys::hash(),
        _ => {}
    }
    let runtime = tokio::runtime::Runtime::new()?;
    match name {
        "demo" => runtime.block_on(demo::run(matches)),
        "stand-in" => runtime.block_on(stand_in::run(matches)),
        _ => runtime.block_on(operate(name, matches)),
    }
}

async fn operate(name: &str, matches: &ArgMatches) -> anyhow::Result<()> {
    let context = &Context::new(matches)?;
    match name {
        "workspaces" => command::workspaces::run(context, matches).await,
        "budgets" => command::budgets::run(context, matches).await,
        "upstreams" => command::upstreams::run(context, matches).await,
        "withdraw" => command::withdraw::run(context, matches).await,
        "restore" => command::restore::run(context, matches).await,
        "settings" => command::settings::run(context, matches).await,
        "progress" => command::progress::run(context, matches).await,
        "hosts" => command::hosts::run(context, matches).await,
        "bills" => command::bills::run(context, matches).await,
        "spend" => command::spend::run(context, matches).await,
        "keys" => command::keys::run(context, matches).await,
        "audit" => command::audit::run(context, matches).await,
        _ => anyhow::bail!("no such command"),
    }
}
