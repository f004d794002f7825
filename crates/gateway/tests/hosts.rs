//! Several hosts with one store: reservations at a host for requests of another one.

mod harness;

use {
    bytes::BytesMut,
    harness::{Harness, snapshot, upstream::Script},
    marigoldroute_core::{
        budget::{self, Entry, Journal},
        table::Transaction,
        wire::{Body, Codec, Keys},
    },
    marigoldroute_gateway::{Settings, Store},
    std::time::Duration,
    tokio::net::UdpSocket,
    tokio_util::codec::Decoder,
};

const EVENTS: Script = Script::Events { upto: 3, of: 3 };
/// Tokens of the budget, of which each of two hosts gets about half.
const TOTAL: u64 = 80_000;
/// Tokens that a request reserves: 3,900 of the prompt and 100 of output.
const REQUEST_RESERVED: u64 = 4_000;
/// Tokens that a request uses: its prompt and three events of 10 tokens.
const REQUEST_USED: u64 = 3_930;

/// Returns settings without bounds, so that requests do not wait for rows.
fn settings() -> Settings {
    let settings = Settings::default();
    Settings {
        deregistration_delay: Duration::from_millis(50),
        escrow: budget::Settings {
            bound: None,
            ..settings.escrow
        },
        ..settings
    }
}

/// Sends a request of up to 4,000 tokens and returns the status.
async fn send_request(harness: &Harness, id: &str) -> u16 {
    let request = harness.plain_request("stream", id);
    let request = request.header("x-tokens", "3900,100");
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    response.bytes().await.expect("a complete answer");
    status
}

/// Returns the marks of an instance in its last journal row, in tokens.
fn marked_tokens(harness: &Harness, instance: &str) -> u64 {
    let rows = harness.store.rows(&format!("journal/{instance}."));
    let row = rows.last().map(|row| serde_json::from_str(&row.value));
    let Some(Ok(Journal { entry, .. })) = row else {
        return 0;
    };
    match entry {
        Entry::Flush { shares, .. } => shares.values().map(|share| share.mark).sum(),
        _ => 0,
    }
}

/// Guards against refusals during an outage of the store although another host has the tokens,
/// against a double charge for a reservation there, and against tokens that stay reserved.
#[tokio::test]
async fn a_host_without_tokens_reserves_at_another() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS; 3]).await;
    // The only host so far stops and returns its tokens.
    harness.gateway.take().expect("it runs").stop().await;
    harness.store.configure(snapshot(2, TOTAL));
    let mut first = harness.start_host("h1", settings()).await;
    let mut second = harness.start_host("h2", settings()).await;
    while marked_tokens(&harness, "h1").min(marked_tokens(&harness, "h2")) < REQUEST_RESERVED {
        tokio::task::yield_now().await;
    }
    assert_eq!(send_request(&second, "before").await, 200);
    harness.store.set_down(true);
    let own = marked_tokens(&harness, "h2");
    let mut served = 1;
    while send_request(&second, &format!("r{served}")).await == 200 {
        served += 1;
        assert!(served * REQUEST_USED <= TOTAL, "more was used than bought");
    }
    assert!(
        served * REQUEST_USED > own,
        "{served} requests with {own} tokens"
    );
    harness.store.set_down(false);
    for host in [&mut second, &mut first] {
        host.gateway.take().expect("it runs").stop().await;
    }
    assert_eq!(harness.account().allocated, served * REQUEST_USED);
}

/// Reads messages of the other hosts until one matches.
async fn receive_until(harness: &Harness, socket: &UdpSocket, is_match: impl Fn(&Body) -> bool) {
    let key = harness
        .store
        .row("fleet/key")
        .expect("the key of the fleet");
    let keys = Keys::new(vec![key.value.as_bytes().into()]);
    let mut buffer = [0; 2_048];
    loop {
        let length = socket.recv(&mut buffer).await.expect("a datagram");
        let mut bytes = BytesMut::from(&buffer[..length]);
        let frame = Codec::new(keys.clone()).decode(&mut bytes);
        let body = frame.expect("it is authentic").and_then(|frame| frame.body);
        if body.is_some_and(|body| is_match(&body)) {
            return;
        }
    }
}

/// Adds a host to the fleet that never responds.
async fn add_silent_host(harness: &Harness) -> UdpSocket {
    let silent = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address = silent.local_addr().expect("an address");
    let row = format!(r#"{{"place":"silent","zone":"zone","weight":1,"peers":"{address}"}}"#);
    let mut transaction = Transaction::default();
    transaction.put("host/silent.1", row);
    harness.store.commit(transaction).await.expect("it is up");
    silent
}

/// Guards against reserving at other hosts, which need their tokens for their own callers, when the
/// budget row has no tokens left: after the loss of a fleet, this left all hosts without tokens at
/// the same time.
#[tokio::test]
async fn other_hosts_are_not_asked_for_an_exhausted_budget() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    harness.gateway.take().expect("it runs").stop().await;
    harness.store.configure(snapshot(2, 100));
    let _silent = add_silent_host(&harness).await;
    let host = harness.start_host("h1", settings()).await;
    let mut id = 0;
    while send_request(&host, &format!("r{id}")).await != 402 {
        id += 1;
    }
}

/// Guards against tokens that stay reserved at another host and are billed in full when the caller
/// disconnects before that host has replied.
#[tokio::test]
async fn a_caller_who_leaves_releases_what_was_asked_for() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS]).await;
    harness.gateway.take().expect("it runs").stop().await;
    let silent = add_silent_host(&harness).await;
    let host = harness.start_host("h1", settings()).await;
    assert_eq!(send_request(&host, "before").await, 200);
    harness.store.set_down(true);
    let request = host.plain_request("stream", "large");
    let request = request.header("x-tokens", "900000,100");
    let call = tokio::spawn(request.send());
    let is_large = |request: &str| request == "large";
    receive_until(
        &harness,
        &silent,
        |body| matches!(body, Body::Reserve(reserve) if is_large(&reserve.request)),
    )
    .await;
    call.abort();
    receive_until(
        &harness,
        &silent,
        |body| matches!(body, Body::Release(release) if is_large(&release.request)),
    )
    .await;
}

/// Guards against reservations for another host that are billed in full because the host that made
/// them was stopping: it has to refuse them, so that the other host asks elsewhere.
#[tokio::test]
async fn a_leaving_host_reserves_nothing_for_others() {
    let (mut harness, _upstreams) = Harness::new(vec![EVENTS; 3]).await;
    harness.gateway.take().expect("it runs").stop().await;
    harness.store.configure(snapshot(2, TOTAL));
    let slow = Settings {
        deregistration_delay: Duration::from_secs(2),
        ..settings()
    };
    let mut first = harness.start_host("h1", slow).await;
    let mut second = harness.start_host("h2", settings()).await;
    while marked_tokens(&harness, "h1").min(marked_tokens(&harness, "h2")) < REQUEST_RESERVED {
        tokio::task::yield_now().await;
    }
    harness.store.set_down(true);
    let leaving = first.gateway.take().expect("it runs");
    let leaving = tokio::spawn(leaving.stop());
    tokio::task::yield_now().await;
    let own = marked_tokens(&harness, "h2");
    let mut served = 0;
    while send_request(&second, &format!("r{served}")).await == 200 {
        served += 1;
    }
    assert!(
        served * REQUEST_USED <= own,
        "{served} requests with {own} tokens"
    );
    harness.store.set_down(false);
    leaving.await.expect("the stop ends");
    second.gateway.take().expect("it runs").stop().await;
    assert_eq!(harness.account().allocated, served * REQUEST_USED);
}
