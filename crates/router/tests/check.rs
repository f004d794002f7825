//! `marigoldroute --check`, from tables of arguments and expected mistakes.
//!
//! Guards against a start with settings that cannot work, and against mistakes that are reported
//! one at a time. Each file holds environment variables and arguments, one on a line, then `---`
//! and the lines that are expected on standard error; no line means that the settings are good.

#![allow(clippy::unwrap_used)]

use std::{
    path::Path,
    process::{Command, Output},
};

/// Exit code for mistakes in the settings, as documented in the command line's help.
const EXIT_SETTINGS: i32 = 2;

fn run(input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldroute"));
    command.env_clear().arg("--check");
    for line in input.lines() {
        match line.split_once('=') {
            Some((name, value)) if !name.starts_with('-') => command.env(name, value),
            _ => command.arg(line),
        };
    }
    command.output().unwrap()
}

fn check(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let (input, expected) = text.split_once("---\n").unwrap();
    let output = run(input);
    let found = String::from_utf8(output.stderr)?;
    let found = found.trim_start_matches("marigoldroute: ");
    assert_eq!(found, expected);
    let code = if expected.is_empty() {
        0
    } else {
        EXIT_SETTINGS
    };
    assert_eq!(output.status.code(), Some(code));
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/check", pattern = r"\.txt$" },
}
