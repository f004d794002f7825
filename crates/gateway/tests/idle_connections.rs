//! Idle connections of callers when the process stands still.

mod harness;

use {
    harness::{Harness, KEY, snapshot, upstream::Script},
    marigoldroute_core::forward::Limits,
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::{Duration, Instant},
    },
};

/// Limit on the idle time of callers' connections.
const IDLE_LIMIT: Duration = Duration::from_secs(1);
/// Time from the accept of a connection to the first check of how long it has been idle.
const CHECK: Duration = Duration::from_secs(3);
/// When the caller sends its first request, so that the connection is not idle for long at the check.
const FIRST: Duration = Duration::from_millis(2_400);
/// Longest time for a response.
const PATIENCE: Duration = Duration::from_secs(20);

/// Reads a response and returns its status line.
fn read(mut stream: &TcpStream) -> std::io::Result<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n0\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        text.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    Ok(text.lines().next().unwrap_or_default().to_owned())
}

fn send(mut stream: &TcpStream, id: &str) -> std::io::Result<()> {
    let text = format!(
        "POST /once/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\ncontent-length: 4\r\n\r\ntext"
    );
    stream.write_all(text.as_bytes())
}

/// Guards against closing an idle connection on which a request has arrived while the process stood
/// still.
#[tokio::test]
async fn requests_that_arrive_while_the_process_stands_still_are_read() {
    let mut first = snapshot(1, 1_000_000);
    first.limits = Limits {
        idle_timeout: IDLE_LIMIT,
        ..Limits::default()
    };
    let scripts = vec![Script::Complete(200, "done")];
    let (harness, upstreams) = Harness::with_snapshot(first, scripts).await;
    let address = harness.callers;
    let connected_at = Instant::now();
    let stream = tokio::task::spawn_blocking(move || TcpStream::connect(address));
    let stream = stream.await.expect("no panic").expect("connects");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    tokio::time::sleep_until((connected_at + FIRST).into()).await;
    let calling = stream.try_clone().expect("a socket");
    let call = tokio::task::spawn_blocking(move || {
        send(&calling, "r1")?;
        read(&calling)
    });
    let line = call.await.expect("no panic").expect("a response");
    assert!(line.contains("200"), "{line}");
    // The process stands still while the timers of both this task and the check expire. Then, before
    // the check runs, a request arrives, and the process stands still for longer than the limit.
    let sending = stream.try_clone().expect("a socket");
    let second = tokio::spawn(async move {
        let at = connected_at + CHECK - Duration::from_millis(100);
        tokio::time::sleep_until(at.into()).await;
        send(&sending, "r2").expect("the connection is open");
        std::thread::sleep(IDLE_LIMIT);
    });
    tokio::time::sleep_until((connected_at + CHECK - Duration::from_millis(200)).into()).await;
    std::thread::sleep(Duration::from_millis(300));
    second.await.expect("no panic");
    let reading = tokio::task::spawn_blocking(move || read(&stream));
    let line = reading.await.expect("no panic").expect("a response");
    assert!(line.contains("200"), "{line}");
    assert_eq!(upstreams[0].arrivals().len(), 2);
}
