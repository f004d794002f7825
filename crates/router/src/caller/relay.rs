//! Relays a streamed answer.
//!
//! A stream that is interrupted is resumed on its engine from the last token received. If nothing
//! was sent to the caller yet, an idempotent request may also start again on another engine; later
//! it may not, because another run would generate other tokens. A stream that has to leave a
//! withdrawn upstream is moved by [`handover`](super::handover).

use {
    super::{
        active_request::{ActiveRequest, UpstreamRequest, UpstreamResponse},
        handover::{Handover, MoveWatcher},
        request::Prompt,
        source::{Source, Stop},
    },
    crate::{
        logs::{ROUTING, TOKENS},
        response::envelope,
        upstream::Failure,
    },
    bytes::Bytes,
    marigoldroute_core::{
        fault::{Fault, Kind, Outcome},
        id::{Tokens, UpstreamId},
        stream::{Action, InvalidAnswer, Summary, Validator},
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

/// Events buffered for a slow caller; while the buffer is full, the upstream is not read.
const STREAM_EVENTS: usize = 32;
/// A caller that accepts no event for this time counts as disconnected.
const CALLER_TIMEOUT: Duration = Duration::from_secs(120);
/// Attempts to resume one stream on its engine.
const RESUME_ATTEMPTS: u32 = 3;

/// Relays the answer in a task of its own; returns the response once the first event has arrived.
pub(super) async fn stream(
    request: ActiveRequest,
    prompt: Prompt,
    call: UpstreamRequest,
    reply: UpstreamResponse,
    started: Duration,
) -> Result<Response, Fault> {
    let (sender, receiver) = mpsc::channel(STREAM_EVENTS);
    let (first, arrived) = oneshot::channel();
    let requests = request.context.requests.clone();
    let transfer = Transfer {
        state: Validator::new(request.id.clone(), prompt.limit),
        prompt,
        call,
        started,
        events: sender,
        first: Some(first),
        tried: Vec::new(),
        watch: MoveWatcher::new(&request),
        request,
    };
    requests.spawn(transfer.run(reply));
    let lost = |_| Err(Fault::new(Kind::Internal, "the stream was dropped"));
    arrived.await.unwrap_or_else(lost)?;
    let body = Body::from_bytes_stream(ReceiverStream::new(receiver));
    let response = Response::builder().content_type("text/event-stream");
    Ok(response.header("cache-control", "no-store").body(body))
}

/// Why the relay stopped reading an upstream.
enum End {
    Complete,
    /// The answer reached the output token limit.
    Limit,
    CallerGone,
    /// The upstream was withdrawn and running work has to move.
    MoveDue,
    /// The stream broke; the engine may be able to resume it.
    Interrupted(Fault),
    /// The answer is invalid.
    Broken(Fault),
}

struct Transfer {
    request: ActiveRequest,
    prompt: Prompt,
    call: UpstreamRequest,
    started: Duration,
    state: Validator,
    events: mpsc::Sender<io::Result<Bytes>>,
    /// Reports the first event or the final fault to the handler; `None` afterwards.
    first: Option<oneshot::Sender<Result<(), Fault>>>,
    /// Upstreams that the request was sent to.
    tried: Vec<UpstreamId>,
    watch: MoveWatcher,
}

impl Transfer {
    async fn run(mut self, reply: UpstreamResponse) {
        let mut resumes_left = RESUME_ATTEMPTS;
        let mut source = Source::new(reply);
        self.tried.push(source.in_flight.upstream().clone());
        let end = loop {
            let fault = match self.forward(&mut source).await {
                End::MoveDue => {
                    source = self.move_stream(source).await;
                    continue;
                }
                End::Interrupted(fault) => fault,
                end => break end,
            };
            log::warn!(request:% = self.request.id, upstream:% = source.in_flight.upstream(), fault:%; "stream interrupted");
            if let Some(response) = self.resume(&source.url, &mut resumes_left).await {
                source = source.with(response);
                continue;
            }
            match self.restart().await {
                Some(other) => {
                    source.in_flight.fail();
                    source = Source::new(other);
                    self.tried.push(source.in_flight.upstream().clone());
                }
                None => break End::Broken(fault),
            }
        };
        self.end(end, source).await;
    }

    /// Ends the request at the upstream and the caller's stream.
    async fn end(self, end: End, source: Source) {
        let Source { in_flight, url, .. } = source;
        if !matches!(end, End::Complete) {
            let upstreams = &self.request.context.upstreams;
            upstreams.cancel(&url, &self.request.id).await;
        }
        let upstream = in_flight.upstream().clone();
        match &end {
            End::Complete | End::Limit => in_flight.finish(self.state.received()),
            End::CallerGone | End::MoveDue => drop(in_flight),
            End::Interrupted(_) | End::Broken(_) => in_flight.fail(),
        }
        self.finish(end, upstream).await;
    }

    /// Requests the rest of the stream from its engine. A call that is lost is repeated while `left`
    /// attempts last: it may have used a kept connection that the engine was about to close.
    async fn resume(&self, url: &str, left: &mut u32) -> Option<reqwest::Response> {
        let upstreams = &self.request.context.upstreams;
        while *left > 0 {
            *left -= 1;
            let received = self.state.received();
            match upstreams.resume(url, &self.request.id, received).await {
                Ok(response) => return Some(response),
                Err(Failure::Lost) => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Sends the request to another engine, unless a part of the answer was sent to the caller.
    async fn restart(&mut self) -> Option<UpstreamResponse> {
        if self.state.is_started() || !self.request.kind.is_idempotent() {
            return None;
        }
        let reply = self.request.send(&self.call, &mut self.tried).await.ok()?;
        reply.response.status().is_success().then_some(reply)
    }

    /// Tries to move the stream from a withdrawn upstream; returns the source to continue with.
    async fn move_stream(&mut self, old: Source) -> Source {
        let handover = Handover {
            request: &self.request,
            call: &self.call,
            passed: &self.state,
        };
        let moved = handover.run(&mut self.watch, &mut self.tried).await;
        let moves = &self.request.context.metrics.moves;
        let from = old.in_flight.upstream();
        let Some((source, state)) = moved else {
            moves.with_label_values(&["kept"]).inc();
            log::info!(target: ROUTING, request:% = self.request.id, upstream:% = from; "stream not moved");
            return old;
        };
        moves.with_label_values(&["moved"]).inc();
        log::info!(
            target: ROUTING, request:% = self.request.id, from:%, upstream:% = source.in_flight.upstream(),
            repeated = self.state.received(); "stream moved"
        );
        self.state = state;
        self.request.cancel(&old.url);
        source
    }

    /// Sends events to the caller until the answer ends or has to move.
    async fn forward(&mut self, source: &mut Source) -> End {
        let limit = self.request.context.upstreams.timeout();
        loop {
            let upstream = source.in_flight.upstream().clone();
            let next = tokio::select! {
                // Checked first: an upstream that is faster than the caller always has an event
                // ready.
                biased;
                () = self.watch.wait_until_due(&upstream, &self.request.model), if !self.state.is_finished() => {
                    return End::MoveDue;
                }
                next = source.next(limit) => next,
            };
            let event = match next {
                Ok(event) => event,
                Err(Stop::Closed) => return self.close(),
                Err(Stop::Interrupted(fault)) => return End::Interrupted(fault),
                Err(Stop::Broken(reason)) => return broken(reason),
            };
            let action = match self.state.accept(&event) {
                Ok(action) => action,
                Err(InvalidAnswer::Truncated) => return self.close(),
                Err(reason) => return broken(reason),
            };
            if action == Action::First {
                source.in_flight.record_first_token();
            }
            if let Some(end) = self.pass(action, event.raw).await {
                return end;
            }
        }
    }

    /// Sends one event to the caller.
    async fn pass(&mut self, action: Action, raw: Bytes) -> Option<End> {
        if action == Action::First {
            self.start_response().await;
        }
        match action {
            Action::Ignore => return None,
            Action::Limit => return Some(End::Limit),
            Action::First | Action::Forward | Action::End => {}
        }
        let sent = timeout(CALLER_TIMEOUT, self.events.send(Ok(raw))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return Some(End::CallerGone);
        }
        (action == Action::End).then_some(End::Complete)
    }

    /// Starts the response and lowers the reservation to the engine's count of prompt tokens.
    async fn start_response(&mut self) {
        let context = &self.request.context;
        if let Some(first) = self.first.take() {
            let seconds = (context.clock.now() - self.started).as_secs_f64();
            context.metrics.first_token.observe(seconds);
            // If the caller has disconnected, the next event shows it.
            let _ = first.send(Ok(()));
        }
        let prompt = self.state.summary().prompt_tokens;
        if prompt > 0 {
            let amount = prompt.saturating_add(self.prompt.limit);
            self.request.reservation.lower(amount).await;
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
            End::Complete | End::CallerGone | End::MoveDue => None,
            End::Limit => Some(limit_event(&self.request.id)),
            End::Interrupted(fault) | End::Broken(fault) => self.first.map_or_else(
                || Some(error_event(&fault, &self.request.id)),
                |first| {
                    // The caller may have disconnected.
                    let _ = first.send(Err(fault.clone()));
                    None
                },
            ),
        };
        if let Some(last) = last {
            let _ = timeout(CALLER_TIMEOUT, self.events.send(Ok(last.into()))).await;
        }
        log::info!(target: TOKENS, request:% = self.request.id, upstream:%, tokens; "stream ended");
        let claim = self.request.settle(upstream, tokens).await;
        claim.record_stream(tokens).await;
    }

    fn used(&self, summary: Summary) -> Tokens {
        let reported = Some(summary.prompt_tokens).filter(|tokens| *tokens > 0);
        reported.unwrap_or(self.prompt.prompt_estimate) + summary.answer_tokens
    }
}

/// Returns the events that end a stream at the output token limit.
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

fn broken(reason: InvalidAnswer) -> End {
    End::Broken(Fault::new(Kind::AnswerBroken, reason.to_string()))
}
