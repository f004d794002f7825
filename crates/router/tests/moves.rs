//! Streams on upstreams that are withdrawn with `running_work: move`.
//!
//! The engines hold their answers at a given token, so that each step happens in a known state.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{KEY, Outside, set, until},
    marigoldroute::{Handle, Settings},
    marigoldroute_core::config::{Change, Setting, Value},
    marigoldroute_upstream::{Fault, Record, StandIn as Engine},
    serde_json::json,
    std::time::Duration,
};

/// Text of a complete answer of 16 tokens.
const WHOLE: &str = "w0 w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 w11 w12 w13 w14 w15 ";

struct Scene {
    outside: Outside,
    router: Handle,
    changes: std::cell::Cell<u32>,
}

/// A caller that reads a stream.
struct Caller {
    response: reqwest::Response,
    body: String,
}

impl Scene {
    /// Starts a router and engines that hold every answer at a token.
    async fn start(engines: usize, held: u64) -> Self {
        let outside = Outside::start(engines, 10_000).await;
        for engine in &outside.engines {
            engine.pause_at(Some(held));
        }
        let settings = Settings {
            // Held engines must not count as silent.
            upstream_timeout: Duration::from_secs(60),
            ..outside.settings(1)
        };
        let router = outside.router_with(settings).await;
        Self {
            outside,
            router,
            changes: Default::default(),
        }
    }

