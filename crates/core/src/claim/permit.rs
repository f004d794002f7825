//! The permit to run a request, as a type state.

use {
    super::{
        attempt::Timestamp,
        backlog::{Action, Update},
        row::Response,
    },
    crate::id::RequestId,
    std::{marker::PhantomData, sync::Arc, time::Duration},
};

/// State of a [`Permit`]: no byte of the request has left the host.
#[derive(Debug)]
pub struct Unsent(());

/// State of a [`Permit`]: a byte of the request may have reached an upstream.
#[derive(Debug)]
pub struct Sent(());

/// Permit to run one request, granted by its claim.
///
/// If it is dropped, the row stays running until the process is gone.
#[derive(Debug)]
#[must_use]
pub struct Permit<S> {
    pub(super) key: Arc<str>,
    pub(super) request: RequestId,
    /// Time at which the claim was first submitted to the store.
    pub(super) submitted: Timestamp,
    /// Time after `submitted` within which the request may be sent.
    pub(super) send_within: Duration,
    state: PhantomData<S>,
}

impl<S> Permit<S> {
    /// Returns the id under which the request is to be sent.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    fn transition<T>(self) -> Permit<T> {
        let Self {
            key,
            request,
            submitted,
            send_within,
            ..
        } = self;
        Permit {
            key,
            request,
            submitted,
            send_within,
            state: PhantomData,
        }
    }

    fn into_update(self, action: Action) -> Update {
        Update {
            key: self.key,
            request: self.request,
            action,
            keep_until: None,
        }
    }
}

impl Permit<Unsent> {
    pub(super) fn new(
        key: Arc<str>,
        request: RequestId,
        submitted: Timestamp,
        send_within: Duration,
    ) -> Self {
        Self {
            key,
            request,
            submitted,
            send_within,
            state: PhantomData,
        }
    }

    /// Checks that the request may still be sent. Call it directly before the first byte is sent.
    ///
    /// Both clocks must be within `send_within` of the submission, because each can fail to show
    /// that time has passed: the monotonic clock stops while a virtual machine is suspended, and
    /// the wall clock can be set back.
    ///
    /// # Errors
    /// Returns the permit when the time has passed. The row may then have expired and the key may
    /// have been claimed again.
    pub fn begin_send(self, now: Timestamp) -> Result<Permit<Sent>, Self> {
        let monotonic_elapsed = now.monotonic.saturating_sub(self.submitted.monotonic);
        let wall_elapsed = now.wall.abs_diff(self.submitted.wall);
        if monotonic_elapsed.max(wall_elapsed) >= self.send_within {
            return Err(self);
        }
        Ok(self.transition())
    }

    /// Returns the update that releases the claim of a request that was not sent and will not be.
    pub fn release(self) -> Update {
        self.into_update(Action::Release)
    }
}

impl Permit<Sent> {
    /// Returns to the unsent state, after the upstream reported that it refused the request and
    /// executed nothing of it.
    pub fn into_unsent(self) -> Permit<Unsent> {
        self.transition()
    }

    /// Returns the update that marks the claim as unresolved, because it is unknown whether the
    /// upstream executed the request. Retries then query the upstreams instead of waiting for this
    /// process.
    pub fn mark_unresolved(self) -> Update {
        self.into_update(Action::Unresolve)
    }

    /// Returns the update that records the response for replays.
    pub fn record(self, response: Response) -> Update {
        self.into_update(Action::Record(response))
    }
}
