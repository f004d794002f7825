//! Streams that break and whose engine loses calls for their rest.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Answer, Environment, complete, local},
    serde_json::json,
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
    },
};

/// Tokens of the answer; the stream breaks after half of them.
const TOKENS: usize = 16;

/// An engine on plain sockets. It ends each stream after half of its tokens, and closes the
/// connections of the first calls for the rest without an answer.
#[derive(Clone, Default)]
struct Engine {
    calls: Arc<AtomicU32>,
    lost: u32,
}

impl Engine {
    async fn serve(self, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let engine = self.clone();
            tokio::spawn(async move { engine.answer(BufReader::new(stream)).await });
        }
    }

    /// Answers the requests of one connection; `None` at its end.
    async fn answer(&self, mut stream: BufReader<TcpStream>) -> Option<()> {
        loop {
            let (path, request) = read_request(&mut stream).await?;
            let body = if path.starts_with("/v1/chat/completions") {
                chunks(&request?, 0..TOKENS / 2)
            } else if let Some(rest) = path.strip_prefix("/v1/resume/") {
                if self.calls.fetch_add(1, Ordering::SeqCst) < self.lost {
                    return None;
                }
                let (request, from) = rest.split_once("?from=")?;
                let rest = chunks(request, from.parse().ok()?..TOKENS);
                format!("{rest}{}", end(request))
            } else {
                String::new()
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let answer = format!("{head}{body}");
            stream.get_mut().write_all(answer.as_bytes()).await.ok()?;
        }
    }
}

/// Reads a request; returns its path and the header `x-request-id`.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, Option<String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            break;
        }
        lines.push(line);
    }
    let header = |name: &str| {
        let mut headers = lines.iter().filter_map(|line| line.split_once(':'));
        let (_, value) = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(value.trim().to_owned())
    };
    let length = header("content-length").map_or(0, |length| length.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    let path = lines.first()?.split(' ').nth(1)?.to_owned();
    Some((path, header("x-request-id")))
}

fn chunks(request: &str, tokens: std::ops::Range<usize>) -> String {
    let chunk = |token: usize| {
        let delta = json!({"content": format!("w{token} ")});
        let choices = json!([{"index": 0, "delta": delta, "finish_reason": null}]);
        format!(
            "data: {}\n\n",
            json!({"id": format!("cmpl-{request}"), "choices": choices})
        )
    };
    tokens.map(chunk).collect()
}

fn end(request: &str) -> String {
    let choices = json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]);
    let chunk = json!({"id": format!("cmpl-{request}"), "choices": choices});
    format!("data: {chunk}\n\ndata: [DONE]\n\n")
}

/// Streams an answer of an engine that loses so many calls for the rest; returns the answer and
/// the number of these calls.
async fn stream(lost: u32) -> (Answer, u32) {
    let mut environment = Environment::start(0, 10_000).await;
    let listener = TcpListener::bind(local()).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    environment.urls.push(url);
    let engine = Engine {
        lost,
        ..Engine::default()
    };
    tokio::spawn(engine.clone().serve(listener));
    let router = environment.router(1).await;
    let answer = complete(router.address(), true, None).await.unwrap();
    router.stop().await;
    assert_eq!(environment.bills().await.len(), 1);
    (answer, engine.calls.load(Ordering::SeqCst))
}

/// Guards against a stream that ends because one call for its rest was lost.
#[tokio::test]
async fn lost_calls_for_the_rest_are_repeated() {
    for lost in 0..3 {
        let (answer, calls) = stream(lost).await;
        let whole: String = (0..TOKENS).map(|token| format!("w{token} ")).collect();
        assert_eq!(answer.text(), whole, "{lost} lost: {}", answer.body);
        assert!(answer.is_whole_stream(), "{lost} lost: {}", answer.body);
        assert_eq!(calls, lost + 1);
    }
}

/// Guards against calls for the rest without a limit, and against a part that passes as whole.
#[tokio::test]
async fn a_stream_ends_after_three_lost_calls() {
    let (answer, calls) = stream(u32::MAX).await;
    let expected = Some(("answer_broken".into(), "ran".into()));
    assert_eq!(answer.error(), expected, "{}", answer.body);
    assert!(!answer.is_whole_stream(), "{}", answer.body);
    assert_eq!(calls, 3);
}
