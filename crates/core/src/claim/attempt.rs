//! Attempts on their way to a decision.

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

/// A reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timestamp {
    /// Time since the process's clock origin.
    pub monotonic: Duration,
    /// Time since the Unix epoch, comparable between hosts.
    pub wall: Duration,
}

/// A request that asks for its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The workspace that asks; keys of different workspaces are independent.
    pub workspace: WorkspaceId,
    /// Value of the `Idempotency-Key` field.
    pub key: Arc<str>,
    /// Hash of method, path and body, see [`super::digest`].
    pub body: Arc<str>,
    /// Unique per attempt, also among retries with the same key.
    pub request: RequestId,
    /// What the upstreams of the service can say.
    pub capability: Capability,
}

/// An attempt whose decision is open.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) key: Arc<str>,
    pub(super) claim: Claim,
    pub(super) capability: Capability,
    /// Time of the first submission to the store.
    pub(super) since: Timestamp,
    /// The row version to replace; 0 creates the row.
    pub(super) expected: Version,
    pub(super) tries: u8,
    /// Submitted in a transaction of its own after a conflict in a group.
    pub(super) alone: bool,
    /// An earlier transaction of this attempt may still be on its way to the store.
    pub(super) is_lost: bool,
}

impl Waiting {
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
            since: Timestamp::default(),
            expected: 0,
            tries: 0,
            alone: false,
            is_lost: false,
        }
    }

    /// Returns whether a row that was read back is the one of this attempt.
    pub(super) fn owns(&self, row: &Row) -> bool {
        Claim::decode(row).is_ok_and(|claim| claim == self.claim)
    }

    pub(super) fn request(&self) -> &RequestId {
        &self.claim.request
    }

    /// Only the first submission counts: a row that it left must not look older than the claim.
    pub(super) fn stamp(&mut self, clock: Timestamp) {
        if self.tries == 0 {
            self.since = clock;
            self.claim.created = clock.wall.as_secs();
        }
        self.tries += 1;
    }
}

/// Attempts that are in one transaction.
#[derive(Debug)]
pub struct Batch {
    /// The transaction to commit.
    pub transaction: Transaction,
    pub(super) members: Vec<Waiting>,
}

impl Batch {
    /// Returns the keys to read when the reply was lost.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.members.iter().map(|member| &member.key)
    }
}
