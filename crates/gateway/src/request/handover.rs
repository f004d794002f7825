//! Another upstream for a stream that has stalled.

use {
    super::{ActiveRequest, Stream, attempt::CONNECTION_LIMIT},
    crate::{
        dispatch::InFlight,
        exchange::{Exchange, Failure},
        pool::Connection,
        protocol::ResponseHead,
    },
    marigoldroute_core::{
        forward::{Sequence, retry::Outcome},
        id::UpstreamId,
        route::Progress,
    },
    marigoldroute_process::logs::REQUESTS,
    std::{pin::pin, time::Duration},
};

/// Choices of an upstream for one handover, when each turns out to be unusable.
const CHOICE_LIMIT: usize = 3;

/// Longest time to wait for an event of an upstream that has agreed to continue a stream, while the
/// stream is kept. Both work on the request meanwhile.
const CONFIRM_TIME: Duration = Duration::from_millis(150);

/// A stream that another upstream has agreed to continue.
pub(crate) struct Continuation {
    pub(crate) stream: Box<Stream>,
    /// When the request was sent.
    pub(crate) started: Duration,
}

/// What the caller has of a stream.
#[derive(Clone, Copy)]
pub(crate) struct Delivered<'a> {
    /// Head of the response; absent before it was sent.
    pub(crate) head: Option<&'a ResponseHead>,
    pub(crate) sequence: &'a Sequence,
}

/// What came of the attempt to move a stream.
enum Asked {
    /// The stream went on, or nobody else continues it.
    Kept(&'static str),
    /// Another upstream has agreed to continue it.
    Agreed(Box<Continuation>),
    /// The stream broke, and nobody else continues it.
    Lost(Failure),
}

/// A stream that broke while another upstream was asked.
struct Broken {
    in_flight: InFlight,
    failure: Failure,
}

/// Closes the connection of a stream, which cancels its run.
pub(crate) fn give_up(stream: &mut Option<Box<Stream>>) -> Option<InFlight> {
    let mut in_flight = stream.take()?.exchange.into_in_flight();
    in_flight.report(Progress::Failed);
    Some(in_flight)
}

impl ActiveRequest {
    /// Asks another upstream to continue a stalled stream, of which the caller has `delivered`. The
    /// stream is read meanwhile, and given up only when the other one has agreed, that is, begins to
    /// work on the request with a response that continues it. Returns `None` if the stream is kept.
    ///
    /// # Errors
    /// The failure of the stream, which was given up.
    pub(crate) async fn find_successor(
        &mut self,
        stream: &mut Option<Box<Stream>>,
        delivered: Delivered<'_>,
    ) -> Result<Option<Box<Continuation>>, Failure> {
        // After a pause of this process, its timers expire before bytes that have arrived are read.
        tokio::task::yield_now().await;
        let Some(current) = stream else {
            return Ok(None);
        };
        let current = current.exchange.in_flight.upstream.clone();
        let (asked, broken) = self.ask(stream, delivered).await;
        let relayed = delivered.sequence.relayed();
        let is_unopened = relayed == 0;
        if let Some(broken) = broken.filter(|broken| is_unopened && broken.failure.is_break) {
            self.examine_break(&broken.in_flight).await;
        }
        match asked {
            Asked::Kept(reason) => {
                self.record_kept(&current);
                self.record_stall("kept", reason, &current, relayed);
                Ok(None)
            }
            Asked::Lost(failure) => {
                self.record_stall("lost", &failure.reason, &current, relayed);
                Err(failure)
            }
            Asked::Agreed(continuation) => {
                give_up(stream);
                Ok(Some(continuation))
            }
        }
    }

    /// Asks another upstream to continue the stream, until the stream itself goes on.
    async fn ask(
        &mut self,
        stream: &mut Option<Box<Stream>>,
        delivered: Delivered<'_>,
    ) -> (Asked, Option<Broken>) {
        let deadline = self.deadline.clone();
        let mut asking = pin!(self.ask_successor(delivered));
        let (asked, broken) = loop {
            let Some(current) = stream else {
                return (Asked::Kept("the stream has ended"), None);
            };
            let read = tokio::select! {
                biased;
                read = current.exchange.read() => read,
                asked = &mut asking => break (asked, None),
                () = deadline.passed() => {
                    return (Asked::Kept("the deadline has passed"), None);
                }
            };
            match current.push(read) {
                Ok(()) if current.has_ended || !current.events.is_empty() => {
                    return (Asked::Kept("the stream goes on"), None);
                }
                Ok(()) => {}
                Err(failure) => {
                    let in_flight = give_up(stream);
                    let asked = deadline.run(asking).await;
                    let broken = in_flight.map(|in_flight| Broken { in_flight, failure });
                    break (asked.unwrap_or_default(), broken);
                }
            }
        };
        let asked = match (asked, &broken) {
            (Some(Ok(continuation)), _) => Asked::Agreed(Box::new(continuation)),
            (Some(Err(failure)), Some(_)) => Asked::Lost(failure),
            (None, Some(broken)) => Asked::Lost(broken.failure.clone()),
            (Some(Err(_)), None) => Asked::Kept("the other upstream declined"),
            (None, None) => Asked::Kept("no other upstream can continue it"),
        };
        (asked, broken)
    }

