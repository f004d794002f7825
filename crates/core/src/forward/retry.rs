//! What follows from the outcome of an attempt.

use {super::plan::Kind, derive_more::Display, std::time::Duration};

/// Less time than this is not worth another attempt.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// How an attempt ended without an answer to relay.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request reached an upstream.
    #[display("not sent")]
    Unsent,
    /// The upstream stated that it did not run the request.
    #[display("not run")]
    Refused,
    /// The upstream ran the request and failed.
    #[display("ran and failed")]
    Failed,
    /// The request was sent, and nothing trustworthy came back.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Returns whether the request certainly did not run in this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::Refused)
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to another upstream.
    Retry,
    /// Answer that the request did not run.
    Refuse,
    /// Answer that the request failed, or relay the upstream's failure.
    Fail,
}

/// State of a request when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// What may be repeated.
    pub kind: Kind,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether every earlier attempt certainly did not run.
    pub is_unexecuted: bool,
    /// Attempts that reached an upstream so far, this one included.
    pub sent: u32,
    /// Most attempts that may reach an upstream.
    pub attempt_limit: u32,
    /// Time left until the final answer is due.
    pub remaining: Duration,
}

/// Decides what follows; `may_retry` takes a retry from the fleet's allowance and is asked last.
pub fn decide(attempt: &Attempt, may_retry: impl FnOnce() -> bool) -> Decision {
    let has_not_run = attempt.outcome.is_not_run();
    let end = if has_not_run && attempt.is_unexecuted {
        Decision::Refuse
    } else {
        Decision::Fail
    };
    let is_allowed = has_not_run || attempt.kind.is_repeatable();
    if !is_allowed || attempt.sent >= attempt.attempt_limit || attempt.remaining < LEAST_TIME {
        return end;
    }
    // An attempt that reached nobody is no arrival at the service.
    if attempt.sent == 0 || may_retry() {
        Decision::Retry
    } else {
        end
    }
}
