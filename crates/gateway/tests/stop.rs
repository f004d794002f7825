//! Planned stops under load.

mod harness;

use {
    harness::{Harness, snapshot, upstream::Script},
    marigoldroute_gateway::Settings,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::sync::{Mutex, Semaphore},
};

/// Number of callers that send requests until the gateway accepts no connections any more.
const CALLERS: usize = 24;

/// Guards against accepted requests that a planned stop interrupts: each request that reached an
/// upstream must get its complete response, on reused connections and on new ones, until the
/// process has ended.
#[tokio::test]
async fn planned_stops_under_load_answer_what_was_accepted() {
    let scripts = vec![
        Script::Events { upto: 3, of: 3 },
        Script::Paced {
            of: 4,
            pause: Duration::from_millis(20),
        },
        Script::Events { upto: 9, of: 9 },
    ];
    let (mut harness, upstreams) = Harness::new(scripts).await;
    let answered = Arc::new(Mutex::new(HashMap::new()));
    let started = Arc::new(Semaphore::new(0));
    let callers = (0..CALLERS).map(|caller| {
        let (answered, started) = (answered.clone(), started.clone());
        let paths = ["once", "stream", "resumable", "safe"];
        let requests: Vec<_> = (0..400)
            .map(|number| {
                let id = format!("c{caller}-{number}");
                (id.clone(), harness.request(paths[number % 4], &id))
            })
            .collect();
        tokio::spawn(async move {
            for (number, (id, request)) in requests.into_iter().enumerate() {
                let response = request.send().await;
                let is_whole = match response {
                    Ok(response) => response.bytes().await.is_ok(),
                    Err(error) if error.is_connect() => return,
                    Err(_) => false,
                };
                answered.lock().await.insert(id, is_whole);
                if number == 5 {
                    started.add_permits(1);
                }
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let all = started.acquire_many(CALLERS as u32);
    let all = tokio::time::timeout(Duration::from_secs(30), all).await;
    drop(all.expect("every caller has answers").expect("it is open"));
    harness.gateway.take().expect("it runs").stop().await;
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let answered = answered.lock().await;
    let arrivals = upstreams.iter().flat_map(|upstream| upstream.arrivals());
    let incomplete: Vec<_> = arrivals
        .filter(|arrival| answered.get(&arrival.id) != Some(&true))
        .collect();
    assert!(incomplete.is_empty(), "{incomplete:?}");
}

/// Guards against requests that a planned stop ends without any response because they still wait
/// for an upstream when the process has to end.
#[tokio::test]
async fn requests_that_outlast_a_planned_stop_get_a_response() {
    let settings = Settings {
        drain_limit: Duration::from_millis(900),
        ..Settings::default()
    };
    let mut snapshot = snapshot(1, 1_000_000);
    // One request in flight at the only upstream, so that another one has to wait.
    snapshot.services[0].connection_limit = 1;
    let (mut harness, upstreams) =
        Harness::with_settings(settings, snapshot, vec![Script::Silent]).await;
    let running = tokio::spawn(harness.request("once", "running").send());
    while upstreams[0].arrivals().is_empty() {
        tokio::task::yield_now().await;
    }
    let waiting = tokio::spawn(harness.request("once", "waiting").send());
    harness.gateway.take().expect("it runs").stop().await;
    let running = running.await.expect("it ends").expect("a response");
    assert_eq!(running.status(), 504);
    let waiting = waiting.await.expect("it ends").expect("a response");
    assert_eq!(waiting.status(), 503);
    assert!(waiting.headers().contains_key("retry-after"));
    assert_eq!(upstreams[0].arrivals().len(), 1);
}
