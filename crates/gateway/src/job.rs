//! The life of one request: its attempts until there is an answer to hand on.

use {
    crate::{
        answer::Reason,
        clock::Clock,
        dispatch::{Dispatch, Flight, Profile, Vacancy},
        escrow::{Escrow, Hold, Purpose, Refusal},
        exchange::{Exchange, Failure},
        interface::{Call, Interface, Onward, Reply},
        metrics::Metrics,
        pool::{Connection, Pool},
        settings::Settings,
        view::View,
    },
    bytes::Bytes,
    marigoldroute_core::{
        forward::{
            Access, Kind, Sequence, Service,
            retry::{self, Next, Outcome},
        },
        id::{UpstreamId, WorkspaceId},
        route::Progress,
        stream::{Event, Splitter},
    },
    marigoldroute_observe::logs::{REQUESTS, ROUTING},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Connections that turn out closed before anything was written, after which an attempt fails.
const STALE_CONNECTIONS: usize = 3;

/// What requests work with.
pub(crate) struct Context {
    pub(crate) clock: Clock,
    pub(crate) interface: Arc<dyn Interface>,
    pub(crate) view: Arc<View>,
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) escrow: Arc<Escrow>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

/// What is handed to the caller.
pub(crate) enum Answer {
    /// A complete answer of an upstream.
    Whole(Reply, Bytes),
    /// A stream whose first event has arrived.
    Stream(Box<Stream>),
    /// An answer of the gateway's own.
    Own(Reason),
}

/// A stream of which the job has received the first events.
pub(crate) struct Stream {
    pub(crate) exchange: Exchange,
    pub(crate) splitter: Splitter,
    pub(crate) events: VecDeque<Event>,
    /// Whether the upstream has ended the stream.
    pub(crate) is_over: bool,
}

/// A request that has access.
pub(crate) struct Job {
    pub(crate) context: Arc<Context>,
    pub(crate) call: Call,
    pub(crate) access: Access,
    pub(crate) service: Arc<Service>,
    pub(crate) body: Bytes,
    pub(crate) arrived: Duration,
    /// When the final answer is due.
    pub(crate) deadline: Duration,
    pub(crate) profile: Profile,
    /// Upstreams that have been tried.
    tried: Vec<UpstreamId>,
    /// Attempts that reached an upstream.
    sent: u32,
    /// Whether no attempt can have run.
    is_fresh: bool,
    pub(crate) hold: Option<Hold>,
}

/// How an attempt ended.
enum Attempted {
    /// There is something to hand on.
    Done(Answer),
    /// The upstream ran the request and failed; its answer is handed on if there is no retry.
    Bad(Answer),
}

impl Job {
    pub(crate) fn new(
        context: Arc<Context>,
        call: Call,
        access: Access,
        service: Arc<Service>,
        body: Bytes,
        arrived: Duration,
    ) -> Self {
        let patience = call.patience.unwrap_or(access.route.timeout);
        let deadline = arrived + patience.min(access.route.timeout);
        let profile = context.dispatch.profile(&call, access.priority());
        Self {
            context,
            call,
            access,
            service,
            body,
            arrived,
            deadline,
            profile,
            tried: Vec::new(),
            sent: 0,
            is_fresh: true,
            hold: None,
        }
    }

    pub(crate) fn kind(&self) -> Kind {
        self.access.route.kind
    }

    fn workspace(&self) -> Option<&WorkspaceId> {
        self.access
            .workspace
            .as_ref()
            .map(|workspace| &workspace.name)
    }

    /// Returns whether a stream that broke after its first event may go on at another upstream.
    pub(crate) fn may_resume(&mut self) -> bool {
        self.is_fresh = false;
        let attempt = retry::Attempt {
            kind: self.kind(),
            outcome: Outcome::Unknown,
            is_fresh: false,
            sent: self.sent,
            most: self.access.route.attempts,
            left: self.left(),
        };
        let may_retry = || self.context.dispatch.may_retry(&self.service.name);
        retry::next(&attempt, may_retry) == Next::Retry
    }

    /// Returns the time until the final answer is due.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.context.clock.now())
    }

    /// Reserves the request's tokens, when its workspace has a budget.
    pub(crate) async fn reserve(&mut self) -> Result<(), Reason> {
        let Some(workspace) = &self.access.workspace else {
            return Ok(());
        };
        let (Some(usage), Some(_)) = (self.call.usage, workspace.purchased) else {
            return Ok(());
        };
        let purpose = Purpose {
            request: self.call.id.clone(),
            workspace: workspace.name.clone(),
            model: self
                .call
                .model
                .clone()
                .unwrap_or_else(|| self.service.name.clone()),
            usage,
        };
        let limit = self.context.clock.now() + self.context.settings.reserve_timeout;
        let reserved = self
            .context
            .escrow
            .reserve(purpose, limit.min(self.deadline))
            .await;
        self.hold = Some(reserved.map_err(|refusal| match refusal {
            Refusal::Exhausted => Reason::Exhausted,
            Refusal::Unreachable { after } => Reason::Unreachable(after),
        })?);
        Ok(())
    }

    /// Makes attempts until there is an answer. `last_event` is the last event that the caller has.
    pub(crate) async fn answer(&mut self, last_event: Option<u64>) -> Answer {
        loop {
            let left = self.left();
            let attempted = tokio::time::timeout(left, self.attempt(last_event)).await;
            let (outcome, answer) = match attempted {
                Ok(Ok(Attempted::Done(answer))) => return answer,
                Ok(Ok(Attempted::Bad(answer))) => (Outcome::Failed, Some(answer)),
                Ok(Err(Some(outcome))) => (outcome, None),
                Ok(Err(None)) => return self.unplaced(),
                Err(_) => return self.late(),
            };
            let is_unused = outcome.is_not_run() && self.is_fresh;
            if let Some(hold) = self.hold.as_mut().filter(|_| is_unused) {
                hold.not_run();
            }
            let attempt = retry::Attempt {
                kind: self.kind(),
                outcome,
                is_fresh: self.is_fresh,
                sent: self.sent,
                most: self.access.route.attempts,
                left: self.left(),
            };
            self.is_fresh &= outcome.is_not_run();
            let may_retry = || self.context.dispatch.may_retry(&self.service.name);
            match retry::next(&attempt, may_retry) {
                Next::Retry => {}
                Next::Refuse => return Answer::Own(Reason::Refused),
                Next::Fail => return answer.unwrap_or(Answer::Own(Reason::Failed)),
            }
        }
    }

    fn unplaced(&self) -> Answer {
        Answer::Own(if self.is_fresh {
            Reason::Unplaced
        } else {
            Reason::Failed
        })
    }

    /// Returns the answer at the deadline. An attempt was under way, unless none was made.
    fn late(&self) -> Answer {
        let has_run = !self.is_fresh || self.sent > 0;
        Answer::Own(if has_run {
            Reason::Late
        } else {
            Reason::Unplaced
        })
    }

    /// Makes one attempt; fails with `None` when there is no upstream for it.
    async fn attempt(&mut self, last_event: Option<u64>) -> Result<Attempted, Option<Outcome>> {
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
        if let Some(hold) = &mut self.hold {
            hold.sent(upstream);
        }
    }

    /// Waits for a place at an upstream.
    async fn place(&self) -> Option<Flight> {
        loop {
            let freed = self.context.dispatch.freed.notified();
            match self
                .context
                .dispatch
                .choose(&self.service, &self.profile, &self.tried)
            {
                Ok((flight, rationale)) => {
                    log::info!(
                        target: ROUTING,
                        request:% = self.call.id, upstream:% = flight.upstream, rationale:%;
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
        let onward = Onward {
            upstream: &upstream,
            workspace: self.workspace(),
            patience: self.left(),
            last_event,
        };
        let (interface, pool) = (&*self.context.interface, &self.context.pool);
        let body = self.body.clone();
        Exchange::start(
            interface, pool, flight, connection, &self.call, &onward, body,
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
        let checked = self.check(&exchange.reply);
        let failure = match checked {
            Ok(()) if exchange.reply.status.is_success() && self.kind().is_stream() => {
                match self.first_events(&mut exchange, last_event).await {
                    Ok((splitter, events, is_over)) => {
                        self.note_success(&upstream, started, &exchange);
                        let stream = Stream {
                            exchange,
                            splitter,
                            events,
                            is_over,
                        };
                        return Ok(Attempted::Done(Answer::Stream(Box::new(stream))));
                    }
                    Err(failure) => failure,
                }
            }
            Ok(()) => match exchange.read_all().await {
                Ok(body) => {
                    self.note_success(&upstream, started, &exchange);
                    let reply = exchange.reply.clone();
                    let is_failure = reply.status.is_server_error();
                    exchange.finish(Progress::Finished { tokens: 1 });
                    let answer = Answer::Whole(reply, body);
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
            let after = None;
            if exchange.read_all().await.is_ok() {
                exchange.finish(Progress::Refused { after });
            }
        } else {
            exchange.flight.report(Progress::Failed);
        }
        self.note(&upstream, started, &failure);
        Err(failure.outcome)
    }

    /// Checks that an answer belongs to this request and that the upstream vouches for it.
    fn check(&self, reply: &Reply) -> Result<(), Failure> {
        if reply.is_refused {
            return Err(Failure::new(
                Outcome::Refused,
                "the upstream did not run it",
            ));
        }
        if reply.id.as_ref() != Some(&self.call.id) {
            return Err(Failure::new(
                Outcome::Unknown,
                "the answer belongs to another request",
            ));
        }
        if reply.status.is_success() && !reply.is_signed {
            return Err(Failure::new(Outcome::Unknown, "the answer is not signed"));
        }
        Ok(())
    }

    /// Reads up to the first event.
    async fn first_events(
        &self,
        exchange: &mut Exchange,
        last_event: Option<u64>,
    ) -> Result<(Splitter, VecDeque<Event>, bool), Failure> {
        let mut splitter = Splitter::default();
        let mut sequence = Sequence::new(last_event);
        loop {
            let Some(data) = exchange.read().await? else {
                return Ok((splitter, VecDeque::new(), true));
            };
            let large = || Failure::new(Outcome::Unknown, "an event is too large");
            let events = splitter.push(&data).ok_or_else(large)?;
            let Some(first) = events.first() else {
                continue;
            };
            let id = marigoldroute_core::forward::event_id(&first.raw);
            let order = |error: marigoldroute_core::forward::Rejected| {
                Failure::new(Outcome::Unknown, error.to_string())
            };
            sequence.accept(id).map_err(order)?;
            exchange.flight.report(Progress::First);
            return Ok((splitter, events.into(), false));
        }
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
            request:% = self.call.id, upstream:%, outcome:% = failure.outcome, reason:% = failure.reason,
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
        let status = exchange.reply.status.as_u16();
        log::debug!(
            target: REQUESTS,
            request:% = self.call.id, upstream:%, status, ms = self.since(started);
            "attempt answered"
        );
    }

    fn since(&self, time: Duration) -> u64 {
        self.context.clock.now().saturating_sub(time).as_millis() as u64
    }
}
