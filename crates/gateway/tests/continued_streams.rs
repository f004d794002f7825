//! What callers get when the upstream that continues a broken stream answers wrongly.

mod harness;

use {
    harness::{Harness, snapshot, upstream::Script},
    marigoldroute_gateway::Settings,
};

const HEAD: &str = "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the text of a chunked answer without its end.
fn chunked(text: &str) -> String {
    format!("{HEAD}{CHUNKED}{}", chunk(text))
}

/// Returns the text of an answer that ends with its connection.
fn unframed(text: &str) -> String {
    format!("{HEAD}\r\n{text}")
}

/// Sends a request to upstreams that answer with these texts, and returns the bytes that the caller
/// received and whether the stream ended as a complete one, with the number of requests that
/// reached an upstream.
async fn play(route: &str, first: &str, rest: &str, is_reset: bool) -> (String, bool, usize) {
    let script = Script::Continued {
        first: first.into(),
        rest: rest.into(),
        is_reset,
    };
    let (harness, upstreams) = Harness::new(vec![script.clone(), script]).await;
    let request = harness.request(route, "r1");
    let mut response = request.send().await.expect("a head");
    let mut received = Vec::new();
    let is_complete = loop {
        match response.chunk().await {
            Ok(Some(bytes)) => received.extend_from_slice(&bytes),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8(received).expect("text");
    let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
    (text, is_complete, arrivals.sum())
}

/// Guards against a failure, or any other text that does not continue the stream, in the middle of
/// a stream, and against a stream that ends with it as if it were complete.
#[tokio::test]
async fn only_what_follows_is_joined_to_a_stream() {
    let status =
        |status: &str| format!("HTTP/1.1 {status} X\r\nx-request-id: {{id}}\r\nx-signed: 1\r\n");
    let refusal = "HTTP/1.1 503 X\r\nx-request-id: r0\r\nx-not-run: 1\r\n\r\n";
    let rests = [
        status("500") + "content-length: 6\r\n\r\nbroken",
        status("500") + "content-length: 32\r\n\r\n" + &events(3..=3) + "          ",
        status("404") + "content-length: 6\r\n\r\nabsent",
        status("503") + "x-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        status("204") + "\r\n",
        status("101") + "\r\n",
        chunked(&events(3..=5)).replace("x-signed: 1\r\n", "") + "0\r\n\r\n",
        chunked("an error") + "0\r\n\r\n",
        chunked("an error\n\n") + "0\r\n\r\n",
        chunked("data: an error\n\n") + "0\r\n\r\n",
        chunked(refusal) + "0\r\n\r\n",
        chunked("id: x\ndata: an error\n\n") + "0\r\n\r\n",
        chunked(&events(4..=5)) + "0\r\n\r\n",
        chunked(&events(2..=5)) + "0\r\n\r\n",
        format!("{HEAD}{CHUNKED}"),
        chunked("id: 3\nda") + "0\r\n\r\n",
        unframed(""),
        unframed("id: 3\nda"),
        String::new(),
    ];
    let first = chunked(&events(1..=2));
    let mut wrong = Vec::new();
    for rest in rests {
        let played = play("resumable", &first, &rest, false).await;
        if played != (events(1..=2), false, 2) {
            wrong.push((rest, played));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a response of another kind that continues a stream, or whose end completes it,
/// because it is a success.
#[tokio::test]
async fn only_responses_like_the_first_continue_a_stream() {
    let like = |status: u16, more: &str| {
        format!("HTTP/1.1 {status} X\r\nx-request-id: {{id}}\r\nx-signed: 1\r\n{more}\r\n")
    };
    let length = "content-length: 0\r\n";
    let chunks = "transfer-encoding: chunked\r\n";
    let rest = chunk(&events(3..=5)) + "0\r\n\r\n";
    let typed = |media_type: &str| like(200, &format!("content-type: {media_type}\r\n{chunks}"));
    let rests = [
        like(204, ""),
        like(204, length),
        like(205, length),
        like(206, length),
        like(206, chunks) + &rest,
        like(200, length),
        like(200, "transfer-encoding: gzip\r\n"),
        like(200, "transfer-encoding: identity\r\ncontent-length: 0\r\n"),
        like(200, &format!("content-type: text/html\r\n{length}")),
        typed("text/html") + &rest,
        typed("application/json") + "0\r\n\r\n",
    ];
    let first = typed("text/event-stream; charset=utf-8") + &chunk(&events(1..=2));
    let mut wrong = Vec::new();
    for rest in rests {
        let played = play("resumable", &first, &rest, false).await;
        if played != (events(1..=2), false, 2) {
            wrong.push((rest, played));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let rest = typed("Text/Event-Stream") + &rest;
    let played = play("resumable", &first, &rest, false).await;
    assert_eq!(played, (events(1..=5), true, 2));
}

/// Guards against a stream whose upstream broke off before its first event, without a length or
/// chunks, and that passes for a complete one.
#[tokio::test]
async fn streams_that_end_with_their_connection_before_an_event_are_not_complete() {
    for (text, relayed) in [("", ""), (": here\n\n", ": here\n\n")] {
        for (route, limit) in [("stream", 1), ("resumable", 2)] {
            let first = unframed(text);
            let script = Script::Raw(vec![first.leak()]);
            let (harness, upstreams) = Harness::new(vec![script; limit]).await;
            let request = harness.request(route, "r1").send().await;
            let response = request.expect("a head");
            let status = response.status().as_u16();
            assert_eq!(status, if relayed.is_empty() { 502 } else { 200 });
            let is_complete = response.bytes().await.is_ok();
            assert!(status == 502 || !is_complete, "{text:?} on {route}");
            let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
            assert_eq!(arrivals.sum::<usize>(), limit, "{text:?} on {route}");
        }
    }
    // A caller that has events may have all of them.
    let script = Script::Raw(vec![unframed("").leak()]);
    let (harness, _upstreams) = Harness::new(vec![script]).await;
    let request = harness.request("resumable", "r1");
    let response = request.header("x-last-event", "4").send().await;
    let response = response.expect("a head");
    assert_eq!(response.text().await.expect("a whole stream"), "");
}

/// Guards against an encoding of the transfer, without chunks, that passes for a marked end.
#[tokio::test]
async fn only_chunks_and_lengths_mark_an_end() {
    let first = chunked(&events(1..=2));
    for coding in ["gzip", "identity", "chunked, gzip"] {
        let rest = format!("{HEAD}transfer-encoding: {coding}\r\n\r\n");
        let played = play("resumable", &first, &rest, false).await;
        assert_eq!(played, (events(1..=2), false, 2), "{coding}");
    }
    let rest = format!("{HEAD}transfer-encoding: gzip, Chunked\r\n\r\n0\r\n\r\n");
    let played = play("resumable", &first, &rest, false).await;
    assert_eq!(played, (events(1..=2), true, 2));
}

/// Guards against a comment of the next upstream after which text without an id, or nothing, is
/// taken for the rest of the stream.
#[tokio::test]
async fn text_after_a_comment_is_not_joined_to_a_stream() {
    let rests = [
        chunked(": here\n\ndata: an error\n\n") + "0\r\n\r\n",
        unframed(": here\n\n"),
    ];
    for rest in rests {
        let first = chunked(&events(1..=2));
        let (text, is_complete, _) = play("resumable", &first, &rest, false).await;
        assert!(!is_complete, "{rest:?}");
        assert_eq!(text.replace(": here\n\n", ""), events(1..=2));
    }
}

/// Guards against a whole head, which an upstream wrote into its own stream, that reaches the
/// caller.
#[tokio::test]
async fn a_head_within_a_stream_is_not_relayed() {
    let head = "HTTP/1.1 503 X\r\nx-request-id: r0\r\nx-not-run: 1\r\n\r\n";
    let first = chunked(&events(1..=2)) + &chunk(head) + &chunk(&events(3..=3)) + "0\r\n\r\n";
    let played = play("stream", &first, "", false).await;
    assert_eq!(played, (events(1..=2), false, 1));
    // The head follows the start of an event, and ends like one.
    let cut = format!("{}id: 3\ndata: pie{head}", events(1..=2));
    for first in [unframed(&cut), chunked(&cut) + "0\r\n\r\n"] {
        let played = play("stream", &first, "", false).await;
        assert_eq!(played, (events(1..=2), false, 1));
        let rest = chunked(&events(3..=4)) + "0\r\n\r\n";
        let played = play("resumable", &first, &rest, false).await;
        assert_eq!(played, (events(1..=4), true, 2));
    }
}

/// Guards against a response that is no stream of events, and whose text passes for one.
#[tokio::test]
async fn text_that_is_no_event_does_not_begin_a_stream() {
    let head = "HTTP/1.1 503 X\r\nx-request-id: r0\r\nx-not-run: 1\r\n\r\n";
    for text in [head, "an error\n\n", "{\"error\":\"a\"}\n\n"] {
        let first = chunked(text) + &chunk(&events(1..=2)) + "0\r\n\r\n";
        let script = Script::Raw(vec![first.leak()]);
        let (harness, _upstreams) = Harness::new(vec![script]).await;
        let response = harness.request("stream", "r1").send().await;
        assert_eq!(response.expect("a head").status(), 502, "{text:?}");
    }
}

/// Guards against a connection that is reset and passes for the end of an answer without a length.
#[tokio::test]
async fn a_reset_is_no_end_of_a_stream() {
    let first = chunked(&events(1..=2));
    let (text, is_complete, _) = play("resumable", &first, &unframed(&events(3..=3)), true).await;
    assert!(!is_complete);
    // The reset may overtake the event.
    assert!(text == events(1..=2) || text == events(1..=3), "{text}");
}

/// Guards against a stream that is cut although another upstream continued it properly. One that
/// states that nothing follows the last event, by a body whose end it marks, completes it.
#[tokio::test]
async fn what_follows_completes_a_stream() {
    let rests = [
        (chunked(&events(3..=5)) + "0\r\n\r\n", 5),
        (unframed(&events(3..=5)), 5),
        (format!("{HEAD}{CHUNKED}0\r\n\r\n"), 2),
        (format!("{HEAD}content-length: 0\r\n\r\n"), 2),
    ];
    let first = chunked(&events(1..=2));
    for (rest, last) in rests {
        let played = play("resumable", &first, &rest, false).await;
        assert_eq!(played, (events(1..=last), true, 2), "{rest:?}");
    }
}

/// Guards against events that come twice: when those of the broken stream have no id, no upstream
/// can tell what follows.
#[tokio::test]
async fn streams_without_ids_are_not_continued() {
    let (text, is_complete, arrivals) = play(
        "resumable",
        &chunked("data: a\n\n"),
        &chunked("data: a\n\n"),
        false,
    )
    .await;
    assert_eq!(
        (text.as_str(), is_complete, arrivals),
        ("data: a\n\n", false, 1)
    );
}

/// Guards against a stream that lacks events, or is cut, as the memory for responses does not hold
/// what has arrived of it at once.
#[tokio::test]
async fn streams_lack_no_event_when_little_memory_is_left() {
    let mut all = events(1..=1);
    all += &format!("id: 2\ndata: {}\n\n", "x".repeat(36 << 10));
    for id in 3..=80 {
        all += &format!("id: {id}\ndata: {}\n\n", "x".repeat(500));
    }
    let script = Script::Continued {
        first: format!("{}0\r\n\r\n", chunked(&all)),
        rest: format!("{}0\r\n\r\n", chunked(&events(81..=81))),
        is_reset: false,
    };
    for path in ["stream", "resumable"] {
        let settings = Settings {
            answer_memory: 40 << 10,
            ..Settings::default()
        };
        let scripts = vec![script.clone(), script.clone()];
        let (harness, _upstreams) =
            Harness::with_settings(settings, snapshot(1, 1_000_000), scripts).await;
        let response = harness.request(path, "r1").send().await;
        let text = response.expect("a head").text().await;
        assert!(text.is_ok_and(|text| text == all), "{path}");
    }
}
