//! Plain services.

use {
    super::{
        Context,
        claimed::{Ruling, Subject},
        completion::read_limited,
        job::{Call, Job, Kind, Reply, Size},
        request,
    },
    crate::{escrow::Reservation, response::refuse},
    marigoldroute_core::{
        claim::Capability,
        config::Access,
        fault::{self, Fault, Outcome},
        id::{RequestId, ServiceId, Tokens},
    },
    poem::{Body, Request, Response, handler, http::HeaderMap, web::Data},
    std::sync::Arc,
    tokio::time::timeout,
};

/// Request headers that end at the router.
const OWN_HEADERS: [&str; 6] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "transfer-encoding",
    "x-idempotent",
];

#[handler]
pub(super) async fn forward(
    context: Data<&Arc<Context>>,
    request: &Request,
    body: Body,
) -> Response {
    let context = (*context).clone();
    let prepared = match prepare(&context, request, body).await {
        Ok(prepared) => prepared,
        Err(fault) => return refuse(&fault, ""),
    };
    let id = prepared.id.clone();
    context.run(id, serve(context.clone(), prepared)).await
}

struct Prepared {
    id: RequestId,
    key: Option<String>,
    access: Access,
    service: ServiceId,
    is_idempotent: bool,
    call: Call,
}

async fn prepare(context: &Context, request: &Request, body: Body) -> Result<Prepared, Fault> {
    let access = context.authenticate(request)?;
    let key = request::idempotency_key(request)?;
    let service: ServiceId = request.raw_path_param("service").unwrap_or_default().into();
    let settings = context
        .control
        .scene()
        .catalog
        .services
        .get(&service)
        .cloned();
    let settings = settings.ok_or_else(|| Fault::new(fault::Kind::NotFound, "unknown service"))?;
    let is_idempotent = request::is_idempotent(request)?.unwrap_or(settings.idempotent);
    let body = body.into_bytes_limit(context.settings.body_limit).await;
    let body =
        body.map_err(|_| Fault::new(fault::Kind::TooLarge, "the request body is too large"))?;
    let path = request.raw_path_param("path").unwrap_or_default();
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok(Prepared {
        id: request::id(&access.workspace, key.as_deref()),
        key,
        access,
        service,
        is_idempotent,
        call: Call {
            method: request.method().clone(),
            path: format!("/{path}{query}"),
            headers: forwarded(request.headers()),
            body,
        },
    })
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers
}

async fn serve(context: Arc<Context>, prepared: Prepared) -> Result<Response, Fault> {
    let Prepared {
        id,
        key,
        access,
        service,
        is_idempotent,
        call,
    } = prepared;
    let attempt = request::attempt(&id);
    let key = key.as_deref().filter(|_| !is_idempotent);
    let services = &context.control.scene().catalog.services;
    let price = services.get(&service).map_or(0, |service| service.price);
    let place = context.enter(&access, price).await?;
    let subject = key.map(|key| Subject {
        workspace: &access.workspace,
        key,
        attempt: &attempt,
        method: call.method.as_str(),
        path: &call.path,
        body: &call.body,
        capability: Capability::None,
    });
    let claim = match context.claim(subject).await? {
        Ruling::Run(claim) => claim,
        Ruling::Replay(response) => return Ok(response),
    };
    let reservation = Reservation {
        attempt: attempt.clone(),
        budget: access.budget.clone(),
        amount: price,
        workspace: access.workspace.clone(),
        model: service.clone(),
    };
    let charge = match context.charger.reserve(&reservation).await {
        Ok(charge) => charge,
        Err(fault) => {
            claim.give_up().await;
            return Err(fault);
        }
    };
    let mut job = Job {
        context,
        id: attempt,
        workspace: access.workspace,
        model: service,
        charge,
        claim,
        kind: Kind::Service { is_idempotent },
        size: Size::default(),
        priority: access.priority,
        place,
    };
    match job.send(&call, &mut Vec::new()).await {
        Ok(reply) => finish(job, reply, price).await,
        Err(fault) => Err(job.fail(fault, price).await),
    }
}

/// Passes on a service's answer and records it for replays.
async fn finish(job: Job, reply: Reply, price: Tokens) -> Result<Response, Fault> {
    let context = job.context.clone();
    let status = reply.response.status();
    let content = reply.response.headers().get("content-type").cloned();
    let limit = context.upstreams.timeout();
    let body = timeout(limit, read_limited(reply.response)).await;
    let upstream = reply.flight.upstream.clone();
    reply.flight.finish(0);
    let claim = job.settle(upstream, price).await;
    let late = || {
        Err(Fault::new(
            fault::Kind::UpstreamTimeout,
            "the upstream fell silent",
        ))
    };
    let body = match body.unwrap_or_else(|_| late()) {
        Ok(body) => body,
        Err(fault) => {
            claim.give_up().await;
            return Err(fault.with_outcome(Outcome::Ran));
        }
    };
    let content = content
        .as_ref()
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    claim
        .finish(&context.platform, status.as_u16(), content, &body)
        .await;
    let response = Response::builder().status(status);
    Ok(response.content_type(content).body(body))
}
