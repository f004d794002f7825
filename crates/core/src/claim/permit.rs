//! A claim that this process holds.

use {
    super::{
        attempt::Timestamp,
        backlog::{Action, Update},
        row::Response,
    },
    crate::id::RequestId,
    std::{marker::PhantomData, sync::Arc, time::Duration},
};

/// No byte of the request has left the host.
#[derive(Debug)]
pub struct Unsent(());
/// A byte of the request may have reached an upstream.
#[derive(Debug)]
pub struct Sent(());

/// The right to run one request. Dropping it leaves the row running until the process is gone.
#[derive(Debug)]
#[must_use]
pub struct Permit<S> {
    pub(super) key: Arc<str>,
    pub(super) request: RequestId,
    /// When the claim was submitted.
    pub(super) since: Timestamp,
    /// How long after `since` the request may be sent.
    pub(super) window: Duration,
    state: PhantomData<S>,
}

impl<S> Permit<S> {
    /// Returns the request id to send.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    fn turn<T>(self) -> Permit<T> {
        let Self {
            key,
            request,
            since,
            window,
            ..
        } = self;
        Permit {
            key,
            request,
            since,
            window,
            state: PhantomData,
        }
    }

    fn update(self, action: Action) -> Update {
        Update {
            key: self.key,
            request: self.request,
            action,
            until: None,
        }
    }
}

impl Permit<Unsent> {
    pub(super) fn new(
        key: Arc<str>,
        request: RequestId,
        since: Timestamp,
        window: Duration,
    ) -> Self {
        Self {
            key,
            request,
            since,
            window,
            state: PhantomData,
        }
    }

    /// Permits the send; call it directly before the first byte.
    ///
    /// Both clocks must be within the window. The process clock stands still while a virtual
    /// machine is suspended; the clock of the day can be set back.
    ///
    /// # Errors
    /// Returns the claim when the window has passed: the row may have expired and the key may
    /// have been claimed again.
    pub fn begin_send(self, clock: Timestamp) -> Result<Permit<Sent>, Self> {
        let elapsed = clock.monotonic.saturating_sub(self.since.monotonic);
        let passed = clock.wall.abs_diff(self.since.wall);
        if elapsed.max(passed) >= self.window {
            return Err(self);
        }
        Ok(self.turn())
    }

    /// Gives the claim up; the request was not and will not be sent.
    pub fn release(self) -> Update {
        self.update(Action::Release)
    }
}

impl Permit<Sent> {
    /// The upstream reported that it refused the request and executed nothing of it.
    pub fn into_unsent(self) -> Permit<Unsent> {
        self.turn()
    }

    /// Gives the result up: it is not known whether the upstream executed the request. Retries
    /// then ask the upstreams instead of waiting for this process.
    pub fn mark_unresolved(self) -> Update {
        self.update(Action::Unresolve)
    }

    /// Records the result.
    pub fn record(self, recorded: Response) -> Update {
        self.update(Action::Record(recorded))
    }
}
