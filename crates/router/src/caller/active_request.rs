//! One admitted request on its way through the upstreams.

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

/// Header of a refusal by an upstream that takes no more work.
const DRAINING_HEADER: &str = "x-draining";
/// Header by which an upstream states that it acted on no byte of the request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Longest wait for a place at an upstream.
const CAPACITY_WAIT: Duration = Duration::from_secs(2);

/// A request with its reservation.
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
    /// Hashes of the prompt's prefixes.
    pub(super) prefixes: Vec<u64>,
    /// Priority class.
    pub(super) priority: u8,
    /// Place among the requests in progress.
    #[expect(dead_code, reason = "given back when the active is dropped")]
    pub(super) permit: Permit,
}

/// Expected size of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TokenCounts {
    /// Prompt tokens.
    pub(super) prompt_tokens: u32,
    /// Output token limit.
    pub(super) output_limit: u32,
}

/// What is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A completion by a model engine, which refuses with the usual status codes.
    Model { is_idempotent: bool },
    /// A call of a plain service. Its status codes are its own, also 503: only a header states
    /// that it acted on no byte.
    Service { is_idempotent: bool },
}

impl Kind {
    /// Returns whether the request may be sent again after an upstream may have acted on it.
    pub(super) fn is_idempotent(self) -> bool {
        match self {
            Self::Model { is_idempotent } | Self::Service { is_idempotent } => is_idempotent,
        }
    }

    /// Returns whether a response is a refusal by an upstream that acted on no byte.
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

/// An upstream's answer.
pub(super) struct UpstreamResponse {
    pub(super) in_flight: InFlight,
    /// Base URL of the upstream.
    pub(super) url: Arc<str>,
    pub(super) response: Response,
}

/// What is sent to an upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRequest {
    pub(super) method: Method,
    /// Path and query, with the leading slash.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: bytes::Bytes,
}

impl ActiveRequest {
    /// Sends the request to one upstream after the other until one answers, leaving out those in
    /// `tried`; adds those that failed.
    ///
    /// # Errors
    /// The fault, with "not run" only when no upstream may have acted on the request.
    pub(super) async fn send(
        &mut self,
        call: &UpstreamRequest,
        tried: &mut Vec<UpstreamId>,
    ) -> Result<UpstreamResponse, Fault> {
        let mut outcome = Outcome::NotRun;
        let mut last = fault::Kind::NoUpstream;
        for attempt in 1..=self.context.settings.attempts {
            let Some((in_flight, url)) = self.choose_in_time(tried, attempt).await else {
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

    /// Sends an idempotent request to one more upstream, without a wait for a place, and adds that
    /// upstream to `tried`. Returns `None` when none takes it.
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
                // Another status is the engine's refusal of this request.
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

    /// Tells an engine, without a wait, that nobody waits for this attempt any more.
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

    /// Chooses an upstream; waits for a place while all that could serve the request are at their
    /// limit.
    async fn choose_in_time(
        &self,
        tried: &[UpstreamId],
        attempt: u32,
    ) -> Option<(InFlight, Arc<str>)> {
        let context = &self.context;
        let end = context.clock.now() + CAPACITY_WAIT;
        loop {
            // Taken before the choice, so that a place that comes free meanwhile is not missed.
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

    /// Ends a request that got no answer: releases the reservation and the claim when it did not
    /// run, otherwise bills `tokens` and leaves the claim in doubt.
    ///
    /// The outcome becomes "unknown" when the holder may bill the request all the same.
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

    /// Settles with the tokens used at an upstream; returns the claim, which is still open.
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
