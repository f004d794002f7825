//! The closed list of error kinds and the table from kind to answer.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What is known about the execution of a refused or failed request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream acted on any byte of the request.
    #[display("not_run")]
    NotRun,
    /// An upstream executed the request, at least in part.
    #[display("ran")]
    Ran,
    /// It cannot be known whether an upstream executed the request.
    #[display("unknown")]
    Unknown,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $outcome:ident, $retry:expr;)+) => {
        /// Error kinds of the callers' interface, the administration API and the internal protocol.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Kind {
            $($(#[$doc])* #[display($name)] #[serde(rename = $name)] $kind,)+
        }

        impl Kind {
            /// Every kind, in the order of the error table.
            pub const ALL: &[Self] = &[$(Self::$kind),+];

            /// Returns the answer that belongs to this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer { status: $status, outcome: Outcome::$outcome, retry_after: $retry },)+
                }
            }
        }
    };
}

/// The answer for a [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// What the answer says about the execution of the request.
    pub outcome: Outcome,
    /// Default value of `Retry-After`; absent when a retry cannot help.
    pub retry_after: Option<Duration>,
}

const fn after(seconds: u64) -> Option<Duration> {
    Some(Duration::from_secs(seconds))
}

kinds! {
    /// The request is malformed.
    InvalidRequest = "invalid_request", 400, NotRun, None;
    /// The API key is missing or unknown.
    Unauthenticated = "unauthenticated", 401, NotRun, None;
    /// The key does not allow the call.
    Forbidden = "forbidden", 403, NotRun, None;
    /// The model, service or object does not exist.
    NotFound = "not_found", 404, NotRun, None;
    /// The request body is over the size limit.
    TooLarge = "too_large", 413, NotRun, None;
    /// The rest of the budget does not cover the request.
    BudgetExhausted = "budget_exhausted", 402, NotRun, after(30);
    /// No holder of the budget could be asked.
    BudgetUnavailable = "budget_unavailable", 503, NotRun, after(2);
    /// A request with the same idempotency key is still running.
    KeyInUse = "key_in_use", 409, Unknown, after(2);
    /// The idempotency key was used before with another request body.
    KeyMismatch = "key_mismatch", 422, NotRun, None;
    /// The execution of an earlier request with this idempotency key cannot be determined.
    KeyUnresolved = "key_unresolved", 409, Unknown, after(60);
    /// The claim of a non-idempotent request could not be made durable.
    ClaimUnavailable = "claim_unavailable", 503, NotRun, after(5);
    /// A limit of the workspace, the service or the host is reached.
    Overloaded = "overloaded", 429, NotRun, after(1);
    /// No upstream in service can take the request.
    NoUpstream = "no_upstream", 503, NotRun, after(2);
    /// Every upstream that was tried refused the request.
    UpstreamRefused = "upstream_refused", 502, NotRun, after(1);
    /// The connection to the upstream broke before an answer.
    UpstreamLost = "upstream_lost", 502, Unknown, after(1);
    /// The upstream's answer was cut, malformed or belonged to another request.
    AnswerBroken = "answer_broken", 502, Ran, after(1);
    /// The upstream did not answer in time.
    UpstreamTimeout = "upstream_timeout", 504, Unknown, after(2);
    /// The host is stopping.
    Draining = "draining", 503, NotRun, after(1);
    /// The host has not applied a recent enough configuration.
    Stale = "stale_configuration", 503, NotRun, after(2);
    /// The object was changed by somebody else in the meantime.
    Conflict = "conflict", 409, NotRun, None;
    /// The platform's store did not answer.
    StoreUnavailable = "store_unavailable", 503, Unknown, after(5);
    /// A defect of the router.
    Internal = "internal", 500, Unknown, None;
}

/// An error of a known kind with a message for the reader.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{kind}: {message}")]
pub struct Fault {
    /// Kind, which fixes the answer.
    pub kind: Kind,
    /// What happened, without secrets.
    pub message: String,
    /// Replaces the kind's default `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Replaces the kind's default outcome where more is known.
    pub outcome: Option<Outcome>,
}

impl Fault {
    /// Creates a fault with the default answer of its kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
            outcome: None,
        }
    }

    /// Replaces the outcome.
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Self {
            outcome: Some(outcome),
            ..self
        }
    }

    /// Replaces the time after which the caller may come back.
    pub fn with_retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Returns the answer, with the replacements of this fault applied.
    pub fn answer(&self) -> Answer {
        let base = self.kind.answer();
        Answer {
            outcome: self.outcome.unwrap_or(base.outcome),
            retry_after: self.retry_after.or(base.retry_after),
            ..base
        }
    }
}
