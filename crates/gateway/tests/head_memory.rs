//! Peak memory of the process while callers send heads. This is a test program of its own because
//! the peak covers all tests of a process.

mod harness;

use {
    harness::{Harness, peak_mib, snapshot, upstream::Script},
    std::io::Write,
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

const CONNECTIONS: usize = 300;
const HALF_HEAD_BYTES: usize = 350_000;

/// Guards against half heads that together take more memory than a host of 88 MB has.
#[tokio::test]
async fn half_heads_stay_within_the_memory_of_a_small_host() {
    let script = Script::Complete(200, "the answer");
    let (harness, _upstreams) = Harness::with_snapshot(snapshot(1, 1_000_000), vec![script]).await;
    let before = peak_mib();
    let mut start = Vec::new();
    write!(start, "GET /safe/x HTTP/1.1\r\nx-more: ").expect("it fits");
    let more = vec![b'x'; HALF_HEAD_BYTES];
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(harness.callers).await.expect("connects");
        stream.write_all(&start).await.expect("it is open");
        // The gateway may close the connection before it has read everything.
        let _ = stream.write_all(&more).await;
        connections.push(stream);
    }
    let response = harness.request("safe", "r1").send().await;
    assert_eq!(response.expect("an answer").status().as_u16(), 200);
    assert!(harness.is_ready().await);
    let used = peak_mib() - before;
    assert!(used < 64, "{used} MiB more than before");
}
