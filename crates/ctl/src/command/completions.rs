//! `marigoldctl completions`.

use {
    anyhow::Context,
    clap::{ArgMatches, Command, value_parser},
    clap_complete::Shell,
};

/// Returns the command line.
pub fn command() -> Command {
    let shell = super::name("shell", "SHELL", "Shell").value_parser(value_parser!(Shell));
    Command::new("completions")
        .about("Print the completions of a shell")
        .arg(shell)
}

/// Runs the command; `whole` is the whole command line.
pub fn run(mut whole: Command, matches: &ArgMatches) -> anyhow::Result<()> {
    let shell: Shell = *matches.get_one("shell").context("SHELL is missing")?;
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut whole, "marigoldctl", &mut script);
    let mut output = std::io::stdout();
    std::io::Write::write_all(&mut output, &script).context("write the output")
}
