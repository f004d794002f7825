//! Checks the order of the events of a stream.

use derive_more::{Display, Error};

/// An event that may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// Its id follows the last one, or is the first.
    Next,
    /// It has no id, as a comment.
    Unnumbered,
}

/// An event that must not be relayed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejected {
    /// The caller already has an event with this id or a later one.
    #[display("event {id} after event {last}")]
    Repeated {
        /// Id of the event.
        id: u64,
        /// Id of the last relayed event.
        last: u64,
    },
    /// Events between the last one and this one are missing.
    #[display("event {id} after event {last}, events are missing")]
    Gap {
        /// Id of the event.
        id: u64,
        /// Id of the last relayed event.
        last: u64,
    },
    /// It has no id by which it can be placed, and is no part of the numbered stream.
    #[display("an event without an id after event {last}")]
    Foreign {
        /// Id of the last relayed event.
        last: u64,
    },
    /// It is no event, or several that were run together.
    #[display("text that is no event")]
    Malformed,
}

/// Tracks the ids of the events that a caller has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sequence {
    /// Id of the last event that the caller has; absent before the first.
    last: Option<u64>,
    relayed: u64,
    /// Whether the next event comes from an upstream that continues the stream.
    is_resuming: bool,
    /// Whether the caller has content of events without an id.
    has_unnumbered: bool,
    /// Whether the stream broke off at another upstream.
    is_continued: bool,
    /// Whether the upstream that sends the events has sent one with content.
    has_content: bool,
}

impl Sequence {
    /// Starts after the event that the caller has already received, if any.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            is_resuming: last.is_some(),
            ..Self::default()
        }
    }

    /// Records that the next events come from an upstream that continues the stream.
    pub fn resume(&mut self) {
        self.is_resuming = self.last.is_some();
        self.is_continued = true;
        self.has_content = false;
    }

    /// Returns whether the id of the last event tells how much the caller has, so that the stream
    /// can continue at another upstream.
    pub fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns the id of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of accepted events that have an id.
    pub fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Returns whether the upstream has to send more, as far as is known, and has sent no event with
    /// content. It may have broken off, unless it marks the end.
    pub fn is_unconfirmed(&self) -> bool {
        !self.has_content && (self.is_continued || self.last.is_none())
    }

    /// Checks that an event follows the last one, and records it.
    ///
    /// # Errors
    /// [`Rejected`] when the event does not follow the last one.
    pub fn accept(&mut self, id: Option<u64>) -> Result<Accepted, Rejected> {
        let Some(id) = id else {
            return Ok(Accepted::Unnumbered);
        };
        if let Some(last) = self.last {
            if id <= last {
                return Err(Rejected::Repeated { id, last });
            }
            if id > last + 1 {
                return Err(Rejected::Gap { id, last });
            }
        }
        self.last = Some(id);
        self.relayed += 1;
        self.is_resuming = false;
        self.has_content = true;
        Ok(Accepted::Next)
    }

    /// Checks that an event, in its raw form, follows the last one, and records it. It has to be well
    /// formed; the first one without an id of an upstream that continues a numbered stream has to be a
    /// comment.
    ///
    /// # Errors
    /// [`Rejected`] when the event does not follow the last one or is no part of the stream.
    pub fn accept_event(&mut self, event: &[u8]) -> Result<Accepted, Rejected> {
        let id = event_id(event);
        let is_unnumbered = id.is_none() && !lines(event).all(is_comment);
        if let Some(last) = self.last.filter(|_| is_unnumbered)
            && (self.is_resuming || !lines(event).all(is_unnumbered_line))
        {
            return Err(Rejected::Foreign { last });
        }
        if !is_well_formed(event) {
            return Err(Rejected::Malformed);
        }
        self.has_unnumbered |= is_unnumbered;
        self.has_content |= is_unnumbered;
        self.accept(id)
    }
}

/// Returns the lines of an event that are not empty.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| matches!(byte, b'\r' | b'\n'));
    lines.filter(|line| !line.is_empty())
}

fn is_comment(line: &[u8]) -> bool {
    line.starts_with(b":")
}

/// Returns whether an event has known fields only and at most one id. Its first line may have another
/// field with a number, by which engines announce a change of their version.
fn is_well_formed(event: &[u8]) -> bool {
    let mut lines = lines(event).peekable();
    lines.next_if(|line| is_announcement(line));
    let mut ids = 0;
    lines.all(|line| {
        let is_id = field_name(line) == b"id";
        ids += usize::from(is_id);
        ids <= 1 && (is_id || is_unnumbered_line(line))
    })
}

/// Returns whether a line consists of a name and a number.
fn is_announcement(line: &[u8]) -> bool {
    let name = field_name(line);
    let value = line.get(name.len() + 1..).unwrap_or_default().trim_ascii();
    let is_name = |byte: &u8| byte.is_ascii_lowercase() || *byte == b'-';
    name != b"id"
        && !name.is_empty()
        && name.iter().all(is_name)
        && !value.is_empty()
        && value.iter().all(u8::is_ascii_digit)
}

/// Returns the name of the field of a line; an empty one of a comment.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|byte| *byte == b':').next().unwrap_or_default()
}

/// Returns whether an event without an id may have this line.
fn is_unnumbered_line(line: &[u8]) -> bool {
    matches!(field_name(line), b"" | b"data" | b"event" | b"retry")
}

/// Returns the numeric id of a server-sent event, if it has one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let id = lines(event).find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