    /// Counts a stalled stream; `relayed` is the number of events that the caller has.
    pub(crate) fn record_stall(
        &self,
        result: &str,
        reason: &str,
        upstream: &UpstreamId,
        relayed: u64,
    ) {
        let stalled = &self.context.metrics.stalled_streams;
        stalled.with_label_values(&[result]).inc();
        log::info!(
            target: REQUESTS,
            request:% = self.head.id, upstream:%, result, reason,
            events = relayed, left_ms = self.remaining().as_millis() as u64;
            "stream stalled"
        );
    }

    /// Asks another upstream to continue the stream after what was delivered. Returns `None` if no one can be asked now. May be dropped at any time, which cancels the request.
    ///
    /// # Errors
    /// The failure, after which the upstream that was asked does not run the request.
    async fn ask_successor(
        &mut self,
        delivered: Delivered<'_>,
    ) -> Option<Result<Continuation, Failure>> {
        let last = delivered.sequence.last();
        let (in_flight, connection) = self.connect_successor().await?;
        if !self.admit_resume() {
            let (pool, upstream) = (&self.context.pool, &in_flight.upstream);
            pool.put(upstream, in_flight.address, connection, None);
            return None;
        }
        let started = self.context.clock.now();
        let upstream = in_flight.upstream.clone();
        self.tried.push(upstream.clone());
        let asked = match self
            .send_to_successor(in_flight, connection, delivered)
            .await
        {
            Ok(exchange) => self.confirm(exchange, last).await,
            Err(failure) => Err(failure),
        };
        Some(match asked {
            Ok(stream) => Ok(Continuation { stream, started }),
            Err(failure) => {
                self.record_failure(&upstream, started, &failure);
                Err(failure)
            }
        })
    }

    /// Waits for an event of an upstream that has agreed to continue a stream but does not mark the
    /// end of its response, which may have broken off if it ends without one.
    async fn confirm(
        &mut self,
        exchange: Exchange,
        last: Option<u64>,
    ) -> Result<Box<Stream>, Failure> {
        let needs_event = last.is_some() && !exchange.is_end_marked;
        let mut stream = Box::new(Stream::new(exchange, &self.context.quota));
        if !needs_event {
            return Ok(stream);
        }
        let confirmed = tokio::time::timeout(CONFIRM_TIME, stream.read_event()).await;
        // Whoever sends nothing yet works on the request.
        let Err(failure) = confirmed.unwrap_or(Ok(())) else {
            return Ok(stream);
        };
        let mut in_flight = stream.exchange.into_in_flight();
        in_flight.report(Progress::Failed);
        if failure.is_break {
            self.examine_break(&in_flight).await;
        }
        Err(failure)
    }

    /// Records that the upstream that had the stream keeps it.
    fn record_kept(&mut self, upstream: &UpstreamId) {
        if let Some(reservation) = &mut self.reservation {
            reservation.record_sent(upstream);
        }
    }

    /// Assigns an upstream, with its permit, and connects to it.
    async fn connect_successor(&self) -> Option<(InFlight, Connection)> {
        for _ in 0..CHOICE_LIMIT {
            let Some(mut in_flight) = self.try_acquire_upstream().await.ok()? else {
                continue;
            };
            let started = self.context.clock.now();
            match self.connect(&in_flight).await {
                Ok(connection) => return Some((in_flight, connection)),
                Err(failure) => {
                    in_flight.report(Progress::Failed);
                    self.record_failure(&in_flight.upstream, started, &failure);
                }
            }
        }
        None
    }

    /// Sends the request and validates the head of the response.
    async fn send_to_successor(
        &mut self,
        mut in_flight: InFlight,
        mut connection: Connection,
        delivered: Delivered<'_>,
    ) -> Result<Exchange, Failure> {
        let last = delivered.sequence.last();
        let mut tries_left = CONNECTION_LIMIT;
        let exchange = loop {
            tries_left -= 1;
            let failure = match self.start_exchange(in_flight, connection, last).await {
                Ok(exchange) => break exchange,
                Err((returned, failure)) => {
                    in_flight = returned;
                    failure
                }
            };
            if failure.outcome.is_held_back() {
                self.forget_choice(in_flight);
                return Err(failure);
            }
            if failure.outcome != Outcome::Unsent || tries_left == 0 {
                in_flight.report(Progress::Failed);
                return Err(failure);
            }
            connection = self.connect(&in_flight).await.inspect_err(|_| {
                in_flight.report(Progress::Failed);
            })?;
        };
        let head = &exchange.head;
        let continues = delivered.head.is_none_or(|own| own.is_continued_by(head));
        let failure = match self.validate(head) {
            Ok(()) if head.status.is_success() && continues => return Ok(exchange),
            Ok(()) => Failure::new(Outcome::Failed, "the upstream did not continue the stream"),
            Err(failure) => failure,
        };
        if failure.outcome == Outcome::Refused {
            exchange.finish_refused().await;
        } else {
            exchange.into_in_flight().report(Progress::Failed);
        }
        Err(failure)
    }
}
