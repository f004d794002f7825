//! Removal of expired claims.

use {
    super::row::{Body, Claim, Response, State},
    crate::table::{Row, Transaction},
    std::{sync::Arc, time::Duration},
};

/// One step of the removal of expired claims.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sweep {
    /// Deletes expired rows, each on condition that it is unchanged. On a conflict the next
    /// sweep reads the rows again.
    pub transaction: Transaction,
    /// Recorded bodies to delete from the object store after the transaction.
    pub objects: Vec<Arc<str>>,
    /// Keys of rows that are not claims; they are left in place.
    pub broken: Vec<Arc<str>>,
}

/// Returns the step for a page of rows at `wall`, the time since the Unix epoch. At most `limit`
/// rows are deleted, because every row counts against the store's writes.
pub fn sweep(rows: &[Row], wall: Duration, retention: Duration, limit: usize) -> Sweep {
    let mut step = Sweep::default();
    for row in rows {
        let Ok(claim) = Claim::decode(row) else {
            step.broken.push(row.key.clone());
            continue;
        };
        if step.transaction.writes.len() >= limit || !claim.is_expired(wall, retention) {
            continue;
        }
        step.transaction.require(row.key.clone(), row.version);
        step.transaction.delete(row.key.clone());
        if let State::Done(Response {
            body: Body::Object(key),
            ..
        }) = claim.state
        {
            step.objects.push(key);
        }
    }
    step
}
