//! Server-sent events of a model engine's answer.

use {
    bytes::{Bytes, BytesMut},
    serde::Deserialize,
    serde_json::value::RawValue,
    std::borrow::Cow,
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
    /// Bytes at the start of `buffer` that hold no end of an event, so that an event in many small
    /// pieces is not searched again with each.
    searched: usize,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete, or `None` when an event is over the
    /// size limit of 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<Event>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_blank_line(&self.buffer[self.searched..]) {
            let raw = self.buffer.split_to(self.searched + end).freeze();
            self.searched = 0;
            events.push(parse(raw));
        }
        // The end of an event takes up to four bytes, of which three may have arrived.
        self.searched = self.buffer.len().saturating_sub(3);
        (self.buffer.len() <= EVENT_LIMIT_BYTES).then_some(events)
    }

    /// Returns the memory that is held for an incomplete event, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
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
pub(super) struct Chunk<'a> {
    #[serde(default)]
    pub(super) id: Cow<'a, str>,
    #[serde(default, borrow)]
    pub(super) choices: Vec<&'a RawValue>,
    pub(super) usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Choice<'a> {
    #[serde(default, borrow)]
    pub(super) finish_reason: Option<Cow<'a, str>>,
}

/// Token counts as the engine reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(super) struct Usage {
    #[serde(default)]
    pub(super) prompt_tokens: u64,
    #[serde(default)]
    pub(super) completion_tokens: u64,
}
