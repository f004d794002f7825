//! Callers that speak HTTP/1.0, to whom chunks cannot be sent.

mod harness;

use {
    harness::{Harness, KEY, upstream::Script},
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Sends a request of HTTP/1.0 and returns its status line, its response and whether the connection
/// ended without an error.
async fn call(callers: SocketAddr, route: &str, connection: &str) -> (String, String, bool) {
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let request = format!(
        "POST /{route}/x HTTP/1.0\r\nhost: desk.example\r\nx-request-id: r1\r\nx-key: {KEY}\r\n\
         x-tokens: 100,50\r\ncontent-length: 4\r\nconnection: {connection}\r\n\r\ntext"
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    let mut response = Vec::new();
    let mut is_regular = true;
    loop {
        let mut piece = [0; 4_096];
        match stream.read(&mut piece).await {
            Ok(0) => break,
            Ok(length) => response.extend_from_slice(&piece[..length]),
            Err(_) => {
                is_regular = false;
                break;
            }
        }
        // A connection that is kept open has to state a length.
        if is_whole(&response) {
            break;
        }
    }
    let response = String::from_utf8(response).expect("text");
    let status = response.lines().next().unwrap_or_default().to_owned();
    (status, response, is_regular)
}

/// Returns whether a response has a length and as many bytes.
fn is_whole(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| length.parse() == Ok(body.len()))
}

/// Guards against a stream that breaks off and looks complete to a caller to whom only the end of the
/// connection marks the end of a body.
#[tokio::test]
async fn callers_to_whom_no_end_can_be_marked_get_no_stream() {
    for connection in ["close", "keep-alive"] {
        for route in ["stream", "resumable"] {
            let script = Script::Events { upto: 2, of: 5 };
            let (harness, upstreams) = Harness::new(vec![script]).await;
            let (status, response, is_regular) = call(harness.callers, route, connection).await;
            let looks_complete = status.contains(" 200 ") && is_regular;
            assert!(!looks_complete, "{route}: {response}");
            assert_eq!(status, "HTTP/1.0 505 HTTP Version Not Supported", "{route}");
            assert_eq!(upstreams[0].arrivals().len(), 0);
        }
    }
}
/// Guards against a whole answer whose end is only that of its connection, so that a short one looks
/// complete.
#[tokio::test]
async fn whole_answers_have_a_length() {
    let (harness, _upstreams) = Harness::unlimited(vec![Script::Complete(200, "the answer")]).await;
    for connection in ["close", "keep-alive"] {
        for route in ["once", "safe"] {
            let (status, response, _) = call(harness.callers, route, connection).await;
            assert_eq!(status, "HTTP/1.0 200 OK", "{route}");
            assert!(is_whole(response.as_bytes()), "{route}: {response}");
        }
    }
}
