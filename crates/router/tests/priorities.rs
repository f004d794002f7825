//! Test of workspaces' priority classes at an engine that supports them.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Environment, complete, set, until},
    marigoldroute::Settings,
    marigoldroute_core::config::{Change, Setting, Value},
    marigoldroute_upstream::{Record, Settings as Engine},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Guards against an engine that serves a low class before a high one because the class is not
/// passed to it: three streams compete for one slot, and the last one has the first class.
#[tokio::test]
async fn an_engine_serves_the_first_class_first() {
    let environment = Environment::start(1, 10_000).await;
    let engine = &environment.engines[0];
    engine.configure(Engine {
        places: Some(1),
        ..Engine::default()
    });
    engine.pause_at(Some(0));
    let settings = Settings {
        // Waiting streams must not count as silent.
        upstream_timeout: Duration::from_secs(60),
        ..environment.settings(1)
    };
    let router = environment.router_with(settings).await;
    let address = router.address();
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut calls = Vec::new();
    for (number, class) in [3, 4, 0].into_iter().enumerate() {
        let change = Change {
            edits: vec![set("kolkata", Setting::Priority, Value::Class(class))],
            force: false,
        };
        let request = format!("class-{number}");
        let version = router.propose(change, "test", &request).await.unwrap();
        until(|| async { router.version() >= version }).await;
        let order = order.clone();
        calls.push(tokio::spawn(async move {
            let answer = complete(address, true, None).await.unwrap();
            order.lock().unwrap().push(number);
            answer.is_whole_stream()
        }));
        until(|| async { environment.runs() as usize > number }).await;
    }
    engine.pause_at(None);
    for call in calls {
        assert!(call.await.unwrap());
    }
    assert_eq!(*order.lock().unwrap(), [0, 2, 1]);
    let records = engine.records();
    let first = |record: &&Record| record.class == Some(0);
    assert_eq!(records.values().filter(first).count(), 1);
    router.stop().await;
}
