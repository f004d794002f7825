//! Decides whether a request is retried after an attempt.

use {super::snapshot::Kind, derive_more::Display, std::time::Duration};

/// With less time left than this, another attempt is not worth making.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// How an attempt without an answer to relay ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request reached an upstream.
    #[display("not sent")]
    Unsent,
    /// Nothing was sent, since the upstream took no requests any more by the time it was to be.
    #[display("held back")]
    Barred,
    /// Nothing was sent, since the process stops before the request could end.
    #[display("too late")]
    Late,
    /// The upstream stated that it did not run the request.
    #[display("not run")]
    Refused,
    /// The upstream ran the request and failed.
    #[display("ran and failed")]
    Failed,
    /// The request was sent, and no valid answer shows whether it ran.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Returns whether the attempt certainly did not run the request.
    pub fn is_not_run(self) -> bool {
        self.is_unsent() || self == Self::Refused
    }

    /// Returns whether no byte of the request reached an upstream.
    pub fn is_unsent(self) -> bool {
        self == Self::Unsent || self.is_held_back()
    }

    /// Returns whether the request was kept from an upstream that could have been sent it.
    pub fn is_held_back(self) -> bool {
        matches!(self, Self::Barred | Self::Late)
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

/// An ended attempt and the state of its request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the request may be repeated, by its route.
    pub kind: Kind,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether every earlier attempt certainly did not run the request.
    pub is_unexecuted: bool,
    /// Attempts that have reached an upstream, including this one.
    pub sent: u32,
    /// Maximum of `sent`.
    pub attempt_limit: u32,
    /// Time left until the final answer is due.
    pub remaining: Duration,
}

impl Attempt {
    /// Returns whether the kind of request, the attempt limit and the time left allow another
    /// attempt.
    pub fn is_repeatable(&self) -> bool {
        self.outcome != Outcome::Late
            && (self.outcome.is_not_run() || self.kind.is_repeatable())
            && self.sent < self.attempt_limit
            && self.remaining >= MIN_ATTEMPT_TIME
    }
}

/// Decides what to do after an attempt.
///
/// `may_retry` takes a retry from the fleet's allowance; it is called only when nothing else rules
/// out a retry.
pub fn decide(attempt: &Attempt, may_retry: impl FnOnce() -> bool) -> Decision {
    let has_not_run = attempt.outcome.is_not_run();
    let end = if has_not_run && attempt.is_unexecuted {
        Decision::Refuse
    } else {
        Decision::Fail
    };
    if !attempt.is_repeatable() {
        return end;
    }
    // While no attempt has reached an upstream, a retry adds no load and takes no allowance. One that
    // was held back has its allowance still.
    if attempt.sent == 0 || attempt.outcome == Outcome::Barred || may_retry() {
        Decision::Retry
    } else {
        end
    }
}