    /// Opens a stream; a call that must not be repeated needs a key.
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
        &self.outside.engines[number]
    }

    /// The record of the one request at an engine.
    fn record(&self, number: usize) -> Option<(String, Record)> {
        self.engine(number).records().into_iter().next()
    }

    fn is_cancelled(&self, number: usize) -> bool {
        let record = self.record(number);
        record.is_some_and(|(request, _)| self.engine(number).is_cancelled(&request))
    }

    /// Waits until an engine that is not in `others` has generated that many tokens.
    async fn busy(&self, others: &[usize], tokens: u64) -> usize {
        let find = || {
            let numbers = 0..self.outside.engines.len();
            let has = |number: &usize| {
                let record = self.record(*number);
                record.is_some_and(|(_, record)| record.completion_tokens == tokens)
            };
            numbers.filter(|number| !others.contains(number)).find(has)
        };
        until(|| async { find().is_some() }).await;
        find().unwrap()
    }

    /// Holds every engine but those in `others` at a token.
    fn hold_others(&self, others: &[usize], tokens: Option<u64>) {
        for (number, engine) in self.outside.engines.iter().enumerate() {
            if !others.contains(&number) {
                engine.pause_at(tokens);
            }
        }
    }

    /// Sets an engine's state and the treatment of its running work; waits until the router knows.
    async fn turn(&self, number: usize, state: &str, running: &str) {
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
        self.turn(number, "withdrawn", "move").await;
    }

    async fn counted(&self, result: &str) -> bool {
        let url = format!("http://{}/metrics", self.router.address());
        let text = reqwest::get(url).await.unwrap().text().await.unwrap();
        text.contains(&format!(
            "marigoldroute_moved_streams_total{{result=\"{result}\"}} 1\n"
        ))
    }

    /// Checks that the caller has the whole answer once, and one bill for what it got.
    async fn finish(self, caller: Caller, runs: u32) {
        let engine = (0..self.outside.engines.len()).find_map(|number| self.record(number));
        let prompt = engine.unwrap().1.prompt_tokens;
        let body = caller.rest().await;
        assert_eq!(text(&body), WHOLE, "{body}");
        assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
        assert_eq!(self.outside.runs(), runs);
        self.router.stop().await;
        let bills = self.outside.bills().await;
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

/// Guards against a request that waits for its first token on an upstream that is to be freed.
#[tokio::test]
async fn a_stream_without_a_token_moves() {
    let scene = Scene::start(3, 0).await;
    let (caller, first) = tokio::join!(scene.open(None), async {
        let first = scene.busy(&[], 0).await;
        scene.hold_others(&[first], None);
        scene.withdraw(first).await;
        first
    });
    assert_eq!(scene.record(first).unwrap().1.completion_tokens, 0);
    until(|| async { scene.is_cancelled(first) }).await;
    scene.finish(caller, 2).await;
}

/// Guards against a stream that is cut because the first event elsewhere is another request's.
#[tokio::test]
async fn a_crossed_answer_takes_no_stream_over() {
    let scene = Scene::start(2, 0).await;
    let (caller, ()) = tokio::join!(scene.open(None), async {
        let first = scene.busy(&[], 0).await;
        scene.hold_others(&[first], None);
        scene.engine(1 - first).inject([Fault::Crossed]);
        scene.withdraw(first).await;
        until(async || scene.counted("kept").await || scene.counted("moved").await).await;
        scene.engine(first).pause_at(None);
    });
    scene.finish(caller, 2).await;
}

/// Guards against tokens that are repeated or left out by a move in the middle of an answer.
#[tokio::test]
async fn a_stream_in_the_middle_moves() {
    let scene = Scene::start(3, 5).await;
    let mut caller = scene.open(None).await;
    caller.read(5).await;
    let first = scene.busy(&[], 5).await;
    scene.hold_others(&[first], None);
    scene.withdraw(first).await;
    caller.read(16).await;
    until(|| async { scene.is_cancelled(first) }).await;
    assert_eq!(scene.record(first).unwrap().1.completion_tokens, 5);
    scene.finish(caller, 2).await;
}

/// Guards against a stream that stays on the second upstream, or is lost, when that one is
/// withdrawn as well, while it catches up.
#[tokio::test]
async fn a_stream_moves_on_from_the_second_upstream() {
    let scene = Scene::start(3, 5).await;
    let mut caller = scene.open(None).await;
    caller.read(5).await;
    let first = scene.busy(&[], 5).await;
    scene.hold_others(&[first], Some(3));
    scene.withdraw(first).await;
    let second = scene.busy(&[first], 3).await;
    scene.withdraw(second).await;
    scene.hold_others(&[first, second], None);
    scene.engine(second).pause_at(Some(6));
    caller.read(16).await;
    until(|| async { scene.is_cancelled(second) }).await;
    scene.finish(caller, 3).await;
}

/// Guards against a stream that is lost or doubled when its upstream is restored during the move.
#[tokio::test]
async fn a_restored_upstream_ends_no_stream() {
    let scene = Scene::start(3, 5).await;
    let mut caller = scene.open(None).await;
    caller.read(5).await;
    let first = scene.busy(&[], 5).await;
    scene.hold_others(&[first], Some(3));
    scene.withdraw(first).await;
    scene.busy(&[first], 3).await;
    scene.turn(first, "in_service", "finish").await;
    scene.hold_others(&[], None);
    scene.finish(caller, 2).await;
}

/// Guards against a lost or second bill when the caller leaves during the move.
#[tokio::test]
async fn a_caller_that_leaves_during_the_move_is_billed_once() {
    let scene = Scene::start(3, 5).await;
    let mut caller = scene.open(None).await;
    caller.read(5).await;
    let first = scene.busy(&[], 5).await;
    scene.hold_others(&[first], Some(3));
    scene.withdraw(first).await;
    scene.busy(&[first], 3).await;
    drop(caller);
    scene.hold_others(&[], None);
    until(|| async { scene.is_cancelled(first) }).await;
    let record = scene.record(first).unwrap().1;
    scene.router.stop().await;
    let bills = scene.outside.bills().await;
    assert_eq!(bills.len(), 1, "{bills:?}");
    let got = record.prompt_tokens + 5..=record.prompt_tokens + 16;
    assert!(got.contains(&bills[0].charged), "{bills:?}");
}

/// Guards against a second run of a request that must not be repeated, and against a move that
/// the operator did not ask for.
#[tokio::test]
async fn other_work_finishes_where_it_is() {
    for (key, running) in [(Some("order-1"), "move"), (None, "finish")] {
        let scene = Scene::start(3, 5).await;
        let mut caller = scene.open(key).await;
        caller.read(5).await;
        let first = scene.busy(&[], 5).await;
        scene.turn(first, "withdrawn", running).await;
        scene.hold_others(&[], None);
        scene.finish(caller, 1).await;
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
        let scene = Scene::start(engines, 9).await;
        let mut caller = scene.open(None).await;
        caller.read(9).await;
        let first = scene.busy(&[], 9).await;
        for (number, engine) in scene.outside.engines.iter().enumerate() {
            if number != first {
                engine.pause_at(None);
                engine.inject([fault]);
            }
        }
        scene.withdraw(first).await;
        until(async || scene.counted("kept").await || scene.counted("moved").await).await;
        scene.engine(first).pause_at(None);
        scene.finish(caller, runs).await;
    }
}
