//! The life of one request: its attempts until there is an answer to hand on.

mod attempt;

pub(crate) use attempt::STALLED;

use {
    crate::{
        Clock,
        answer::Reason,
        dispatch::Dispatcher,
        escrow::{Refusal, Reservation, ReservationSpec, Reserver},
        exchange::Exchange,
        memory::{Memory, Part},
        metrics::Metrics,
        pool::Pool,
        profile::Profile,
        protocol::{Malformed, Protocol, RequestHead, ResponseHead},
        settings::Settings,
        view::View,
    },
    attempt::Attempted,
    bytes::Bytes,
    marigoldroute_core::{
        forward::{
            Access, Kind, Service,
            retry::{self, Decision, Outcome},
        },
        id::{UpstreamId, WorkspaceId},
        stream::{Event, Splitter},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// What requests work with.
pub(crate) struct Context {
    pub(crate) clock: Clock,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) view: Arc<View>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) reserver: Arc<Reserver>,
    pub(crate) memory: Memory,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) settings: Arc<Settings>,
}

/// What is handed to the caller.
pub(crate) enum Answer {
    /// A complete answer of an upstream, with the memory that it takes.
    Whole(ResponseHead, Bytes, Part),
    /// A stream whose first event has arrived.
    Stream(Box<Stream>),
    /// An answer of the gateway's own.
    Own(Reason),
}

/// A stream of which the job has received the first events.
pub(crate) struct Stream {
    pub(crate) exchange: Exchange,
    pub(crate) splitter: Splitter,
    /// Memory of the event that has not arrived completely.
    pub(crate) part: Part,
    pub(crate) events: VecDeque<Event>,
    /// Whether the upstream has ended the stream.
    pub(crate) is_over: bool,
}

/// A request that has access.
pub(crate) struct Job {
    pub(crate) context: Arc<Context>,
    pub(crate) head: RequestHead,
    pub(crate) access: Access,
    pub(crate) service: Arc<Service>,
    pub(crate) body: Bytes,
    pub(crate) arrived: Duration,
    /// When the final answer is due.
    pub(crate) deadline: Duration,
    pub(crate) profile: Profile,
    /// Upstreams that have been tried.
    pub(super) tried: Vec<UpstreamId>,
    /// Attempts that reached an upstream.
    pub(super) sent: u32,
    /// Whether no attempt can have run.
    is_fresh: bool,
    pub(crate) reservation: Option<Reservation>,
}

impl Job {
    pub(crate) fn new(
        context: Arc<Context>,
        head: RequestHead,
        access: Access,
        service: Arc<Service>,
        body: Bytes,
        arrived: Duration,
    ) -> Self {
        let timeout = head.timeout.unwrap_or(access.route.timeout);
        let deadline = arrived + timeout.min(access.route.timeout);
        let profile = context.dispatcher.profile(&head, access.priority());
        Self {
            context,
            head,
            access,
            service,
            body,
            arrived,
            deadline,
            profile,
            tried: Vec::new(),
            sent: 0,
            is_fresh: true,
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

    /// Returns whether a stream that broke after its first event may go on at another upstream.
    pub(crate) fn may_resume(&mut self) -> bool {
        self.is_fresh = false;
        let attempt = retry::Attempt {
            kind: self.kind(),
            outcome: Outcome::Unknown,
            is_unexecuted: false,
            sent: self.sent,
            attempt_limit: self.access.route.attempts,
            remaining: self.left(),
        };
        let may_retry = || self.context.dispatcher.may_retry(&self.service.name);
        retry::decide(&attempt, may_retry) == Decision::Retry
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
        if workspace.purchased.is_none() || self.service.engine.is_none() {
            return Ok(());
        }
        // Without its tokens, an engine's request cannot be kept within the budget.
        let usage = self.head.usage.ok_or(Reason::Malformed(Malformed::Usage))?;
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
        let limit = self.context.clock.now() + self.context.settings.reserve_timeout;
        let reserved = self
            .context
            .reserver
            .reserve(spec, limit.min(self.deadline))
            .await;
        self.reservation = Some(reserved.map_err(|refusal| match refusal {
            Refusal::Exhausted => Reason::Exhausted,
            Refusal::Unreachable { retry_after } => Reason::Unreachable(retry_after),
            Refusal::TimedOut | Refusal::Unanswered => {
                Reason::Unreachable(self.context.settings.reserve_timeout)
            }
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
            if let Some(reservation) = self.reservation.as_mut().filter(|_| is_unused) {
                reservation.record_not_run();
            }
            let attempt = retry::Attempt {
                kind: self.kind(),
                outcome,
                is_unexecuted: self.is_fresh,
                sent: self.sent,
                attempt_limit: self.access.route.attempts,
                remaining: self.left(),
            };
            self.is_fresh &= outcome.is_not_run();
            let may_retry = || self.context.dispatcher.may_retry(&self.service.name);
            match retry::decide(&attempt, may_retry) {
                Decision::Retry => {}
                Decision::Refuse => return Answer::Own(Reason::Refused),
                Decision::Fail => return answer.unwrap_or(Answer::Own(Reason::Failed)),
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
}
