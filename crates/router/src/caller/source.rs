//! Reads the events of an upstream's streamed answer.

use {
    super::active_request::UpstreamResponse,
    crate::dispatch::InFlight,
    bytes::Bytes,
    futures_util::{StreamExt, stream::BoxStream},
    marigoldroute_core::{
        fault::{Fault, Kind, Outcome},
        stream::{Event, InvalidAnswer, Splitter},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Why a source gives no further event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// The upstream closed the stream.
    Closed,
    /// The stream broke; the engine may be able to resume it.
    Interrupted(Fault),
    /// The answer is invalid.
    Broken(InvalidAnswer),
}

/// A streamed answer. Nothing is read from the upstream between two calls of [`Self::next`].
pub(super) struct Source {
    pub(super) in_flight: InFlight,
    /// Base URL of the upstream.
    pub(super) url: Arc<str>,
    bytes: BoxStream<'static, reqwest::Result<Bytes>>,
    splitter: Splitter,
    /// Events of the last read that were not returned yet.
    events: VecDeque<Event>,
}

impl Source {
    pub(super) fn new(reply: UpstreamResponse) -> Self {
        Self {
            in_flight: reply.in_flight,
            url: reply.url,
            bytes: reply.response.bytes_stream().boxed(),
            splitter: Splitter::default(),
            events: VecDeque::new(),
        }
    }

    /// Continues with another response of the same upstream.
    pub(super) fn with(self, response: reqwest::Response) -> Self {
        Self::new(UpstreamResponse {
            in_flight: self.in_flight,
            url: self.url,
            response,
        })
    }

    /// Returns the next event; waits at most `limit` for each read. Cancel safe: no event is lost
    /// if the future is dropped.
    pub(super) async fn next(&mut self, limit: Duration) -> Result<Event, Stop> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let piece = match timeout(limit, self.bytes.next()).await {
                Err(_) => return Err(silent()),
                Ok(Some(Err(_))) => {
                    return Err(interrupted(Kind::AnswerBroken, "the connection broke"));
                }
                Ok(None) => return Err(Stop::Closed),
                Ok(Some(Ok(piece))) => piece,
            };
            let events = self.splitter.push(&piece);
            self.events = events.ok_or(Stop::Broken(InvalidAnswer::Oversized))?.into();
        }
    }

    /// Puts an event back, so that [`Self::next`] returns it again.
    pub(super) fn put_back(&mut self, event: Event) {
        self.events.push_front(event);
    }
}

fn silent() -> Stop {
    interrupted(Kind::UpstreamTimeout, "the upstream fell silent")
}

fn interrupted(kind: Kind, message: &str) -> Stop {
    Stop::Interrupted(Fault::new(kind, message).with_outcome(Outcome::Ran))
}
