//! One admitted request on its way through the upstreams.

use {
    super::Context,
    crate::{
        charge::Charge,
        logs::ROUTING,
        upstream::{Choice, Failure, InFlight},
    },
    marigoldroute_core::{
        budget::Usage,
        fault::{Fault, Kind, Outcome},
        fleet::Observation,
        id::{ModelId, RequestId, Tokens, UpstreamId, WorkspaceId},
    },
    poem::http::{HeaderMap, Method},
    reqwest::Response,
    std::sync::Arc,
};

/// A request with its reservation.
pub(super) struct Job {
    pub(super) context: Arc<Context>,
    /// Id of this attempt of the request, see [`marigoldroute_core::bill::request_of`].
    pub(super) id: RequestId,
    pub(super) workspace: WorkspaceId,
    pub(super) model: ModelId,
    pub(super) charge: Charge,
    /// Whether it may be sent again after an upstream may have acted on it.
    pub(super) idempotent: bool,
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
        &self,
        call: &Call,
        tried: &mut Vec<UpstreamId>,
    ) -> Result<Reply, Fault> {
        let mut outcome = Outcome::NotRun;
        let mut last = Kind::NoUpstream;
        for attempt in 1..=self.context.settings.attempts {
            let Some((choice, in_flight)) = self.choose(tried, attempt) else {
                break;
            };
            let url = format!("{}{}", choice.url, call.path);
            let (method, headers) = (call.method.clone(), call.headers.clone());
            let upstreams = &self.context.upstreams;
            let sent = upstreams.send(method, &url, &self.id, headers, call.body.clone());
            let failure = match sent.await {
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
            if !failure.is_refusal() {
                outcome = Outcome::Unknown;
                if !self.idempotent {
                    break;
                }
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

    fn note(&self, upstream: &UpstreamId, failure: Failure) -> Kind {
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
                Kind::UpstreamRefused
            }
            Failure::Lost => Kind::UpstreamLost,
            Failure::Timeout => Kind::UpstreamTimeout,
        }
    }

    /// Ends a request that got no answer: releases the reservation when it did not run, otherwise
    /// bills `tokens`.
    pub(super) async fn fail(self, fault: Fault, tokens: Tokens) -> Fault {
        match fault.answer().outcome {
            Outcome::NotRun => self.charge.release().await,
            Outcome::Ran | Outcome::Unknown => self.settle("".into(), tokens).await,
        }
        fault
    }

    /// Settles with the tokens used at an upstream.
    pub(super) async fn settle(self, upstream: UpstreamId, tokens: Tokens) {
        let usage = Usage {
            workspace: self.workspace,
            model: self.model,
            upstream,
            tokens,
        };
        self.charge.settle(usage).await;
    }
}
