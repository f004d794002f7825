//! Plain services.

use {
    super::{
        Context,
        job::{Call, Job},
        request,
    },
    crate::{escrow::Reservation, response::refuse},
    marigoldroute_core::{
        config::Access,
        fault::{Fault, Kind},
        id::{RequestId, ServiceId},
    },
    poem::{Body, Request, Response, handler, http::HeaderMap, web::Data},
    std::sync::Arc,
};

/// Request headers that end at the router.
const OWN_HEADERS: [&str; 7] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
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
    access: Access,
    service: ServiceId,
    idempotent: bool,
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
    let settings = settings.ok_or_else(|| Fault::new(Kind::NotFound, "unknown service"))?;
    let idempotent = match request.header("x-idempotent") {
        None => settings.idempotent,
        Some("true") => true,
        Some("false") => false,
        Some(_) => {
            return Err(Fault::new(
                Kind::InvalidRequest,
                "x-idempotent: must be true or false",
            ));
        }
    };
    let body = body.into_bytes_limit(context.settings.body_limit).await;
    let body = body.map_err(|_| Fault::new(Kind::TooLarge, "the request body is too large"))?;
    let path = request.raw_path_param("path").unwrap_or_default();
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok(Prepared {
        id: request::id(&access.workspace, key.as_deref()),
        access,
        service,
        idempotent,
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
        access,
        service,
        idempotent,
        call,
    } = prepared;
    let price = context
        .control
        .scene()
        .catalog
        .services
        .get(&service)
        .map_or(0, |s| s.price);
    let attempt = request::attempt(&id);
    let reservation = Reservation {
        attempt: attempt.clone(),
        budget: access.budget.clone(),
        amount: price,
        workspace: access.workspace.clone(),
        model: service.clone(),
    };
    let charge = context.charger.reserve(&reservation).await?;
    let job = Job {
        context,
        id: attempt,
        workspace: access.workspace,
        model: service,
        charge,
        idempotent,
    };
    match job.send(&call, &mut Vec::new()).await {
        Ok(reply) => {
            let status = reply.response.status();
            let content = reply.response.headers().get("content-type").cloned();
            let body = reply.response.bytes().await;
            job.settle(reply.choice.upstream, price).await;
            let broken = |_| Fault::new(Kind::AnswerBroken, "the answer was cut");
            let mut response = Response::builder()
                .status(status)
                .body(body.map_err(broken)?);
            if let Some(content) = content {
                response.headers_mut().insert("content-type", content);
            }
            Ok(response)
        }
        Err(fault) => Err(job.fail(fault, price).await),
    }
}
