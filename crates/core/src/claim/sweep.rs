//! Removal of expired claims.

use {
    super::row::{Body, Claim, Response, State},
    crate::table::{Row, Transaction},
    std::{sync::Arc, time::Duration},
};

/// The deletions for one page of claim rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sweep {
    /// Deletes expired rows on condition that none of them has changed. After a conflict the next
    /// sweep reads the rows again.
    pub transaction: Transaction,
    /// Keys of the objects with recorded bodies, to be deleted after the transaction.
    pub objects: Vec<Arc<str>>,
    /// Keys of rows that cannot be decoded; they are not deleted.
    pub malformed: Vec<Arc<str>>,
}

/// Returns the deletions for a page of rows at `wall`, the time since the Unix epoch. At most
/// `limit` rows are deleted, because each counts as a write of the store.
pub fn sweep(rows: &[Row], wall: Duration, retention: Duration, limit: usize) -> Sweep {
    let mut sweep = Sweep::default();
    for row in rows {
        let Ok(claim) = Claim::decode(row) else {
            sweep.malformed.push(row.key.clone());
            continue;
        };
        if sweep.transaction.writes.len() >= limit || !claim.is_expired(wall, retention) {
            continue;
        }
        sweep.transaction.require(row.key.clone(), row.version);
        sweep.transaction.delete(row.key.clone());
        if let State::Done(Response {
            body: Body::Object(key),
            ..
        }) = claim.state
        {
            sweep.objects.push(key);
        }
    }
    sweep
}
