//! Structured logging: each line is one JSON object.

#[cfg(test)]
mod tests;

use {
    crate::queue::Queue,
    anyhow::Context,
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::Map,
    std::{
        fmt::Display,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Target of routing decisions, one line each.
pub const ROUTING: &str = "marigoldroute::routing";
/// Target of orders to engines, one line each, and of other lines about the placement of models.
pub const PLACEMENT: &str = "marigoldroute::placement";
/// Target of lines about tokens: grants, bills, refusals.
pub const TOKENS: &str = "marigoldroute::tokens";
/// Target of lines about finished requests and about attempts.
pub const REQUESTS: &str = "marigoldroute::requests";
/// Target of changes in what the process assumes about the configuration, upstreams, hosts and the
/// store.
pub const BELIEFS: &str = "marigoldroute::beliefs";

/// Longest text in a line, in bytes. A text may quote what others have sent.
const TEXT_LIMIT_BYTES: usize = 2_048;

/// Starts logging to standard error.
///
/// # Errors
/// When a logger was installed before.
pub fn init(level: log::LevelFilter) -> anyhow::Result<()> {
    install(level, std::io::stderr())
}

/// Starts logging to standard output through a bounded queue; callers never block, and lines that
/// do not fit into the queue are dropped.
///
/// # Errors
/// When a logger was installed before, or the writer thread cannot be started.
pub fn init_queued(level: log::LevelFilter) -> anyhow::Result<()> {
    let queue = Queue::start(std::io::stdout()).context("start the log queue")?;
    let output = fern::Output::call(move |record| queue.push(record.args().to_string()));
    install(level, output)
}

fn install(level: log::LevelFilter, output: impl Into<fern::Output>) -> anyhow::Result<()> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("marigoldroute", level)
        .level_for("marigoldroute_core", level)
        .level_for("marigoldroute_gateway", level)
        .level_for("marigoldroute_platform", level)
        .level_for("marigoldroute_store", level)
        .format(|out, _, record| out.finish(format_args!("{}", format_line(record))))
        .chain(output)
        .apply()
        .context("start logging")
}

/// Formats a record with its key-value pairs as one JSON object.
fn format_line(record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis() as u64;
    fields.0.insert("time_ms".into(), millis.into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    fields.0.insert("target".into(), record.target().into());
    fields
        .0
        .insert("message".into(), shortened(record.args()).into());
    // A pair that cannot be formatted is left out; the line itself is still written.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

/// Returns a text, cut at the limit.
fn shortened(text: impl Display) -> String {
    let mut text = text.to_string();
    text.truncate(text.floor_char_boundary(TEXT_LIMIT_BYTES));
    text
}

/// Collects key-value pairs; numbers and booleans keep their JSON type, other values become text.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (_, Some(number), _) => number.into(),
            (.., Some(flag)) => flag.into(),
            _ => shortened(value).into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
