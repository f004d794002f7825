//! One attempt of a job: a place at an upstream, the exchange, and what its answer means.

use {
    super::{Answer, Job, Stream},
    crate::{
        dispatch::{Flight, Vacancy},
        exchange::{Exchange, Failure},
        memory::Part,
        pool::Connection,
        protocol::{Attempt, ResponseHead},
    },
    bytes::Bytes,
    marigoldroute_core::{
        forward::{Kind, Rejected, Sequence, Stall, event_id, retry::Outcome},
        id::UpstreamId,
        route::Progress,
        stream::{Event, Splitter},
    },
    marigoldroute_process::logs::{REQUESTS, ROUTING},
    std::{collections::VecDeque, time::Duration},
};

/// Why an attempt failed whose stream stalled.
pub(crate) const STALLED: &str = "no event for too long";
/// Connections that turn out closed before anything was written, after which an attempt fails.
const STALE_CONNECTIONS: usize = 3;

/// How an attempt ended.
pub(super) enum Attempted {
    /// There is something to hand on.
    Done(Answer),
    /// The upstream ran the request and failed; its answer is handed on if there is no retry.
    Bad(Answer),
}

impl Job {
    /// Makes one attempt; fails with `None` when there is no upstream for it.
    pub(super) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Attempted, Option<Outcome>> {
        let mut flight = self.place().await.ok_or(None)?;
        let upstream = flight.upstream.clone();
        self.tried.push(upstream.clone());
        let started = self.context.clock.now();
        let mut failure = Failure::new(Outcome::Unsent, "no connection");
        for _ in 0..STALE_CONNECTIONS {
            let connection = match self.connect(&flight).await {
                Ok(connection) => connection,
                Err(error) => {
                    failure = error;
                    break;
                }
            };
            self.is_sending(&upstream);
            match self.exchange(flight, connection, last_event).await {
                Ok(exchange) => {
                    return self
                        .judge(exchange, started, last_event)
                        .await
                        .map_err(Some);
                }
                Err((returned, error)) => {
                    flight = returned;
                    failure = error;
                    if failure.outcome != Outcome::Unsent {
                        break;
                    }
                    self.sent -= 1;
                }
            }
        }
        flight.report(Progress::Failed);
        self.note(&upstream, started, &failure);
        Err(Some(failure.outcome))
    }

    /// Notes that the upstream may receive the request from now on.
    fn is_sending(&mut self, upstream: &UpstreamId) {
        self.sent += 1;
        if let Some(reservation) = &mut self.reservation {
            reservation.record_sent(upstream);
        }
    }

    /// Waits for a place at an upstream.
    async fn place(&self) -> Option<Flight> {
        loop {
            let freed = self.context.dispatcher.freed.notified();
            match self
                .context
                .dispatcher
                .choose(&self.service, &self.profile, &self.tried)
            {
                Ok((flight, rationale)) => {
                    log::info!(
                        target: ROUTING,
                        request:% = self.head.id, upstream:% = flight.upstream, rationale:%;
                        "upstream chosen"
                    );
                    return Some(flight);
                }
                Err(Vacancy::None) => return None,
                Err(Vacancy::Full) => freed.await,
            }
        }
    }

    async fn connect(&self, flight: &Flight) -> Result<Connection, Failure> {
        let pool = &self.context.pool;
        if let Some(connection) = pool.take(&flight.upstream, flight.address) {
            return Ok(connection);
        }
        let opened = pool.open(flight.address).await;
        opened.map_err(|error| Failure::new(Outcome::Unsent, error.to_string()))
    }

    async fn exchange(
        &self,
        flight: Flight,
        connection: Connection,
        last_event: Option<u64>,
    ) -> Result<Exchange, (Flight, Failure)> {
        let upstream = flight.upstream.clone();
        let attempt = Attempt {
            upstream: &upstream,
            workspace: self.workspace(),
            timeout: self.left(),
            last_event,
        };
        let (protocol, pool) = (&*self.context.protocol, &self.context.pool);
        let body = self.body.clone();
        Exchange::start(
            protocol, pool, flight, connection, &self.head, &attempt, body,
        )
        .await
    }

