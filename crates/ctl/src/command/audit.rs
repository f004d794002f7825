//! `marigoldctl audit`.

use {
    super::{Context, paging},
    clap::{Arg, ArgMatches, Command, value_parser},
};

/// Returns the command line.
pub fn command() -> Command {
    let since = Arg::new("since-ms")
        .long("since-ms")
        .value_name("MS")
        .value_parser(value_parser!(u64))
        .help("Only entries from this time on, in milliseconds since the Unix epoch");
    Command::new("audit")
        .about("List the accepted writes, oldest first")
        .arg(since)
        .args(paging())
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let since = matches.get_one::<u64>("since-ms");
    let query: Vec<_> = since
        .iter()
        .map(|since| ("since_ms", since.to_string()))
        .collect();
    let entries = context.list("/audit", &query, matches).await?;
    let columns = [
        "time_ms",
        "operator",
        "operation",
        "target",
        "from",
        "to",
        "request",
    ];
    context.form.list(&columns, &entries)
}
