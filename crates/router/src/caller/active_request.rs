//! An admitted request: sending it to upstreams, retries, and its settlement.

use {
    super::{Context, claimed::RequestClaim},
    crate::{
        dispatch::{InFlight, Profile},
        gate::Permit,
        logs::ROUTING,
        reserver::Reservation,
        upstream::Failure,
    },
    marigoldroute_core::{
        budget::Usage,
        fault::{self, Fault, Outcome},
        fleet::Observation,
        id::{ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    },
    poem::http::{HeaderMap, Method},
    reqwest::{Response, StatusCode},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Header of a refusal by an upstream that is draining.
const DRAINING_HEADER: &str = "x-draining";
/// Header by which an upstream states that it acted on no byte of the request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Longest wait for free capacity at an upstream.
const CAPACITY_WAIT: Duration = Duration::from_secs(2);

/// An admitted request with its reservation and claim.
pub(super) struct ActiveRequest {
    pub(super) context: Arc<Context>,
    /// Id of this attempt of the request, see [`marigoldroute_core::bill::request_of`].
    pub(super) id: RequestId,
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
    pub(super) reservation: Reservation,
    pub(super) claim: RequestClaim,
    pub(super) kind: Kind,
    pub(super) size: TokenCounts,
    /// Hashes of the prompt's prefixes; empty for a plain service.
    pub(super) prefixes: Vec<u64>,
    /// Priority class; 0 is served first.
    pub(super) priority: u8,
    /// Permit of the gate.
    #[expect(dead_code, reason = "released when the request is dropped")]
    pub(super) permit: Permit,
}

/// Token counts on which the choice of an upstream depends; 0 for a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TokenCounts {
    /// Estimated prompt tokens.
    pub(super) prompt_tokens: u32,
    /// Largest number of answer tokens.
    pub(super) output_limit: u32,
}

/// Kind of a request, which decides how refusals are recognised and whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A completion by a model engine, which refuses with the usual status codes.
    Model { is_idempotent: bool },
    /// A call of a plain service. Its status codes, 503 included, are passed to the caller: only a
    /// header states that it acted on no byte of the request.
    Service { is_idempotent: bool },
}

impl Kind {
    /// Returns whether the request may be sent again after an upstream may have acted on it.
    pub(super) fn is_idempotent(self) -> bool {
        match self {
            Self::Model { is_idempotent } | Self::Service { is_idempotent } => is_idempotent,
        }
    }

    /// Returns the failure if a response is a refusal by an upstream that acted on no byte.
    fn refusal(self, response: &Response) -> Option<Failure> {
        let has = |name| response.headers().contains_key(name);
        let status = response.status();
        let is_busy =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        match self {
            _ if has(DRAINING_HEADER) => Some(Failure::Leaving),
            _ if has(NOT_RUN_HEADER) => Some(Failure::Refused),
            Self::Model { .. } if is_busy => Some(Failure::Refused),
            Self::Model { .. } | Self::Service { .. } => None,
        }
    }
}

/// Response of an upstream whose body has not been read.
pub(super) struct UpstreamResponse {
    pub(super) in_flight: InFlight,
    /// Base URL of the upstream.
    pub(super) url: Arc<str>,
    pub(super) response: Response,
}

/// A request as it is sent to upstreams.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRequest {
    pub(super) method: Method,
    /// Path and query, with the leading slash.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: bytes::Bytes,
}

impl ActiveRequest {
    /// Sends the request to one upstream after another until one answers. Skips the upstreams in
    /// `tried` and adds those that failed.
    ///
    /// # Errors
    /// The last failure; its outcome is "not run" only if no upstream can have acted on the
    /// request.
    pub(super) async fn send(
        &mut self,
        call: &UpstreamRequest,
        tried: &mut Vec<UpstreamId>,
    ) -> Result<UpstreamResponse, Fault> {
        let mut outcome = Outcome::NotRun;
        let mut last = fault::Kind::NoUpstream;
        for attempt in 1..=self.context.settings.attempts {
            let Some((in_flight, url)) = self.choose_or_wait(tried, attempt).await else {
                break;
            };
            self.claim.begin_send()?;
            let failure = match self.call(call, &url).await {
                Ok(response) => {
                    let control = &self.context.control;
                    control.observe(in_flight.upstream(), Observation::Success);
                    return Ok(UpstreamResponse {
                        in_flight,
                        url,
                        response,
                    });
                }
                Err(failure) => failure,
            };
            last = self.record_failure(in_flight.upstream(), failure);
            tried.push(in_flight.upstream().clone());
            if failure.is_refusal() {
                in_flight.refuse();
                self.claim.mark_unsent();
                continue;
            }
            in_flight.fail();
            outcome = Outcome::Unknown;
            if !self.kind.is_idempotent() || !self.context.dispatcher.acquire_retry() {
                break;
            }
        }
        Err(Fault::new(last, "no upstream answered the request").with_outcome(outcome))
    }

