//! Command line and environment variables.

use {
    crate::{command, output::Form},
    clap::{Arg, ArgAction, Command, value_parser},
    std::{net::SocketAddr, path::PathBuf},
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failure without a code of its own
  2  mistakes in the command line or in the request
  3  the key is missing, unknown or lacks a role
  4  the object does not exist
  5  conflict: somebody else was faster, or the request id was used before
  6  not available; nothing was done
  7  unknown whether it was done; repeat the command with the same --request-id
  8  done, but not in effect on every host in time, or work still runs";

/// Returns the command line.
pub fn command() -> Command {
    Command::new("marigoldctl")
        .about("Operates a fleet of marigoldroute routers")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(globals())
        .subcommand(command::workspaces::command())
        .subcommand(command::budgets::command())
        .subcommand(command::upstreams::command())
        .subcommand(command::withdraw::command())
        .subcommand(command::restore::command())
        .subcommand(command::settings::command())
        .subcommand(command::progress::command())
        .subcommand(command::hosts::command())
        .subcommand(command::bills::command())
        .subcommand(command::spend::command())
        .subcommand(command::keys::command())
        .subcommand(command::audit::command())
        .subcommand(command::completions::command())
        .subcommand(demo())
        .subcommand(crate::measure::command())
        .subcommand(stand_in())
}

fn globals() -> [Arg; 5] {
    [
        Arg::new("ca-certificate")
            .long("ca-certificate")
            .env("MARIGOLDCTL_CA_CERTIFICATE")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .global(true)
            .help("CA certificates in PEM that are trusted in place of the system's"),
        Arg::new("url")
            .long("url")
            .env("MARIGOLDCTL_URL")
            .value_name("URL")
            .default_value("http://127.0.0.1:8080")
            .global(true)
            .help("A router"),
        Arg::new("key")
            .long("key")
            .env("MARIGOLDCTL_KEY")
            .hide_env_values(true)
            .value_name("KEY")
            .global(true)
            .help("The operator's key"),
        Arg::new("output")
            .long("output")
            .value_name("FORM")
            .value_parser(value_parser!(Form))
            .default_value("table")
            .global(true)
            .help("Form of the output"),
        Arg::new("request-id")
            .long("request-id")
            .value_name("ID")
            .global(true)
            .help("Request id of a write, which takes effect once; random when absent"),
    ]
}

fn demo() -> Command {
    let verbose = Arg::new("verbose")
        .long("verbose")
        .short('v')
        .action(ArgAction::SetTrue)
        .help("Write the routers' log lines to standard error");
    Command::new("demo")
        .about("Run three routers on stand-ins: budgets, streams, a withdrawal, bills")
        .arg(verbose)
}

fn upstream() -> Command {
    let weights = Arg::new("weights")
        .long("weights")
        .value_name("URL")
        .help("Take orders and load models from this weight store");
    let fencing = Arg::new("fencing")
        .long("fencing")
        .action(ArgAction::SetTrue)
        .requires("weights")
        .help("Refuse orders with an old fencing number");
    Command::new("upstream")
        .about("Model engine and plain service")
        .args([weights, fencing])
}

fn stand_in() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .global(true)
        .help("Address to serve; the bound address is printed");
    Command::new("stand-in")
        .about("Run a stand-in for an outside system")
        .subcommand_required(true)
        .arg(listen)
        .subcommand(Command::new("platform").about("Table service and object store in memory"))
        .subcommand(upstream())
        .subcommand(Command::new("weights").about("Weight store with a limited rate"))
}
