//! Relays the events of a stream to its caller.

use {
    crate::{
        exchange::Failure,
        front::Body,
        job::{Answer, Job, STALLED, Stream},
    },
    bytes::{Bytes, BytesMut},
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    marigoldroute_core::{
        forward::{Kind, Sequence, Stall, event_id, retry::Outcome},
        route::Progress,
    },
    marigoldroute_process::logs::REQUESTS,
    std::io,
};

/// A stream in progress.
pub(crate) struct Relay {
    job: Job,
    /// Absent when the stream has ended.
    stream: Option<Box<Stream>>,
    sequence: Sequence,
    stall: Stall,
    event_tokens: u64,
}

/// What to do next.
enum Step {
    Hand(Bytes),
    End,
    Break(Failure),
}

impl Drop for Relay {
    /// Notes a stream that its caller no longer reads; the others have ended by themselves.
    fn drop(&mut self) {
        if self.stream.is_none() {
            return;
        }
        let clock = self.job.context.clock;
        log::info!(
            target: REQUESTS,
            request:% = self.job.head.id, events = self.sequence.relayed(),
            ms = clock.now().saturating_sub(self.job.arrived).as_millis() as u64,
            silent_ms = clock.now().saturating_sub(self.stall.last_event()).as_millis() as u64;
            "caller left"
        );
    }
}

impl Relay {
    pub(crate) fn new(job: Job, stream: Box<Stream>) -> Self {
        let engine = job.service.engine.as_ref();
        Self {
            sequence: Sequence::new(job.head.last_event),
            stall: job.stall(),
            event_tokens: engine.map_or(1, |engine| engine.event_tokens.max(1)),
            stream: Some(stream),
            job,
        }
    }

    /// Returns the body of the answer.
    pub(crate) fn body(self) -> Body {
        let frames = stream::unfold(self, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((bytes.map(Frame::data), relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next bytes; an error cuts the connection, so that the answer cannot pass as
    /// complete.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        self.stream.as_ref()?;
        loop {
            let failure = match self.step().await {
                Step::Hand(bytes) => return Some(Ok(bytes)),
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Break(failure) => failure,
            };
            if !self.resume(&failure).await {
                self.stream = None;
                return Some(Err(io::Error::other(failure)));
            }
        }
    }

    async fn step(&mut self) -> Step {
        let clock = self.job.context.clock;
        let deadline = clock.instant(self.job.deadline).into();
        // Only a stream that another upstream can continue is ended for its silence.
        let is_resumable = self.job.kind() == Kind::Resumable;
        let stalled = clock.instant(self.stall.deadline()).into();
        let Some(stream) = &mut self.stream else {
            return Step::End;
        };
        while stream.events.is_empty() {
            if stream.is_over {
                return match stream.splitter.is_partial() {
                    true => Step::Break(Failure::new(Outcome::Unknown, "the last event is cut")),
                    false => Step::End,
                };
            }
            let read = tokio::select! {
                read = stream.exchange.read() => read,
                () = tokio::time::sleep_until(deadline) => {
                    Err(Failure::new(Outcome::Unknown, "the deadline has passed"))
                }
                () = tokio::time::sleep_until(stalled), if is_resumable => {
                    Err(Failure::new(Outcome::Unknown, STALLED))
                }
            };
            match read {
                Ok(None) => stream.is_over = true,
                Ok(Some(data)) => match stream.splitter.push(&data) {
                    Some(events) => {
                        if let Err(exceeded) = stream.part.resize(stream.splitter.buffered_bytes())
                        {
                            return Step::Break(exceeded.into());
                        }
                        stream.events.extend(events);
                    }
                    None => {
                        return Step::Break(Failure::new(
                            Outcome::Unknown,
                            "an event is too large",
                        ));
                    }
                },
                Err(failure) => return Step::Break(failure),
            }
        }
        self.hand()
    }

    /// Takes the events that have arrived.
    fn hand(&mut self) -> Step {
        let Some(stream) = &mut self.stream else {
            return Step::End;
        };
        let mut bytes = BytesMut::new();
        let before = self.sequence.relayed();
        while let Some(event) = stream.events.pop_front() {
            if let Err(rejected) = self.sequence.accept(event_id(&event.raw)) {
                if bytes.is_empty() {
                    return Step::Break(Failure::new(Outcome::Unknown, rejected.to_string()));
                }
                // The caller gets the events before it first: a resumed stream goes on after them.
                stream.events.push_front(event);
                break;
            }
            bytes.extend_from_slice(&event.raw);
        }
        let relayed = self.sequence.relayed() - before;
        if relayed > 0 {
            self.stall.record_event(self.job.context.clock.now());
        }
        if let Some(reservation) = &mut self.job.reservation {
            reservation.record_delivered(relayed * self.event_tokens);
        }
        let context = &self.job.context;
        context.view.count_bytes(context.clock.now(), bytes.len());
        Step::Hand(bytes.freeze())
    }

    /// Continues the stream at another upstream, if that is allowed.
    async fn resume(&mut self, failure: &Failure) -> bool {
        let Some(mut stream) = self.stream.take() else {
            return false;
        };
        stream.exchange.flight.report(Progress::Failed);
        // Closing the connection ends the run before another one starts.
        drop(stream);
        let last = self.sequence.last();
        log::info!(
            target: REQUESTS,
            request:% = self.job.head.id, reason:% = failure.reason, events = self.sequence.relayed(),
            left_ms = self.job.left().as_millis() as u64;
            "stream broken"
        );
        if !self.job.may_resume() {
            return false;
        }
        match self.job.answer(last).await {
            Answer::Stream(stream) => {
                log::info!(target: REQUESTS, request:% = self.job.head.id; "stream resumed");
                self.stream = Some(stream);
                self.stall = self.job.stall();
                true
            }
            _ => false,
        }
    }

    fn finish(&mut self) {
        if let Some(stream) = self.stream.take() {
            let tokens = self.sequence.relayed() * self.event_tokens;
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            stream.exchange.finish(Progress::Finished { tokens });
        }
        self.job
            .context
            .metrics
            .requests
            .with_label_values(&["streamed"])
            .inc();
        log::info!(
            target: REQUESTS,
            request:% = self.job.head.id, events = self.sequence.relayed(),
            ms = self.job.context.clock.now().saturating_sub(self.job.arrived).as_millis() as u64;
            "stream complete"
        );
    }
}
