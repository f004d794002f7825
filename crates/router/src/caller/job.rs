//! One admitted request on its way through the upstreams.

use {
    super::{Context, claimed::Claimed},
    crate::{
        charge::Charge,
        logs::ROUTING,
        upstream::{Choice, Failure, InFlight},
    },
    marigoldroute_core::{
        budget::Usage,
        fault::{self, Fault, Outcome},
        fleet::Observation,
        id::{ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    },
    poem::http::{HeaderMap, Method},
    reqwest::{Response, StatusCode},
    std::sync::Arc,
};

/// Header of a refusal by an upstream that takes no more work.
const DRAINING_HEADER: &str = "x-draining";
/// Header by which an upstream states that it acted on no byte of the request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// A request with its reservation.
pub(super) struct Job {
    pub(super) context: Arc<Context>,
    /// Id of this attempt of the request, see [`marigoldroute_core::bill::request_of`].
    pub(super) id: RequestId,
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
    pub(super) charge: Charge,
    pub(super) claim: Claimed,
    pub(super) kind: Kind,
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
pub(super) struct Reply {
    pub(super) choice: Choice,
    pub(super) in_flight: InFlight,
    pub(super) response: Response,
}

/// What is sent to an upstream.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    /// Path and query, with the leading slash.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: bytes::Bytes,
}

impl Job {
    /// Sends the request to one upstream after the other until one answers, leaving out those in
    /// `tried`; adds those that failed.
    ///
    /// # Errors
    /// The fault, with "not run" only when no upstream may have acted on the request.
    pub(super) async fn send(
        &mut self,
        call: &Call,
        tried: &mut Vec<UpstreamId>,
    ) -> Result<Reply, Fault> {
        let mut outcome = Outcome::NotRun;
        let mut last = fault::Kind::NoUpstream;
        for attempt in 1..=self.context.settings.attempts {
            let Some((choice, in_flight)) = self.choose(tried, attempt) else {
                break;
            };
            let url = format!("{}{}", choice.url, call.path);
            let (method, headers) = (call.method.clone(), call.headers.clone());
            let upstreams = &self.context.upstreams;
            self.claim.send()?;
            let sent = upstreams.send(method, &url, &self.id, headers, call.body.clone());
            let sent = sent
                .await
                .and_then(|response| match self.kind.refusal(&response) {
                    Some(failure) => Err(failure),
                    None => Ok(response),
                });
            let failure = match sent {
                Ok(response) => {
                    let control = &self.context.control;
                    control.observe(&choice.upstream, Observation::Success);
                    return Ok(Reply {
                        choice,
                        in_flight,
                        response,
                    });
                }
                Err(failure) => failure,
            };
            last = self.note(&choice.upstream, failure);
            tried.push(choice.upstream);
            if failure.is_refusal() {
                self.claim.refuse();
                continue;
            }
            outcome = Outcome::Unknown;
            if !self.kind.is_idempotent() {
                break;
            }
        }
        Err(Fault::new(last, "no upstream answered the request").with_outcome(outcome))
    }

    fn choose(&self, tried: &[UpstreamId], attempt: u32) -> Option<(Choice, InFlight)> {
        let scene = self.context.control.scene();
        let chosen = self.context.upstreams.choose(&scene, &self.model, tried)?;
        let choice = &chosen.0;
        log::info!(
            target: ROUTING,
            request:% = self.id, model:% = self.model, upstream:% = choice.upstream,
            candidates = choice.candidates, in_flight = choice.in_flight, attempt,
            reason = "least in flight";
            "upstream chosen"
        );
        Some(chosen)
    }

    fn note(&self, upstream: &UpstreamId, failure: Failure) -> fault::Kind {
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
    pub(super) async fn fail(self, fault: Fault, tokens: Tokens) -> Fault {
        match fault.answer().outcome {
            Outcome::NotRun => {
                self.charge.release().await;
                self.claim.give_up().await;
            }
            Outcome::Ran | Outcome::Unknown => {
                let claim = self.settle("".into(), tokens).await;
                claim.give_up().await;
            }
        }
        fault
    }

    /// Settles with the tokens used at an upstream; returns the claim, which is still open.
    pub(super) async fn settle(self, upstream: UpstreamId, tokens: Tokens) -> Claimed {
        let usage = Usage {
            workspace: self.workspace,
            model: self.model,
            upstream,
            tokens,
        };
        self.charge.settle(usage).await;
        self.claim
    }
}
