//! The task that owns this process's [`Holder`](marigoldroute_core::budget::Holder) and writes its
//! journal to the table service.

mod durability;
mod holders;
mod resolve;
mod review;
mod store;
mod work;

use {
    marigoldroute_core::{
        budget::Usage,
        id::{BudgetId, ModelId, RequestId, Tokens, WorkspaceId},
        wire::Billing,
    },
    tokio::sync::{mpsc, oneshot},
};

pub(crate) use work::{Dependencies, create};

/// Capacity of the command queue.
const QUEUE_COMMANDS: usize = 1_024;

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The budget does not cover the reservation.
    Exhausted,
    /// The holder did not answer, cannot reach the store, has too many reservations waiting, or is
    /// stopping.
    Unavailable,
}

type Reserved = Result<Tokens, Refusal>;

/// What to reserve, and for which request.
#[derive(Clone, Debug)]
pub(crate) struct ReservationSpec {
    /// `{request}.{attempt}`, see [`marigoldroute_core::bill::request_of`].
    pub(crate) attempt: RequestId,
    pub(crate) budget: BudgetId,
    /// Tokens to reserve.
    pub(crate) amount: Tokens,
    /// Fewest tokens that the request can use. If less than `amount`, the holder reserves what it
    /// has, without a wait for a refill.
    pub(crate) least: Tokens,
    /// Workspace, for the bill that the holder makes when the entry is lost.
    pub(crate) workspace: WorkspaceId,
    /// Model or service, for the bill that the holder makes when the entry is lost.
    pub(crate) model: ModelId,
}

/// Usage of a finished attempt, to be billed.
#[derive(Clone, Debug)]
pub(crate) struct Settlement {
    pub(crate) attempt: RequestId,
    pub(crate) budget: BudgetId,
    pub(crate) usage: Usage,
}

enum Command {
    Reserve {
        spec: ReservationSpec,
        reply: oneshot::Sender<Reserved>,
    },
    Lower {
        attempt: RequestId,
        amount: Tokens,
    },
    Settle {
        items: Vec<Settlement>,
        reply: oneshot::Sender<Vec<Billing>>,
    },
    Release {
        attempt: RequestId,
        reply: oneshot::Sender<()>,
    },
    Announce {
        attempt: RequestId,
        reply: oneshot::Sender<bool>,
    },
    Review {
        budget: BudgetId,
    },
}

/// Handle to the task; clones send to the same one.
#[derive(Clone, Debug)]
pub(crate) struct Escrow(mpsc::Sender<Command>);

impl Escrow {
    /// Reserves tokens; waits for a refill up to the reserve timeout if needed.
    pub(crate) async fn reserve(&self, spec: ReservationSpec) -> Reserved {
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(Command::Reserve { spec, reply }).await;
        sent.map_err(|_| Refusal::Unavailable)?;
        answer.await.unwrap_or(Err(Refusal::Unavailable))
    }

    /// Lowers a reservation to `amount` tokens.
    pub(crate) async fn lower(&self, attempt: RequestId, amount: Tokens) {
        // The task ends only after the last reservation, so a failed send has nothing to lower.
        let _ = self.0.send(Command::Lower { attempt, amount }).await;
    }

    /// Settles attempts and returns the state of each bill in the same order; `None` when the task
    /// has ended.
    pub(crate) async fn settle(&self, items: Vec<Settlement>) -> Option<Vec<Billing>> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Command::Settle { items, reply }).await.ok()?;
        answer.await.ok()
    }

    /// Requests a review of a budget of which another holder lacks tokens.
    pub(crate) async fn review(&self, budget: BudgetId) {
        let _ = self.0.send(Command::Review { budget }).await;
    }

    /// Ends the reservation of a request that did not run; returns once it has ended.
    pub(crate) async fn release(&self, attempt: RequestId) {
        let (reply, released) = oneshot::channel();
        // The task ends only after the last reservation, so a failed send has nothing to release.
        let _ = self.0.send(Command::Release { attempt, reply }).await;
        let _ = released.await;
    }

    /// Records that a plain service, which keeps no usage records, is about to receive a request.
    /// Returns whether the request has a reservation; without one it must not be sent.
    pub(crate) async fn announce(&self, attempt: RequestId) -> bool {
        let (reply, announced) = oneshot::channel();
        let sent = self.0.send(Command::Announce { attempt, reply }).await;
        sent.is_ok() && announced.await.unwrap_or(false)
    }
}
