//! Answers of the stand-in model engine.

use {
    crate::{fault::Fault, queue::Busy, server::StandIn},
    bytes::Bytes,
    futures_util::Stream,
    marigoldroute_core::route::prefix_hashes,
    poem::{
        Body, IntoResponse, Response, handler,
        http::StatusCode,
        web::{Data, Json, Path, Query},
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{io, time::Duration},
    tokio::sync::mpsc,
    tokio_stream::wrappers::ReceiverStream,
};

/// Header with the priority class of a request.
const PRIORITY_HEADER: &str = "x-priority";
/// Bytes of prompt per token.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;
/// Prompt tokens of a block in the prefix cache.
const BLOCK_TOKENS: u64 = 256;
/// Tokens that an engine generates when the request sets no limit.
const DEFAULT_LIMIT: u64 = 256;
/// Chunks between the engine and a slow reader.
const STREAM_CHUNKS: usize = 16;

/// Settings of a stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time per prompt token that is not in the prefix cache, until the first token.
    pub prompt_token: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Tokens of an answer, when the request's limit allows them.
    pub answer_tokens: u64,
    /// Requests that run at a time, those of the first priority class first; all when absent.
    pub places: Option<u64>,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Age from which cache events are published.
    pub cache_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(5),
            prompt_token: Duration::ZERO,
            token: Duration::from_millis(1),
            answer_tokens: 24,
            places: None,
            cache_blocks: 4_096,
            cache_lag: Duration::ZERO,
        }
    }
}

#[derive(Deserialize)]
struct Prompt {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
}

/// One run of the engine.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: String,
    /// Priority class; 0 runs first.
    class: usize,
    model: String,
    prompt_tokens: u64,
    /// Prompt tokens that were not in the prefix cache.
    uncached: u64,
    tokens: u64,
    /// Why the answer ends.
    finish_reason: &'static str,
    fault: Fault,
    /// Index of the first token to send.
    from: u64,
}

