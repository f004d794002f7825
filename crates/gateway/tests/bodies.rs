//! Bodies of callers while the memory for them is short.

mod harness;

use {
    harness::{Harness, KEY, retry_after, snapshot, upstream::Script},
    marigoldroute_gateway::Settings,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const MIB: usize = 1 << 20;
/// Of this, large bodies may use three quarters.
const MEMORY: usize = 4 * MIB;
/// Size of a body that takes all memory for large ones.
const LARGEST: usize = 3 * MIB;

/// Reads the head of a response.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a response"));
    }
    String::from_utf8(head).expect("text")
}

/// Guards against callers that get no answer, or a false one, while large bodies take the memory, and
/// against small bodies that starve behind them.
#[tokio::test]
async fn callers_get_a_truthful_answer_while_bodies_take_the_memory() {
    let settings = Settings {
        body_memory: MEMORY,
        ..Settings::default()
    };
    let mut snapshot = snapshot(1, 1_000_000);
    for route in &mut snapshot.routes {
        route.timeout = Duration::from_secs(60);
    }
    let script = Script::Complete(200, "the answer");
    let (harness, upstreams) = Harness::with_settings(settings, snapshot, vec![script]).await;
    let mut first = TcpStream::connect(harness.callers).await.expect("connects");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: first\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\nexpect: 100-continue\r\ncontent-length: {LARGEST}\r\n\r\n"
    );
    first.write_all(head.as_bytes()).await.expect("it is open");
    // The interim response is sent once the body has its memory.
    assert!(read_head(&mut first).await.starts_with("HTTP/1.1 100"));
    let large = |id| harness.request("once", id).body(vec![b'x'; MIB]).send();
    let mut waiting = tokio::spawn(large("waiting"));
    for number in 0..20 {
        let small = harness.request("once", &format!("small-{number}")).send();
        let status = small.await.expect("an answer").status();
        assert_eq!(status.as_u16(), 200);
        assert!(harness.is_ready().await);
    }
    let refused = (&mut waiting).await.expect("it ends").expect("an answer");
    assert_eq!(refused.status().as_u16(), 503);
    assert!(retry_after(&refused) < 1.0);
    assert!(!refused.bytes().await.expect("a whole response").is_empty());
    let arrivals = upstreams[0].arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "waiting"));
    first
        .write_all(&vec![b'x'; LARGEST])
        .await
        .expect("it is read");
    assert!(read_head(&mut first).await.starts_with("HTTP/1.1 200"));
    let again = large("again").await.expect("an answer");
    assert_eq!(again.status().as_u16(), 200);
}
