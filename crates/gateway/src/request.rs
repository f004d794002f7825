//! An admitted request: its reservation of tokens and its attempts at upstreams.

mod attempt;
mod deadline;
mod handover;
mod opening;
mod stop;

pub(crate) use {
    deadline::Deadline,
    handover::{Continuation, Delivered, give_up},
    opening::{ENDED_WITHIN_EVENT, ENDED_WITHOUT_EVENT},
};

use {
    crate::{
        Clock,
        accept::Registry,
        body,
        dispatch::{Dispatcher, Unavailable},
        drain::Drain,
        error::Error,
        escrow::{Refusal, Reservation, ReservationSpec, Reserver},
        exchange::{Exchange, Failure},
        memory::{Permit, Quota},
        metrics::Metrics,
        permit::Permits,
        pool::Pool,
        profile::Profile,
        protocol::{Malformed, Protocol, RequestHead, ResponseHead},
        quarantine::{Quarantine, SharedParts, shared_parts},
        settings::Settings,
        view::View,
        whole::Whole,
    },
    attempt::{Interrupted, Received},
    bytes::Bytes,
    marigoldroute_core::{
        forward::{
            Access, Kind, Service,
            retry::{self, Decision, Outcome},
        },
        id::{UpstreamId, WorkspaceId},
        stream::Splitter,
    },
    marigoldroute_process::logs::TOKENS,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Reason of the failure of a stream that an upstream ended without an event or a mark of the end,
/// when it was to continue it.
pub(crate) const NOT_CONTINUED: &str = "the stream did not continue";

/// Largest part of an incomplete event that does not count as memory of responses, so that large
/// responses cut no stream of usual events. The connections of a stream take more for their buffers.
const SMALL_EVENT_BYTES: usize = 4 << 10;

/// The parts of the process that requests use.
pub(crate) struct Context {
    pub(crate) clock: Clock,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) view: Arc<View>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) permits: Permits,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) reserver: Arc<Reserver>,
    pub(crate) quota: Quota,
    pub(crate) body_quota: body::Quota,
    /// Memory of heads with many fields.
    pub(crate) head_quota: Quota,
    pub(crate) registry: Arc<Registry>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
    pub(crate) drain: Arc<Drain>,
}

/// The result of a request, to be returned to the caller.
pub(crate) enum Answer {
    /// A complete response of an upstream.
    Complete(Box<ResponseHead>, Whole),
    /// A stream whose first event has arrived, or that ended without an event.
    Stream(Box<Stream>),
    /// An error that the gateway reports itself.
    Error(Error),
}

/// A stream of events from an upstream.
pub(crate) struct Stream {
    pub(crate) exchange: Exchange,
    pub(crate) splitter: Splitter,
    /// Memory of the event that is still incomplete, unless it is small.
    pub(crate) permit: Permit,
    /// Complete events that have not been relayed.
    pub(crate) events: VecDeque<Bytes>,
    /// Whether the upstream has ended the stream.
    pub(crate) has_ended: bool,
}

impl Stream {
    /// Returns a stream of which nothing has been read.
    fn new(exchange: Exchange, quota: &Quota) -> Self {
        Self {
            exchange,
            splitter: Splitter::default(),
            permit: quota.permit(),
            events: VecDeque::new(),
            has_ended: false,
        }
    }

    /// Reads until an event is complete.
    ///
    /// # Errors
    /// The failed read, or the failure that the stream ended before.
    async fn read_event(&mut self) -> Result<(), Failure> {
        while self.events.is_empty() {
            if self.has_ended {
                return Err(Failure::new(Outcome::Unknown, NOT_CONTINUED));
            }
            let read = self.exchange.read().await;
            self.push(read)?;
        }
        Ok(())
    }

    /// Adds what was read from the upstream to the events that are to be relayed.
    ///
    /// # Errors
    /// The failed read, or the failure that the event that is still incomplete is too large.
    pub(crate) fn push(&mut self, read: Result<Option<Bytes>, Failure>) -> Result<(), Failure> {
        let Some(data) = read? else {
            self.has_ended = true;
            return Ok(());
        };
        let too_large = || Failure::new(Outcome::Unknown, "an event is too large");
        let events = self.splitter.split(&data).ok_or_else(too_large)?;
        let buffered = self.splitter.buffered_bytes();
        let counted = if buffered > SMALL_EVENT_BYTES {
            buffered
        } else {
            0
        };
        self.permit.resize(counted)?;
        self.events.extend(events);
        Ok(())
    }
}

