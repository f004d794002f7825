//! Handler of `POST /v1/chat/completions` and `POST /v1/completions`.

use {
    super::{
        Context,
        active_request::{ActiveRequest, Kind, TokenCounts, UpstreamRequest, UpstreamResponse},
        plan::{Admitted, Plan},
        relay,
        request::{self, Prompt},
    },
    crate::{logs::TOKENS, response::error_response},
    bytes::{Bytes, BytesMut},
    marigoldroute_core::{
        fault::{self, Fault},
        id::{RequestId, Tokens},
    },
    poem::{
        Body, Request, Response, handler,
        http::{HeaderMap, HeaderName, HeaderValue, Method, header::CONTENT_TYPE},
        web::Data,
    },
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Header that carries the priority class of the workspace to the engine; 0 is served first.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Largest unstreamed answer in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

#[handler]
pub(super) async fn complete(
    context: Data<&Arc<Context>>,
    request: &Request,
    body: Body,
) -> Response {
    let context = (*context).clone();
    let started = context.clock.now();
    match prepare(&context, request, body).await {
        Ok((plan, prompt)) => {
            let id = plan.id.clone();
            let request = serve(context.clone(), plan, prompt, started);
            context.run(id, request).await
        }
        Err(fault) => error_response(&fault, &request::new_id()),
    }
}

async fn prepare(
    context: &Context,
    request: &Request,
    body: Body,
) -> Result<(Plan, Prompt), Fault> {
    let access = context.authenticate(request)?;
    let key = request::idempotency_key(request)?;
    let is_idempotent = request::is_idempotent(request)?.unwrap_or(true);
    let body = context.read(body).await?;
    let prompt = Prompt::parse(&body, access.output_limit)?;
    if !context.control.snapshot().catalog.has_model(&prompt.model) {
        let message = format!("unknown model {}", prompt.model);
        return Err(Fault::new(fault::Kind::NotFound, message));
    }
    context.permit(&access, &prompt.model)?;
    let json = HeaderValue::from_static("application/json");
    let least = access.least_output.map_or(prompt.bound(), |least| {
        prompt.prompt_bound + least.min(prompt.limit)
    });
    let priority = HeaderValue::from(u16::from(access.priority));
    let headers = [(CONTENT_TYPE, json), (PRIORITY_HEADER, priority)];
    let plan = Plan {
        id: request::id(&access.workspace, key.as_deref()),
        key,
        access,
        model: prompt.model.clone(),
        kind: Kind::Model { is_idempotent },
        size: TokenCounts {
            prompt_tokens: count(prompt.prompt_estimate),
            output_limit: count(prompt.limit),
        },
        prefixes: prompt.prefixes.clone(),
        amount: prompt.bound(),
        least,
        call: UpstreamRequest {
            method: Method::POST,
            path: request.uri().path().to_owned(),
            headers: HeaderMap::from_iter(headers),
            body: prompt.body.clone().into(),
        },
    };
    Ok((plan, prompt))
}

async fn serve(
    context: Arc<Context>,
    plan: Plan,
    mut prompt: Prompt,
    started: Duration,
) -> Result<Response, Fault> {
    let (mut request, mut call) = match plan.admit(context).await? {
        Admitted::Run(request, call) => (*request, call),
        Admitted::Replay(response) => return Ok(response),
    };
    let limit = request
        .reservation
        .amount()
        .saturating_sub(prompt.prompt_bound);
    if limit < prompt.limit {
        log::info!(
            target: TOKENS, request:% = request.id, from = prompt.limit, to = limit;
            "answer shortened near the end of the budget"
        );
        prompt.shorten(limit);
        call.body = prompt.body.clone().into();
        request.size.output_limit = count(limit);
    }
    match request.send(&call, &mut Vec::new()).await {
        Ok(reply) if !reply.response.status().is_success() => relay_refusal(request, reply).await,
        Ok(reply) if prompt.stream => relay::stream(request, prompt, call, reply, started).await,
        Ok(reply) => relay_whole(request, &prompt, reply, started).await,
        Err(fault) => Err(request.fail(fault, prompt.prompt_estimate).await),
    }
}

fn count(tokens: Tokens) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns an engine's refusal of the request, such as for a prompt that is too long, to the
/// caller.
async fn relay_refusal(request: ActiveRequest, reply: UpstreamResponse) -> Result<Response, Fault> {
    let status = reply.response.status();
    reply.in_flight.finish(0);
    request.reservation.release().await;
    request.claim.abandon().await;
    let body = reply.response.bytes().await.unwrap_or_default();
    let response = Response::builder().status(status);
    Ok(response.content_type("application/json").body(body))
}

#[derive(Deserialize)]
struct Answer {
    id: String,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
}

/// Reads an answer of at most [`ANSWER_LIMIT_BYTES`] bytes.
///
/// # Errors
/// [`fault::Kind::AnswerBroken`] if it is larger or ends early.
pub(super) async fn read_limited(mut response: reqwest::Response) -> Result<Bytes, Fault> {
    let broken = |message: &str| Fault::new(fault::Kind::AnswerBroken, message);
    let mut body = BytesMut::new();
    loop {
        let piece = response.chunk().await;
        let piece = piece.map_err(|_| broken("the upstream's answer was cut"))?;
        let Some(piece) = piece else {
            return Ok(body.freeze());
        };
        if body.len() + piece.len() > ANSWER_LIMIT_BYTES {
            return Err(broken("the answer is too large"));
        }
        body.extend_from_slice(&piece);
    }
}

/// Checks that an answer carries the id of the request; returns it with its usage.
fn check(id: &RequestId, body: Bytes) -> Result<(Bytes, Option<Usage>), Fault> {
    let broken = |message: &str| Fault::new(fault::Kind::AnswerBroken, message);
    let answer: Answer =
        serde_json::from_slice(&body).map_err(|_| broken("the upstream's answer is malformed"))?;
    if !answer.id.contains(&**id) {
        return Err(broken("the upstream answered another request"));
    }
    Ok((body, answer.usage))
}

/// Reads, bills and returns an unstreamed answer.
async fn relay_whole(
    request: ActiveRequest,
    prompt: &Prompt,
    reply: UpstreamResponse,
    started: Duration,
) -> Result<Response, Fault> {
    let limit = request.context.upstreams.timeout();
    let body = timeout(limit, read_limited(reply.response)).await;
    let seconds = (request.context.clock.now() - started).as_secs_f64();
    request.context.metrics.first_token.observe(seconds);
    let late = || {
        Err(Fault::new(
            fault::Kind::UpstreamTimeout,
            "the upstream did not answer in time",
        ))
    };
    let read = body
        .unwrap_or_else(|_| late())
        .and_then(|body| check(&request.id, body));
    let used = match &read {
        Ok((_, Some(usage))) => usage.prompt_tokens + usage.completion_tokens,
        _ => prompt.prompt_estimate + prompt.limit,
    };
    let context = request.context.clone();
    let upstream = reply.in_flight.upstream().clone();
    match &read {
        Ok(_) => reply.in_flight.finish(used),
        Err(_) => reply.in_flight.fail(),
    }
    let claim = request.settle(upstream, used).await;
    match &read {
        Ok((body, _)) => {
            claim
                .record(&context.platform, 200, "application/json", body)
                .await;
        }
        Err(_) => claim.abandon().await,
    }
    read.map(|(body, _)| {
        Response::builder()
            .content_type("application/json")
            .body(body)
    })
}
