//! Tests of answer validation.

use {
    super::{Action, Event, InvalidAnswer, Splitter, Validator},
    std::time::{Duration, Instant},
};

fn events(text: &str) -> Vec<Event> {
    Splitter::default().push(text.as_bytes()).unwrap()
}

fn run(text: &str) -> Result<u64, InvalidAnswer> {
    let mut validator = Validator::new("r1".into(), 100);
    for event in events(text) {
        validator.accept(&event)?;
    }
    validator.close().map(|summary| summary.answer_tokens)
}

const TOKEN: &str = "data: {\"id\":\"cmpl-r1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const LAST: &str = "data: {\"id\":\"cmpl-r1\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Guards against dropping the end of an answer whose engine stops at the output token limit
/// itself.
#[test]
fn complete_answer_of_limit_length_ends_normally() {
    let mut validator = Validator::new("r1".into(), 2);
    for event in events(&format!("{TOKEN}{TOKEN}{LAST}{DONE}")) {
        assert_ne!(validator.accept(&event), Ok(Action::Limit));
    }
    assert_eq!(
        validator.close().map(|summary| summary.answer_tokens),
        Ok(2)
    );
}

/// Guards against accepting a truncated answer as complete.
#[test]
fn answer_without_end_is_broken() {
    assert_eq!(run(&format!("{TOKEN}{TOKEN}{LAST}{DONE}")), Ok(2));
    assert_eq!(
        run(&format!("{TOKEN}{LAST}")),
        Err(InvalidAnswer::Truncated)
    );
    assert_eq!(
        run(&format!("{TOKEN}{DONE}")),
        Err(InvalidAnswer::Truncated)
    );
}

/// Guards against a caller receiving a chunk of another request's answer.
#[test]
fn crossed_answer_is_broken() {
    let other = TOKEN.replace("r1", "r2");
    assert_eq!(
        run(&format!("{TOKEN}{other}")),
        Err(InvalidAnswer::WrongRequest)
    );
}

/// Guards against an upstream that ignores the output token limit.
#[test]
fn own_count_ends_the_stream_at_the_limit() {
    let mut validator = Validator::new("r1".into(), 2);
    let actions: Vec<_> = events(&TOKEN.repeat(4))
        .iter()
        .map(|event| validator.accept(event).unwrap())
        .collect();
    assert_eq!(
        actions,
        [
            Action::First,
            Action::Forward,
            Action::Limit,
            Action::Ignore
        ]
    );
}

/// Guards against lost or joined events when chunks arrive in pieces.
#[test]
fn splitter_is_independent_of_chunk_borders() {
    let text = format!("{TOKEN}{LAST}{DONE}").replace('\n', "\r\n");
    for size in 1..text.len() {
        let mut splitter = Splitter::default();
        let pieces = text.as_bytes().chunks(size);
        let events: Vec<_> = pieces.flat_map(|p| splitter.push(p).unwrap()).collect();
        assert_eq!(events.len(), 3, "pieces of {size} bytes");
        assert!(!splitter.is_partial());
    }
}

/// Guards against a search of all bytes that have arrived for each event in them, which keeps a
/// processor from everything else.
#[test]
fn many_small_events_are_split_in_linear_time() {
    let started = Instant::now();
    for event in ["\n\n", ":\n\n", "\r\n\r\n"] {
        let text = event.repeat(100_000);
        assert_eq!(events(&text).len(), 100_000);
    }
    // The square of the number takes minutes.
    assert!(started.elapsed() < Duration::from_secs(20));
}

/// Guards against treating a different answer as the same one when the request runs again at
/// another upstream.
#[test]
fn a_run_repeats_another_while_each_token_is_the_same() {
    let run = |words: &[&str]| {
        let mut validator = Validator::new("r1".into(), 100);
        let actions = words.iter().map(|word| {
            let text = TOKEN.replace("\"a\"", &format!("\"{word}\""));
            validator.accept(&events(&text)[0])
        });
        assert!(actions.last().is_none_or(|action| action.is_ok()));
        validator
    };
    let first = run(&["a", "b", "c"]);
    assert!(first.restarted().matches_last_token(&first));
    assert!(run(&["a", "b"]).matches_last_token(&first));
    for other in [&["x"][..], &["a", "x"], &["a", "b", "c", "d"]] {
        assert!(!run(other).matches_last_token(&first), "{other:?}");
    }
}

/// Guards against text that is no event, such as the head of a refusal, in the middle of an answer.
#[test]
fn text_that_is_no_event_is_not_forwarded() {
    let refusal = "HTTP/1.1 503 X\r\nx-request-id: r0\r\n\r\n";
    for text in [refusal, "an error\n\n", "{\"error\":\"x\"}\n\n"] {
        let answer = run(&format!("{TOKEN}{text}{TOKEN}{LAST}{DONE}"));
        assert_eq!(answer, Err(InvalidAnswer::Malformed), "{text}");
    }
    for text in [
        ": here\n\n",
        "event: ping\r\n\r\n",
        "id: 4\nretry: 5\n\n",
        "\n\n",
    ] {
        let answer = run(&format!("{TOKEN}{text}{TOKEN}{LAST}{DONE}"));
        assert_eq!(answer, Ok(2), "{text}");
    }
}
