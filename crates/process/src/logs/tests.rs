//! Tests of the log format.

use {super::format_line, log::Record};

/// Guards against lines that take memory and disk in proportion to what others have sent.
#[test]
fn long_texts_are_cut() {
    let text = "\u{e4}".repeat(1_000_000);
    let values = [("reason", text.as_str())];
    let line = format_line(
        &Record::builder()
            .args(format_args!("failed: {text}"))
            .key_values(&values)
            .build(),
    );
    assert!(line.len() < 8_192, "{} bytes", line.len());
    let line: serde_json::Value = serde_json::from_str(&line).expect("it is JSON");
    assert!(
        line["reason"]
            .as_str()
            .is_some_and(|reason| text.starts_with(reason))
    );
}
