//! Model engines and plain services that keep usage records by attempt.

use {
    marigoldroute_core::{budget::Execution, budget::Usage, id::RequestId},
    std::collections::BTreeMap,
};

/// Prompt tokens of every request.
pub const PROMPT: u64 = 10;
/// Price of an order in tokens.
pub const PRICE: u64 = 8;

/// A fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    None,
    Refuse,
    /// The connection breaks after half of the answer.
    Truncated,
    /// The stream ends without its end mark.
    NoEnd,
    /// The answer carries the id of another request.
    WrongId,
    /// The answer is sent twice.
    Duplicated,
    /// Nothing is sent.
    Silent,
}

/// Kind of answer that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Stream,
    /// A complete answer in one part.
    Whole,
    /// An order at a plain service, which is not idempotent.
    Order,
}

/// The next part of an answer.
pub enum Part {
    Nothing,
    Refused,
    Piece(String),
    End,
}

struct Work {
    kind: Kind,
    output_tokens: u64,
    done: u64,
    is_running: bool,
    fault: AnswerFault,
}

pub struct Upstream {
    pub is_down: bool,
    pub fault: AnswerFault,
    work: BTreeMap<RequestId, Work>,
}

/// Returns the text of a complete answer.
pub fn output(kind: Kind, attempt: &str, output_tokens: u64) -> String {
    match kind {
        Kind::Order => format!("order of {attempt}"),
        Kind::Stream | Kind::Whole => (0..output_tokens)
            .map(|n| format!("{attempt}:{n} "))
            .collect(),
    }
}

/// Returns the tokens that a complete execution costs.
pub fn cost(kind: Kind, output_tokens: u64) -> u64 {
    match kind {
        Kind::Order => PRICE,
        Kind::Stream | Kind::Whole => PROMPT + output_tokens,
    }
}

impl Upstream {
    pub fn new() -> Self {
        Self {
            is_down: false,
            fault: AnswerFault::None,
            work: BTreeMap::new(),
        }
    }

    /// Accepts a request; returns whether it is executed.
    pub fn accept(&mut self, attempt: &RequestId, kind: Kind, output_tokens: u64) -> bool {
        let fault = std::mem::replace(&mut self.fault, AnswerFault::None);
        let is_refused = fault == AnswerFault::Refuse;
        let work = Work {
            kind,
            output_tokens,
            done: 0,
            is_running: !is_refused,
            fault,
        };
        self.work.insert(attempt.clone(), work);
        !is_refused
    }

    pub fn tick(&mut self) {
        for work in self.work.values_mut().filter(|work| work.is_running) {
            work.done += 1;
            work.is_running = work.done < work.output_tokens;
        }
    }

    pub fn crash(&mut self) {
        self.is_down = true;
        for work in self.work.values_mut() {
            work.is_running = false;
        }
    }

    pub fn cancel(&mut self, attempt: &str) {
        if let Some(work) = self.work.get_mut(attempt) {
            work.is_running = false;
        }
    }

    /// Continues an answer after its connection broke; returns whether it can.
    pub fn resume(&mut self, attempt: &str) -> bool {
        let work = self.work.get_mut(attempt);
        let work =
            work.filter(|work| matches!(work.fault, AnswerFault::Truncated | AnswerFault::NoEnd));
        work.map(|work| work.fault = AnswerFault::None).is_some()
    }

    /// Returns the execution of an attempt by the usage records. While the upstream is down, it
    /// counts as running.
    pub fn execution(&self, attempt: &str, usage: impl Fn(u64) -> Usage) -> Execution {
        match self.work.get(attempt) {
            _ if self.is_down => Execution::Running,
            None => Execution::Absent,
            Some(work) if work.fault == AnswerFault::Refuse => Execution::Absent,
            Some(work) if work.is_running => Execution::Running,
            Some(work) => Execution::Finished(usage(cost(work.kind, work.done))),
        }
    }

    /// Returns part `position` of the answer.
    pub fn answer(&self, attempt: &str, position: u64) -> Part {
        let Some(work) = self.work.get(attempt) else {
            return Part::Nothing;
        };
        if work.fault == AnswerFault::Refuse {
            return Part::Refused;
        }
        if self.is_down || work.fault == AnswerFault::Truncated && 2 * position > work.output_tokens
        {
            return Part::End;
        }
        let other = self.work.keys().find(|other| &***other != attempt);
        let attempt = match work.fault {
            AnswerFault::Silent => return Part::Nothing,
            AnswerFault::WrongId if work.kind != Kind::Order => other.map_or("none", |other| other),
            _ => attempt,
        };
        match work.kind {
            Kind::Stream => work.chunk(attempt, position),
            Kind::Whole | Kind::Order if position > 0 => Part::End,
            Kind::Whole | Kind::Order if work.done < work.output_tokens => match work.is_running {
                true => Part::Nothing,
                false => Part::End,
            },
            Kind::Whole => Part::Piece(format!(
                "{attempt}|{}",
                output(work.kind, attempt, work.output_tokens)
            )),
            Kind::Order => Part::Piece(output(work.kind, attempt, work.output_tokens)),
        }
    }
}

impl Work {
    fn chunk(&self, attempt: &str, position: u64) -> Part {
        if position < self.done {
            let content = format!("{attempt}:{position} ");
            return Part::Piece(chunk(
                attempt,
                &format!(r#"{{"delta":{{"content":"{content}"}}}}"#),
            ));
        }
        if self.is_running {
            return Part::Nothing;
        }
        if self.done < self.output_tokens
            || position > self.output_tokens
            || self.fault == AnswerFault::NoEnd
        {
            return Part::End;
        }
        let mut last = chunk(attempt, r#"{"finish_reason":"stop"}"#);
        last.push_str("data: [DONE]\n\n");
        if self.fault == AnswerFault::Duplicated {
            last = last.repeat(2);
        }
        Part::Piece(last)
    }
}

fn chunk(attempt: &str, choice: &str) -> String {
    let usage = format!(r#"{{"prompt_tokens":{PROMPT}}}"#);
    format!("data: {{\"id\":\"chatcmpl-{attempt}\",\"choices\":[{choice}],\"usage\":{usage}}}\n\n")
}
