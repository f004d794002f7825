//! Relays a streamed answer.
//!
//! A stream that breaks is resumed on its engine from the last token received. When nothing was
//! passed on yet the request may also start again on another engine; later it may not, because
//! another run would give other tokens.

use {
    super::{
        job::{Call, Job, Reply},
        request::Prompt,
    },
    crate::{dispatch::Flight, logs::TOKENS, response::envelope},
    bytes::Bytes,
    futures_util::StreamExt,
    marigoldroute_core::{
        fault::{Fault, Kind, Outcome},
        id::{Tokens, UpstreamId},
        stream::{Broken, Relay, Splitter, Step, Summary},
    },
    poem::{Body, Response},
    serde_json::json,
    std::{io, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
    tokio_stream::wrappers::ReceiverStream,
};

/// Events between the upstream and a slow caller; a full channel stops reading the upstream.
const STREAM_EVENTS: usize = 32;
/// A caller that takes no event for this long has left.
const CALLER_TIMEOUT: Duration = Duration::from_secs(120);
/// Attempts to resume one stream on its engine.
const RESUME_ATTEMPTS: u32 = 3;

/// Relays the answer; returns when the first event has arrived.
pub(super) async fn stream(
    job: Job,
    prompt: Prompt,
    call: Call,
    reply: Reply,
    started: Duration,
) -> Result<Response, Fault> {
    let (sender, receiver) = mpsc::channel(STREAM_EVENTS);
    let (first, arrived) = oneshot::channel();
    let requests = job.context.requests.clone();
    let transfer = Transfer {
        state: Relay::new(job.id.clone(), prompt.limit),
        job,
        prompt,
        call,
        started,
        events: sender,
        first: Some(first),
        tried: Vec::new(),
    };
    requests.spawn(transfer.run(reply));
    let lost = |_| Err(Fault::new(Kind::Internal, "the stream was dropped"));
    arrived.await.unwrap_or_else(lost)?;
    let body = Body::from_bytes_stream(ReceiverStream::new(receiver));
    let response = Response::builder().content_type("text/event-stream");
    Ok(response.header("cache-control", "no-store").body(body))
}

/// How reading from one upstream ended.
enum End {
    Complete,
    Limit,
    CallerGone,
    /// The rest may be had from the engine.
    Interrupted(Fault),
    /// The answer cannot be trusted.
    Broken(Fault),
}

struct Transfer {
    job: Job,
    prompt: Prompt,
    call: Call,
    started: Duration,
    state: Relay,
    events: mpsc::Sender<io::Result<Bytes>>,
    /// Until the first event or the final fault.
    first: Option<oneshot::Sender<Result<(), Fault>>>,
    tried: Vec<UpstreamId>,
}

impl Transfer {
    async fn run(mut self, mut reply: Reply) {
        let mut resumes = 0;
        let (end, flight, url) = loop {
            let Reply {
                mut flight,
                url,
                response,
            } = reply;
            let end = self.forward(&mut flight, response).await;
            let End::Interrupted(fault) = end else {
                break (end, flight, url);
            };
            log::warn!(request:% = self.job.id, upstream:% = flight.upstream(), fault:%; "stream interrupted");
            resumes += 1;
            if resumes <= RESUME_ATTEMPTS
                && let Some(response) = self.resume(&url).await
            {
                reply = Reply {
                    flight,
                    url,
                    response,
                };
                continue;
            }
            match self.restart(flight.upstream()).await {
                Some(other) => {
                    flight.fail();
                    reply = other;
                }
                None => break (End::Broken(fault), flight, url),
            }
        };
        if !matches!(end, End::Complete) {
            let upstreams = &self.job.context.upstreams;
            upstreams.cancel(&url, &self.job.id).await;
        }
        let upstream = flight.upstream().clone();
        match &end {
            End::Complete | End::Limit => flight.finish(self.state.received()),
            End::CallerGone => drop(flight),
            End::Interrupted(_) | End::Broken(_) => flight.fail(),
        }
        self.finish(end, upstream).await;
    }

    async fn resume(&self, url: &str) -> Option<reqwest::Response> {
        let upstreams = &self.job.context.upstreams;
        upstreams
            .resume(url, &self.job.id, self.state.received())
            .await
    }

    /// Sends the request to another engine, unless a part of the answer was passed on.
    async fn restart(&mut self, failed: &UpstreamId) -> Option<Reply> {
        if self.state.is_started() || !self.job.kind.is_idempotent() {
            return None;
        }
        self.tried.push(failed.clone());
        let reply = self.job.send(&self.call, &mut self.tried).await.ok()?;
        reply.response.status().is_success().then_some(reply)
    }

    /// Passes events on until the answer ends in some way.
    async fn forward(&mut self, flight: &mut Flight, response: reqwest::Response) -> End {
        let limit = self.job.context.upstreams.timeout();
        let mut bytes = response.bytes_stream();
        let mut splitter = Splitter::default();
        loop {
            let piece = match timeout(limit, bytes.next()).await {
                Err(_) => return interrupted(Kind::UpstreamTimeout, "the upstream fell silent"),
                Ok(Some(Err(_))) => return interrupted(Kind::AnswerBroken, "the connection broke"),
                Ok(None) => return self.close(),
                Ok(Some(Ok(piece))) => piece,
            };
            let Some(events) = splitter.push(&piece) else {
                return broken(Broken::Oversized);
            };
            for event in events {
                let step = match self.state.take(&event) {
                    Ok(step) => step,
                    Err(Broken::Cut) => return self.close(),
                    Err(reason) => return broken(reason),
                };
                if step == Step::First {
                    flight.first();
                }
                if let Some(end) = self.pass(step, event.raw).await {
                    return end;
                }
            }
        }
    }

    /// Passes one event on.
    async fn pass(&mut self, step: Step, raw: Bytes) -> Option<End> {
        if step == Step::First {
            self.note_first().await;
        }
        match step {
            Step::Ignore => return None,
            Step::Limit => return Some(End::Limit),
            Step::First | Step::Forward | Step::End => {}
        }
        let sent = timeout(CALLER_TIMEOUT, self.events.send(Ok(raw))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return Some(End::CallerGone);
        }
        (step == Step::End).then_some(End::Complete)
    }

    /// Starts the response and lowers the reservation to the engine's own prompt count.
    async fn note_first(&mut self) {
        let context = &self.job.context;
        let seconds = (context.clock.now() - self.started).as_secs_f64();
        context.metrics.first_token.observe(seconds);
        if let Some(first) = self.first.take() {
            // The caller may have left; the next event finds out.
            let _ = first.send(Ok(()));
        }
        let prompt = self.state.summary().prompt;
        if prompt > 0 {
            let amount = prompt.saturating_add(self.prompt.limit);
            self.job.charge.lower(amount).await;
        }
    }

    fn close(&self) -> End {
        match self.state.close() {
            Ok(_) => End::Complete,
            Err(reason) => interrupted(Kind::AnswerBroken, &reason.to_string()),
        }
    }

    /// Ends the caller's stream and settles.
    async fn finish(self, end: End, upstream: UpstreamId) {
        let tokens = self.used(self.state.summary());
        let last = match end {
            End::Complete | End::CallerGone => None,
            End::Limit => Some(limit_event(&self.job.id)),
            End::Interrupted(fault) | End::Broken(fault) => self.first.map_or_else(
                || Some(error_event(&fault, &self.job.id)),
                |first| {
                    // The caller may have left.
                    let _ = first.send(Err(fault.clone()));
                    None
                },
            ),
        };
        if let Some(last) = last {
            let _ = timeout(CALLER_TIMEOUT, self.events.send(Ok(last.into()))).await;
        }
        log::info!(target: TOKENS, request:% = self.job.id, upstream:%, tokens; "stream ended");
        let claim = self.job.settle(upstream, tokens).await;
        claim.finish_stream(tokens).await;
    }

    fn used(&self, summary: Summary) -> Tokens {
        let reported = Some(summary.prompt).filter(|tokens| *tokens > 0);
        reported.unwrap_or(self.prompt.prompt_estimate) + summary.answer
    }
}

/// The events that end a stream at the output token limit.
fn limit_event(request: &str) -> String {
    let chunk = json!({
        "id": format!("chatcmpl-{request}"), "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
    });
    format!("data: {chunk}\n\ndata: [DONE]\n\n")
}

fn error_event(fault: &Fault, request: &str) -> String {
    let body = serde_json::to_string(&envelope(fault, request)).unwrap_or_default();
    format!("event: error\ndata: {body}\n\n")
}

fn interrupted(kind: Kind, message: &str) -> End {
    End::Interrupted(Fault::new(kind, message).with_outcome(Outcome::Ran))
}

fn broken(reason: Broken) -> End {
    End::Broken(Fault::new(Kind::AnswerBroken, reason.to_string()))
}
