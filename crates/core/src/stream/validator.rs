//! Validation of the events of one answer.

use {
    super::event::{Choice, Chunk, Event, Usage},
    crate::id::{RequestId, Tokens},
    derive_more::{Display, Error},
    serde_json::value::RawValue,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Payload of the event that ends a stream.
const END_MARK: &str = "[DONE]";

/// Error in an answer, which must not be forwarded any further.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidAnswer {
    /// The chunk belongs to another request.
    #[display("the upstream sent a chunk of another request")]
    WrongRequest,
    /// The event is not a completion chunk.
    #[display("the upstream sent a malformed chunk")]
    Malformed,
    /// An event exceeds the size limit.
    #[display("the upstream sent an oversized event")]
    Oversized,
    /// The stream ended before its end mark.
    #[display("the upstream ended the stream without its end mark")]
    Truncated,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Forward the event.
    Forward,
    /// Forward the event, which is the first chunk. The prompt tokens in the summary are known if
    /// they are not 0.
    First,
    /// The event exceeds the output token limit: drop it, cancel the request at the upstream and
    /// end the stream.
    Limit,
    /// Forward the event, which completes the stream.
    End,
    /// Drop the event; the stream has already ended.
    Ignore,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Prompt tokens that the engine reported; 0 when it reported none.
    pub prompt_tokens: Tokens,
    /// Answer tokens: the maximum of the number that the engine reported and the number counted
    /// here.
    pub answer_tokens: Tokens,
}

/// Validates the events of one answer and counts its tokens.
#[derive(Clone, Debug)]
pub struct Validator {
    request: RequestId,
    /// Output token limit.
    limit: Tokens,
    /// Hashes of the chunks with a choice, at most `limit`; engines send one token per chunk.
    token_hashes: Vec<u64>,
    /// Last token counts that the engine reported.
    reported: Usage,
    is_started: bool,
    is_finished: bool,
    /// Whether the end mark has arrived or the output token limit was exceeded.
    has_ended: bool,
}

impl Validator {
    /// Creates the state for the answer to a request with an output limit in tokens.
    pub fn new(request: RequestId, limit: Tokens) -> Self {
        Self {
            request,
            limit,
            token_hashes: Vec::new(),
            reported: Usage::default(),
            is_started: false,
            is_finished: false,
            has_ended: false,
        }
    }

    /// Returns the initial state for another run of the same request.
    pub fn restarted(&self) -> Self {
        Self::new(self.request.clone(), self.limit)
    }

    /// Validates the next event and returns what to do with it.
    ///
    /// # Errors
    /// [`InvalidAnswer`] when the answer must not be forwarded any further.
    pub fn accept(&mut self, event: &Event) -> Result<Action, InvalidAnswer> {
        if self.has_ended {
            return Ok(Action::Ignore);
        }
        if event.data.is_empty() {
            let is_event = event.is_well_formed();
            return is_event
                .then_some(Action::Forward)
                .ok_or(InvalidAnswer::Malformed);
        }
        if event.data == END_MARK {
            return self.end();
        }
        let chunk: Chunk =
            serde_json::from_str(&event.data).map_err(|_| InvalidAnswer::Malformed)?;
        if !chunk.id.contains(&*self.request) {
            return Err(InvalidAnswer::WrongRequest);
        }
        self.count(&chunk)
    }

    /// Checks that the stream is complete and returns its token counts.
    ///
    /// # Errors
    /// [`InvalidAnswer::Truncated`] when the end mark has not arrived.
    pub fn close(&self) -> Result<Summary, InvalidAnswer> {
        if self.has_ended {
            Ok(self.summary())
        } else {
            Err(InvalidAnswer::Truncated)
        }
    }

    /// Returns the token counts so far.
    pub fn summary(&self) -> Summary {
        Summary {
            prompt_tokens: self.reported.prompt_tokens,
            answer_tokens: self.received().max(self.reported.completion_tokens),
        }
    }

    /// Returns the number of answer tokens received so far; a resumed stream continues after them.
    pub fn received(&self) -> Tokens {
        self.token_hashes.len() as Tokens
    }

    /// Returns whether the last token equals the token of `other` at the same position; true before
    /// the first token.
    pub fn matches_last_token(&self, other: &Self) -> bool {
        let last = self.token_hashes.len().checked_sub(1);
        last.is_none_or(|last| self.token_hashes.get(last) == other.token_hashes.get(last))
    }

    /// Returns whether the engine has sent a finish reason.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Returns whether a chunk was received.
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    fn end(&mut self) -> Result<Action, InvalidAnswer> {
        if !self.is_finished {
            return Err(InvalidAnswer::Truncated);
        }
        self.has_ended = true;
        Ok(Action::End)
    }

    fn count(&mut self, chunk: &Chunk) -> Result<Action, InvalidAnswer> {
        if let Some(usage) = chunk.usage {
            self.reported = usage;
        }
        let mut is_last = false;
        for choice in &chunk.choices {
            let choice: Choice =
                serde_json::from_str(choice.get()).map_err(|_| InvalidAnswer::Malformed)?;
            is_last |= choice.finish_reason.is_some();
        }
        self.is_finished |= is_last;
        if !chunk.choices.is_empty() && !is_last {
            if self.received() == self.limit {
                self.has_ended = true;
                return Ok(Action::Limit);
            }
            self.token_hashes.push(hash(&chunk.choices));
        }
        if !std::mem::replace(&mut self.is_started, true) {
            return Ok(Action::First);
        }
        Ok(Action::Forward)
    }
}

/// Hashes the choices of a chunk by their bytes. Engines of one model encode equal tokens as equal
/// bytes; a difference in encoding only prevents a stream from moving to another upstream.
fn hash(choices: &[&RawValue]) -> u64 {
    let add = |hash, choice: &&RawValue| xxh3_64_with_seed(choice.get().as_bytes(), hash);
    choices.iter().fold(0, add)
}
