//! Server-sent events in the answer of a model engine.

use {
    bytes::{Bytes, BytesMut},
    serde::Deserialize,
    serde_json::value::RawValue,
    std::borrow::Cow,
};

/// Maximum size of a buffered event in bytes.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event as received, including the blank line that ends it.
    pub raw: Bytes,
    /// Payload of its `data` lines, joined by newlines.
    pub data: String,
}

impl Event {
    /// Returns whether each line is a comment or has a field of server-sent events.
    pub fn is_well_formed(&self) -> bool {
        let is_known = |line: &[u8]| {
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            matches!(name, b"" | b"data" | b"event" | b"id" | b"retry")
        };
        let mut lines = self.raw.split(|byte| matches!(byte, b'\r' | b'\n'));
        lines.all(is_known)
    }
}

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the start of `buffer` that contains no end of an event, so that an event in many
    /// small pieces is not searched again for each piece.
    searched: usize,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete, or `None` when an incomplete event
    /// exceeds the size limit of 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<Event>> {
        let events = self.split(bytes)?.into_iter();
        Some(events.map(parse).collect())
    }

    /// As [`Self::push`], without parsing the events.
    pub fn split(&mut self, bytes: &[u8]) -> Option<Vec<Bytes>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_blank_line(&self.buffer[self.searched..]) {
            let raw = self.buffer.split_to(self.searched + end).freeze();
            self.searched = 0;
            events.push(raw);
        }
        // The end of an event takes up to four bytes, of which three may have arrived.
        self.searched = self.buffer.len().saturating_sub(3);
        (self.buffer.len() <= EVENT_LIMIT_BYTES).then_some(events)
    }

    /// Returns the capacity of the buffer for an incomplete event, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the first event including the blank line that ends it.
fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    let bytes = buffer.iter().enumerate();
    let mut line_ends = bytes.filter_map(|(at, byte)| (*byte == b'\n').then_some(at));
    line_ends.find_map(|at| match &buffer[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] if buffer[..at].ends_with(b"\r") => Some(at + 3),
        _ => None,
    })
}

fn parse(raw: Bytes) -> Event {
    let text = String::from_utf8_lossy(&raw);
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<_> = lines.map(str::trim_start).collect();
    let data = data.join("\n");
    Event { raw, data }
}

/// The fields of a completion chunk that are used here.
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
