//! Moves a stream from a withdrawn upstream to another one.
//!
//! No engine can resume the run of another one, so the request starts again. The new answer is
//! compared token by token with what the caller has received, and dropped up to that point.
//! Meanwhile the withdrawn upstream is not read, so that the part to be repeated does not grow; it
//! is cancelled only once the new answer has gone beyond what the caller has. If no upstream
//! accepts the request, or its answer differs, the stream continues at the old upstream.

use {
    super::{
        active_request::{ActiveRequest, UpstreamRequest},
        source::Source,
    },
    crate::control::Snapshot,
    marigoldroute_core::{
        id::UpstreamId,
        stream::{Action, Validator},
        withdraw::{Disposition, Repeat},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
};

/// Upstreams that are tried for one request; each attempt pauses the caller's stream.
const MOVE_ATTEMPTS: u32 = 3;
/// Longest wait for the next event of the new answer, during which the caller's stream is paused.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Watches the configuration for a change that requires one request to move.
pub(super) struct MoveWatcher {
    snapshots: watch::Receiver<Arc<Snapshot>>,
    repeat: Repeat,
    /// Attempts to move that are left.
    left: u32,
}

/// Why a move to an upstream that accepted the request failed.
enum MoveError {
    /// The answer broke or did not arrive in time.
    Failed,
    /// The answer is not the same as the one that the caller has received.
    Differs,
}

/// A stream that has to move.
pub(super) struct Handover<'a> {
    pub(super) request: &'a ActiveRequest,
    pub(super) call: &'a UpstreamRequest,
    /// State of the answer as far as the caller has received it.
    pub(super) passed: &'a Validator,
}

impl MoveWatcher {
    pub(super) fn new(request: &ActiveRequest) -> Self {
        let repeat = match request.kind.is_idempotent() {
            true => Repeat::Allowed,
            false => Repeat::Never,
        };
        let mut snapshots = request.context.control.subscribe();
        snapshots.mark_changed();
        Self {
            snapshots,
            repeat,
            left: MOVE_ATTEMPTS,
        }
    }

    /// Waits until the request has to leave an upstream. Each snapshot triggers one move at most.
    pub(super) async fn wait_until_due(&mut self, upstream: &UpstreamId, serves: &str) {
        while self.left > 0 && self.repeat == Repeat::Allowed {
            if self.snapshots.changed().await.is_err() {
                break;
            }
            let snapshot = self.snapshots.borrow_and_update().clone();
            if Disposition::of(&snapshot.catalog, upstream, serves, self.repeat)
                == Disposition::Move
            {
                return;
            }
        }
        std::future::pending::<()>().await;
    }
}

impl Handover<'_> {
    /// Sends the request to an upstream that has not been tried, and reads the answer up to the
    /// first event that the caller does not have. Returns the new source and the state of its
    /// answer, or `None` if the stream has to stay at its upstream.
    pub(super) async fn run(
        &self,
        watch: &mut MoveWatcher,
        tried: &mut Vec<UpstreamId>,
    ) -> Option<(Source, Validator)> {
        let before = tried.len();
        let sent = timeout(EVENT_TIMEOUT, self.request.send_once(self.call, tried)).await;
        if tried.len() > before {
            watch.left -= 1;
        }
        let reply = sent.ok()??;
        let mut source = Source::new(reply);
        let mut state = self.passed.restarted();
        let Err(error) = self.catch_up(&mut source, &mut state).await else {
            // The new upstream may have been withdrawn in the meantime.
            watch.snapshots.mark_changed();
            return Some((source, state));
        };
        self.request.cancel(&source.url);
        match error {
            MoveError::Failed => source.in_flight.fail(),
            MoveError::Differs => watch.left = 0,
        }
        None
    }

    async fn catch_up(&self, source: &mut Source, state: &mut Validator) -> Result<(), MoveError> {
        let limit = self.request.context.upstreams.timeout().min(EVENT_TIMEOUT);
        loop {
            let event = source.next(limit).await.map_err(|_| MoveError::Failed)?;
            if state.received() == self.passed.received() && !event.data.is_empty() {
                // A malformed event of the new answer must not end the old one, which is valid.
                state
                    .clone()
                    .accept(&event)
                    .map_err(|_| MoveError::Failed)?;
                source.put_back(event);
                return Ok(());
            }
            match state.accept(&event) {
                Ok(Action::First) => source.in_flight.record_first_token(),
                Ok(Action::Forward) => {}
                Ok(Action::Limit | Action::End | Action::Ignore) => return Err(MoveError::Differs),
                Err(_) => return Err(MoveError::Failed),
            }
            if state.is_finished() || !state.matches_last_token(self.passed) {
                return Err(MoveError::Differs);
            }
        }
    }
}
