//! Answers that contradict themselves.

mod harness;

use harness::{Harness, upstream::Script};

/// Guards against contradictory answers: one that is no final answer, or a success that says that
/// it did not run, shows neither.
#[tokio::test]
async fn contradictory_answers_are_failures() {
    let answers = [
        "HTTP/1.1 101 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n\r\n",
        "HTTP/1.1 101 X\r\nx-request-id: {id}\r\nx-not-run: 1\r\n\r\n",
        "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        let script = Script::Raw(vec![answer]);
        let (harness, upstreams) = Harness::unlimited(vec![script.clone(), script]).await;
        let response = harness.request("once", "r1").send().await;
        assert_eq!(response.expect("an answer").status(), 502, "{answer:?}");
        let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
        assert_eq!(arrivals.sum::<usize>(), 1, "{answer:?}");
    }
}
