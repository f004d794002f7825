//! The task that owns this process's [`Holder`](marigoldroute_core::budget::Holder) and keeps its
//! journal in the table service.

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

pub(crate) use work::{Parts, create};

/// Commands that wait for the task.
const QUEUE_COMMANDS: usize = 1_024;

/// Why nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The budget has no more.
    Exhausted,
    /// The holder could not refill in time, or takes no reservations.
    Unavailable,
}

type Reserved = Result<Tokens, Refusal>;

/// A reservation to make.
#[derive(Clone, Debug)]
pub(crate) struct ReservationSpec {
    /// `{request}.{attempt}`, see [`marigoldroute_core::bill::request_of`].
    pub(crate) attempt: RequestId,
    pub(crate) budget: BudgetId,
    pub(crate) amount: Tokens,
    /// Fewest tokens that are of use; below `amount`, the holder reserves what it has at once.
    pub(crate) least: Tokens,
    /// For the bill when the entry is lost.
    pub(crate) workspace: WorkspaceId,
    /// Model or service, for the bill when the entry is lost.
    pub(crate) model: ModelId,
}

/// A finished attempt.
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

/// Access to the task; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Escrow(mpsc::Sender<Command>);

impl Escrow {
    /// Reserves tokens; waits for a refill, at most for the reserve timeout.
    pub(crate) async fn reserve(&self, spec: ReservationSpec) -> Reserved {
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(Command::Reserve { spec, reply }).await;
        sent.map_err(|_| Refusal::Unavailable)?;
        answer.await.unwrap_or(Err(Refusal::Unavailable))
    }

    /// Lowers a reservation.
    pub(crate) async fn lower(&self, attempt: RequestId, amount: Tokens) {
        // The task only ends after the last reservation, so a failed send has nothing to lower.
        let _ = self.0.send(Command::Lower { attempt, amount }).await;
    }

    /// Settles attempts and returns the state of each bill; `None` when the task has ended.
    pub(crate) async fn settle(&self, items: Vec<Settlement>) -> Option<Vec<Billing>> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Command::Settle { items, reply }).await.ok()?;
        answer.await.ok()
    }

    /// Notes that another holder lacks tokens of a budget.
    pub(crate) async fn review(&self, budget: BudgetId) {
        let _ = self.0.send(Command::Review { budget }).await;
    }

    /// Ends the reservation of a request that did not run; returns once it has ended.
    pub(crate) async fn release(&self, attempt: RequestId) {
        let (reply, released) = oneshot::channel();
        // The task only ends after the last reservation, so a failed send has nothing to release.
        let _ = self.0.send(Command::Release { attempt, reply }).await;
        let _ = released.await;
    }

    /// Notes that a service that keeps no records is about to receive a request; returns whether
    /// the request has a reservation, without which it must not be sent.
    pub(crate) async fn announce(&self, attempt: RequestId) -> bool {
        let (reply, announced) = oneshot::channel();
        let sent = self.0.send(Command::Announce { attempt, reply }).await;
        sent.is_ok() && announced.await.unwrap_or(false)
    }
}
