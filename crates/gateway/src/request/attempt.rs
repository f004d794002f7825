//! One attempt of a request: the choice of an upstream, the exchange, and the validation of the
//! response.

use {
    super::{ActiveRequest, Answer, Role, Stream},
    crate::{
        dispatch::{InFlight, Rationale, Scheduled, Unavailable},
        exchange::{Exchange, Failure},
        pool::Connection,
        protocol::{Attempt, ResponseHead},
    },
    marigoldroute_core::{
        forward::retry::Outcome, id::UpstreamId, route::Progress, throttle::Rate,
    },
    marigoldroute_process::logs::{REQUESTS, ROUTING},
    std::time::Duration,
};

/// Connections that an attempt uses at most, when each turns out to be closed before anything was
/// written.
pub(super) const CONNECTION_LIMIT: usize = 3;

/// A response that an attempt received.
pub(super) enum Received {
    /// The answer for the caller.
    Final(Answer),
    /// The upstream ran the request and failed; its response goes to the caller unless there is a
    /// retry.
    ServerError(Answer),
}

/// Why an attempt received no response.
pub(super) enum Interrupted {
    /// No upstream could be assigned.
    Unassigned(Unavailable),
    /// The attempt failed.
    Failed(Outcome),
}

impl ActiveRequest {
    /// Makes one attempt.
    ///
    /// # Errors
    /// [`Interrupted`].
    pub(super) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Received, Interrupted> {
        let assigned = self.acquire_upstream(last_event).await;
        let in_flight = assigned.map_err(Interrupted::Unassigned)?;
        let attempted = match self.hedge_delay() {
            Some(delay) => self.attempt_hedged(in_flight, delay, last_event).await,
            None => self.attempt_at(in_flight, last_event).await,
        };
        attempted.map_err(Interrupted::Failed)
    }

    /// Makes one attempt at an assigned upstream.
    ///
    /// # Errors
    /// The outcome of the failed attempt.
    pub(super) async fn attempt_at(
        &mut self,
        mut in_flight: InFlight,
        last_event: Option<u64>,
    ) -> Result<Received, Outcome> {
        let upstream = in_flight.upstream.clone();
        self.tried.push(upstream.clone());
        let started = self.context.clock.now();
        let mut failure = Failure::new(Outcome::Unsent, "no connection");
        for _ in 0..CONNECTION_LIMIT {
            let connection = match self.connect(&in_flight).await {
                Ok(connection) => connection,
                Err(error) => {
                    failure = error;
                    break;
                }
            };
            match self.start_exchange(in_flight, connection, last_event).await {
                Ok(exchange) => {
                    return self.receive(exchange, started, last_event).await;
                }
                Err((returned, error)) => {
                    in_flight = returned;
                    failure = error;
                    if !failure.outcome.is_unsent() {
                        break;
                    }
                    if failure.outcome.is_held_back() {
                        self.forget_choice(in_flight);
                        self.record_failure(&upstream, started, &failure);
                        return Err(failure.outcome);
                    }
                }
            }
        }
        in_flight.report(Progress::Failed);
        self.record_failure(&upstream, started, &failure);
        if failure.is_break {
            self.record_break("queued");
        }
        Err(failure.outcome)
    }

    /// Gives up the last choice of an upstream, from which the request was held back.
    pub(super) fn forget_choice(&mut self, mut in_flight: InFlight) {
        in_flight.report(Progress::Cancelled);
        self.tried.pop();
    }

    /// Records that the upstream may run the request from now on.
    fn record_send(&mut self, in_flight: &InFlight) {
        if in_flight.rate.is_some() {
            let attempt = if self.sends.count() == 0 {
                "first"
            } else {
                "later"
            };
            let limited = &self.context.metrics.limited;
            limited.with_label_values(&[attempt]).inc();
        }
        self.sends.add();
        if let Some(reservation) = &mut self.reservation {
            reservation.record_sent(&in_flight.upstream);
        }
    }

    /// Assigns an upstream, with a permit if it has stated a rate, waiting while every candidate is
    /// at its limit.
    async fn acquire_upstream(&self, last_event: Option<u64>) -> Result<InFlight, Unavailable> {
        let context = &self.context;
        if context.dispatcher.has_queue() {
            return self.acquire_in_order(last_event).await;
        }
        loop {
            let capacity_freed = context.dispatcher.capacity_freed.notified();
            let slack = self.slack(last_event);
            if slack.is_zero() {
                return Err(Unavailable::Stopping);
            }
            match self.try_acquire_upstream().await {
                Ok(Some(in_flight)) => return Ok(in_flight),
                Ok(None) => {}
                Err(Unavailable::Busy(opens_after)) => {
                    // Either way, the candidates are looked at again.
                    let opens_after = opens_after.unwrap_or(Duration::MAX).min(slack);
                    drop(tokio::time::timeout(opens_after, capacity_freed).await);
                }
                Err(unavailable) => return Err(unavailable),
            }
        }
    }

