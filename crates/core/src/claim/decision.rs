//! What a router does with a claimed request.

use {
    super::{
        attempt::Waiting,
        permit::{Permit, Unsent},
        row::{Body, Response},
    },
    crate::{
        fault::{Fault, Kind, Outcome},
        id::RequestId,
    },
    std::time::Duration,
};

/// What the upstreams of a service can say about a request id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Capability {
    /// Nothing.
    #[default]
    None,
    /// Whether the request was executed. It may still arrive later, so a negative answer does
    /// not permit a second attempt.
    Query,
    /// As [`Self::Query`], and they refuse the request id from then on for at least the
    /// retention of claims. This is what permits a takeover.
    Fence,
}

/// What the fleet view says about the author of a claim. A wrong answer costs a query but no
/// second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The process is running, or this is not known.
    Alive,
    /// The process is gone, or its host runs a later incarnation.
    Gone,
}

/// The answer to a [`Query`], combined over all upstreams that may have received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// An upstream executed it.
    Ran,
    /// An upstream is executing it.
    Running,
    /// No upstream has seen it.
    Absent,
    /// No upstream has seen it, and all of them have confirmed that they will refuse it.
    Fenced,
    /// At least one upstream did not answer.
    Unreachable,
}

/// Asks the upstreams about the attempt that a claim row names.
#[derive(Debug)]
pub struct Query {
    /// The request id to ask for.
    pub request: RequestId,
    /// Whether the upstreams are to refuse the request id from then on.
    pub is_fencing: bool,
    /// Whether the author has not given the result up.
    pub(super) is_awaited: bool,
    pub(super) waiting: Waiting,
}

impl Query {
    /// Returns the request id of the attempt that waits for the answer.
    pub fn attempt(&self) -> &RequestId {
        self.waiting.request()
    }
}

/// What to do with a request.
#[derive(Debug)]
pub enum Decision {
    /// Run it.
    Run(Permit<Unsent>),
    /// Return the recorded result.
    Replay(Response),
    /// Another attempt is running.
    Busy {
        /// When to come back.
        retry_after: Duration,
    },
    /// The key was used with another request.
    Mismatch,
    /// The execution of an earlier attempt cannot be determined.
    Unresolved,
    /// Ask the upstreams and pass the answer to [`super::Registry::resolve`].
    Query(Box<Query>),
    /// Refuse as not run; the claim is not known to be durable.
    Unavailable,
}

impl Decision {
    /// Returns the error response of a decision; [`Self::Run`], [`Self::Query`] and a replay
    /// with a body have none.
    pub fn fault(&self) -> Option<Fault> {
        let fault = match self {
            Self::Run(_) | Self::Query(_) => return None,
            Self::Replay(recorded) => return replay_fault(&recorded.body),
            Self::Busy { retry_after } => {
                Fault::new(Kind::KeyInUse, "a request with this key is running")
                    .with_retry_after(*retry_after)
            }
            Self::Mismatch => Fault::new(
                Kind::KeyMismatch,
                "the key was used before with another request",
            ),
            Self::Unresolved => Fault::new(
                Kind::KeyUnresolved,
                "the execution of an earlier request with this key is unknown",
            ),
            Self::Unavailable => Fault::new(
                Kind::ClaimUnavailable,
                "the claim of the key could not be confirmed",
            ),
        };
        Some(fault)
    }
}

fn replay_fault(body: &Body) -> Option<Fault> {
    let message = match body {
        Body::Text(_) | Body::Hex(_) | Body::Object(_) => return None,
        Body::TooLarge { .. } => "the request ran; its response is too large to replay",
        Body::Missing => "the request ran; its response was lost",
    };
    Some(Fault::new(Kind::KeyUnresolved, message).with_outcome(Outcome::Ran))
}
