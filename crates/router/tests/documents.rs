//! Compares the page on settings with the command line of the router.
//!
//! Guards against a page with a missing flag, a wrong environment variable or a wrong default.

#![allow(clippy::unwrap_used)]

use {
    marigoldroute::{Settings, cli},
    std::collections::BTreeMap,
};

const SETTINGS: &str = include_str!("../../../docs/settings.md");

/// Flags that request an action rather than set a value.
const ACTIONS: [&str; 2] = ["check", "print-settings"];

#[test]
fn the_flag_table_states_each_flag_with_its_default() {
    let printed = Settings::default().to_string();
    let defaults: BTreeMap<_, _> = printed
        .lines()
        .filter_map(|line| line.split_once(" = "))
        .collect();
    let command = cli::command();
    let flags = command
        .get_arguments()
        .filter(|arg| !ACTIONS.contains(&arg.get_id().as_str()));
    let expected: Vec<String> = flags
        .map(|arg| {
            let name = arg.get_id().as_str();
            let env = arg.get_env().unwrap().to_str().unwrap();
            let help = arg.get_help().unwrap();
            let default = match name {
                "fleet-key" => "none",
                _ => defaults[name],
            };
            let default = if default.is_empty() { "none" } else { default };
            format!("| `--{name}` | `{env}` | {default} | {help}. |")
        })
        .collect();
    let found: Vec<&str> = SETTINGS
        .lines()
        .filter(|line| line.starts_with("| `--") && line.contains("`MARIGOLDROUTE_"))
        .collect();
    assert_eq!(found, expected);
}