    /// Assigns an upstream, with a permit if it has stated a rate. Returns `None` when the chosen
    /// one cannot be used any more, so that another choice has to be made.
    pub(super) async fn try_acquire_upstream(&self) -> Result<Option<InFlight>, Unavailable> {
        self.pass_quarantine()?;
        let (in_flight, rationale) = self.choose_upstream().await?;
        self.prepare(in_flight, rationale).await
    }

    /// Acquires the permit that the assigned upstream may need; see
    /// [`Self::try_acquire_upstream`].
    pub(super) async fn prepare(
        &self,
        mut in_flight: InFlight,
        rationale: Rationale,
    ) -> Result<Option<InFlight>, Unavailable> {
        let context = &self.context;
        let rate = in_flight.rate.map(Rate::per_second);
        if rate.is_some() && !context.permits.acquire(&in_flight.upstream).await {
            log::info!(
                target: ROUTING,
                request:% = self.head.id, upstream:% = in_flight.upstream, rate;
                "no permit"
            );
            return Ok(None);
        }
        self.pass_quarantine()?;
        if !in_flight.record_sent(&self.profile) {
            return Ok(None);
        }
        log::info!(
            target: ROUTING,
            request:% = self.head.id, upstream:% = in_flight.upstream, rationale:%,
            scheduler = in_flight.scheduler(), scheduled = in_flight.scheduled_reason(),
            attempt = self.tried.len() + 1, rate;
            "upstream chosen"
        );
        Ok(Some(in_flight))
    }

    /// Chooses an upstream: the one that the scheduler of the service names, or else one of this
    /// host's own choice.
    async fn choose_upstream(&self) -> Result<(InFlight, Rationale), Unavailable> {
        let scheduled = self.ask_scheduler().await;
        let dispatcher = &self.context.dispatcher;
        dispatcher.assign_preferred(&self.service, &self.profile, &self.tried, scheduled)
    }

    /// Asks the scheduler of the service for an upstream, if the service has one.
    pub(super) async fn ask_scheduler(&self) -> Option<Scheduled> {
        let scheduling = &self.context.scheduling;
        let (service, profile) = (&self.service, &self.profile);
        scheduling
            .ask(service, profile, &self.tried, self.remaining())
            .await
    }

    /// Checks that no part of the prompt is quarantined.
    pub(super) fn pass_quarantine(&self) -> Result<(), Unavailable> {
        match self.context.quarantine.check(&self.parts) {
            Some(rest) => Err(Unavailable::Quarantined(rest)),
            None if self.is_accused => Err(Unavailable::Quarantined(Duration::ZERO)),
            None => Ok(()),
        }
    }

    /// Takes an idle connection from the pool or opens one.
    pub(super) async fn connect(&self, in_flight: &InFlight) -> Result<Connection, Failure> {
        let pool = &self.context.pool;
        if let Some(connection) = pool.take(&in_flight.upstream, in_flight.address) {
            return Ok(connection);
        }
        let opened = pool.open(in_flight.address).await;
        opened.map_err(|error| Failure::new(Outcome::Unsent, error.to_string()))
    }

    /// Sends the request; a failure returns `in_flight` for another connection.
    pub(super) async fn start_exchange(
        &mut self,
        in_flight: InFlight,
        connection: Connection,
        last_event: Option<u64>,
    ) -> Result<Exchange, (InFlight, Failure)> {
        if self.is_too_late(last_event) {
            let failure = Failure::new(Outcome::Late, "the process stops");
            return Err((in_flight, failure));
        }
        self.record_send(&in_flight);
        let upstream = in_flight.upstream.clone();
        // Engines order all requests by urgency, so either all of a service state it or none.
        let is_scheduled = self.context.dispatcher.is_scheduled(&self.service);
        let attempt = Attempt {
            upstream: &upstream,
            workspace: self.workspace(),
            urgency: is_scheduled.then(|| self.access.urgency()),
            timeout: self.remaining(),
            last_event,
        };
        let (protocol, pool) = (&*self.context.protocol, &self.context.pool);
        // Of two copies, either may be the last one to send the body.
        let is_last = self.role == Role::Sole && self.sends.count() >= self.access.route.attempts;
        let body = self.body.attempt(is_last);
        let started = Exchange::start(
            protocol, pool, in_flight, connection, &self.head, &attempt, body,
        );
        let started = started.await;
        if let Err((_, failure)) = &started
            && failure.outcome.is_unsent()
        {
            self.sends.take_back();
        }
        started
    }

