//! Tests of streams on upstreams that are withdrawn with `running_work: move`.
//!
//! The engines hold their answers at a given token, so that each step happens in a known state.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Environment, KEY, set, until},
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::{Change, Setting, Value},
    marigoldroute_upstream::{Fault, Record, StandIn as Engine},
    serde_json::json,
    std::time::Duration,
};

/// Text of a complete answer of 16 tokens.
const COMPLETE_TEXT: &str = "w0 w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 w11 w12 w13 w14 w15 ";

struct Harness {
    environment: Environment,
    router: Handle,
    changes: std::cell::Cell<u32>,
}

/// A caller that reads a stream.
struct Caller {
    response: reqwest::Response,
    body: String,
}

impl Harness {
    /// Starts a router and engines that hold every answer at a token.
    async fn start(engines: usize, held: u64) -> Self {
        let environment = Environment::start(engines, 10_000).await;
        for engine in &environment.engines {
            engine.pause_at(Some(held));
        }
        let settings = Settings {
            // Held engines must not count as silent.
            upstream_timeout: Duration::from_secs(60),
            ..environment.settings(1)
        };
        let router = environment.router_with(settings).await;
        Self {
            environment,
            router,
            changes: Default::default(),
        }
    }

    /// Opens a stream; with a key, the request is sent as not idempotent.
    async fn open(&self, key: Option<&str>) -> Caller {
        let body = json!({
            "model": "drafting", "stream": true, "max_tokens": 16,
            "messages": [{"role": "user", "content": "Draft a work sheet."}],
        });
        let url = format!("http://{}/v1/chat/completions", self.router.address());
        let mut call = reqwest::Client::new()
            .post(url)
            .bearer_auth(KEY)
            .json(&body);
        if let Some(key) = key {
            call = call
                .header("x-idempotent", "false")
                .header("idempotency-key", key);
        }
        Caller {
            response: call.send().await.unwrap(),
            body: String::new(),
        }
    }

    fn engine(&self, number: usize) -> &Engine {
        &self.environment.engines[number]
    }

    /// Returns the record of the one request at an engine.
    fn record(&self, number: usize) -> Option<(String, Record)> {
        self.engine(number).records().into_iter().next()
    }

    fn is_cancelled(&self, number: usize) -> bool {
        let record = self.record(number);
        record.is_some_and(|(request, _)| self.engine(number).is_cancelled(&request))
    }

    /// Waits until an engine that is not in `others` has generated that many tokens.
    async fn wait_for_tokens(&self, others: &[usize], tokens: u64) -> usize {
        let find = || {
            let numbers = 0..self.environment.engines.len();
            let has = |number: &usize| {
                let record = self.record(*number);
                record.is_some_and(|(_, record)| record.completion_tokens == tokens)
            };
            numbers.filter(|number| !others.contains(number)).find(has)
        };
        until(|| async { find().is_some() }).await;
        find().unwrap()
    }

    /// Holds every engine except those in `others` at a token; `None` releases them.
    fn hold_others(&self, others: &[usize], tokens: Option<u64>) {
        for (number, engine) in self.environment.engines.iter().enumerate() {
            if !others.contains(&number) {
                engine.pause_at(tokens);
            }
        }
    }

    /// Sets an engine's state and the treatment of its running work; waits until the router applies
    /// the version.
    async fn set_state(&self, number: usize, state: &str, running: &str) {
        let path = format!("engine-{number}");
        let text = |text: &str| Value::Text(text.into());
        let edits = vec![
            set(&path, Setting::State, text(state)),
            set(&path, Setting::Running, text(running)),
        ];
        let change = Change { edits, force: true };
        let request = format!("turn-{}", self.changes.replace(self.changes.get() + 1));
        let version = self.router.propose(change, "test", &request).await.unwrap();
        until(|| async { self.router.version() >= version }).await;
    }

    async fn withdraw(&self, number: usize) {
        self.set_state(number, "withdrawn", "move").await;
    }

    async fn has_counted(&self, result: &str) -> bool {
        let url = format!("http://{}/metrics", self.router.address());
        let text = reqwest::get(url).await.unwrap().text().await.unwrap();
        text.contains(&format!(
            "marigoldroute_moved_streams_total{{result=\"{result}\"}} 1\n"
        ))
    }

    /// Checks that the caller gets the complete answer exactly once, and one bill for it.
    async fn finish(self, caller: Caller, runs: u32) {
        let engine = (0..self.environment.engines.len()).find_map(|number| self.record(number));
        let prompt = engine.unwrap().1.prompt_tokens;
        let body = caller.rest().await;
        assert_eq!(text(&body), COMPLETE_TEXT, "{body}");
        assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
        assert_eq!(self.environment.runs(), runs);
        self.router.stop().await;
        let bills = self.environment.bills().await;
        assert_eq!(bills.len(), 1, "{bills:?}");
        assert_eq!(bills[0].charged, prompt + 16);
    }
}

impl Caller {
    /// Reads until this many tokens have arrived.
    async fn read(&mut self, tokens: usize) {
        while text(&self.body).split_whitespace().count() < tokens {
            let chunk = self.response.chunk().await.unwrap().unwrap();
            self.body.push_str(std::str::from_utf8(&chunk).unwrap());
        }
    }

    async fn rest(mut self) -> String {
        while let Some(chunk) = self.response.chunk().await.unwrap() {
            self.body.push_str(std::str::from_utf8(&chunk).unwrap());
        }
        self.body
    }
}

fn text(body: &str) -> String {
    let answer = fleet::Answer {
        status: 200,
        body: body.to_owned(),
    };
    answer.text()
}

