//! Command line and environment variables.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    std::net::SocketAddr,
};

/// Returns the command line.
pub fn command() -> Command {
    Command::new("marigoldctl")
        .about("Operates a fleet of marigoldroute routers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo())
        .subcommand(crate::measure::command())
        .subcommand(stand_in())
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
        .subcommand(Command::new("upstream").about("Model engine and plain service"))
}
