//! Connections of callers: what a caller reads when the gateway answers before the end of the body.

mod harness;

use {
    harness::{Harness, KEY, upstream::Script},
    marigoldroute_core::forward::Limits,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Size of a body that does not fit into the socket buffers of a connection.
const BODY_BYTES: usize = 8 << 20;
/// Longest time for a response, far above what a local one takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// Returns the head of a request with a body of [`BODY_BYTES`].
fn head(path: &str, id: &str, key: &str) -> String {
    format!(
        "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-key: {key}\r\n\
         x-tokens: 100,50\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    )
}

/// Reads a response and returns its status line and body, with the chunk sizes of a chunked one.
async fn read_response(stream: &mut (impl AsyncReadExt + Unpin)) -> (String, Vec<u8>) {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.expect("a whole head"));
    }
    let text = String::from_utf8(text).expect("a textual head");
    let length = text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().expect("a number"))
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.expect("a whole body");
    while length.is_none() && !body.ends_with(b"0\r\n\r\n") {
        body.push(stream.read_u8().await.expect("a whole body"));
    }
    (text.lines().next().unwrap_or_default().to_owned(), body)
}

/// Sends requests one after the other on one connection, without waiting for a response before the
/// end of the body, and asserts that each gets a whole response with its status.
async fn assert_answered(harness: &Harness, requests: &[(&str, &str, &str)]) {
    let stream = TcpStream::connect(harness.callers).await.expect("connects");
    let (mut reader, mut writer) = stream.into_split();
    let exchange = async {
        for (index, (path, key, status)) in requests.iter().enumerate() {
            let sending = async {
                let head = head(path, &format!("r{index}"), key);
                writer.write_all(head.as_bytes()).await?;
                writer.write_all(&vec![b'x'; BODY_BYTES]).await
            };
            let (sent, (line, body)) = tokio::join!(sending, read_response(&mut reader));
            sent.unwrap_or_else(|error| panic!("the body before {line} is not read: {error}"));
            assert!(line.contains(status), "{line} in place of {status}");
            assert!(!body.is_empty());
        }
    };
    let exchange = tokio::time::timeout(PATIENCE, exchange).await;
    exchange.expect("responses in time");
}

/// Guards against an error response that is lost because its connection is reset while the caller
/// still sends the body.
#[tokio::test]
async fn early_errors_reach_callers_that_still_send_their_body() {
    let with_limit = async |body_bytes| {
        let mut snapshot = harness::snapshot(1, 1_000_000);
        snapshot.limits = Limits {
            body_bytes,
            ..Limits::default()
        };
        Harness::with_snapshot(snapshot, vec![Script::Complete(200, "the answer")]).await
    };
    let (harness, _upstreams) = with_limit(2 * BODY_BYTES).await;
    let requests = [
        ("gone", KEY, "404"),
        ("once", "revoked", "401"),
        ("once", KEY, "200"),
    ];
    assert_answered(&harness, &requests).await;
    let (harness, _upstreams) = with_limit(BODY_BYTES / 2).await;
    assert_answered(&harness, &[("once", KEY, "413"); 2]).await;
    let harness = Harness::without_upstreams(None).await;
    assert_answered(&harness, &[("once", KEY, "503"); 2]).await;
}