    /// Sends an idempotent request to one more upstream, without a wait for capacity, and adds that
    /// upstream to `tried`. Returns `None` if no upstream accepts the request.
    pub(super) async fn send_once(
        &self,
        call: &UpstreamRequest,
        tried: &mut Vec<UpstreamId>,
    ) -> Option<UpstreamResponse> {
        let (in_flight, url) = self.choose(tried, 1)?;
        tried.push(in_flight.upstream().clone());
        let failure = match self.call(call, &url).await {
            Ok(response) => {
                let reply = UpstreamResponse {
                    in_flight,
                    url,
                    response,
                };
                // Any other status is the engine's refusal of this request.
                return reply.response.status().is_success().then_some(reply);
            }
            Err(failure) => failure,
        };
        self.record_failure(in_flight.upstream(), failure);
        match failure.is_refusal() {
            true => in_flight.refuse(),
            false => in_flight.fail(),
        }
        None
    }

    /// Cancels this attempt at an engine, in the background.
    pub(super) fn cancel(&self, url: &Arc<str>) {
        let (upstreams, url, id) = (self.context.upstreams.clone(), url.clone(), self.id.clone());
        let requests = &self.context.requests;
        requests.spawn(async move { upstreams.cancel(&url, &id).await });
    }

    async fn call(&self, call: &UpstreamRequest, url: &str) -> Result<Response, Failure> {
        let target = format!("{url}{}", call.path);
        let (method, headers) = (call.method.clone(), call.headers.clone());
        let upstreams = &self.context.upstreams;
        let sent = upstreams.send(method, &target, &self.id, headers, call.body.clone());
        let response = sent.await?;
        match self.kind.refusal(&response) {
            Some(failure) => Err(failure),
            None => Ok(response),
        }
    }

    /// Chooses an upstream. Waits up to [`CAPACITY_WAIT`] while all that could serve the request
    /// are at their concurrency limit.
    async fn choose_or_wait(
        &self,
        tried: &[UpstreamId],
        attempt: u32,
    ) -> Option<(InFlight, Arc<str>)> {
        let context = &self.context;
        let end = context.clock.now() + CAPACITY_WAIT;
        loop {
            // Created before the choice, so that capacity freed in between is not missed.
            let freed = context.dispatcher.capacity_freed();
            if let Some(chosen) = self.choose(tried, attempt) {
                return Some(chosen);
            }
            let snapshot = context.control.snapshot();
            if !context
                .dispatcher
                .could_serve(&snapshot, &self.model, tried)
            {
                return None;
            }
            let left = end.checked_sub(context.clock.now())?;
            timeout(left, freed).await.ok()?;
        }
    }

    fn choose(&self, tried: &[UpstreamId], attempt: u32) -> Option<(InFlight, Arc<str>)> {
        let snapshot = self.context.control.snapshot();
        let profile = Profile {
            target: &self.model,
            prompt_tokens: self.size.prompt_tokens,
            output_limit: self.size.output_limit,
            prefixes: &self.prefixes,
            priority: self.priority,
        };
        let in_flight = self.context.dispatcher.choose(&snapshot, profile, tried)?;
        let upstream = snapshot.catalog.upstreams.get(in_flight.upstream())?;
        log::info!(
            target: ROUTING,
            request:% = self.id, model:% = self.model, upstream:% = in_flight.upstream(),
            candidates = in_flight.known, considered = in_flight.considered, attempt,
            reason:% = in_flight.reason;
            "upstream chosen"
        );
        Some((in_flight, upstream.url.clone()))
    }

    fn record_failure(&self, upstream: &UpstreamId, failure: Failure) -> fault::Kind {
        log::warn!(target: ROUTING, request:% = self.id, upstream:%, failure:?; "upstream failed");
        let observation = match failure {
            Failure::Leaving => Some(Observation::Leaving),
            Failure::Unreachable | Failure::Lost | Failure::Timeout => Some(Observation::Failure),
            Failure::Refused => None,
        };
        if let Some(observation) = observation {
            self.context.control.observe(upstream, observation);
        }
        match failure {
            Failure::Refused | Failure::Leaving | Failure::Unreachable => {
                self.context.metrics.refusals.inc();
                fault::Kind::UpstreamRefused
            }
            Failure::Lost => fault::Kind::UpstreamLost,
            Failure::Timeout => fault::Kind::UpstreamTimeout,
        }
    }

    /// Ends a request that got no answer: releases the reservation and the claim if it did not run,
    /// otherwise bills `tokens` and leaves the claim unresolved.
    ///
    /// The outcome becomes "unknown" if the holder may bill the request although it did not run.
    pub(super) async fn fail(self, fault: Fault, tokens: Tokens) -> Fault {
        match fault.answer().outcome {
            Outcome::NotRun => {
                let is_released = self.reservation.release().await;
                self.claim.abandon().await;
                if !is_released {
                    return fault.with_outcome(Outcome::Unknown);
                }
            }
            Outcome::Ran | Outcome::Unknown => {
                let claim = self.settle("".into(), tokens).await;
                claim.abandon().await;
            }
        }
        fault
    }

    /// Settles with the tokens used at an upstream; returns the claim, which remains open.
    pub(super) async fn settle(self, upstream: UpstreamId, tokens: Tokens) -> RequestClaim {
        let usage = Usage {
            workspace: self.workspace,
            model: self.model,
            upstream,
            tokens,
        };
        self.reservation.settle(usage).await;
        self.claim
    }
}
