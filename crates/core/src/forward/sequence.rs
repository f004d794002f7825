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
}

/// Tracks the ids of the events that a caller has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sequence {
    /// Id of the last event that the caller has; absent before the first.
    last: Option<u64>,
    relayed: u64,
}

impl Sequence {
    /// Starts after the event that the caller has already received, if any.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, relayed: 0 }
    }

    /// Returns the id of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of accepted events that have an id.
    pub fn relayed(&self) -> u64 {
        self.relayed
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
        Ok(Accepted::Next)
    }
}

/// Returns the numeric id of a server-sent event, if it has one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
