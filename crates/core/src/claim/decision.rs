//! Decisions on attempts to claim a key.

use {
    super::{
        attempt::Pending,
        permit::{Permit, Unsent},
        row::{Body, Response},
    },
    crate::{
        fault::{Fault, Kind, Outcome},
        id::RequestId,
    },
    std::time::Duration,
};

/// What the upstreams of a service support for the id of an earlier attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Capability {
    /// No queries.
    #[default]
    None,
    /// Queries whether a request was executed. The request may still arrive later, so a negative
    /// answer does not permit a second attempt.
    Query,
    /// Queries as with [`Self::Query`], after which the upstreams refuse the request id for at
    /// least the retention of claims. This permits another attempt to take the claim over.
    Fence,
}

/// Whether the author of a claim is running, according to the fleet view.
///
/// The view may be wrong: a false suspicion costs a query of the upstreams, but does not lead to a
/// second execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The process is running, or this is not known.
    Alive,
    /// The process is gone, or its host runs a later incarnation.
    Gone,
}

/// Result of a [`Query`], combined over all upstreams that may have received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// An upstream has executed the request.
    Ran,
    /// An upstream is executing the request.
    Running,
    /// No upstream has received the request.
    Absent,
    /// No upstream has received the request, and all have confirmed that they will refuse it.
    Fenced,
    /// At least one upstream did not answer.
    Unreachable,
}

/// A query to the upstreams about the attempt that a claim row names.
#[derive(Debug)]
pub struct Query {
    /// Id of the attempt that the claim row names.
    pub request: RequestId,
    /// Whether the upstreams must refuse the id from then on, see [`Capability::Fence`].
    pub is_fencing: bool,
    /// Whether the author of the claim may still record the response: the row is running.
    pub(super) can_author_record: bool,
    pub(super) pending: Pending,
}

impl Query {
    /// Returns the id of the attempt whose decision depends on the query.
    pub fn attempt(&self) -> &RequestId {
        self.pending.request()
    }
}

/// What to do with an attempt.
#[derive(Debug)]
pub enum Decision {
    /// Run the request.
    Run(Permit<Unsent>),
    /// Return the recorded response.
    Replay(Response),
    /// Another attempt is running.
    Busy {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The key was used with a different request.
    Mismatch,
    /// It cannot be determined whether an earlier attempt was executed.
    Unresolved,
    /// Query the upstreams and pass the result to [`super::Registry::resolve`].
    Query(Box<Query>),
    /// Refuse the request as not run, because the claim could not be confirmed to be durable.
    Unavailable,
}

impl Decision {
    /// Returns the error to answer the caller with. [`Self::Run`], [`Self::Query`] and a replay
    /// with a body have none.
    pub fn fault(&self) -> Option<Fault> {
        let fault = match self {
            Self::Run(_) | Self::Query(_) => return None,
            Self::Replay(response) => return replay_fault(&response.body),
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