#[handler]
pub(crate) async fn complete(
    stand_in: Data<&StandIn>,
    request: &poem::Request,
    Json(prompt): Json<Prompt>,
) -> Response {
    let Some(id) = request.header("x-request-id") else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let fault = stand_in.next_fault();
    if stand_in.is_draining() {
        let refusal = StatusCode::SERVICE_UNAVAILABLE.with_header("x-draining", "true");
        return refusal.into_response();
    }
    if fault == Fault::Refuse {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if !stand_in.serves(&prompt.model) {
        let refusal = StatusCode::SERVICE_UNAVAILABLE.with_header("x-not-run", "true");
        return refusal.into_response();
    }
    let class = request.header(PRIORITY_HEADER);
    let class = class.and_then(|class| class.parse().ok());
    let run = start(&stand_in, id, class, &prompt, fault);
    if prompt.stream {
        return stream(&stand_in, run);
    }
    let (sender, receiver) = mpsc::channel(STREAM_CHUNKS);
    let task = generate((*stand_in).clone(), run, sender);
    let (summary, ()) = tokio::join!(collect(ReceiverStream::new(receiver)), task);
    match summary {
        Some(answer) => Json(answer).into_response(),
        None => Response::builder().body(broken_body()),
    }
}

#[derive(Deserialize)]
struct Resume {
    from: u64,
}

/// Sends the rest of a run again, from a token on.
#[handler]
pub(crate) fn resume(
    stand_in: Data<&StandIn>,
    Path(request): Path<String>,
    Query(resume): Query<Resume>,
) -> Response {
    let Some(run) = stand_in.run(&request) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let run = Run {
        from: resume.from,
        fault: stand_in.next_fault(),
        ..run
    };
    stream(&stand_in, run)
}

fn stream(stand_in: &StandIn, run: Run) -> Response {
    let (sender, receiver) = mpsc::channel(STREAM_CHUNKS);
    tokio::spawn(generate(stand_in.clone(), run, sender));
    let body = Body::from_bytes_stream(ReceiverStream::new(receiver));
    let response = Response::builder().content_type("text/event-stream");
    response.body(body)
}

fn start(stand_in: &StandIn, id: &str, class: Option<usize>, prompt: &Prompt, fault: Fault) -> Run {
    let (messages, text) = (prompt.messages.to_string(), prompt.prompt.to_string());
    let bytes = messages.len() + text.len();
    let cached = stand_in.cache_prompt(&prefix_hashes(match prompt.messages {
        Value::Null => &text,
        _ => &messages,
    }));
    let prompt_tokens = bytes as u64 / PROMPT_BYTES_PER_TOKEN;
    let limit = prompt.max_tokens.unwrap_or(DEFAULT_LIMIT);
    let settings = stand_in.settings();
    let wanted = settings.answer_tokens.min(limit);
    let run = Run {
        request: id.to_owned(),
        class: class.unwrap_or(usize::MAX),
        model: prompt.model.clone(),
        prompt_tokens,
        uncached: prompt_tokens.saturating_sub(cached * BLOCK_TOKENS),
        tokens: if fault == Fault::Excess {
            limit + 8
        } else {
            wanted
        },
        finish_reason: match settings.answer_tokens > limit {
            true => "length",
            false => "stop",
        },
        fault,
        from: 0,
    };
    stand_in.keep(run.clone());
    stand_in.record(id, |record| {
        record.runs += 1;
        record.class = class;
        record.prompt_tokens = run.prompt_tokens;
        record.ended = false;
    });
    stand_in.with_models(|models| {
        models.holding.requests += 1;
        let is_error = matches!(fault, Fault::Break | Fault::Cut | Fault::Silent);
        models.holding.errors += u64::from(is_error);
    });
    run
}

/// Generates the run's chunks until the end, a fault, a cancellation or the reader's loss.
async fn generate(stand_in: StandIn, run: Run, sender: mpsc::Sender<io::Result<Bytes>>) {
    let mut busy = Busy::enter(&stand_in, run.class, run.prompt_tokens);
    tokio::select! {
        () = busy.admitted() => {}
        () = sender.closed() => return,
    }
    let settings = stand_in.settings();
    if run.fault == Fault::Silent {
        return sender.closed().await;
    }
    let prompt = settings.prompt_token * u32::try_from(run.uncached).unwrap_or(u32::MAX);
    tokio::time::sleep(settings.first_token + prompt).await;
    for token in run.from..run.tokens {
        let broken = match run.fault {
            Fault::Break => true,
            Fault::Cut => token >= run.tokens / 2,
            _ => false,
        };
        if broken {
            let _ = sender
                .send(Err(io::ErrorKind::ConnectionReset.into()))
                .await;
            break;
        }
        tokio::select! {
            () = stand_in.permit(token) => {}
            () = sender.closed() => {}
        }
        if stand_in.is_cancelled(&run.request) {
            break;
        }
        stand_in.record(&run.request, |record| {
            record.completion_tokens = record.completion_tokens.max(token + 1);
        });
        stand_in.with_models(|models| models.holding.tokens += 1);
        if sender.send(Ok(run.token(token))).await.is_err() {
            break;
        }
        tokio::time::sleep(settings.token).await;
    }
    stand_in.record(&run.request, |record| record.ended = true);
    if !matches!(run.fault, Fault::Break | Fault::Cut | Fault::NoEnd) {
        let _ = sender.send(Ok(run.end())).await;
    }
}

impl Run {
    fn id(&self) -> String {
        match self.fault {
            Fault::Crossed => "cmpl-another-request".to_owned(),
            _ => format!("cmpl-{}", self.request),
        }
    }

    fn token(&self, index: u64) -> Bytes {
        let word = match self.fault {
            Fault::Differ => 'v',
            _ => 'w',
        };
        let text = format!("{word}{index} ");
        let prompt = json!({"prompt_tokens": self.prompt_tokens, "completion_tokens": 0});
        let usage = (index == 0 && self.fault != Fault::NoUsage).then_some(prompt);
        self.chunk(
            json!([{"index": 0, "delta": {"content": text}, "text": text, "finish_reason": null}]),
            usage,
        )
    }

    fn end(&self) -> Bytes {
        let usage = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        });
        let usage = (self.fault != Fault::NoUsage).then_some(usage);
        let choices = json!([{"index": 0, "delta": {}, "finish_reason": self.finish_reason}]);
        let last = self.chunk(choices, usage);
        [&last[..], b"data: [DONE]\n\n"].concat().into()
    }

    fn chunk(&self, choices: Value, usage: Option<Value>) -> Bytes {
        let chunk = json!({
            "id": self.id(), "object": "chat.completion.chunk", "model": self.model,
            "choices": choices, "usage": usage,
        });
        format!("data: {chunk}\n\n").into()
    }
}

/// Joins chunks into an unstreamed answer; `None` when the run broke.
async fn collect(stream: impl Stream<Item = io::Result<Bytes>>) -> Option<Value> {
    use futures_util::StreamExt;

    let mut stream = std::pin::pin!(stream);
    let mut text = String::new();
    let mut last = Value::Null;
    while let Some(chunk) = stream.next().await {
        let chunk = String::from_utf8(chunk.ok()?.to_vec()).ok()?;
        for data in chunk.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if let Ok(chunk) = serde_json::from_str::<Value>(data) {
                text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
                last = chunk;
            }
        }
    }
    let reason = last["choices"][0]["finish_reason"].take();
    let message = json!({"role": "assistant", "content": text});
    last["object"] = json!("chat.completion");
    last["choices"] =
        json!([{"index": 0, "message": message, "text": text, "finish_reason": reason}]);
    Some(last)
}

/// A body that breaks the connection.
fn broken_body() -> Body {
    let error = io::Error::from(io::ErrorKind::ConnectionReset);
    Body::from_bytes_stream(tokio_stream::once(Err::<Bytes, _>(error)))
}
