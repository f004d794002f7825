//! Comparison of tables in the documentation with the code that they describe.
//!
//! Guards against a table that states another error answer or another limit than the code has.

#![allow(clippy::unwrap_used)]

use marigoldroute_core::{
    config::Setting,
    fault::{Answer, Kind},
};

const ERRORS: &str = include_str!("../../../docs/errors.md");
const SETTINGS: &str = include_str!("../../../docs/settings.md");

/// Returns the cells of the Markdown table whose header starts with `first`, without the header.
fn table(text: &str, first: &str) -> Vec<Vec<String>> {
    let header = format!("| {first} |");
    let rows = text.lines().skip_while(|line| !line.starts_with(&header));
    let rows = rows.skip(2).take_while(|line| line.starts_with('|'));
    rows.map(|line| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().replace('`', "")).collect()
    })
    .collect()
}

#[test]
fn the_error_table_states_the_answer_of_each_kind() {
    let rows = table(ERRORS, "Kind");
    let expected = Kind::ALL.iter().map(|kind| {
        let Answer {
            status,
            outcome,
            retry_after,
        } = kind.answer();
        let after = retry_after.map_or("no".into(), |after| format!("{} s", after.as_secs()));
        [
            kind.to_string(),
            status.to_string(),
            outcome.to_string(),
            after,
        ]
    });
    let expected: Vec<_> = expected.map(Vec::from).collect();
    let actual: Vec<_> = rows.iter().map(|row| row[..4].to_vec()).collect();
    assert_eq!(actual, expected);
    for row in &rows {
        assert!(row[4].ends_with('.'), "{} has no explanation", row[0]);
    }
}

#[test]
fn the_settings_table_states_the_rule_of_each_setting() {
    let rows = table(SETTINGS, "Setting");
    let expected = Setting::ALL.iter().map(|setting| {
        let rule = setting.rule();
        let kinds: Vec<_> = rule.kinds.iter().map(ToString::to_string).collect();
        let values = match rule.words {
            [] => format!("up to {}", rule.limit),
            words => words.join(", "),
        };
        [
            setting.to_string(),
            rule.unit.to_string(),
            values,
            kinds.join(", "),
        ]
    });
    let expected: Vec<_> = expected.map(Vec::from).collect();
    let actual: Vec<_> = rows.iter().map(|row| row[..4].to_vec()).collect();
    assert_eq!(actual, expected);
    for row in &rows {
        assert!(row[4].ends_with('.'), "{} has no explanation", row[0]);
    }
}