/// Guards against a request that keeps waiting for its first token on a withdrawn upstream.
#[tokio::test]
async fn a_stream_without_a_token_moves() {
    let harness = Harness::start(3, 0).await;
    let (caller, first) = tokio::join!(harness.open(None), async {
        let first = harness.wait_for_tokens(&[], 0).await;
        harness.hold_others(&[first], None);
        harness.withdraw(first).await;
        first
    });
    assert_eq!(harness.record(first).unwrap().1.completion_tokens, 0);
    until(|| async { harness.is_cancelled(first) }).await;
    harness.finish(caller, 2).await;
}

/// Guards against a stream that is cut because the first event of the new upstream belongs to
/// another request.
#[tokio::test]
async fn a_crossed_answer_takes_no_stream_over() {
    let harness = Harness::start(2, 0).await;
    let (caller, ()) = tokio::join!(harness.open(None), async {
        let first = harness.wait_for_tokens(&[], 0).await;
        harness.hold_others(&[first], None);
        harness.engine(1 - first).inject([Fault::Crossed]);
        harness.withdraw(first).await;
        until(async || harness.has_counted("kept").await || harness.has_counted("moved").await)
            .await;
        harness.engine(first).pause_at(None);
    });
    harness.finish(caller, 2).await;
}

/// Guards against tokens that are repeated or omitted by a move in the middle of an answer.
#[tokio::test]
async fn a_stream_in_the_middle_moves() {
    let harness = Harness::start(3, 5).await;
    let mut caller = harness.open(None).await;
    caller.read(5).await;
    let first = harness.wait_for_tokens(&[], 5).await;
    harness.hold_others(&[first], None);
    harness.withdraw(first).await;
    caller.read(16).await;
    until(|| async { harness.is_cancelled(first) }).await;
    assert_eq!(harness.record(first).unwrap().1.completion_tokens, 5);
    harness.finish(caller, 2).await;
}

/// Guards against a stream that is lost, or stays on the second upstream, when that one is
/// withdrawn as well during the move.
#[tokio::test]
async fn a_stream_moves_on_from_the_second_upstream() {
    let harness = Harness::start(3, 5).await;
    let mut caller = harness.open(None).await;
    caller.read(5).await;
    let first = harness.wait_for_tokens(&[], 5).await;
    harness.hold_others(&[first], Some(3));
    harness.withdraw(first).await;
    let second = harness.wait_for_tokens(&[first], 3).await;
    harness.withdraw(second).await;
    harness.hold_others(&[first, second], None);
    harness.engine(second).pause_at(Some(6));
    caller.read(16).await;
    until(|| async { harness.is_cancelled(second) }).await;
    harness.finish(caller, 3).await;
}

/// Guards against a stream that is lost or duplicated when its upstream is restored during the
/// move.
#[tokio::test]
async fn a_restored_upstream_ends_no_stream() {
    let harness = Harness::start(3, 5).await;
    let mut caller = harness.open(None).await;
    caller.read(5).await;
    let first = harness.wait_for_tokens(&[], 5).await;
    harness.hold_others(&[first], Some(3));
    harness.withdraw(first).await;
    harness.wait_for_tokens(&[first], 3).await;
    harness.set_state(first, "in_service", "finish").await;
    harness.hold_others(&[], None);
    harness.finish(caller, 2).await;
}

/// Guards against a missing or second bill when the caller disconnects during the move.
#[tokio::test]
async fn a_caller_that_leaves_during_the_move_is_billed_once() {
    let harness = Harness::start(3, 5).await;
    let mut caller = harness.open(None).await;
    caller.read(5).await;
    let first = harness.wait_for_tokens(&[], 5).await;
    harness.hold_others(&[first], Some(3));
    harness.withdraw(first).await;
    harness.wait_for_tokens(&[first], 3).await;
    drop(caller);
    harness.hold_others(&[], None);
    until(|| async { harness.is_cancelled(first) }).await;
    let record = harness.record(first).unwrap().1;
    harness.router.stop().await;
    let bills = harness.environment.bills().await;
    assert_eq!(bills.len(), 1, "{bills:?}");
    let got = record.prompt_tokens + 5..=record.prompt_tokens + 16;
    assert!(got.contains(&bills[0].charged), "{bills:?}");
}

/// Guards against a second run of a request that is not idempotent, and against a move that the
/// operator did not request.
#[tokio::test]
async fn other_work_finishes_where_it_is() {
    for (key, running) in [(Some("order-1"), "move"), (None, "finish")] {
        let harness = Harness::start(3, 5).await;
        let mut caller = harness.open(key).await;
        caller.read(5).await;
        let first = harness.wait_for_tokens(&[], 5).await;
        harness.set_state(first, "withdrawn", running).await;
        harness.hold_others(&[], None);
        harness.finish(caller, 1).await;
    }
}

/// Guards against a stream that is cut, mixed from two answers or billed twice when no other
/// upstream can take it.
#[tokio::test]
async fn a_stream_that_nobody_can_take_finishes_where_it_is() {
    let cases = [
        (1, Fault::None, 1),
        (2, Fault::Refuse, 1),
        (2, Fault::Differ, 2),
        (2, Fault::Crossed, 2),
        (2, Fault::Cut, 2),
    ];
    for (engines, fault, runs) in cases {
        let harness = Harness::start(engines, 9).await;
        let mut caller = harness.open(None).await;
        caller.read(9).await;
        let first = harness.wait_for_tokens(&[], 9).await;
        for (number, engine) in harness.environment.engines.iter().enumerate() {
            if number != first {
                engine.pause_at(None);
                engine.inject([fault]);
            }
        }
        harness.withdraw(first).await;
        until(async || harness.has_counted("kept").await || harness.has_counted("moved").await)
            .await;
        harness.engine(first).pause_at(None);
        harness.finish(caller, runs).await;
    }
}
