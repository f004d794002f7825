//! `POST /v1/chat/completions` and `POST /v1/completions`.

use {
    super::{
        Context,
        job::{Call, Job, Reply},
        request::{self, Prompt},
    },
    crate::{
        logs::TOKENS,
        response::{envelope, refuse},
    },
    bytes::Bytes,
    futures_util::StreamExt,
    marigoldroute_core::{
        config::Access,
        fault::{Fault, Kind, Outcome},
        id::{RequestId, Tokens},
        stream::{Broken, Relay, Splitter, Step, Summary},
    },
    poem::{
        Body, Request, Response, handler,
        http::{HeaderMap, HeaderValue, Method},
        web::Data,
    },
    serde::Deserialize,
    std::{io, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
    tokio_stream::wrappers::ReceiverStream,
};

/// Events between the upstream and a slow caller.
const STREAM_EVENTS: usize = 32;
/// Largest unstreamed answer in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

#[handler]
pub(super) async fn complete(
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
    prompt: Prompt,
    path: String,
    started: Duration,
}

async fn prepare(context: &Context, request: &Request, body: Body) -> Result<Prepared, Fault> {
    let access = context.authenticate(request)?;
    let key = request::idempotency_key(request)?;
    let body = body.into_bytes_limit(context.settings.body_limit).await;
    let body = body.map_err(|_| Fault::new(Kind::TooLarge, "the request body is too large"))?;
    let prompt = Prompt::parse(&body, access.output_limit)?;
    if !context.catalog.borrow().models().contains(&prompt.model) {
        let message = format!("unknown model {}", prompt.model);
        return Err(Fault::new(Kind::NotFound, message));
    }
    Ok(Prepared {
        id: request::id(&access.workspace, key.as_deref()),
        access,
        prompt,
        path: request.uri().path().to_owned(),
        started: context.clock.now(),
    })
}

async fn serve(context: Arc<Context>, prepared: Prepared) -> Result<Response, Fault> {
    let Prepared {
        id,
        access,
        prompt,
        path,
        started,
    } = prepared;
    let bound = prompt.bound();
    let charge = context
        .charger
        .reserve(&id, &access, &prompt.model, bound)
        .await?;
    let job = Job {
        context,
        id,
        access,
        model: prompt.model.clone(),
        charge,
        idempotent: true,
    };
    let json = HeaderValue::from_static("application/json");
    let call = Call {
        method: Method::POST,
        path,
        headers: HeaderMap::from_iter([(
            "content-type"
                .parse()
                .unwrap_or(poem::http::header::CONTENT_TYPE),
            json,
        )]),
        body: prompt.body.clone().into(),
    };
    match job.send(&call).await {
        Ok(reply) if !reply.response.status().is_success() => pass_on(job, reply).await,
        Ok(reply) if prompt.stream => Ok(stream(job, prompt, reply, started)),
        Ok(reply) => whole(job, &prompt, reply, started).await,
        Err(fault) if fault.answer().outcome == Outcome::NotRun => {
            job.charge.release().await;
            Err(fault)
        }
        Err(fault) => {
            job.settle("".into(), prompt.prompt_estimate).await;
            Err(fault)
        }
    }
}

/// Passes on an engine's refusal of the request, such as a prompt that is too long.
async fn pass_on(job: Job, reply: Reply) -> Result<Response, Fault> {
    let status = reply.response.status();
    job.charge.release().await;
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

/// Relays an unstreamed answer.
async fn whole(
    job: Job,
    prompt: &Prompt,
    reply: Reply,
    started: Duration,
) -> Result<Response, Fault> {
    let limit = job.context.upstreams.timeout();
    let body = timeout(limit, reply.response.bytes()).await;
    job.context
        .metrics
        .first_token
        .observe((job.context.clock.now() - started).as_secs_f64());
    let broken = |message: &str| Fault::new(Kind::AnswerBroken, message);
    let read = match body {
        Err(_) => Err(Fault::new(
            Kind::UpstreamTimeout,
            "the upstream did not answer in time",
        )),
        Ok(Err(_)) => Err(broken("the upstream's answer was cut")),
        Ok(Ok(body)) if body.len() > ANSWER_LIMIT_BYTES => Err(broken("the answer is too large")),
        Ok(Ok(body)) => match serde_json::from_slice::<Answer>(&body) {
            Ok(answer) if answer.id.contains(&*job.id) => Ok((body, answer.usage)),
            Ok(_) => Err(broken("the upstream answered another request")),
            Err(_) => Err(broken("the upstream's answer is malformed")),
        },
    };
    let used = match &read {
        Ok((_, Some(usage))) => usage.prompt_tokens + usage.completion_tokens,
        _ => prompt.prompt_estimate + prompt.limit,
    };
    job.settle(reply.choice.upstream, used).await;
    read.map(|(body, _)| {
        Response::builder()
            .content_type("application/json")
            .body(body)
    })
}

/// Starts to relay a streamed answer.
fn stream(job: Job, prompt: Prompt, reply: Reply, started: Duration) -> Response {
    let (sender, receiver) = mpsc::channel(STREAM_EVENTS);
    let requests = job.context.requests.clone();
    requests.spawn(relay(job, prompt, reply, started, sender));
    let body = Body::from_bytes_stream(ReceiverStream::new(receiver));
    let response = Response::builder().content_type("text/event-stream");
    response.header("cache-control", "no-store").body(body)
}

type Events = mpsc::Sender<io::Result<Bytes>>;

/// How a relayed stream ended.
enum End {
    Complete,
    Limit,
    CallerGone,
    Failed(Fault),
}

async fn relay(job: Job, prompt: Prompt, reply: Reply, started: Duration, events: Events) {
    let Reply {
        choice,
        in_flight,
        response,
    } = reply;
    let mut state = Relay::new(job.id.clone(), prompt.limit);
    let end = forward(&job, &prompt, &mut state, response, started, &events).await;
    let summary = state.summary();
    match &end {
        End::Complete => {}
        End::Limit => {
            let _ = events
                .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
                .await;
        }
        End::CallerGone => {}
        End::Failed(fault) => {
            let body = serde_json::to_string(&envelope(fault, &job.id)).unwrap_or_default();
            let event = format!("event: error\ndata: {body}\n\n");
            let _ = events.send(Ok(event.into())).await;
        }
    }
    if !matches!(end, End::Complete) {
        job.context.upstreams.cancel(&choice.url, &job.id).await;
    }
    drop(in_flight);
    let used = used(&prompt, summary);
    log::info!(target: TOKENS, request:% = job.id, upstream:% = choice.upstream, tokens = used; "stream ended");
    job.settle(choice.upstream, used).await;
}

fn used(prompt: &Prompt, summary: Summary) -> Tokens {
    let reported = Some(summary.prompt).filter(|tokens| *tokens > 0);
    reported.unwrap_or(prompt.prompt_estimate) + summary.answer
}

async fn forward(
    job: &Job,
    prompt: &Prompt,
    state: &mut Relay,
    response: reqwest::Response,
    started: Duration,
    events: &Events,
) -> End {
    let limit = job.context.upstreams.timeout();
    let mut bytes = response.bytes_stream();
    let mut splitter = Splitter::default();
    loop {
        let piece = match timeout(limit, bytes.next()).await {
            Err(_) => return failed(Kind::UpstreamTimeout, "the upstream fell silent"),
            Ok(Some(Err(_))) => return failed(Kind::AnswerBroken, "the upstream broke the stream"),
            Ok(None) => return close(state),
            Ok(Some(Ok(piece))) => piece,
        };
        let Some(split) = splitter.push(&piece) else {
            return broken(Broken::Oversized);
        };
        for event in split {
            let step = match state.take(&event) {
                Ok(step) => step,
                Err(reason) => return broken(reason),
            };
            if step == Step::First {
                note_first(job, prompt, state.summary(), started).await;
            }
            if step != Step::Ignore && events.send(Ok(event.raw)).await.is_err() {
                return End::CallerGone;
            }
            match step {
                Step::End => return End::Complete,
                Step::Limit => return End::Limit,
                Step::First | Step::Forward | Step::Ignore => {}
            }
        }
    }
}

/// Lowers the reservation to the engine's own prompt count.
async fn note_first(job: &Job, prompt: &Prompt, summary: Summary, started: Duration) {
    let context = &job.context;
    let seconds = (context.clock.now() - started).as_secs_f64();
    context.metrics.first_token.observe(seconds);
    if summary.prompt > 0 {
        job.charge
            .lower(summary.prompt.saturating_add(prompt.limit))
            .await;
    }
}

fn close(state: &Relay) -> End {
    match state.close() {
        Ok(_) => End::Complete,
        Err(reason) => broken(reason),
    }
}

fn broken(reason: Broken) -> End {
    failed(Kind::AnswerBroken, &reason.to_string())
}

fn failed(kind: Kind, message: &str) -> End {
    End::Failed(Fault::new(kind, message).with_outcome(Outcome::Ran))
}
