//! `marigoldctl restore`.

use {
    super::{Context, progress, selector, withdraw::turn},
    clap::{Arg, ArgAction, ArgMatches, Command},
    serde_json::json,
};

/// Returns the command line.
pub fn command() -> Command {
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show what would happen, without effect");
    let command = Command::new("restore").about("Restore a batch: it gets new work again");
    selector::add(command)
        .arg(dry_run)
        .args(progress::waiting())
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let body = json!({"selector": selector::read(matches)?});
    turn(context, matches, "/restorations", &body).await
}
