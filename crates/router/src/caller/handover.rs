//! Moves a stream from a withdrawn upstream to another one.
//!
//! No engine resumes the run of another one, so the request starts anew. The new answer is read
//! and dropped as far as the caller has it, and compared token by token. The withdrawn upstream is
//! not read meanwhile, so that the part to be repeated does not grow; it is cancelled only when
//! the new answer has gone beyond what the caller has. When no upstream takes the request, or its
//! answer is another one, the stream goes on where it was.

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

/// Upstreams that are tried for one request; each one costs the caller a pause.
const MOVE_ATTEMPTS: u32 = 3;
/// Longest wait for the next event of the new answer; the caller's stream stands still meanwhile.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Follows the configuration to find out when one request has to move.
pub(super) struct MoveWatcher {
    snapshots: watch::Receiver<Arc<Snapshot>>,
    repeat: Repeat,
    /// Attempts left.
    left: u32,
}

/// Why a request does not go on at another upstream that took it.
enum Refusal {
    Failed,
    /// Its answer is another one.
    Differs,
}

/// A stream to be moved.
pub(super) struct Handover<'a> {
    pub(super) active: &'a ActiveRequest,
    pub(super) call: &'a UpstreamRequest,
    /// What the caller has.
    pub(super) passed: &'a Validator,
}

impl MoveWatcher {
    pub(super) fn new(active: &ActiveRequest) -> Self {
        let repeat = match active.kind.is_idempotent() {
            true => Repeat::Allowed,
            false => Repeat::Never,
        };
        let mut snapshots = active.context.control.subscribe();
        snapshots.mark_changed();
        Self {
            snapshots,
            repeat,
            left: MOVE_ATTEMPTS,
        }
    }

    /// Waits until the request has to leave an upstream. Each state of the configuration gives
    /// one reason at most.
    pub(super) async fn due(&mut self, upstream: &UpstreamId, serves: &str) {
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
    /// Sends the request to an upstream that it has not been at, and reads the answer up to the
    /// first event that the caller does not have. Returns the answer and its state, or `None` when
    /// the request stays where it is.
    pub(super) async fn hand_over(
        &self,
        watch: &mut MoveWatcher,
        tried: &mut Vec<UpstreamId>,
    ) -> Option<(Source, Validator)> {
        let before = tried.len();
        let sent = timeout(EVENT_TIMEOUT, self.active.send_once(self.call, tried)).await;
        if tried.len() > before {
            watch.left -= 1;
        }
        let reply = sent.ok()??;
        let mut source = Source::new(reply);
        let mut state = self.passed.restarted();
        let Err(refusal) = self.catch_up(&mut source, &mut state).await else {
            // The new upstream may have been withdrawn meanwhile.
            watch.snapshots.mark_changed();
            return Some((source, state));
        };
        self.active.cancel(&source.url);
        match refusal {
            Refusal::Failed => source.in_flight.fail(),
            Refusal::Differs => watch.left = 0,
        }
        None
    }

    async fn catch_up(&self, source: &mut Source, state: &mut Validator) -> Result<(), Refusal> {
        let limit = self.active.context.upstreams.timeout().min(EVENT_TIMEOUT);
        loop {
            let event = source.next(limit).await.map_err(|_| Refusal::Failed)?;
            if state.received() == self.passed.received() && !event.data.is_empty() {
                // An event that breaks the answer must not end the run that is in order.
                state.clone().accept(&event).map_err(|_| Refusal::Failed)?;
                source.put_back(event);
                return Ok(());
            }
            match state.accept(&event) {
                Ok(Action::First) => source.in_flight.record_first_token(),
                Ok(Action::Forward) => {}
                Ok(Action::Limit | Action::End | Action::Ignore) => return Err(Refusal::Differs),
                Err(_) => return Err(Refusal::Failed),
            }
            if state.is_finished() || !state.matches_last_token(self.passed) {
                return Err(Refusal::Differs);
            }
        }
    }
}
