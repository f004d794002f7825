//! Handler of calls to plain services.

use {
    super::{
        Context,
        active_request::{ActiveRequest, Kind, TokenCounts, UpstreamRequest, UpstreamResponse},
        completion::read_limited,
        plan::{Admitted, Plan},
        request,
    },
    crate::response::error_response,
    marigoldroute_core::{
        fault::{self, Fault, Outcome},
        id::{ServiceId, Tokens},
    },
    poem::{Body, Request, Response, handler, http::HeaderMap, web::Data},
    std::sync::Arc,
    tokio::time::timeout,
};

/// Request headers that are not forwarded to the upstream.
const DROPPED_HEADERS: [&str; 6] = [
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
    match prepare(&context, request, body).await {
        Ok(plan) => {
            let id = plan.id.clone();
            context.run(id, serve(context.clone(), plan)).await
        }
        Err(fault) => error_response(&fault, &request::new_id()),
    }
}

async fn prepare(context: &Context, request: &Request, body: Body) -> Result<Plan, Fault> {
    let access = context.authenticate(request)?;
    let key = request::idempotency_key(request)?;
    let service: ServiceId = request.raw_path_param("service").unwrap_or_default().into();
    let snapshot = context.control.snapshot();
    let settings = snapshot.catalog.services.get(&service);
    let settings = settings.ok_or_else(|| Fault::new(fault::Kind::NotFound, "unknown service"))?;
    context.permit(&access, &service)?;
    let is_idempotent = request::is_idempotent(request)?.unwrap_or(settings.idempotent);
    let path = request.raw_path_param("path").unwrap_or_default();
    let query = request.uri().query();
    let query = query.map(|query| format!("?{query}")).unwrap_or_default();
    Ok(Plan {
        id: request::id(&access.workspace, key.as_deref()),
        key,
        access,
        model: service,
        kind: Kind::Service { is_idempotent },
        size: TokenCounts::default(),
        prefixes: Vec::new(),
        amount: settings.price,
        least: settings.price,
        call: UpstreamRequest {
            method: request.method().clone(),
            path: format!("/{path}{query}"),
            headers: forwarded_headers(request.headers()),
            body: context.read(body).await?,
        },
    })
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in DROPPED_HEADERS {
        headers.remove(name);
    }
    headers
}

async fn serve(context: Arc<Context>, plan: Plan) -> Result<Response, Fault> {
    let price = plan.amount;
    let (mut request, call) = match plan.admit(context).await? {
        Admitted::Run(request, call) => (*request, call),
        Admitted::Replay(response) => return Ok(response),
    };
    if let Err(fault) = request.reservation.announce().await {
        return Err(request.fail(fault, price).await);
    }
    match request.send(&call, &mut Vec::new()).await {
        Ok(reply) => finish(request, reply, price).await,
        Err(fault) => Err(request.fail(fault, price).await),
    }
}

/// Returns a service's answer to the caller and records it for replays.
async fn finish(
    request: ActiveRequest,
    reply: UpstreamResponse,
    price: Tokens,
) -> Result<Response, Fault> {
    let context = request.context.clone();
    let status = reply.response.status();
    let content = reply.response.headers().get("content-type").cloned();
    let limit = context.upstreams.timeout();
    let body = timeout(limit, read_limited(reply.response)).await;
    let upstream = reply.in_flight.upstream().clone();
    reply.in_flight.finish(0);
    let claim = request.settle(upstream, price).await;
    let late = || {
        Err(Fault::new(
            fault::Kind::UpstreamTimeout,
            "the upstream fell silent",
        ))
    };
    let body = match body.unwrap_or_else(|_| late()) {
        Ok(body) => body,
        Err(fault) => {
            claim.abandon().await;
            return Err(fault.with_outcome(Outcome::Ran));
        }
    };
    let content = content
        .as_ref()
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    claim
        .record(&context.platform, status.as_u16(), content, &body)
        .await;
    let response = Response::builder().status(status);
    Ok(response.content_type(content).body(body))
}
