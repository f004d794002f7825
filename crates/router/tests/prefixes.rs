//! Tests of engines' cache events in the routing of real routers.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Environment, KEY, until},
    marigoldroute_upstream::{CacheEvent, Settings, StandIn as Engine},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// Number of prompts, each with a different prefix.
const PROMPTS: usize = 20;
/// Bytes of a prompt; 8 blocks.
const PROMPT_BYTES: usize = 8_400;

fn prompt(number: usize) -> String {
    format!("{number:04} ").repeat(PROMPT_BYTES / 5)
}

/// Sends a prompt and returns whether the whole answer came.
async fn send(address: SocketAddr, prompt: &str) -> bool {
    let body = json!({
        "model": "drafting", "max_tokens": 16,
        "messages": [{"role": "user", "content": prompt}],
    });
    let url = format!("http://{address}/v1/chat/completions");
    let call = reqwest::Client::new()
        .post(url)
        .bearer_auth(KEY)
        .json(&body);
    let response = call.send().await.unwrap();
    let answer = fleet::Answer {
        status: response.status().as_u16(),
        body: response.text().await.unwrap(),
    };
    answer.status == 200 && answer.text().split_whitespace().count() == 16
}

/// Returns the value of a counter without labels.
async fn counter(address: SocketAddr, name: &str) -> u64 {
    let text = reqwest::get(format!("http://{address}/metrics"));
    let text = text.await.unwrap().text().await.unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().trim().parse().unwrap()
}

fn hits(environment: &Environment) -> u64 {
    environment.engines.iter().map(Engine::prefix_hits).sum()
}

/// Fills the engines' caches through one router, sends the same prompts through another one, and
/// returns the number of cached blocks that were hit.
async fn hits_of_another_router(prepare: impl Fn(&Engine), events: u64) -> u64 {
    let environment = Environment::start(3, 10_000_000).await;
    for engine in &environment.engines {
        engine.configure(Settings {
            prompt_token: Duration::from_micros(20),
            ..Settings::default()
        });
        prepare(engine);
    }
    let first = environment.router(1).await;
    let second = marigoldroute::start(environment.settings(2)).await.unwrap();
    fleet::ready(second.address()).await;
    for number in 0..PROMPTS {
        assert!(send(first.address(), &prompt(number)).await);
    }
    assert_eq!(hits(&environment), 0);
    let name = "marigoldroute_cache_events_total ";
    until(async || counter(second.address(), name).await >= events).await;
    for number in 0..PROMPTS {
        assert!(send(second.address(), &prompt(number)).await);
    }
    first.stop().await;
    second.stop().await;
    hits(&environment)
}

/// Guards against cache events without an effect on the choice of an upstream.
#[tokio::test]
async fn events_lead_another_router_to_the_cached_prefix() {
    let with = hits_of_another_router(|_| {}, PROMPTS as u64).await;
    let without = hits_of_another_router(|engine| engine.drop_events(u64::MAX), 0).await;
    let most = (PROMPTS * 8) as u64;
    assert_eq!(with, most, "{without} without events");
    assert!(without < most, "{without} without events");
}

/// Guards against failed requests, or upstreams that are avoided for good, because an engine
/// publishes wrong events.
#[tokio::test]
async fn wrong_events_fail_nothing() {
    let wrong = |engine: &Engine| {
        let hashes = || (0..40).collect();
        let events = [
            (hashes(), Vec::new(), false),
            (Vec::new(), hashes(), false),
            (Vec::new(), Vec::new(), true),
            // More than a report may hold.
            ((0..5_000).collect(), Vec::new(), false),
        ];
        for (stored, removed, cleared) in events {
            engine.publish(CacheEvent {
                sequence: 0,
                stored,
                removed,
                cleared,
            });
        }
    };
    hits_of_another_router(wrong, PROMPTS as u64).await;
}
