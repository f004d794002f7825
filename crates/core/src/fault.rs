//! Error kinds of all interfaces, with the HTTP status, the outcome and the retry hint of each.

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
            /// Every kind, in the order of the table in `docs/errors.md`.
            pub const ALL: &[Self] = &[$(Self::$kind),+];

            /// Returns the default answer of this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer { status: $status, outcome: Outcome::$outcome, retry_after: $retry },)+
                }
            }
        }
    };
}

/// What an error answer states besides its kind and message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed, as far as is known.
    pub outcome: Outcome,
    /// Default value of `Retry-After`; absent when a retry cannot help.
    pub retry_after: Option<Duration>,
}

const fn seconds(seconds: u64) -> Option<Duration> {
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
    BudgetExhausted = "budget_exhausted", 402, NotRun, seconds(30);
    /// No holder of the budget could be reached.
    BudgetUnavailable = "budget_unavailable", 503, NotRun, seconds(2);
    /// A request with the same idempotency key is still running.
    KeyInUse = "key_in_use", 409, Unknown, seconds(2);
    /// The idempotency key was used before with another request body.
    KeyMismatch = "key_mismatch", 422, NotRun, None;
    /// The execution of an earlier request with this idempotency key cannot be determined.
    KeyUnresolved = "key_unresolved", 409, Unknown, seconds(60);
    /// The claim of a non-idempotent request could not be made durable.
    ClaimUnavailable = "claim_unavailable", 503, NotRun, seconds(5);
    /// A limit of the workspace, the service or the host is reached.
    Overloaded = "overloaded", 429, NotRun, seconds(1);
    /// No upstream in service can take the request.
    NoUpstream = "no_upstream", 503, NotRun, seconds(2);
    /// Every upstream that was tried refused the request.
    UpstreamRefused = "upstream_refused", 502, NotRun, seconds(1);
    /// The connection to the upstream broke before an answer.
    UpstreamLost = "upstream_lost", 502, Unknown, seconds(1);
    /// The upstream's answer was cut, malformed or belonged to another request.
    AnswerBroken = "answer_broken", 502, Ran, seconds(1);
    /// The upstream did not answer in time.
    UpstreamTimeout = "upstream_timeout", 504, Unknown, seconds(2);
    /// The host is stopping.
    Draining = "draining", 503, NotRun, seconds(1);
    /// The host has not applied a recent enough configuration.
    Stale = "stale_configuration", 503, NotRun, seconds(2);
    /// Another writer has changed the object since the caller read it.
    Conflict = "conflict", 409, NotRun, None;
    /// The platform's store did not answer.
    StoreUnavailable = "store_unavailable", 503, Unknown, seconds(5);
    /// An unexpected error inside the router, which is a defect of it.
    Internal = "internal", 500, Unknown, None;
}

/// An error with a kind and a message for the caller or operator.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{kind}: {message}")]
pub struct Fault {
    /// Determines the HTTP status and the defaults of the outcome and of `Retry-After`.
    pub kind: Kind,
    /// Description of what happened. Must not contain secrets.
    pub message: String,
    /// Overrides the kind's default `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Overrides the kind's default outcome where more is known.
    pub outcome: Option<Outcome>,
}

impl Fault {
    /// Creates an error with the default answer of its kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
            outcome: None,
        }
    }

    /// Sets an outcome in place of the kind's default.
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Self {
            outcome: Some(outcome),
            ..self
        }
    }

    /// Sets a `Retry-After` in place of the kind's default.
    pub fn with_retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Returns the answer of the kind with the overrides of this error applied.
    pub fn answer(&self) -> Answer {
        let base = self.kind.answer();
        Answer {
            outcome: self.outcome.unwrap_or(base.outcome),
            retry_after: self.retry_after.or(base.retry_after),
            ..base
        }
    }
}
