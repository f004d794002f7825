//! Completion requests of the stand-in model engine: how they run and what they answer.

use {
    crate::{fault::Fault, queue::Admission, server::StandIn},
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

/// Request header with the priority class, a number; 0 runs first.
const PRIORITY_HEADER: &str = "x-priority";
/// Prompt bytes that count as one token.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;
/// Prompt tokens per block of the prefix cache.
const BLOCK_TOKENS: u64 = 256;
/// Output limit of requests that set none.
const DEFAULT_LIMIT_TOKENS: u64 = 256;
/// Capacity of the channel between a run and the reader of its answer.
const CHANNEL_CHUNKS: usize = 16;

/// Speed and capacity of a stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Time from the admission to the first token, without that of the prompt.
    pub first_token: Duration,
    /// Time per prompt token that is not in the prefix cache, added before the first token.
    pub prompt_token: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Tokens of an answer, unless the request's limit is lower.
    pub answer_tokens: u64,
    /// Requests that run at a time; others wait, by priority class. Unlimited when absent.
    pub places: Option<u64>,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Age that a cache event must have to appear in a load report.
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

/// Body of a completion request, with `messages` for a chat and `prompt` for plain text.
#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
}

/// An execution of a request, kept so that its answer can be sent again.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Request id.
    pub(crate) request: String,
    /// Priority class; 0 runs first.
    class: usize,
    model: String,
    prompt_tokens: u64,
    /// Prompt tokens that were not in the prefix cache.
    uncached_tokens: u64,
    answer_tokens: u64,
    /// `length` when the request's limit ended the answer, otherwise `stop`.
    finish_reason: &'static str,
    fault: Fault,
    /// Index of the first token to send.
    from: u64,
}

/// Runs a completion request and answers with a stream of chunks or with one JSON object.
#[handler]
pub(crate) async fn complete(
    stand_in: Data<&StandIn>,
    request: &poem::Request,
    Json(completion): Json<CompletionRequest>,
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
    if !stand_in.serves(&completion.model) {
        let refusal = StatusCode::SERVICE_UNAVAILABLE.with_header("x-not-run", "true");
        return refusal.into_response();
    }
    let class = request.header(PRIORITY_HEADER);
    let class = class.and_then(|class| class.parse().ok());
    let run = start_run(&stand_in, id, class, &completion, fault);
    if completion.stream {
        return stream_run(&stand_in, run);
    }
    let (sender, receiver) = mpsc::channel(CHANNEL_CHUNKS);
    let task = generate((*stand_in).clone(), run, sender);
    let (answer, ()) = tokio::join!(collect_answer(ReceiverStream::new(receiver)), task);
    match answer {
        Some(answer) => Json(answer).into_response(),
        None => Response::builder().body(broken_body()),
    }
}

/// Query of a call that resumes a stream.
#[derive(Deserialize)]
struct Resume {
    /// Index of the first token to send.
    from: u64,
}

/// Streams the tokens of a stored run from an index on; this does not count as another run.
#[handler]
pub(crate) fn resume(
    stand_in: Data<&StandIn>,
    Path(request): Path<String>,
    Query(resume): Query<Resume>,
) -> Response {
    let Some(run) = stand_in.find_run(&request) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let run = Run {
        from: resume.from,
        fault: stand_in.next_fault(),
        ..run
    };
    stream_run(&stand_in, run)
}

/// Starts a run on a task of its own and streams its chunks.
fn stream_run(stand_in: &StandIn, run: Run) -> Response {
    let (sender, receiver) = mpsc::channel(CHANNEL_CHUNKS);
    tokio::spawn(generate(stand_in.clone(), run, sender));
    let body = Body::from_bytes_stream(ReceiverStream::new(receiver));
    let response = Response::builder().content_type("text/event-stream");
    response.body(body)
}

