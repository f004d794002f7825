//! Drives one request through a router process, as the entry does.

use {
    super::{
        answer::Reader,
        host::{Process, Release, Settlement},
        message::{Event, HolderMessage, ReservationSpec},
        oracle::CallOutcome,
        simulation::{Simulation, node, record_path, upstream_id},
        upstream::{Kind, PRICE, PROMPT},
    },
    marigoldroute_core::{
        budget::Usage,
        claim::{Body, Decision, Permit, Response, Sent, Unsent},
        fleet::Observation,
        id::{RequestId, Tokens},
        route::Progress,
    },
    std::{collections::VecDeque, time::Duration},
};

/// Time limit for a reservation at one holder.
const RESERVE_LIMIT: Duration = Duration::from_secs(3);
/// Time limit for an announcement, and for the release of an announced request.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(2);
/// How long a request waits for its first upstream.
const UPSTREAM_WAIT_LIMIT: Duration = Duration::from_secs(2);
/// Most upstreams tried for one request.
const ATTEMPT_LIMIT: usize = 3;

pub enum Claim {
    Free,
    Unsent(Permit<Unsent>),
    Sent(Permit<Sent>),
}

pub enum Stage {
    Claiming,
    Reserving {
        candidates: VecDeque<usize>,
        pending: Option<(usize, Duration)>,
    },
    /// Waits until the holder knows that the request is about to be sent; since when, or `None`
    /// before the announcement.
    Announcing(Option<Duration>),
    /// Waits for an upstream; since when.
    Sending(Duration),
    /// Did not run; waits until the holder has released its reservation. Since when.
    Withdrawing(Duration),
    /// Did not run, and no holder bills it.
    Withdrawn,
    Reading(Box<Reader>),
}

pub struct ActiveRequest {
    /// Index of the call at the oracle.
    pub call: usize,
    pub name: String,
    pub attempt: RequestId,
    pub spec: ReservationSpec,
    pub output_tokens: u64,
    pub stage: Stage,
    pub claim: Claim,
    /// Host whose holder keeps the reservation.
    pub reservation_host: Option<usize>,
    /// Whether the holder may bill the request by itself.
    pub is_announced: bool,
    pub tried: Vec<usize>,
    /// Whether an upstream that was abandoned may have executed the request.
    pub may_have_run: bool,
}

impl ActiveRequest {
    pub fn amount(&self) -> Tokens {
        match self.spec.kind {
            Kind::Order => PRICE,
            Kind::Stream | Kind::Whole => PROMPT + self.output_tokens,
        }
    }

    pub fn is_idempotent(&self) -> bool {
        self.spec.kind != Kind::Order
    }

    pub fn target(&self) -> &'static str {
        match self.spec.kind {
            Kind::Order => "orders",
            Kind::Stream | Kind::Whole => "drafting",
        }
    }
}

/// Returns a settlement's usage.
pub fn usage(kind: Kind, upstream: &str, tokens: Tokens) -> Usage {
    let model = if kind == Kind::Order {
        "orders"
    } else {
        "drafting"
    };
    Usage {
        workspace: "w0".into(),
        model: model.into(),
        upstream: upstream.into(),
        tokens,
    }
}

impl Simulation {
    /// Applies the registry's decision on a claim.
    pub fn decide(&mut self, process: &mut Process, attempt: &RequestId, decision: Decision) {
        let fault = decision.fault();
        let Some(mut request) = process.requests.remove(attempt) else {
            if let Decision::Run(permit) = decision {
                process.registry.backlog.push(permit.release());
            }
            return;
        };
        match (decision, fault) {
            (Decision::Run(permit), _) => {
                request.claim = Claim::Unsent(permit);
                request.stage = self.reserving(process, &request);
                process.requests.insert(attempt.clone(), request);
            }
            (
                Decision::Replay(Response {
                    body: Body::Text(text),
                    ..
                }),
                None,
            ) => {
                record_path("replay");
                self.respond(&request, CallOutcome::Complete(text.to_string()));
            }
            (_, Some(fault)) => self.respond(&request, call_outcome(fault.answer().outcome)),
            _ => self.respond(&request, CallOutcome::Other),
        }
    }

