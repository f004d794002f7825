//! Claims of non-idempotent requests.
//!
//! One task owns core's [`Registry`](marigoldroute_core::claim::Registry) and commits its
//! transactions; claims that arrive while one is on its way share the next.

mod work;

use {
    marigoldroute_core::{
        claim::{Attempt, Decision, Update},
        fault::{Fault, Kind},
    },
    tokio::sync::{mpsc, oneshot},
};

pub(crate) use work::{Parts, create};

/// Commands that wait for the task.
const QUEUE_COMMANDS: usize = 1_024;

enum Command {
    Submit {
        attempt: Box<Attempt>,
        reply: oneshot::Sender<Result<Decision, Fault>>,
    },
    Update(Box<Update>),
}

/// Access to the task; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Claims(mpsc::Sender<Command>);

impl Claims {
    /// Returns the decision on an attempt; never [`Decision::Query`].
    ///
    /// # Errors
    /// When too many claims wait for the store.
    pub(crate) async fn submit(&self, attempt: Attempt) -> Result<Decision, Fault> {
        let (reply, answer) = oneshot::channel();
        let attempt = Box::new(attempt);
        let lost = || Fault::new(Kind::ClaimUnavailable, "the host is stopping");
        let sent = self.0.send(Command::Submit { attempt, reply }).await;
        sent.map_err(|_| lost())?;
        answer.await.unwrap_or_else(|_| Err(lost()))
    }

    /// Queues a change of a claim row.
    pub(crate) async fn push(&self, update: Update) {
        // The task only ends after the last request, so the send cannot fail before.
        let _ = self.0.send(Command::Update(Box::new(update))).await;
    }
}
