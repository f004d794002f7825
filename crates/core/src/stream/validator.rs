//! The state of one relayed answer.

use {
    super::event::{Choice, Chunk, Event, Usage},
    crate::id::{RequestId, Tokens},
    derive_more::{Display, Error},
    serde_json::value::RawValue,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Payload of the event that ends a stream.
const END_MARK: &str = "[DONE]";

/// Why an answer cannot be passed on.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidAnswer {
    /// The chunk belongs to another request.
    #[display("the upstream sent a chunk of another request")]
    WrongRequest,
    /// The event is not a completion chunk.
    #[display("the upstream sent a malformed chunk")]
    Malformed,
    /// An event is over the size limit.
    #[display("the upstream sent an oversized event")]
    Oversized,
    /// The stream ended before its end mark.
    #[display("the upstream ended the stream without its end mark")]
    Truncated,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass the event on.
    Forward,
    /// The first chunk arrived: pass it on; the prompt count is known when it is not 0.
    First,
    /// The upstream passes the output token limit: drop the event, cancel the upstream, end the
    /// stream.
    Limit,
    /// The stream is complete.
    End,
    /// The stream is complete already; the event is dropped.
    Ignore,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Prompt tokens reported by the engine; 0 when it reported none.
    pub prompt: Tokens,
    /// Answer tokens: the larger of the engine's report and the router's own count.
    pub answer: Tokens,
}

/// Checks the events of one answer and counts its tokens.
#[derive(Clone, Debug)]
pub struct Validator {
    request: RequestId,
    limit: Tokens,
    /// Hashes of the chunks that carried a choice; engines send one token a chunk. At most `limit`.
    tokens: Vec<u64>,
    reported: Usage,
    started: bool,
    finished: bool,
    ended: bool,
}

impl Validator {
    /// Creates the state for a request with an output token limit in tokens.
    pub fn new(request: RequestId, limit: Tokens) -> Self {
        Self {
            request,
            limit,
            tokens: Vec::new(),
            reported: Usage::default(),
            started: false,
            finished: false,
            ended: false,
        }
    }

    /// Returns the state for another run of the same request.
    pub fn restarted(&self) -> Self {
        Self::new(self.request.clone(), self.limit)
    }

    /// Takes the next event.
    ///
    /// # Errors
    /// [`InvalidAnswer`] when the answer must not be passed on any further.
    pub fn accept(&mut self, event: &Event) -> Result<Step, InvalidAnswer> {
        if self.ended {
            return Ok(Step::Ignore);
        }
        if event.data.is_empty() {
            return Ok(Step::Forward);
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

    /// Checks that the stream may end here.
    ///
    /// # Errors
    /// [`InvalidAnswer::Truncated`] when the end mark has not arrived.
    pub fn close(&self) -> Result<Summary, InvalidAnswer> {
        if self.ended {
            Ok(self.summary())
        } else {
            Err(InvalidAnswer::Truncated)
        }
    }

    /// Returns the token counts so far.
    pub fn summary(&self) -> Summary {
        Summary {
            prompt: self.reported.prompt_tokens,
            answer: self.received().max(self.reported.completion_tokens),
        }
    }

    /// Returns the answer tokens received so far, from which a resumed stream continues.
    pub fn received(&self) -> Tokens {
        self.tokens.len() as Tokens
    }

    /// Returns whether the last token is the one that `other` has at the same place; true before
    /// the first token.
    pub fn repeats(&self, other: &Self) -> bool {
        let last = self.tokens.len().checked_sub(1);
        last.is_none_or(|last| self.tokens.get(last) == other.tokens.get(last))
    }

    /// Returns whether the engine has given the reason why the answer ends.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether any chunk was received.
    pub fn is_started(&self) -> bool {
        self.started
    }

    fn end(&mut self) -> Result<Step, InvalidAnswer> {
        if !self.finished {
            return Err(InvalidAnswer::Truncated);
        }
        self.ended = true;
        Ok(Step::End)
    }

    fn count(&mut self, chunk: &Chunk) -> Result<Step, InvalidAnswer> {
        if let Some(usage) = chunk.usage {
            self.reported = usage;
        }
        let mut is_last = false;
        for choice in &chunk.choices {
            let choice: Choice =
                serde_json::from_str(choice.get()).map_err(|_| InvalidAnswer::Malformed)?;
            is_last |= choice.finish_reason.is_some();
        }
        self.finished |= is_last;
        if !chunk.choices.is_empty() && !is_last {
            if self.received() == self.limit {
                self.ended = true;
                return Ok(Step::Limit);
            }
            self.tokens.push(hash(&chunk.choices));
        }
        if !std::mem::replace(&mut self.started, true) {
            return Ok(Step::First);
        }
        Ok(Step::Forward)
    }
}

/// Engines of one model write equal tokens with equal bytes; a difference in their form only keeps
/// a stream where it is.
fn hash(choices: &[&RawValue]) -> u64 {
    let add = |hash, choice: &&RawValue| xxh3_64_with_seed(choice.get().as_bytes(), hash);
    choices.iter().fold(0, add)
}
