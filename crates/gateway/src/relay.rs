//! Relays the events of a stream to its caller.

mod handover;

use {
    crate::{
        exchange::Failure,
        frontend::Body,
        pool::READ_BUFFER_BYTES,
        protocol::ResponseHead,
        request::{
            ActiveRequest, Answer, ENDED_WITHIN_EVENT, ENDED_WITHOUT_EVENT, Stream, give_up,
        },
        whole::permitted,
    },
    bytes::{Bytes, BytesMut},
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    marigoldroute_core::{
        forward::{Sequence, Stall, retry::Outcome},
        route::Progress,
    },
    marigoldroute_process::logs::REQUESTS,
    std::{io, time::Duration},
};

/// Reason of the failure of a stream that its caller no longer waits for.
const DEADLINE_REASON: &str = "the deadline has passed";

/// Reason of the failure of a stream that is cut as the process stops.
const STOP_REASON: &str = "the process stops";

/// Events for which a stream keeps space between two reads.
const SPARE_EVENTS: usize = 16;

/// A stream of events on its way to the caller.
pub(crate) struct Relay {
    request: ActiveRequest,
    /// Head of the response that the caller gets.
    head: ResponseHead,
    /// Absent once the stream has ended or failed, and while it is resumed.
    stream: Option<Box<Stream>>,
    has_ended: bool,
    sequence: Sequence,
    stall: Stall,
    /// When the first event came.
    begun: Duration,
    /// Output tokens billed for an event.
    event_tokens: u64,
}

/// The next step of a relay.
enum Step {
    /// Send these bytes to the caller.
    Send(Bytes),
    /// The stream is complete.
    End,
    /// No event came for too long; another upstream may continue the stream.
    Stalled,
    /// The stream broke.
    Fail(Failure),
}

impl Drop for Relay {
    /// Logs a stream that the caller stopped reading, or that is cut as the process stops.
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        self.record_pace();
        if self.request.context.drain.cut.is_cancelled() {
            let failure = Failure::new(Outcome::Unknown, STOP_REASON);
            self.record_cut(&failure, "the drain limit is reached");
            return;
        }
        let clock = self.request.context.clock;
        log::info!(
            target: REQUESTS,
            request:% = self.request.head.id, events = self.sequence.relayed(),
            ms = clock.now().saturating_sub(self.request.arrived).as_millis() as u64,
            silent_ms = clock.now().saturating_sub(self.stall.last_event()).as_millis() as u64;
            "caller left"
        );
    }
}

impl Relay {
    pub(crate) fn new(mut request: ActiveRequest, stream: Box<Stream>) -> Self {
        request.has_begun = true;
        let engine = request.service.engine.as_ref();
        Self {
            sequence: Sequence::new(request.head.last_event),
            stall: request.start_stall_timer(),
            begun: request.context.clock.now(),
            event_tokens: engine.map_or(1, |engine| engine.event_tokens.max(1)),
            head: stream.exchange.head.clone(),
            stream: Some(stream),
            has_ended: false,
            request,
        }
    }