/// A request that was authorized, with the state of its attempts.
pub(crate) struct ActiveRequest {
    pub(crate) context: Arc<Context>,
    pub(crate) head: RequestHead,
    pub(crate) access: Access,
    pub(crate) service: Arc<Service>,
    body: body::Source,
    pub(crate) arrived: Duration,
    /// When the response is due.
    pub(crate) deadline: Arc<Deadline>,
    pub(crate) profile: Profile,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: SharedParts,
    /// Whether an upstream ended on this request, and another one before on a part of its prompt.
    pub(super) is_accused: bool,
    /// Upstreams that were tried; later attempts avoid them.
    pub(super) tried: Vec<UpstreamId>,
    /// Attempts in which the request was sent to an upstream.
    pub(crate) sent: u32,
    /// Whether the request certainly has not run in any attempt.
    is_unexecuted: bool,
    /// Whether the caller has the begin of the response.
    pub(crate) has_begun: bool,
    /// Memory of the head; absent until it is set.
    pub(crate) head_memory: Option<Permit>,
    /// Reserved tokens; absent for requests without a budget.
    pub(crate) reservation: Option<Reservation>,
}

impl ActiveRequest {
    pub(crate) fn new(
        context: Arc<Context>,
        head: RequestHead,
        access: Access,
        service: Arc<Service>,
        body: Bytes,
        arrived: Duration,
        deadline: Deadline,
    ) -> Self {
        let profile = context.dispatcher.profile(&head, access.priority());
        Self {
            parts: shared_parts(&head.prompt_parts),
            is_accused: false,
            context,
            head,
            access,
            service,
            body: body.into(),
            arrived,
            deadline: Arc::new(deadline),
            profile,
            tried: Vec::new(),
            sent: 0,
            is_unexecuted: true,
            has_begun: false,
            head_memory: None,
            reservation: None,
        }
    }

    pub(crate) fn kind(&self) -> Kind {
        self.access.route.kind
    }

    pub(super) fn workspace(&self) -> Option<&WorkspaceId> {
        self.access
            .workspace
            .as_ref()
            .map(|workspace| &workspace.name)
    }

    /// Returns whether a stream that broke after its first event may continue at another upstream,
    /// which counts as a retry.
    pub(crate) fn admit_resume(&mut self) -> bool {
        self.is_unexecuted = false;
        let acquire_retry = || self.context.dispatcher.acquire_retry(&self.service.name);
        retry::decide(&self.running_attempt(), acquire_retry) == Decision::Retry
    }

    /// Returns whether a stream that has begun, or is about to, may continue at another upstream
    /// after the event with the id `last` by its kind, its attempts, its time and the allowance of
    /// retries.
    pub(crate) fn is_movable(&self, last: Option<u64>) -> bool {
        self.kind() == Kind::Resumable
            && !self.is_too_late(last)
            && self.running_attempt().is_repeatable()
            && self.context.dispatcher.has_retry(&self.service.name)
    }

    /// Returns the attempt that is under way, which may have run.
    fn running_attempt(&self) -> retry::Attempt {
        retry::Attempt {
            kind: self.kind(),
            outcome: Outcome::Unknown,
            is_unexecuted: false,
            sent: self.sent,
            attempt_limit: self.access.route.attempts,
            remaining: self.remaining(),
        }
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.remaining()
    }

    /// Reserves the request's tokens if its workspace has a budget and its service is an engine.
    pub(crate) async fn reserve(&mut self) -> Result<(), Error> {
        let Some(workspace) = &self.access.workspace else {
            return Ok(());
        };
        if workspace.purchased.is_none() || self.service.engine.is_none() {
            return Ok(());
        }
        // The budget cannot be enforced for an engine's request that does not state its tokens.
        let usage = self.head.usage.ok_or(Error::Malformed(Malformed::Usage))?;
        // To wait for a refill would be in vain, and holders would return their tokens for it.
        if workspace.is_exceeded_by(usage.total()) {
            log::info!(
                target: TOKENS,
                request:% = self.head.id, budget:% = workspace.name, amount = usage.total(),
                purchased = workspace.purchased;
                "request exceeds the whole budget"
            );
            return Err(Error::BudgetExhausted);
        }
        let spec = ReservationSpec {
            request: self.head.id.clone(),
            workspace: workspace.name.clone(),
            model: self
                .head
                .model
                .clone()
                .unwrap_or_else(|| self.service.name.clone()),
            usage,
        };
        let reserve_by = self.context.clock.now() + self.context.settings.reserve_timeout;
        let reserve_timeout = self.context.settings.reserve_timeout;
        let reserving = self
            .context
            .reserver
            .reserve(spec, reserve_by.min(self.deadline.at()));
        let reserved = tokio::select! {
            biased;
            reserved = self.deadline.run(reserving) => reserved,
            () = self.until_late() => return Err(self.context.stopping()),
        };
        let reserved = reserved.ok_or(Error::BudgetUnreachable(reserve_timeout))?;
        self.reservation = Some(reserved.map_err(|refusal| match refusal {
            Refusal::Exhausted => Error::BudgetExhausted,
            Refusal::Unreachable { retry_after } => Error::BudgetUnreachable(retry_after),
            Refusal::TimedOut | Refusal::Unanswered => Error::BudgetUnreachable(reserve_timeout),
        })?);
        Ok(())
    }

