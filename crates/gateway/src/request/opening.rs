//! The first events of a stream.

use {
    super::{ActiveRequest, Delivered, Stream},
    crate::exchange::{Exchange, Failure},
    bytes::Bytes,
    marigoldroute_core::{
        forward::{Rejected, Sequence, Stall, retry::Outcome},
        route::Progress,
    },
    std::time::Duration,
};

/// Reason of the failure of a stream whose end is not the end of an event.
pub(crate) const ENDED_WITHIN_EVENT: &str = "the stream ended within an event";

/// Reason of the failure of a stream that ended with its connection before an event with content.
pub(crate) const ENDED_WITHOUT_EVENT: &str = "the stream ended without an event";

/// A stream that has stalled within its first event.
struct Stalled;

impl ActiveRequest {
    /// Reads until the first event of a stream is complete, or to the end of one without events. A
    /// stream that stalls before may move to another upstream.
    pub(crate) async fn open_stream(
        &mut self,
        stream: Box<Stream>,
        mut started: Duration,
        last_event: Option<u64>,
    ) -> Result<Box<Stream>, Outcome> {
        let mut upstream = stream.exchange.in_flight.upstream.clone();
        let mut stream = Some(stream);
        let mut sequence = Sequence::new(last_event);
        let mut stall = None;
        let failure = loop {
            let read = self.read_first_events(&mut stream, &mut sequence, &mut stall);
            match (read.await, &mut stream) {
                (Err(failure), _) => break failure,
                (Ok(Some(Stalled)), _) => {}
                (Ok(None), stream) => {
                    let Some(stream) = stream.take() else {
                        return Err(Outcome::Unknown);
                    };
                    self.record_success(&upstream, started, &stream.exchange);
                    return Ok(stream);
                }
            }
            let delivered = Delivered {
                head: None,
                sequence: &sequence,
            };
            match self.find_successor(&mut stream, delivered).await {
                Ok(None) => {}
                Ok(Some(continuation)) => {
                    self.record_stall("moved", "another upstream has agreed", &upstream, 0);
                    let moved = continuation.stream;
                    upstream = moved.exchange.in_flight.upstream.clone();
                    (started, stream, stall) = (continuation.started, Some(moved), None);
                }
                Err(failure) => break failure,
            }
        };
        self.record_failure(&upstream, started, &failure);
        if let Some(stream) = stream {
            let mut in_flight = stream.exchange.into_in_flight();
            in_flight.report(Progress::Failed);
            if failure.is_break {
                self.examine_break(&in_flight).await;
            }
        }
        Err(failure.outcome)
    }

    /// Reads until the first event is complete, the stream has ended without one, or it has
    /// stalled.
    async fn read_first_events(
        &self,
        stream: &mut Option<Box<Stream>>,
        sequence: &mut Sequence,
        stall: &mut Option<Stall>,
    ) -> Result<Option<Stalled>, Failure> {
        let Some(stream) = stream else {
            return Ok(None);
        };
        loop {
            if let Some(first) = stream.events.front() {
                let out_of_order =
                    |error: Rejected| Failure::new(Outcome::Unknown, error.to_string());
                sequence.accept_event(first).map_err(out_of_order)?;
                stream.exchange.in_flight.report(Progress::FirstToken);
                self.context.quarantine.record_success(&self.parts);
                return Ok(None);
            }
            if stream.has_ended {
                let reason = if stream.splitter.is_partial() {
                    ENDED_WITHIN_EVENT
                } else if sequence.is_unconfirmed() && !stream.exchange.is_end_marked {
                    ENDED_WITHOUT_EVENT
                } else {
                    return Ok(None);
                };
                return Err(stream.exchange.ended_early(reason));
            }
            // The wait for the first byte covers queueing and the prompt and is not limited.
            if stream.splitter.is_partial() {
                stall.get_or_insert_with(|| self.start_stall_timer());
            }
            let Some(read) = self
                .read_unless_stalled(&mut stream.exchange, stall, sequence.last())
                .await
            else {
                return Ok(Some(Stalled));
            };
            stream.push(read)?;
        }
    }

    /// Reads the next bytes; returns `None` once the stream has stalled, if another upstream may
    /// run the request.
    async fn read_unless_stalled(
        &self,
        exchange: &mut Exchange,
        stall: &mut Option<Stall>,
        last: Option<u64>,
    ) -> Option<Result<Option<Bytes>, Failure>> {
        let Some(stall) = stall.as_mut().filter(|_| self.is_movable(last)) else {
            return Some(exchange.read().await);
        };
        let stalled_at = self.context.clock.instant(stall.deadline());
        let read = tokio::time::timeout_at(stalled_at.into(), exchange.read()).await;
        if read.is_err() {
            stall.postpone(self.context.clock.now());
        }
        read.ok()
    }

    /// Starts the detection of a stalled stream.
    pub(crate) fn start_stall_timer(&self) -> Stall {
        let route = &self.access.route;
        Stall::new(
            self.context.clock.now(),
            route.objective,
            route.event_interval,
        )
    }
}