/// Determines the outcome of a new run, and updates the prefix cache and the records with it.
fn start_run(
    stand_in: &StandIn,
    id: &str,
    class: Option<usize>,
    completion: &CompletionRequest,
    fault: Fault,
) -> Run {
    let (messages, text) = (
        completion.messages.to_string(),
        completion.prompt.to_string(),
    );
    let bytes = messages.len() + text.len();
    let cached_blocks = stand_in.cache_prompt(&prefix_hashes(match completion.messages {
        Value::Null => &text,
        _ => &messages,
    }));
    let prompt_tokens = bytes as u64 / PROMPT_BYTES_PER_TOKEN;
    let limit = completion.max_tokens.unwrap_or(DEFAULT_LIMIT_TOKENS);
    let settings = stand_in.settings();
    let answer_tokens = settings.answer_tokens.min(limit);
    let run = Run {
        request: id.to_owned(),
        class: class.unwrap_or(usize::MAX),
        model: completion.model.clone(),
        prompt_tokens,
        uncached_tokens: prompt_tokens.saturating_sub(cached_blocks * BLOCK_TOKENS),
        answer_tokens: if fault == Fault::Excess {
            limit + 8
        } else {
            answer_tokens
        },
        finish_reason: match settings.answer_tokens > limit {
            true => "length",
            false => "stop",
        },
        fault,
        from: 0,
    };
    stand_in.store_run(run.clone());
    stand_in.update_record(id, |record| {
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

/// Sends the run's chunks until its end, a fault, a cancellation or the reader's disconnection.
async fn generate(stand_in: StandIn, run: Run, sender: mpsc::Sender<io::Result<Bytes>>) {
    let mut admission = Admission::enqueue(&stand_in, run.class, run.prompt_tokens);
    tokio::select! {
        () = admission.admitted() => {}
        () = sender.closed() => return,
    }
    let settings = stand_in.settings();
    if run.fault == Fault::Silent {
        return sender.closed().await;
    }
    let prompt = settings.prompt_token * u32::try_from(run.uncached_tokens).unwrap_or(u32::MAX);
    tokio::time::sleep(settings.first_token + prompt).await;
    for token in run.from..run.answer_tokens {
        let is_broken = match run.fault {
            Fault::Break => true,
            Fault::Cut => token >= run.answer_tokens / 2,
            _ => false,
        };
        if is_broken {
            let _ = sender
                .send(Err(io::ErrorKind::ConnectionReset.into()))
                .await;
            break;
        }
        tokio::select! {
            () = stand_in.wait_while_paused(token) => {}
            () = sender.closed() => {}
        }
        if stand_in.is_cancelled(&run.request) {
            break;
        }
        stand_in.update_record(&run.request, |record| {
            record.completion_tokens = record.completion_tokens.max(token + 1);
        });
        stand_in.with_models(|models| models.holding.tokens += 1);
        if sender.send(Ok(run.token_chunk(token))).await.is_err() {
            break;
        }
        tokio::time::sleep(settings.token).await;
    }
    stand_in.update_record(&run.request, |record| record.ended = true);
    if !matches!(run.fault, Fault::Break | Fault::Cut | Fault::NoEnd) {
        let _ = sender.send(Ok(run.final_chunk())).await;
    }
}

impl Run {
    /// Returns the id of the answer.
    fn id(&self) -> String {
        match self.fault {
            Fault::Crossed => "cmpl-another-request".to_owned(),
            _ => format!("cmpl-{}", self.request),
        }
    }

    /// Returns the chunk with a token.
    fn token_chunk(&self, index: u64) -> Bytes {
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

    /// Returns the final chunk and the end mark of the stream.
    fn final_chunk(&self) -> Bytes {
        let usage = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.answer_tokens,
            "total_tokens": self.prompt_tokens + self.answer_tokens,
        });
        let usage = (self.fault != Fault::NoUsage).then_some(usage);
        let choices = json!([{"index": 0, "delta": {}, "finish_reason": self.finish_reason}]);
        let last = self.chunk(choices, usage);
        [&last[..], b"data: [DONE]\n\n"].concat().into()
    }

    /// Encodes a chunk as a server-sent event.
    fn chunk(&self, choices: Value, usage: Option<Value>) -> Bytes {
        let chunk = json!({
            "id": self.id(), "object": "chat.completion.chunk", "model": self.model,
            "choices": choices, "usage": usage,
        });
        format!("data: {chunk}\n\n").into()
    }
}

/// Joins chunks into one unstreamed answer; `None` when the run broke the connection.
async fn collect_answer(stream: impl Stream<Item = io::Result<Bytes>>) -> Option<Value> {
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

/// Returns a body that breaks the connection.
fn broken_body() -> Body {
    let error = io::Error::from(io::ErrorKind::ConnectionReset);
    Body::from_bytes_stream(tokio_stream::once(Err::<Bytes, _>(error)))
}