    pub fn reserving(&self, process: &Process, request: &ActiveRequest) -> Stage {
        Stage::Reserving {
            candidates: process.candidates(&request.spec.budget).into(),
            pending: None,
        }
    }

    /// Takes one step of a request; returns it unless it has ended.
    pub fn advance(
        &mut self,
        process: &mut Process,
        mut request: ActiveRequest,
    ) -> Option<ActiveRequest> {
        match std::mem::replace(&mut request.stage, Stage::Claiming) {
            Stage::Claiming => Some(request),
            Stage::Reserving {
                candidates,
                pending,
            } => self.reserve(process, request, candidates, pending),
            Stage::Announcing(since) => self.announce(process, request, since),
            Stage::Sending(since) => self.send(process, request, since),
            Stage::Withdrawing(since) if process.clock < since + ANNOUNCE_LIMIT => {
                request.stage = Stage::Withdrawing(since);
                Some(request)
            }
            Stage::Withdrawing(_) => self.end_unsent(process, request, CallOutcome::Other),
            Stage::Withdrawn => self.end_unsent(process, request, CallOutcome::NotRun),
            Stage::Reading(reader) => self.read_answer(process, request, reader),
        }
    }

    fn reserve(
        &mut self,
        process: &mut Process,
        mut request: ActiveRequest,
        mut candidates: VecDeque<usize>,
        mut pending: Option<(usize, Duration)>,
    ) -> Option<ActiveRequest> {
        let is_over = |at: Duration| process.clock >= at + RESERVE_LIMIT;
        if let Some((host, _)) = pending.filter(|(_, at)| is_over(*at)) {
            self.release(process, host, &request.attempt);
            pending = None;
        }
        if pending.is_none() {
            let Some(host) = candidates.pop_front() else {
                return self.refuse(process, request);
            };
            let message = HolderMessage::Reserve {
                attempt: request.attempt.clone(),
                spec: request.spec.clone(),
                amount: request.amount(),
            };
            self.send_to_holder(process, host, message);
            pending = Some((host, process.clock));
        }
        request.stage = Stage::Reserving {
            candidates,
            pending,
        };
        Some(request)
    }

    fn release(&mut self, process: &mut Process, host: usize, attempt: &RequestId) {
        process.releases.push(Release {
            host,
            attempt: attempt.clone(),
            attempts: 0,
        });
    }

    fn announce(
        &mut self,
        process: &mut Process,
        mut request: ActiveRequest,
        since: Option<Duration>,
    ) -> Option<ActiveRequest> {
        let since = match (since, request.reservation_host) {
            (Some(since), _) if process.clock >= since + ANNOUNCE_LIMIT => {
                return self.refuse(process, request);
            }
            (Some(since), _) => since,
            (None, Some(host)) => {
                let attempt = request.attempt.clone();
                self.send_to_holder(process, host, HolderMessage::Announce { attempt });
                request.is_announced = true;
                process.clock
            }
            (None, None) => unreachable!("a request with a reservation"),
        };
        request.stage = Stage::Announcing(Some(since));
        Some(request)
    }

    /// Ends a request that no upstream executes. An announced one first waits until its holder has
    /// released the reservation and cannot bill it.
    fn refuse(
        &mut self,
        process: &mut Process,
        mut request: ActiveRequest,
    ) -> Option<ActiveRequest> {
        if let Some(host) = request.reservation_host {
            self.release(process, host, &request.attempt);
        }
        if request.is_announced {
            request.stage = Stage::Withdrawing(process.clock);
            return Some(request);
        }
        self.end_unsent(process, request, CallOutcome::NotRun)
    }

    /// Responds to the caller of a request, and releases its claim if it was not sent.
    fn end_unsent(
        &mut self,
        process: &mut Process,
        request: ActiveRequest,
        outcome: CallOutcome,
    ) -> Option<ActiveRequest> {
        self.respond(&request, outcome);
        if let Claim::Unsent(permit) = request.claim {
            process.registry.backlog.push(permit.release());
        }
        None
    }

