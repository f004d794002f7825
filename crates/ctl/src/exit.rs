//! Exit codes and messages of failed commands.

use {
    crate::{
        client::{Refused, Unanswered},
        command::progress::Late,
        output::cell,
    },
    marigoldroute_core::fault::{Kind, Outcome},
    serde_json::Value,
    std::process::ExitCode,
};

const FAILURE: u8 = 1;
const MISTAKES: u8 = 2;
const KEY: u8 = 3;
const MISSING: u8 = 4;
const CONFLICT: u8 = 5;
const UNAVAILABLE: u8 = 6;
const UNKNOWN: u8 = 7;
const LATE: u8 = 8;

/// Returns the exit code for an error, as the command line's help lists them.
pub fn code(error: &anyhow::Error) -> ExitCode {
    ExitCode::from(number(error))
}

fn number(error: &anyhow::Error) -> u8 {
    if let Some(refused) = error.downcast_ref::<Refused>() {
        return match refused.kind {
            _ if refused.outcome == Outcome::Unknown => UNKNOWN,
            Kind::InvalidRequest | Kind::TooLarge => MISTAKES,
            Kind::Unauthenticated | Kind::Forbidden => KEY,
            Kind::NotFound => MISSING,
            Kind::Conflict => CONFLICT,
            _ => UNAVAILABLE,
        };
    }
    if let Some(unanswered) = error.downcast_ref::<Unanswered>() {
        return if unanswered.is_unknown {
            UNKNOWN
        } else {
            UNAVAILABLE
        };
    }
    if error.is::<Late>() { LATE } else { FAILURE }
}

/// Writes an error to standard error, with each mistake and each difference on its own line.
pub fn explain(error: &anyhow::Error) {
    eprintln!("marigoldctl: {error:#}");
    let Some(refused) = error.downcast_ref::<Refused>() else {
        return;
    };
    for mistake in &refused.mistakes {
        let setting = mistake.setting.as_deref().unwrap_or_default();
        let colon = if setting.is_empty() { "" } else { ":" };
        eprintln!("  /{}{colon}{setting}: {}", mistake.path, mistake.message);
    }
    let lines = refused.unseen["differences"].as_array();
    for line in lines.into_iter().flatten() {
        eprintln!("  changed by others: {}{}", difference(line), authors(line));
    }
}

/// Returns what was changed; a line without a setting concerns the node itself.
fn difference(line: &Value) -> String {
    let path = cell(&line["path"]);
    let value = |name: &str| match &line[name] {
        Value::Null => "unset".to_owned(),
        value => cell(value),
    };
    match &line["setting"] {
        Value::String(setting) => {
            format!(
                "/{path} {setting} from {} to {}",
                value("before"),
                value("after")
            )
        }
        _ => format!("/{path} added or removed"),
    }
}

/// Returns who made a change, as ` by NAME (version N), ...`.
fn authors(line: &Value) -> String {
    let by = line["by"].as_array().into_iter().flatten();
    let author = |at: &Value| format!("{} (version {})", cell(&at["operator"]), at["version"]);
    let by: Vec<_> = by.map(author).collect();
    if by.is_empty() {
        String::new()
    } else {
        format!(" by {}", by.join(", "))
    }
}
