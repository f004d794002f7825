//! Heads of responses that are cut, contradict themselves or are none.

mod harness;

use harness::{Harness, upstream::Script};

const IDENTITY: &str = "x-request-id: {id}\r\nx-signed: 1\r\n";

/// Returns the body of a whole response on a route.
fn body(route: &str) -> &'static str {
    match route {
        "stream" | "resumable" => "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n",
        _ => "the answer",
    }
}

/// Plays a response, in which `{body}`, `{length}` and `{chunk}` stand for the whole body, its length
/// and a chunk of it, on each kind of route. Returns what a caller received and how often the request
/// reached an upstream.
async fn play(route: &str, text: &str) -> (u16, Option<String>, usize) {
    let body = body(route);
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let text = text
        .replace("{length}", &body.len().to_string())
        .replace("{short}", &(body.len() - 1).to_string())
        .replace("{chunk}", &chunk)
        .replace("{body}", body);
    let script = Script::Raw(vec![text.leak()]);
    let (harness, upstreams) = Harness::unlimited(vec![script.clone(), script]).await;
    let response = harness.request(route, "r1").send().await;
    let response = response.expect("a head");
    let status = response.status().as_u16();
    let received = response.text().await.ok();
    let arrivals = upstreams.iter().map(|upstream| upstream.arrivals().len());
    (status, received, arrivals.sum())
}

/// Asserts that these responses are whole ones on each kind of route, or failures that promise
/// nothing and after which only what may be repeated runs again.
async fn assert_played(texts: &[String], is_whole: bool) {
    let mut wrong = Vec::new();
    for text in texts {
        for (route, limit) in [("once", 1), ("safe", 2), ("stream", 1), ("resumable", 2)] {
            let played = play(route, text).await;
            let is_right = match is_whole {
                true => played == (200, Some(body(route).into()), 1),
                false => played.0 == 502 && played.2 == limit,
            };
            if !is_right {
                wrong.push((route, text, played));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

fn with_identity(lines: &str, body: &str) -> String {
    format!("HTTP/1.1 200 X\r\n{IDENTITY}{lines}\r\n\r\n{body}")
}

/// Guards against a whole response that fails because its head is unusual.
#[tokio::test]
async fn unusual_heads_of_whole_responses_are_accepted() {
    let length = "content-length: {length}";
    let chunked = "transfer-encoding: chunked";
    let interim =
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nx-request-id: r0\r\nx-not-run: 1\r\n\r\n";
    let texts = [
        with_identity(&format!("{length}\r\n{length}"), "{body}"),
        with_identity(
            &format!("content-length: {{short}}\r\n{chunked}"),
            "{chunk}",
        ),
        with_identity(&format!("{chunked}\r\ncontent-length: 0"), "{chunk}"),
        with_identity(length, "{body}").replace("HTTP/1.1", "HTTP/1.0"),
        with_identity(length, "{body}").replace("\r\n", "\n"),
        with_identity(length, "{body}").replace(" X\r\n", "\r\n"),
        interim.to_owned() + &with_identity(length, "{body}"),
    ];
    assert_played(&texts, true).await;
}

/// Guards against a response whose length is ambiguous, or that has none that can be read, and that
/// callers get as a whole one.
#[tokio::test]
async fn responses_of_ambiguous_length_are_failures() {
    let chunked = "transfer-encoding: chunked";
    let mut texts = vec![
        with_identity(
            "content-length: {length}\r\ncontent-length: {short}",
            "{body}",
        ),
        with_identity(
            "content-length: {short}\r\ncontent-length: {length}",
            "{body}",
        ),
        with_identity(chunked, "{chunk}").replace("HTTP/1.1", "HTTP/1.0"),
        with_identity("x-framing: none", ""),
        with_identity("x-framing: none", "").replace("HTTP/1.1", "HTTP/1.0"),
        with_identity("transfer-encoding: gzip", ""),
        with_identity("transfer-encoding: chunked\r\ntransfer-encoding: gzip", ""),
    ];
    let lengths = [
        "-1",
        "+5",
        "5x",
        "",
        "0x5",
        "18446744073709551616",
        "{length}, {short}",
    ];
    texts.extend(
        lengths.map(|length| with_identity(&format!("content-length: {length}"), "{body}")),
    );
    let sizes = ["-1", "0x5", "x", "", "fffffffffffffffff", ";a"];
    texts.extend(
        sizes.map(|size| with_identity(chunked, &format!("{size}\r\n{{body}}\r\n0\r\n\r\n"))),
    );
    assert_played(&texts, false).await;
}

/// Guards against a head that is cut, or none, and that passes for a success or for the promise that
/// the request did not run.
#[tokio::test]
async fn heads_that_are_none_are_failures() {
    let whole = with_identity("content-length: {length}", "{body}");
    let refusal =
        "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\nx-request-id: {id}\r\n\r\n";
    let mut texts = vec![
        whole.replace("{id}", "r"),
        whole.replace("{id}", ""),
        whole.replace("{id}", "{id}0"),
        whole.replace("x-request-id: {id}\r\n", ""),
        whole.replace("x-signed: 1\r\n", ""),
        whole.replace("x-signed: 1", "x-sig"),
        whole.replace("x-signed: 1\r\n", "x-signed: 1\r"),
        whole.replace("x-request-id: {id}", "x-request-id:\r\n {id}"),
        whole.replace("x-signed: 1", "x-signed: 1\r\n x-filler: 1"),
        whole.replace("200", "100"),
        whole.replace("200", "20"),
        whole.replace("200", "2000"),
        whole.replace("HTTP/1.1", "HTTP/2.0"),
        whole.replace("HTTP/1.1", "HTTP/0.9"),
        whole.replace("HTTP/1.1 ", ""),
        refusal.replace("{id}", "r"),
        refusal.replace("x-request-id: {id}\r\n", ""),
        // A cut refusal of another request, and a response right after it.
        format!("HTTP/1.1 503 X\r\nx-request-id: r0\r\nx-not-r{whole}"),
        format!("HTTP/1.1 503 X\r\nx-request-id: r0\r\nx-not-run: 1\r\nx-filler: {whole}"),
        whole
            .clone()
            .replace("content-length: {length}\r\n\r\n{body}", refusal),
    ];
    for status in [200, 204, 408, 421, 429, 503] {
        for end in ["", "\r\n", "\r\n\r\n"] {
            texts.push(format!("HTTP/1.1 {status} X{end}"));
            texts.push(format!("HTTP/1.1 {status}{end}"));
        }
    }
    let interim = "HTTP/1.1 103 X\r\nx-request-id: {id}\r\nx-signed: 1\r\n\r\n";
    texts.extend([
        interim.to_owned(),
        interim.repeat(3),
        interim.to_owned() + "{body}",
    ]);
    assert_played(&texts, false).await;
}
