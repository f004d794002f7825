//! The commands and options of operators against the pages.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path, process::Command};

/// Commands that are not for operators of a fleet.
const OTHERS: [&str; 5] = ["completions", "demo", "help", "measure", "stand-in"];

fn help(command: &[&str]) -> String {
    let mut ctl = Command::new(env!("CARGO_BIN_EXE_marigoldctl"));
    let output = ctl.env_clear().args(command).arg("--help").output();
    String::from_utf8(output.unwrap().stdout).unwrap()
}

/// Returns the commands below a command.
fn commands(help: &str) -> Vec<&str> {
    let lines = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let lines = lines.take_while(|line| !line.is_empty());
    let names = lines.filter_map(|line| line.split_whitespace().next());
    names.filter(|name| !OTHERS.contains(name)).collect()
}

/// Returns the long options of a command.
fn options(help: &str) -> impl Iterator<Item = &str> {
    let words = help.lines().map(str::trim_start);
    let lines = words.filter(|line| line.starts_with("--") || line.starts_with("-"));
    let options = lines.filter_map(|line| line.split([' ', ',']).find(|w| w.starts_with("--")));
    options.filter(|option| !["--help", "--version"].contains(option))
}

fn pages() -> String {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let mut text = fs::read_to_string(docs.join("settings.md")).unwrap();
    for page in fs::read_dir(docs.join("operate")).unwrap() {
        text += &fs::read_to_string(page.unwrap().path()).unwrap();
    }
    text
}

/// Guards against a command or an option of operators that no page shows.
#[test]
fn each_command_and_option_of_operators_is_on_a_page() {
    let pages = pages();
    let is_shown = |text: &str| {
        let mut found = pages.match_indices(text);
        let ends = |rest: &str| !rest.starts_with(|c: char| c.is_ascii_alphanumeric() || c == '-');
        found.any(|(at, _)| ends(&pages[at + text.len()..]))
    };
    let mut missing = Vec::new();
    let mut checked = 0;
    let mut check = |command: &str, help: &str| {
        let texts = options(help).map(|option| (option.to_owned(), format!("{command} {option}")));
        let own = (format!("marigoldctl {command}"), command.to_owned());
        for (text, name) in texts.chain([own]) {
            checked += 1;
            if !is_shown(&text) {
                missing.push(name);
            }
        }
    };
    let all = help(&[]);
    for group in commands(&all) {
        let text = help(&[group]);
        check(group, &text);
        for command in commands(&text) {
            check(&format!("{group} {command}"), &help(&[group, command]));
        }
    }
    assert!(missing.is_empty(), "on no page: {missing:?}");
    assert!(
        checked > 100,
        "only {checked} commands and options were found"
    );
}