    /// Ends a request that may have run, and bills `tokens`.
    pub fn settle(
        &mut self,
        process: &mut Process,
        request: ActiveRequest,
        upstream: &str,
        tokens: Tokens,
        outcome: CallOutcome,
    ) {
        let usage = usage(request.spec.kind, upstream, tokens);
        let message = HolderMessage::Settle {
            attempt: request.attempt.clone(),
            spec: request.spec.clone(),
            usage,
        };
        process.outbox.push(Settlement {
            message,
            host: request.reservation_host.unwrap_or(process.host),
            unanswered_rounds: 0,
        });
        self.respond(&request, outcome.clone());
        if let Claim::Sent(permit) = request.claim {
            let update = match outcome {
                CallOutcome::Complete(text) => permit.record(Response {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: Body::Text(text.into()),
                }),
                _ => permit.mark_unresolved(),
            };
            process.registry.backlog.push(update);
        }
    }

    fn send(
        &mut self,
        process: &mut Process,
        mut request: ActiveRequest,
        since: Duration,
    ) -> Option<ActiveRequest> {
        let in_flight = match request.tried.len() < ATTEMPT_LIMIT {
            true => process.choose(request.target(), request.output_tokens, &request.tried),
            false => None,
        };
        let Some(in_flight) = in_flight else {
            if process.clock < since + UPSTREAM_WAIT_LIMIT && request.tried.is_empty() {
                request.stage = Stage::Sending(since);
                return Some(request);
            }
            return self.fail(process, request);
        };
        request.claim = match request.claim {
            Claim::Unsent(permit) => match permit.begin_send(process.claim_timestamp()) {
                Ok(sent) => Claim::Sent(sent),
                Err(permit) => {
                    request.claim = Claim::Unsent(permit);
                    process.finish_attempt(in_flight, Progress::Cancelled);
                    return self.refuse(process, request);
                }
            },
            claim => claim,
        };
        self.oracle
            .check_send(self.now, &upstream_id(in_flight.upstream));
        if !self.send_request(process, &request, in_flight.upstream) {
            request.tried.push(in_flight.upstream);
            process.view.observe(
                process.clock,
                &upstream_id(in_flight.upstream),
                Observation::Failure,
            );
            process.finish_attempt(in_flight, Progress::Failed);
            request.claim = unsent(request.claim);
            request.stage = Stage::Sending(since);
            return Some(request);
        }
        request.stage = Stage::Reading(Box::new(Reader::new(in_flight, &request, process.clock)));
        Some(request)
    }

    /// Sends a request; returns whether the connection was made. A request over a cut link is lost
    /// without an error.
    fn send_request(
        &mut self,
        process: &Process,
        request: &ActiveRequest,
        upstream: usize,
    ) -> bool {
        let link = (process.host, node(upstream));
        if self.upstreams[upstream].is_down && self.is_linked(link.0, link.1) {
            return false;
        }
        if self.events.faults.cut.contains(&link) {
            return true;
        }
        let delay = self.delay();
        self.events.add(
            self.now + delay,
            Event::Request {
                upstream,
                attempt: request.attempt.clone(),
                name: request.name.clone(),
                kind: request.spec.kind,
                output_tokens: request.output_tokens,
            },
        );
        true
    }

    /// Ends a request for which no further upstream is tried. One that may have run is billed the
    /// prompt or the price of the order.
    fn fail(&mut self, process: &mut Process, request: ActiveRequest) -> Option<ActiveRequest> {
        if !request.may_have_run {
            return self.refuse(process, request);
        }
        let tokens = if request.is_idempotent() {
            PROMPT
        } else {
            PRICE
        };
        self.settle(process, request, "", tokens, CallOutcome::Other);
        None
    }
}

pub fn unsent(claim: Claim) -> Claim {
    match claim {
        Claim::Sent(permit) => Claim::Unsent(permit.into_unsent()),
        claim => claim,
    }
}

fn call_outcome(outcome: marigoldroute_core::fault::Outcome) -> CallOutcome {
    match outcome {
        marigoldroute_core::fault::Outcome::NotRun => CallOutcome::NotRun,
        _ => CallOutcome::Other,
    }
}
