//! Responses of upstreams that are cut at each byte, by the end of the connection or a reset.

#[path = "../harness/mod.rs"]
mod harness;
mod upstream;

use {
    futures_util::{StreamExt, stream},
    harness::{Harness, entry, snapshot},
    marigoldroute_core::forward::{AllowanceSettings, State},
    marigoldroute_gateway::Settings,
    std::time::Duration,
    upstream::{Answer, BODY, EVENTS, FRAMINGS, Framing, Plan, Plans, events},
};

/// Deadline that no request reaches unless a test fails.
const DEADLINE: Duration = Duration::from_secs(200);
/// Requests at the same time.
const CONCURRENCY: usize = 16;
/// Tries until a request comes on a connection that has carried another.
const TRY_LIMIT: usize = 200;
/// Id of requests of the length that all have.
const ID: &str = "r00000";

/// What a caller received.
#[derive(Debug)]
struct Received {
    status: u16,
    body: String,
    /// Whether the end of the body was marked.
    is_complete: bool,
}

/// A request and what it gets.
#[derive(Clone, Debug)]
struct Case {
    route: &'static str,
    answers: Vec<Answer>,
    /// Whether the last of the answers stands for all further ones.
    has_healthy_rest: bool,
}

struct Bench {
    harness: Harness,
    plans: Plans,
}

impl Bench {
    /// Starts a gateway with two upstreams, and routes with this objective.
    async fn start(objective: Duration) -> Self {
        let mut snapshot = snapshot(1, 0);
        snapshot.workspaces[0].purchased = None;
        for route in &mut snapshot.routes {
            route.timeout = DEADLINE;
            route.attempts = 3;
            route.objective = objective;
            route.event_interval = objective / 4;
        }
        let settings = Settings {
            retries: AllowanceSettings {
                share: 10.0,
                slack: 1e9,
                ..AllowanceSettings::default()
            },
            ..Settings::default()
        };
        let plans = Plans::default();
        let address = upstream::start(plans.clone()).await;
        let ready = entry(address, State::Ready);
        let harness = Harness::with_upstream(settings, snapshot, "u0", ready).await;
        for id in ["u1", "u2"] {
            let address = upstream::start(plans.clone()).await;
            harness.store.put(id, entry(address, State::Ready));
        }
        let bench = Self { harness, plans };
        bench.until_known().await;
        bench
    }

    /// Waits until a request can be tried at all upstreams.
    async fn until_known(&self) {
        let plan = Plan {
            answers: vec![Answer::Nothing; 2],
            ..Plan::default()
        };
        loop {
            let known = plan.clone();
            self.plans
                .lock()
                .expect("no panic")
                .insert(ID.into(), known);
            if self.send("safe", ID).await.status == 200 {
                return;
            }
        }
    }