    /// Validates the head of a response, and reads the body or the first events of a stream.
    async fn receive(
        &mut self,
        mut exchange: Exchange,
        started: Duration,
        last_event: Option<u64>,
    ) -> Result<Received, Outcome> {
        let upstream = exchange.in_flight.upstream.clone();
        let validated = self.validate(&exchange.head);
        if validated.is_ok() && !self.kind().is_repeatable() {
            self.body.release();
        }
        let has_begun = validated.is_ok() && exchange.head.status.is_success();
        if has_begun && self.kind().is_stream() {
            let stream = Box::new(Stream::new(exchange, &self.context.quota));
            let opened = self.open_stream(stream, started, last_event).await;
            return opened.map(|stream| Received::Final(Answer::Stream(stream)));
        }
        let failure = match validated {
            Ok(()) => match exchange.read_all(&self.context.quota).await {
                Ok(body) => {
                    self.record_success(&upstream, started, &exchange);
                    let head = Box::new(exchange.head.clone());
                    let is_failure = head.status.is_server_error();
                    // Any other end may be that of the upstream.
                    if has_begun && exchange.is_end_marked {
                        self.context.quarantine.record_success(&self.parts);
                    }
                    exchange.finish(Progress::Finished { tokens: 1 });
                    let answer = Answer::Complete(head, body);
                    return Ok(if is_failure {
                        Received::ServerError(answer)
                    } else {
                        Received::Final(answer)
                    });
                }
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if failure.outcome == Outcome::Refused {
            exchange.finish_refused().await;
            self.record_failure(&upstream, started, &failure);
            return Err(failure.outcome);
        }
        exchange.in_flight.report(Progress::Failed);
        self.record_failure(&upstream, started, &failure);
        if has_begun && failure.is_break {
            self.examine_break(&exchange.in_flight).await;
        }
        Err(failure.outcome)
    }

    /// Records that an upstream broke its connection after the head of a successful response, and
    /// finds out whether it has ended on this request.
    pub(super) async fn examine_break(&mut self, in_flight: &InFlight) {
        self.record_break("begun");
        let quarantine = self.context.quarantine.clone();
        self.is_accused |= quarantine.examine(in_flight, &self.parts).await;
    }

    /// Checks that a response belongs to this request and that a successful one is signed.
    pub(super) fn validate(&self, response: &ResponseHead) -> Result<(), Failure> {
        // The request may run even if a late refusal of an earlier request arrives on its
        // connection.
        if response.id.as_ref() != Some(&self.head.id) {
            return Err(Failure::new(
                Outcome::Unknown,
                "the answer belongs to another request",
            ));
        }
        if response.is_contradictory() {
            return Err(Failure::new(
                Outcome::Unknown,
                "the answer does not say what became of the request",
            ));
        }
        if response.is_refused {
            return Err(Failure::new(
                Outcome::Refused,
                "the upstream did not run the request",
            ));
        }
        if response.status.is_success() && !response.is_signed {
            return Err(Failure::new(Outcome::Unknown, "the answer is not signed"));
        }
        Ok(())
    }

    pub(super) fn record_failure(
        &self,
        upstream: &UpstreamId,
        started: Duration,
        failure: &Failure,
    ) {
        let label = failure.outcome.to_string();
        self.context
            .metrics
            .attempts
            .with_label_values(&[&label])
            .inc();
        log::info!(
            target: REQUESTS,
            request:% = self.head.id, upstream:%, outcome:% = failure.outcome, reason:% = failure.reason,
            sent = self.sends.count(), ms = self.elapsed_ms(started), left_ms = self.remaining().as_millis() as u64;
            "attempt failed"
        );
    }

    /// Counts an attempt whose connection broke.
    pub(crate) fn record_break(&self, state: &str) {
        let broken = &self.context.metrics.broken_attempts;
        broken.with_label_values(&[state]).inc();
    }

    pub(super) fn record_success(
        &self,
        upstream: &UpstreamId,
        started: Duration,
        exchange: &Exchange,
    ) {
        let metrics = &self.context.metrics;
        metrics.attempts.with_label_values(&["answered"]).inc();
        let elapsed = self.context.clock.now().saturating_sub(started);
        metrics.attempt.observe(elapsed.as_secs_f64());
        let hedges = &self.context.hedges;
        hedges.record_latency(&self.access.route, elapsed);
        self.context
            .drain
            .record_wait(&self.access.route.name, elapsed);
        let status = exchange.head.status.as_u16();
        log::debug!(
            target: REQUESTS,
            request:% = self.head.id, upstream:%, status, ms = self.elapsed_ms(started);
            "attempt answered"
        );
    }

    pub(super) fn elapsed_ms(&self, since: Duration) -> u64 {
        self.context.clock.now().saturating_sub(since).as_millis() as u64
    }
}
