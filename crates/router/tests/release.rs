//! Tests of releases and announcements that reach a holder without an open reservation.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{BUDGET, Environment, process::FLEET_KEY},
    futures_util::{SinkExt, StreamExt},
    marigoldroute_core::wire::{
        Announce, Body, Codec, Frame, Keys, Refusal, Release, Reply, Reserve,
    },
    marigoldroute_store::InjectedFaults,
    std::collections::BTreeMap,
    tokio::net::TcpStream,
    tokio_util::codec::Framed,
};

/// Delay of each call to the platform. A refill takes two calls, which together take less than the
/// reserve timeout.
const DELAY_MS: u64 = 300;

fn frame(correlation: u64, body: Body) -> Frame {
    Frame {
        from: "router-2".into(),
        to: "router-1".into(),
        correlation,
        body: Some(body),
    }
}

/// Guards against tokens that stay reserved, and an order that is billed without a run, because a
/// refill makes a reservation that was released while it waited. An entry releases a waiting
/// reservation when the holder does not answer in time, as after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn release_ends_a_waiting_reservation() {
    let environment = Environment::start(1, 10_000).await;
    let router = environment.router(1).await;
    environment.platform.inject(InjectedFaults {
        delay_ms: DELAY_MS,
        ..InjectedFaults::default()
    });
    let stream = TcpStream::connect(router.peers()).await.unwrap();
    let keys = Keys::new(vec![FLEET_KEY.as_bytes().into()]);
    let mut framed = Framed::new(stream, Codec::new(keys));
    let reserve = Reserve {
        request: "order.1".into(),
        budget: BUDGET.into(),
        amount: 10,
        least: 10,
        workspace: "kolkata".into(),
        model: "orders".into(),
    };
    let request = reserve.request.clone();
    framed.send(frame(1, Body::Reserve(reserve))).await.unwrap();
    let release = Body::Release(Release { request });
    framed.send(frame(2, release)).await.unwrap();
    let mut replies = BTreeMap::new();
    for _ in 0..2 {
        let frame = framed.next().await.unwrap().unwrap();
        replies.insert(frame.correlation, frame.body);
    }
    let refused = Reply {
        tokens: 0,
        refusal: Refusal::Unavailable.into(),
    };
    assert_eq!(replies[&1], Some(Body::Reply(refused)));
    assert_eq!(replies[&2], Some(Body::Reply(Reply::default())));
    environment.platform.inject(InjectedFaults::default());
    router.stop().await;
}

/// Guards against an order that is sent although its holder assumes that it was not, and would
/// release its reservation without a bill.
#[tokio::test(flavor = "multi_thread")]
async fn an_announcement_needs_a_reservation() {
    let environment = Environment::start(1, 10_000).await;
    let router = environment.router(1).await;
    let stream = TcpStream::connect(router.peers()).await.unwrap();
    let keys = Keys::new(vec![FLEET_KEY.as_bytes().into()]);
    let mut framed = Framed::new(stream, Codec::new(keys));
    let request = "order.1".to_owned();
    let reserve = Body::Reserve(Reserve {
        request: request.clone(),
        budget: BUDGET.into(),
        amount: 10,
        least: 10,
        workspace: "kolkata".into(),
        model: "orders".into(),
    });
    let announce = Body::Announce(Announce {
        request: request.clone(),
    });
    let release = Body::Release(Release { request });
    let refused = Reply {
        tokens: 0,
        refusal: Refusal::Unavailable.into(),
    };
    let reserved = Reply {
        tokens: 10,
        refusal: Refusal::None.into(),
    };
    let calls = [
        (announce.clone(), refused.clone()),
        (reserve.clone(), reserved),
        (announce.clone(), Reply::default()),
        (release, Reply::default()),
        (announce, refused.clone()),
        (reserve, refused),
    ];
    for (correlation, (body, expected)) in calls.into_iter().enumerate() {
        framed.send(frame(correlation as u64, body)).await.unwrap();
        let answer = framed.next().await.unwrap().unwrap();
        assert_eq!(
            answer.body,
            Some(Body::Reply(expected)),
            "call {correlation}"
        );
    }
    router.stop().await;
}
