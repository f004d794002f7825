//! Attempts to claim a key, and the batches in which they are submitted to the store.

use {
    super::{
        decision::Capability,
        row::{self, Claim, State},
    },
    crate::{
        id::{HolderId, RequestId, Version, WorkspaceId},
        table::{Row, Transaction},
    },
    std::{sync::Arc, time::Duration},
};

/// A time as read from both the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timestamp {
    /// Time since the origin of the process's monotonic clock.
    pub monotonic: Duration,
    /// Time since the Unix epoch, comparable between hosts up to clock differences.
    pub wall: Duration,
}

/// An attempt of a request to claim its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Workspace that sent the request. Keys of different workspaces are independent.
    pub workspace: WorkspaceId,
    /// Value of the `Idempotency-Key` header field.
    pub key: Arc<str>,
    /// Hash of method, path and body of the request, see [`super::digest`].
    pub body: Arc<str>,
    /// Id of the attempt, unique also among retries with the same key.
    pub request: RequestId,
    /// What the upstreams of the service can say about an earlier attempt.
    pub capability: Capability,
}

/// An attempt without a decision.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) key: Arc<str>,
    pub(super) claim: Claim,
    pub(super) capability: Capability,
    /// Time at which the claim was first submitted to the store.
    pub(super) submitted: Timestamp,
    /// Version of the row that the claim replaces; 0 when it creates the row.
    pub(super) expected: Version,
    /// Number of transactions that have contained the claim.
    pub(super) submissions: u8,
    /// Whether the claim is submitted in a transaction of its own, as after a conflict in a batch.
    pub(super) is_alone: bool,
    /// Whether the reply to a transaction with the claim was lost, so that the transaction may
    /// still be on its way to the store.
    pub(super) has_lost_reply: bool,
}

impl Pending {
    pub(super) fn new(author: HolderId, attempt: Attempt) -> Self {
        Self {
            key: row::key(&attempt.workspace, &attempt.key),
            claim: Claim {
                author,
                request: attempt.request,
                body: attempt.body,
                created: 0,
                state: State::Running,
            },
            capability: attempt.capability,
            submitted: Timestamp::default(),
            expected: 0,
            submissions: 0,
            is_alone: false,
            has_lost_reply: false,
        }
    }

    /// Returns whether a row contains the claim of this attempt.
    pub(super) fn matches(&self, row: &Row) -> bool {
        Claim::decode(row).is_ok_and(|claim| claim == self.claim)
    }

    pub(super) fn request(&self) -> &RequestId {
        &self.claim.request
    }

    /// Records a submission. Only the first one sets the times, so that the claim is never newer
    /// than a row that an earlier submission left.
    pub(super) fn mark_submitted(&mut self, now: Timestamp) {
        if self.submissions == 0 {
            self.submitted = now;
            self.claim.created = now.wall.as_secs();
        }
        self.submissions += 1;
    }
}

/// Attempts that are submitted in one transaction.
#[derive(Debug)]
pub struct Batch {
    /// The transaction to commit.
    pub transaction: Transaction,
    pub(super) members: Vec<Pending>,
}

impl Batch {
    /// Returns the keys of the claim rows, to be read back after a lost reply.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.members.iter().map(|member| &member.key)
    }
}
