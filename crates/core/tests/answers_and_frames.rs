//! Arbitrary answers of engines and arbitrary frames of peers. Guards against panics, unbounded
//! memory, accepting a part of an answer as complete, and accepting a frame that was not signed
//! with a fleet key.

use {
    bytes::BytesMut,
    marigoldroute_core::{
        stream::{Action, InvalidAnswer, Splitter, Validator},
        wire::{Body, Codec, FRAME_LIMIT_BYTES, Fault, Frame, Keys, Release},
    },
    proptest::{
        prelude::*,
        sample::Index,
        test_runner::{Config, RngSeed, TestRunner},
    },
    tokio_util::codec::{Decoder, Encoder},
};

const SEED: u64 = 0x6d61_7269_0004;
const CASES: u32 = 1_000;
/// Maximum size of an event in bytes, as documented by `Splitter::push`.
const EVENT_LIMIT_BYTES: usize = 1 << 20;
const REQUEST: &str = "r1";

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

/// One event of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerEvent {
    Token,
    Usage,
    Finish,
    Done,
    Comment,
    Foreign,
    Garbage,
}

impl AnswerEvent {
    fn text(self) -> String {
        let chunk = |id: &str, rest: &str| format!("data: {{\"id\":\"cmpl-{id}\",{rest}}}");
        match self {
            Self::Token => chunk(REQUEST, r#""choices":[{"delta":{"content":"a"}}]"#),
            Self::Usage => chunk(REQUEST, r#""choices":[],"usage":{"completion_tokens":1}"#),
            Self::Finish => chunk(REQUEST, r#""choices":[{"finish_reason":"stop"}]"#),
            Self::Done => "data: [DONE]".to_owned(),
            Self::Comment => ": still running".to_owned(),
            Self::Foreign => chunk("r2", r#""choices":[{"delta":{"content":"b"}}]"#),
            Self::Garbage => "data: {\"id\":".to_owned(),
        }
    }
}

fn answer_events() -> impl Strategy<Value = Vec<AnswerEvent>> {
    let event = prop_oneof![
        12 => Just(AnswerEvent::Token),
        2 => Just(AnswerEvent::Usage),
        4 => Just(AnswerEvent::Finish),
        4 => Just(AnswerEvent::Done),
        2 => Just(AnswerEvent::Comment),
        1 => Just(AnswerEvent::Foreign),
        1 => Just(AnswerEvent::Garbage),
    ];
    proptest::collection::vec(event, 0..20)
}

/// Returns the expected number of forwarded tokens and the expected end of an answer with an output
/// limit.
fn expected(events: &[AnswerEvent], limit: u64) -> (u64, Result<(), InvalidAnswer>) {
    let (mut tokens, mut is_finished) = (0, false);
    for event in events {
        match event {
            AnswerEvent::Token if tokens == limit => return (tokens, Ok(())),
            AnswerEvent::Token => tokens += 1,
            AnswerEvent::Finish => is_finished = true,
            AnswerEvent::Done if is_finished => return (tokens, Ok(())),
            AnswerEvent::Done => return (tokens, Err(InvalidAnswer::Truncated)),
            AnswerEvent::Foreign => return (tokens, Err(InvalidAnswer::WrongRequest)),
            AnswerEvent::Garbage => return (tokens, Err(InvalidAnswer::Malformed)),
            AnswerEvent::Usage | AnswerEvent::Comment => {}
        }
    }
    (tokens, Err(InvalidAnswer::Truncated))
}

/// Splits bytes into pieces.
fn pieces(bytes: &[u8], cuts: &[Index]) -> Vec<Vec<u8>> {
    let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    let pairs = cuts.windows(2);
    pairs.map(|pair| bytes[pair[0]..pair[1]].to_vec()).collect()
}

/// Validates an answer as the entry does; returns the number of forwarded tokens and the end.
fn validate(pieces: &[Vec<u8>], limit: u64) -> (u64, Result<(), InvalidAnswer>) {
    let mut validator = Validator::new(REQUEST.into(), limit);
    let mut splitter = Splitter::default();
    let mut forwarded = 0;
    for piece in pieces {
        for event in splitter.push(piece).expect("small events") {
            match validator.accept(&event) {
                Ok(Action::First | Action::Forward) => {
                    forwarded += u64::from(event.data.contains("content"));
                }
                Ok(Action::Ignore) => {}
                Ok(Action::End | Action::Limit) => return (forwarded, Ok(())),
                Err(error) => return (forwarded, Err(error)),
            }
        }
    }
    (forwarded, validator.close().map(drop))
}

/// Guards against results that depend on how the bytes arrive, and against accepting an answer as
/// complete that is truncated, belongs to another request or is malformed.
#[test]
fn answers_match_a_simple_model() {
    let answer = (answer_events(), 0..12_u64, any::<bool>());
    let cuts = proptest::collection::vec(any::<Index>(), 0..12);
    let result = runner(CASES).run(&(answer, cuts), |((events, limit, is_crlf), cuts)| {
        let end = if is_crlf { "\r\n\r\n" } else { "\n\n" };
        let text: String = events.iter().map(|event| event.text() + end).collect();
        let pieces = pieces(text.as_bytes(), &cuts);
        prop_assert_eq!(validate(&pieces, limit), expected(&events, limit));
        Ok(())
    });
    result.expect("as the model");
}

/// Guards against a panic on arbitrary bytes.
#[test]
fn arbitrary_answers_do_not_panic() {
    let alphabet = prop::sample::select(b"\r\n:{}[]\"dat id,0\xff".to_vec());
    let bytes = proptest::collection::vec(alphabet, 0..400);
    let cuts = proptest::collection::vec(any::<Index>(), 0..8);
    let result = runner(CASES).run(&(bytes, cuts), |(bytes, cuts)| {
        let (_, end) = validate(&pieces(&bytes, &cuts), 4);
        prop_assert!(end.is_err(), "no end mark was sent");
        Ok(())
    });
    result.expect("no panic");
}

/// Guards against buffering an event of any size.
#[test]
fn oversized_event_is_refused_at_the_limit() {
    const PIECE_BYTES: usize = 64 << 10;
    let mut splitter = Splitter::default();
    let piece = vec![b'a'; PIECE_BYTES];
    let mut accepted = 0;
    while splitter.push(&piece).is_some() {
        accepted += PIECE_BYTES;
        assert!(
            accepted <= EVENT_LIMIT_BYTES,
            "{accepted} bytes were buffered"
        );
    }
    assert_eq!(
        accepted, EVENT_LIMIT_BYTES,
        "an event below the limit was refused"
    );
}

fn codec(key: u8) -> Codec {
    Codec::new(Keys::new(vec![vec![key; 16].into()]))
}

fn frame(correlation: u64, request: String) -> Frame {
    Frame {
        from: "h1".into(),
        to: "h2".into(),
        correlation,
        body: Some(Body::Release(Release { request })),
    }
}

fn encode(key: u8, frames: &[Frame]) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    for frame in frames {
        let encoded = codec(key).encode(frame.clone(), &mut bytes);
        encoded.expect("a small frame");
    }
    bytes.to_vec()
}

/// Decodes pieces as they arrive, until the first fault.
fn decode(pieces: &[Vec<u8>]) -> (Vec<Frame>, Option<Fault>) {
    let (mut codec, mut buffer, mut frames) = (codec(1), BytesMut::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(fault) => return (frames, Some(fault)),
            }
        }
    }
    (frames, None)
}

fn frames() -> impl Strategy<Value = Vec<Frame>> {
    let frame = (any::<u64>(), ".{0,40}").prop_map(|(number, request)| frame(number, request));
    proptest::collection::vec(frame, 1..6)
}

/// Guards against lost or joined frames when their bytes arrive in pieces.
#[test]
fn frames_arrive_as_sent() {
    let cuts = proptest::collection::vec(any::<Index>(), 0..12);
    let result = runner(CASES).run(&(frames(), cuts), |(frames, cuts)| {
        let (found, fault) = decode(&pieces(&encode(1, &frames), &cuts));
        prop_assert!(fault.is_none());
        prop_assert_eq!(found, frames);
        Ok(())
    });
    result.expect("as sent");
}

/// Guards against accepting a frame with a changed byte or signed with another key.
#[test]
fn changed_frames_are_refused() {
    let change = (any::<Index>(), 1..=255_u8);
    let result = runner(CASES).run(&(frames(), change), |(frames, (at, change))| {
        let mut bytes = encode(1, &frames);
        let at = at.index(bytes.len());
        bytes[at] ^= change;
        let (found, fault) = decode(&[bytes]);
        prop_assert!(found.len() < frames.len(), "a changed frame was accepted");
        prop_assert_eq!(&found[..], &frames[..found.len()]);
        let is_clear = matches!(fault, None | Some(Fault::Forged | Fault::Io(_)));
        prop_assert!(is_clear, "{:?}", fault);
        let (found, fault) = decode(&[encode(2, &frames)]);
        prop_assert!(found.is_empty() && matches!(fault, Some(Fault::Forged)));
        Ok(())
    });
    result.expect("refused");
}

/// Guards against a panic, and against a peer that makes a host allocate memory for a frame of any
/// length that it states.
#[test]
fn arbitrary_bytes_are_refused_within_bounded_memory() {
    let length = prop_oneof![0..64_u32, any::<u32>(), Just(FRAME_LIMIT_BYTES as u32)];
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let result = runner(CASES).run(&(length, bytes), |(length, bytes)| {
        let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);
        buffer.extend_from_slice(&bytes);
        let decoded = codec(1).decode(&mut buffer);
        prop_assert!(
            !matches!(decoded, Ok(Some(_))),
            "an unsigned frame was accepted"
        );
        let is_large = length as usize > FRAME_LIMIT_BYTES;
        prop_assert!(!is_large || matches!(decoded, Err(Fault::Io(_))));
        prop_assert!(buffer.capacity() <= 2 * FRAME_LIMIT_BYTES);
        Ok(())
    });
    result.expect("refused");
}