    /// Returns the body of the response.
    pub(crate) fn body(self) -> Body {
        let frames = stream::unfold(self, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((bytes.map(Frame::data), relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next bytes; an error closes the connection, so that the caller does not take a
    /// truncated stream for a complete one.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.has_ended {
            return None;
        }
        loop {
            let failure = match self.step().await {
                Step::Send(bytes) => return Some(Ok(bytes)),
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Stalled => match self.hand_over().await {
                    Ok(()) => continue,
                    Err(failure) => failure,
                },
                Step::Fail(failure) => failure,
            };
            if !self.resume(&failure).await {
                self.has_ended = true;
                // Lets the bytes before the failure be sent, which closes the connection.
                tokio::task::yield_now().await;
                return Some(Err(io::Error::other(failure)));
            }
        }
    }

    /// Waits for complete events, the end of the stream, or its failure.
    async fn step(&mut self) -> Step {
        let clock = self.request.context.clock;
        let deadline = &self.request.deadline;
        let is_movable = self.request.is_movable(self.sequence.last());
        let stalled_at = clock.instant(self.stall.deadline()).into();
        let Some(stream) = &mut self.stream else {
            return Step::End;
        };
        while stream.events.is_empty() {
            if stream.has_ended {
                let reason = if stream.splitter.is_partial() {
                    ENDED_WITHIN_EVENT
                } else if self.sequence.is_unconfirmed() && !stream.exchange.is_end_marked {
                    ENDED_WITHOUT_EVENT
                } else {
                    return Step::End;
                };
                return Step::Fail(stream.exchange.ended_early(reason));
            }
            let read = tokio::select! {
                biased;
                read = stream.exchange.read() => read,
                () = deadline.passed() => {
                    Err(Failure::new(Outcome::Unknown, DEADLINE_REASON))
                }
                () = tokio::time::sleep_until(stalled_at), if is_movable => return Step::Stalled,
            };
            if let Err(failure) = stream.push(read) {
                return Step::Fail(failure);
            }
        }
        self.take_events()
    }

    /// Takes the events that have arrived, checks their order, and bills them.
    fn take_events(&mut self) -> Step {
        let Some(stream) = &mut self.stream else {
            return Step::End;
        };
        let mut bytes = BytesMut::new();
        // What hyper takes from here waits until the caller reads it.
        let mut permit = self.request.context.quota.permit();
        let before = self.sequence.relayed();
        while let Some(event) = stream.events.front() {
            let length = bytes.len() + event.len();
            // An event that is accepted has to be sent, since a resumed stream continues after it.
            let rejected = match length > READ_BUFFER_BYTES {
                true => permit.resize(length).err().map(Failure::from),
                false => None,
            };
            let rejected = rejected.or_else(|| {
                let rejected = self.sequence.accept_event(event).err()?;
                Some(Failure::new(Outcome::Unknown, rejected.to_string()))
            });
            match rejected {
                Some(failure) if bytes.is_empty() => return Step::Fail(failure),
                Some(_) => break,
                None => bytes.extend_from_slice(event),
            }
            stream.events.pop_front();
        }
        // Many small events may have grown it far beyond what the next ones need.
        stream.events.shrink_to(SPARE_EVENTS);
        let relayed = self.sequence.relayed() - before;
        if relayed > 0 {
            self.stall.record_event(self.request.context.clock.now());
        }
        if let Some(reservation) = &mut self.request.reservation {
            reservation.record_delivered(relayed.saturating_mul(self.event_tokens));
        }
        let context = &self.request.context;
        context.view.record_bytes(context.clock.now(), bytes.len());
        Step::Send(permitted(bytes.freeze(), permit.into()))
    }

    /// Relays the events of another upstream from now on.
    ///
    /// # Errors
    /// When its response does not continue the one that the caller gets.
    fn go_on(&mut self, mut stream: Box<Stream>) -> Result<(), Failure> {
        let next = &stream.exchange.head;
        if !self.head.is_continued_by(next) {
            let reason = format!("an upstream answered {}", next.status);
            stream.exchange.in_flight.report(Progress::Failed);
            return Err(Failure::new(Outcome::Unknown, reason));
        }
        self.stream = Some(stream);
        self.sequence.resume();
        self.stall = self.request.start_stall_timer();
        Ok(())
    }

    /// Continues the stream at another upstream if a retry is allowed; returns whether it goes on.
    async fn resume(&mut self, failure: &Failure) -> bool {
        if failure.is_break {
            self.request.record_break("streaming");
        }
        // Close the connection, which cancels the run, before another run starts.
        give_up(&mut self.stream);
        self.record_pace();
        let last = self.sequence.last();
        log::info!(
            target: REQUESTS,
            request:% = self.request.head.id, reason:% = failure.reason, events = self.sequence.relayed(),
            left_ms = self.request.remaining().as_millis() as u64;
            "stream broken"
        );
        if !self.sequence.is_resumable() {
            self.record_cut(failure, "events without an id were relayed");
            return false;
        }
        if self.request.is_too_late(last) {
            self.record_cut(failure, STOP_REASON);
            return false;
        }
        if !self.request.admit_resume() {
            self.record_cut(failure, "no retry is allowed");
            return false;
        }
        let obstacle = match self.request.run(last).await {
            Answer::Stream(stream) => match self.go_on(stream) {
                Ok(()) => {
                    log::info!(target: REQUESTS, request:% = self.request.head.id; "stream resumed");
                    return true;
                }
                Err(other) => other.reason,
            },
            Answer::Complete(head, ..) => format!("an upstream answered {}", head.status),
            Answer::Error(error) => error.to_string(),
        };
        self.record_cut(failure, &obstacle);
        false
    }

    /// Records that the stream ends although it is incomplete; `obstacle` is why it does not
    /// continue at another upstream.
    fn record_cut(&self, failure: &Failure, obstacle: &str) {
        let cause = match failure.reason.as_str() {
            DEADLINE_REASON => "deadline",
            STOP_REASON => "stop",
            _ => "broken",
        };
        let context = &self.request.context;
        context
            .metrics
            .cut_streams
            .with_label_values(&[cause])
            .inc();
        let directory = context.view.directory();
        log::info!(
            target: REQUESTS,
            request:% = self.request.head.id, cause, obstacle,
            events = self.sequence.relayed(), sent = self.request.sends.count(),
            version = directory.map_or(0, |directory| directory.version());
            "stream cut"
        );
    }

    /// Records how long the events have taken so far.
    fn record_pace(&self) {
        let (request, events) = (&self.request, self.sequence.relayed());
        let route = &request.access.route.name;
        request
            .context
            .drain
            .record_stream(route, events, self.begun);
    }

    /// Records that the stream is complete.
    fn finish(&mut self) {
        self.has_ended = true;
        self.record_pace();
        if let Some(stream) = self.stream.take() {
            let tokens = self.sequence.relayed().saturating_mul(self.event_tokens);
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            stream.exchange.finish(Progress::Finished { tokens });
        }
        self.request
            .context
            .metrics
            .requests
            .with_label_values(&["streamed"])
            .inc();
        log::info!(
            target: REQUESTS,
            request:% = self.request.head.id, events = self.sequence.relayed(),
            ms = self.request.context.clock.now().saturating_sub(self.request.arrived).as_millis() as u64;
            "stream complete"
        );
    }
}