    async fn send(&self, route: &str, id: &str) -> Received {
        let response = self.harness.request(route, id).send().await;
        let mut response = response.expect("a head");
        let status = response.status().as_u16();
        let mut body = Vec::new();
        let is_complete = loop {
            match response.chunk().await {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let body = String::from_utf8(body).expect("text");
        Received {
            status,
            body,
            is_complete,
        }
    }

    /// Plays a case until its request has got all answers; returns what is wrong.
    async fn play(&self, number: usize, case: &Case) -> Option<String> {
        for attempt in 0..TRY_LIMIT {
            let id = format!("r{:05}", number * TRY_LIMIT + attempt);
            let mut plan = Plan {
                answers: case.answers.clone(),
                is_stream: case.is_stream(),
                ..Plan::default()
            };
            if !case.has_healthy_rest {
                plan.answers.extend([Answer::Nothing; 2]);
            }
            self.plans
                .lock()
                .expect("no panic")
                .insert(id.clone(), plan);
            let received = self.send(case.route, &id).await;
            let plan = self.plans.lock().expect("no panic").remove(&id)?;
            let wrong = case.check(&received, &plan);
            let is_played = plan.arrivals >= case.answers.len() && !plan.is_fresh;
            if wrong.is_some() || is_played {
                return wrong.map(|wrong| format!("{wrong}: {received:?} {plan:?} {}", case.route));
            }
            self.harness.until_ready().await;
        }
        Some(format!("no such play: {case:?}"))
    }

    async fn play_all(&self, cases: Vec<Case>) {
        let count = cases.len();
        let plays = cases.iter().enumerate();
        let plays = stream::iter(plays.map(|(number, case)| self.play(number, case)));
        let wrong = plays
            .buffer_unordered(CONCURRENCY)
            .filter_map(async |wrong| wrong);
        let wrong: Vec<_> = wrong.collect().await;
        println!("{count} cases");
        assert!(wrong.is_empty(), "{} of {count}: {wrong:#?}", wrong.len());
    }
}

impl Case {
    fn is_stream(&self) -> bool {
        ["stream", "resumable"].contains(&self.route)
    }

    fn is_repeatable(&self) -> bool {
        ["safe", "resumable"].contains(&self.route)
    }

    /// Returns whether the end of the connection may be the end of the response: the head is whole,
    /// and the body has begun, at the end of an event if it has events.
    fn may_end(&self, body: &str) -> bool {
        let is_unframed = self.answers.iter().any(|answer| {
            matches!(
                answer,
                Answer::Cut {
                    framing: Framing::Unframed,
                    is_reset: false,
                    ..
                }
            )
        });
        let is_whole_event = !self.is_stream() || body.ends_with("\n\n");
        is_unframed && !body.is_empty() && is_whole_event
    }

    /// Returns which rule the response breaks.
    fn check(&self, received: &Received, plan: &Plan) -> Option<&'static str> {
        let whole = match self.is_stream() {
            true => events(1..=EVENTS),
            false => BODY.into(),
        };
        let is_success = received.status == 200;
        if ![200, 502, 503].contains(&received.status) {
            return Some("another status");
        }
        if received.status == 503 && plan.arrivals > 0 {
            return Some("a promise although the request may have run");
        }
        if plan.arrivals > 1 && !self.is_repeatable() {
            return Some("a second run");
        }
        if is_success && !whole.starts_with(&received.body) {
            return Some("another body");
        }
        let is_short = received.body != whole;
        let may_end = self.may_end(&received.body);
        if is_success && received.is_complete && is_short && !may_end {
            return Some("a part as a whole response");
        }
        let is_whole = is_success && received.is_complete;
        if plan.arrivals > 0 && self.has_healthy_rest && self.is_repeatable() && !is_whole {
            return Some("a failure although another upstream was left");
        }
        None
    }
}

/// Returns a cut at each byte of the response with each framing.
fn cuts(body: &str, needs_reuse: bool) -> Vec<Answer> {
    let mut cuts = Vec::new();
    for framing in FRAMINGS {
        // A whole response leaves a connection that looks open until its end has arrived.
        let is_end_marked = framing != Framing::Unframed;
        let length = framing.response(ID, body).len();
        for at in 0..=length - usize::from(is_end_marked) {
            for is_reset in [false, true] {
                cuts.push(Answer::Cut {
                    framing,
                    at,
                    is_reset,
                    needs_reuse,
                });
            }
        }
    }
    cuts
}

fn first_cuts(needs_reuse: bool) -> Vec<Case> {
    let whole = events(1..=EVENTS);
    let routes = [
        ("once", BODY),
        ("safe", BODY),
        ("stream", &*whole),
        ("resumable", &*whole),
    ];
    let cases = routes.into_iter().flat_map(|(route, body)| {
        let cuts = cuts(body, needs_reuse).into_iter();
        cuts.map(move |cut| Case {
            route,
            answers: vec![cut],
            has_healthy_rest: true,
        })
    });
    cases.collect()
}

/// Returns cases in which a response that is cut follows the events of this answer.
fn next_cuts(first: Answer) -> Vec<Case> {
    let cuts = cuts(&events(3..=EVENTS), false).into_iter();
    let cases = cuts.flat_map(|cut| {
        [true, false].map(|has_healthy_rest| Case {
            route: "resumable",
            answers: vec![first, cut],
            has_healthy_rest,
        })
    });
    cases.collect()
}

/// Guards against a part of a response that callers take for the whole, and against a promise or a
/// second run when the response of the first upstream is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_responses_that_are_cut_are_no_whole_ones() {
    let bench = Bench::start(DEADLINE).await;
    bench.play_all(first_cuts(false)).await;
}

/// Guards against the same on connections that have carried another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_that_are_cut_on_used_connections_are_no_whole_ones() {
    let bench = Bench::start(DEADLINE).await;
    bench.play_all(first_cuts(true)).await;
}

/// Guards against lost events, and a stream that looks complete, when the response that continues a
/// broken stream is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn continued_streams_that_are_cut_lose_no_event() {
    let bench = Bench::start(DEADLINE).await;
    bench.play_all(next_cuts(Answer::Broken)).await;
}

/// Guards against the same when another upstream is to take over a stalled stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_streams_whose_successor_is_cut_lose_no_event() {
    let bench = Bench::start(Duration::from_millis(40)).await;
    let stalled = Answer::Stalled(Duration::from_millis(150));
    bench.play_all(next_cuts(stalled)).await;
}
