//! Server-sent events of a model engine's answer.

use {
    bytes::{Bytes, BytesMut},
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// Largest event that is buffered, in bytes.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as received, with its blank line.
    pub raw: Bytes,
    /// Payload of its `data` lines.
    pub data: String,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete, or `None` when an event is over the
    /// size limit of 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<Event>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_blank_line(&self.buffer) {
            let raw = self.buffer.split_to(end).freeze();
            events.push(parse(raw));
        }
        (self.buffer.len() <= EVENT_LIMIT_BYTES).then_some(events)
    }

    /// Returns whether bytes of an incomplete event are left.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n");
    let crlf = buffer.windows(4).position(|quad| quad == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, Some(crlf)) => Some(crlf + 4),
        (None, None) => None,
    }
}

fn parse(raw: Bytes) -> Event {
    let text = String::from_utf8_lossy(&raw);
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<_> = lines.map(str::trim_start).collect();
    let data = data.join("\n");
    Event { raw, data }
}

/// The parts of a completion chunk that the router needs.
#[derive(Debug, Deserialize)]
pub(super) struct Chunk {
    #[serde(default)]
    pub(super) id: String,
    #[serde(default)]
    pub(super) choices: Vec<Choice>,
    pub(super) usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Choice {
    #[serde(default)]
    pub(super) finish_reason: Option<String>,
    /// Everything else, such as the text.
    #[serde(flatten)]
    pub(super) content: Map<String, Value>,
}

/// Token counts as the engine reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(super) struct Usage {
    #[serde(default)]
    pub(super) prompt_tokens: u64,
    #[serde(default)]
    pub(super) completion_tokens: u64,
}