    /// Decides what the head of an answer means, and reads the answer or its first events.
    async fn judge(
        &mut self,
        mut exchange: Exchange,
        started: Duration,
        last_event: Option<u64>,
    ) -> Result<Attempted, Outcome> {
        let upstream = exchange.flight.upstream.clone();
        let checked = self.check(&exchange.head);
        let failure = match checked {
            Ok(()) if exchange.head.status.is_success() && self.kind().is_stream() => {
                match self.first_events(&mut exchange, last_event).await {
                    Ok((splitter, part, events, is_over)) => {
                        self.note_success(&upstream, started, &exchange);
                        let stream = Stream {
                            exchange,
                            splitter,
                            part,
                            events,
                            is_over,
                        };
                        return Ok(Attempted::Done(Answer::Stream(Box::new(stream))));
                    }
                    Err(failure) => failure,
                }
            }
            Ok(()) => match self.read_all(&mut exchange).await {
                Ok((body, part)) => {
                    self.note_success(&upstream, started, &exchange);
                    let head = exchange.head.clone();
                    let is_failure = head.status.is_server_error();
                    exchange.finish(Progress::Finished { tokens: 1 });
                    let answer = Answer::Whole(head, body, part);
                    return Ok(if is_failure {
                        Attempted::Bad(answer)
                    } else {
                        Attempted::Done(answer)
                    });
                }
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if failure.outcome == Outcome::Refused {
            exchange.dismiss().await;
        } else {
            exchange.flight.report(Progress::Failed);
        }
        self.note(&upstream, started, &failure);
        Err(failure.outcome)
    }

    /// Checks that an answer belongs to this request and that the upstream vouches for it.
    fn check(&self, response: &ResponseHead) -> Result<(), Failure> {
        // A late refusal of another request says nothing about this one, which may run.
        if response.id.as_ref() != Some(&self.head.id) {
            return Err(Failure::new(
                Outcome::Unknown,
                "the answer belongs to another request",
            ));
        }
        if response.is_refused {
            return Err(Failure::new(
                Outcome::Refused,
                "the upstream did not run it",
            ));
        }
        if response.status.is_success() && !response.is_signed {
            return Err(Failure::new(Outcome::Unknown, "the answer is not signed"));
        }
        Ok(())
    }

    async fn read_all(&self, exchange: &mut Exchange) -> Result<(Bytes, Part), Failure> {
        let mut part = self.context.memory.part();
        let body = exchange.read_all(&mut part).await?;
        Ok((body, part))
    }

    /// Reads up to the first event.
    async fn first_events(
        &self,
        exchange: &mut Exchange,
        last_event: Option<u64>,
    ) -> Result<(Splitter, Part, VecDeque<Event>, bool), Failure> {
        let mut splitter = Splitter::default();
        let mut part = self.context.memory.part();
        let mut sequence = Sequence::new(last_event);
        // Queues and prompts take their time, but the first event comes as a whole.
        let mut stall = None;
        loop {
            let Some(data) = self.read_within(exchange, stall).await? else {
                return Ok((splitter, part, VecDeque::new(), true));
            };
            let large = || Failure::new(Outcome::Unknown, "an event is too large");
            let events = splitter.push(&data).ok_or_else(large)?;
            part.resize(splitter.buffered_bytes())?;
            let Some(first) = events.first() else {
                stall.get_or_insert_with(|| self.stall());
                continue;
            };
            let id = event_id(&first.raw);
            let order = |error: Rejected| Failure::new(Outcome::Unknown, error.to_string());
            sequence.accept(id).map_err(order)?;
            exchange.flight.report(Progress::FirstToken);
            return Ok((splitter, part, events.into(), false));
        }
    }

    /// Reads on until the stream counts as stalled, if another upstream can continue it.
    async fn read_within(
        &self,
        exchange: &mut Exchange,
        stall: Option<Stall>,
    ) -> Result<Option<Bytes>, Failure> {
        let stall = stall.filter(|_| self.kind() == Kind::Resumable);
        let Some(stall) = stall else {
            return exchange.read().await;
        };
        let stalled = self.context.clock.instant(stall.deadline());
        let read = tokio::time::timeout_at(stalled.into(), exchange.read()).await;
        read.unwrap_or_else(|_| Err(Failure::new(Outcome::Unknown, STALLED)))
    }

    /// Starts to watch the pauses of a stream.
    pub(crate) fn stall(&self) -> Stall {
        let route = &self.access.route;
        Stall::new(
            self.context.clock.now(),
            route.objective,
            route.event_interval,
        )
    }

    fn note(&self, upstream: &UpstreamId, started: Duration, failure: &Failure) {
        let label = failure.outcome.to_string();
        self.context
            .metrics
            .attempts
            .with_label_values(&[&label])
            .inc();
        log::info!(
            target: REQUESTS,
            request:% = self.head.id, upstream:%, outcome:% = failure.outcome, reason:% = failure.reason,
            sent = self.sent, ms = self.since(started), left_ms = self.left().as_millis() as u64;
            "attempt failed"
        );
    }

    fn note_success(&self, upstream: &UpstreamId, started: Duration, exchange: &Exchange) {
        self.context
            .metrics
            .attempts
            .with_label_values(&["answered"])
            .inc();
        let status = exchange.head.status.as_u16();
        log::debug!(
            target: REQUESTS,
            request:% = self.head.id, upstream:%, status, ms = self.since(started);
            "attempt answered"
        );
    }

    fn since(&self, time: Duration) -> u64 {
        self.context.clock.now().saturating_sub(time).as_millis() as u64
    }
}
