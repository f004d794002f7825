//! Compares the page on metrics with the registry.

use super::Metrics;

const PAGE: &str = include_str!("../../../../docs/metrics.md");
const SOURCE: &str = include_str!("../metrics.rs");

/// Guards against a metric that is missing on the page, and against a wrong type, label or meaning.
#[test]
fn the_page_lists_each_metric() {
    let metrics = Metrics::new().unwrap();
    // A metric without a series does not appear in the text format.
    metrics.requests.with_label_values(&["ok"]).inc();
    metrics.placement_orders.with_label_values(&["sent"]).inc();
    metrics.admin_calls.with_label_values(&["ok"]).inc();
    let text = metrics.render().unwrap();
    let mut expected = Vec::new();
    let mut help = "";
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("# HELP ") {
            help = rest.split_once(' ').unwrap().1;
        }
        if let Some(rest) = line.strip_prefix("# TYPE ") {
            let (name, kind) = rest.split_once(' ').unwrap();
            let series = text
                .lines()
                .find(|line| line.starts_with(&format!("{name}{{")));
            let labels = match series.and_then(|series| series.split_once('{')) {
                Some((_, rest)) => format!("`{}`", rest.split_once('=').unwrap().0),
                None => "none".to_owned(),
            };
            expected.push(format!("| `{name}` | {kind} | {labels} | {help}. |"));
        }
    }
    let rows = PAGE
        .lines()
        .filter(|line| line.starts_with("| `marigoldroute_"));
    assert_eq!(rows.collect::<Vec<_>>(), expected);
    let named = SOURCE.matches("\"marigoldroute_").count();
    assert_eq!(expected.len(), named, "a metric has no series in this test");
}