    /// Makes attempts until one succeeds or no other is allowed. `last_event` is the id of the last
    /// event that the caller has received.
    pub(crate) async fn run(&mut self, last_event: Option<u64>) -> Answer {
        // The last failure that an upstream itself answered.
        let mut failure = None;
        let (context, parts) = (self.context.clone(), self.parts.clone());
        let has_begun = self.has_begun;
        let deadline = self.deadline.clone();
        loop {
            let started = context.clock.now();
            let attempt = deadline.run(self.attempt(last_event));
            let received = tokio::select! {
                biased;
                received = attempt => received,
                rest = context.quarantine.wait(&parts) => {
                    return Answer::Error(self.record_quarantined(rest));
                }
                () = context.drain.ending.cancelled(), if !has_begun => return self.cut(),
            };
            let outcome = match received {
                Some(Ok(Received::Final(answer))) => return answer,
                Some(Ok(Received::ServerError(answer))) => {
                    failure = Some(answer);
                    Outcome::Failed
                }
                Some(Err(Interrupted::Failed(outcome))) => outcome,
                Some(Err(Interrupted::Unassigned(reason))) => {
                    return failure.unwrap_or_else(|| self.without_upstream(reason));
                }
                None => {
                    if self.sent > 0 {
                        let wait = context.clock.now().saturating_sub(started);
                        context.drain.record_wait(&self.access.route.name, wait);
                    }
                    return failure.unwrap_or_else(|| self.timed_out());
                }
            };
            let is_still_unexecuted = outcome.is_not_run() && self.is_unexecuted;
            if let Some(reservation) = self.reservation.as_mut().filter(|_| is_still_unexecuted) {
                reservation.record_not_run();
            }
            let attempt = retry::Attempt {
                kind: self.kind(),
                outcome,
                is_unexecuted: self.is_unexecuted,
                sent: self.sent,
                attempt_limit: self.access.route.attempts,
                remaining: self.remaining(),
            };
            self.is_unexecuted &= outcome.is_not_run();
            let acquire_retry = || self.context.dispatcher.acquire_retry(&self.service.name);
            match retry::decide(&attempt, acquire_retry) {
                Decision::Retry => {}
                Decision::Refuse if outcome == Outcome::Late => {
                    return Answer::Error(context.stopping());
                }
                Decision::Refuse => return Answer::Error(self.refused()),
                Decision::Fail => return failure.unwrap_or(Answer::Error(Error::Failed)),
            }
        }
    }

    /// Returns the answer when no upstream can be assigned.
    fn without_upstream(&self, reason: Unavailable) -> Answer {
        Answer::Error(match reason {
            Unavailable::Quarantined(rest) => self.record_quarantined(rest),
            _ if !self.is_unexecuted => Error::Failed,
            Unavailable::Stopping => self.context.stopping(),
            Unavailable::Closed(retry_after) => Error::RateLimited(retry_after),
            Unavailable::Busy(_) | Unavailable::NoCandidate => Error::NoUpstream,
        })
    }

    /// Returns the error when the upstreams have refused the request: the caller returns when one of
    /// them takes requests again.
    fn refused(&self) -> Error {
        let returns_after = self.context.dispatcher.returns_after(&self.service.name);
        returns_after.map_or(Error::Refused, Error::RateLimited)
    }

    /// Counts a request that may not be sent, or not any longer, because of a part of its prompt,
    /// and returns its error.
    pub(crate) fn record_quarantined(&self, rest: Duration) -> Error {
        let may_have_run = !self.is_unexecuted || self.sent > 0;
        let (state, error) = match may_have_run {
            true => ("sent", Error::Failed),
            false => ("new", Error::Quarantined(rest)),
        };
        let quarantined = &self.context.metrics.quarantined;
        quarantined.with_label_values(&[state]).inc();
        error
    }

    /// Returns the answer at the deadline, or when the process stops before it. Once the request
    /// was sent, it may have run.
    fn timed_out(&self) -> Answer {
        let may_have_run = !self.is_unexecuted || self.sent > 0;
        Answer::Error(if may_have_run {
            Error::Timeout
        } else if self.context.drain.ending.is_cancelled() {
            self.context.stopping()
        } else {
            Error::NoUpstream
        })
    }
}
