//! Claims of non-idempotent requests.
//!
//! One task owns core's [`Registry`](marigoldroute_core::claim::Registry) and commits its
//! transactions. Claims that arrive during a commit are batched into the next transaction.

mod work;

use {
    marigoldroute_core::{
        claim::{Attempt, Decision, Update},
        fault::{Fault, Kind},
    },
    tokio::sync::{mpsc, oneshot},
};

pub(crate) use work::{Dependencies, create};

/// Capacity of the command queue.
const QUEUE_COMMANDS: usize = 1_024;

enum Command {
    Submit {
        attempt: Box<Attempt>,
        reply: oneshot::Sender<Result<Decision, Fault>>,
    },
    Update(Box<Update>),
}

/// Handle to the task; clones send to the same one.
#[derive(Clone, Debug)]
pub(crate) struct Claims(mpsc::Sender<Command>);

impl Claims {
    /// Returns the decision on an attempt; never [`Decision::Query`].
    ///
    /// # Errors
    /// [`Kind::ClaimUnavailable`] if too many claims wait for the store or the task has ended.
    pub(crate) async fn submit(&self, attempt: Attempt) -> Result<Decision, Fault> {
        let (reply, answer) = oneshot::channel();
        let attempt = Box::new(attempt);
        let lost = || Fault::new(Kind::ClaimUnavailable, "the host is stopping");
        let sent = self.0.send(Command::Submit { attempt, reply }).await;
        sent.map_err(|_| lost())?;
        answer.await.unwrap_or_else(|_| Err(lost()))
    }

    /// Queues an update of a claim row.
    pub(crate) async fn push(&self, update: Update) {
        // The task ends only after the last request, so the send cannot fail.
        let _ = self.0.send(Command::Update(Box::new(update))).await;
    }
}
