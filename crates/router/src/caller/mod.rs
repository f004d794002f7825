//! HTTP interface for callers: completions, models and plain services.

mod active_request;
mod claimed;
mod completion;
mod handover;
mod models;
mod plan;
mod relay;
mod request;
mod service;
mod source;

use {
    crate::{
        Clock,
        claim::Claims,
        control::Control,
        dispatch::Dispatcher,
        gate::{AdmissionRequest, Gate, Permit},
        metrics::Metrics,
        reserver::Reserver,
        response::error_response,
        settings::Settings,
        upstream::Upstreams,
    },
    bytes::Bytes,
    claimed::{ClaimOutcome, ClaimSubject, RequestClaim},
    marigoldroute_core::{
        config::Access,
        fault::{Fault, Kind},
        id::{RequestId, Tokens},
    },
    marigoldroute_store::Client,
    poem::{Body, Request, Response, Route, get, post},
    std::sync::Arc,
    tokio::sync::oneshot,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// State shared by the handlers.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) control: Control,
    pub(crate) platform: Client,
    pub(crate) reserver: Arc<Reserver>,
    pub(crate) claims: Claims,
    pub(crate) upstreams: Arc<Upstreams>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) gate: Gate,
    pub(crate) metrics: Arc<Metrics>,
    /// Tasks of requests in progress; a planned stop waits for them.
    pub(crate) requests: TaskTracker,
    /// Cancelled when the host stops taking new work.
    pub(crate) draining: CancellationToken,
}

/// Adds the routes, which need a [`Context`] as data.
pub(crate) fn add(routes: Route) -> Route {
    routes
        .at("/v1/chat/completions", post(completion::complete))
        .at("/v1/completions", post(completion::complete))
        .at("/v1/models", get(models::list))
        .at("/services/:service", service::forward)
        .at("/services/:service/*path", service::forward)
}

impl Context {
    /// Returns the access that the request's API key grants.
    fn authenticate(&self, request: &Request) -> Result<Access, Fault> {
        let header = request.header("authorization").unwrap_or_default();
        let key = header.strip_prefix("Bearer ").unwrap_or_default();
        let access = self.control.snapshot().catalog.access(key).cloned();
        access.ok_or_else(|| Fault::new(Kind::Unauthenticated, "unknown API key"))
    }

    /// Checks that a workspace may use a model or service.
    fn permit(&self, access: &Access, name: &str) -> Result<(), Fault> {
        if self
            .control
            .snapshot()
            .catalog
            .allows(&access.workspace, name)
        {
            return Ok(());
        }
        let message = format!("the workspace may not use {name}");
        Err(Fault::new(Kind::Forbidden, message))
    }

    /// Checks that this host takes new work.
    fn check_ready(&self) -> Result<(), Fault> {
        if self.draining.is_cancelled() {
            return Err(Fault::new(Kind::Draining, "the host is stopping"));
        }
        let not_ready = self.control.check_ready();
        not_ready.map_err(|not_ready| Fault::new(Kind::Stale, not_ready.to_string()))
    }

    /// Reads a request body, at most the body limit.
    async fn read(&self, body: Body) -> Result<Bytes, Fault> {
        let body = body.into_bytes_limit(self.settings.body_limit).await;
        body.map_err(|_| Fault::new(Kind::TooLarge, "the request body is too large"))
    }

    /// Waits for a permit of the gate and records the request in the retry budget.
    async fn acquire_permit(&self, access: &Access, cost: Tokens) -> Result<Permit, Fault> {
        let workspaces = &self.control.snapshot().catalog.workspaces;
        let share = workspaces
            .get(&access.workspace)
            .map_or(1, |workspace| workspace.share);
        let admission = AdmissionRequest {
            workspace: access.workspace.clone(),
            weight: u32::try_from(share).unwrap_or(u32::MAX),
            class: access.priority,
            cost,
        };
        let permit = self.gate.admit(admission).await?;
        self.dispatcher.record_request();
        Ok(permit)
    }

    /// Claims the idempotency key of a request, if it needs a claim.
    async fn claim(&self, subject: Option<ClaimSubject<'_>>) -> Result<ClaimOutcome, Fault> {
        match subject {
            Some(subject) => {
                RequestClaim::claim(&self.claims, self.clock, &self.platform, subject).await
            }
            None => Ok(ClaimOutcome::Run(RequestClaim::not_needed(
                &self.claims,
                self.clock,
            ))),
        }
    }

    /// Runs a request as a task of its own, so that it is settled even if the caller disconnects.
    async fn run(
        self: &Arc<Self>,
        id: RequestId,
        active: impl Future<Output = Result<Response, Fault>> + Send + 'static,
    ) -> Response {
        if let Err(fault) = self.check_ready() {
            return self.finish(&id, Err(fault));
        }
        let (sender, receiver) = oneshot::channel();
        self.metrics.running.inc();
        let context = self.clone();
        self.requests.spawn(async move {
            let result = active.await;
            context.metrics.running.dec();
            // The caller may have disconnected.
            let _ = sender.send(result);
        });
        let lost = || Err(Fault::new(Kind::Internal, "the request was dropped"));
        let result = receiver.await.unwrap_or_else(|_| lost());
        self.finish(&id, result)
    }

    fn finish(&self, id: &RequestId, result: Result<Response, Fault>) -> Response {
        match result {
            Ok(mut response) => {
                self.metrics.requests.with_label_values(&["ok"]).inc();
                if let Ok(value) = id.parse() {
                    response.headers_mut().insert("x-request-id", value);
                }
                response
            }
            Err(fault) => {
                let kind = fault.kind.to_string();
                self.metrics.requests.with_label_values(&[&kind]).inc();
                error_response(&fault, id)
            }
        }
    }
}
