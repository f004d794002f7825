//! The lease under which one host places models.

use {
    super::{NAME, RoundError, Worker},
    marigoldroute_core::{bill, placement, table::Row},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The lease as this process holds it.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    /// Row of the table service.
    pub(super) row: Row,
    pub(super) lease: placement::Lease,
}

impl Worker {
    /// Takes or renews the lease for `term`; `None` while another process holds it.
    pub(super) async fn acquire(
        &self,
        known: Option<&HeldLease>,
        term: Duration,
    ) -> Result<Option<HeldLease>, RoundError> {
        // The clocks are read before the write, so that the lease is never assumed to last longer
        // than it does.
        let (start, wall) = (self.clock.now(), wall());
        let key = format!("lease/{NAME}");
        let row = self.platform.get(&key).await?;
        let taken = bill::Lease::acquire(NAME, row.as_ref(), &self.process, wall, term)?;
        let Some(transaction) = taken else {
            return Ok(None);
        };
        // The row read back shows whether the commit took effect, even if its answer was lost.
        let _ = self.platform.commit(&transaction).await;
        let row = self.platform.get(&key).await?;
        let Some(row) = bill::Lease::confirm(&transaction, row, &self.process) else {
            return Ok(None);
        };
        let lease = bill::Lease::decode(&row)?;
        let left = Duration::from_secs(lease.until).saturating_sub(wall);
        let same = known.filter(|known| known.lease.fencing == lease.fencing);
        let lease = placement::Lease {
            fencing: lease.fencing,
            acquired: same.map_or_else(|| self.clock.now(), |known| known.lease.acquired),
            until: start + left.min(term),
        };
        Ok(Some(HeldLease { row, lease }))
    }

    /// Ends the lease, so that the next host need not wait until it has passed.
    pub(super) async fn release_lease(&self) {
        let _ = self.acquire(None, Duration::ZERO).await;
    }

    /// Returns the time left of the lease, as the table service has it now.
    ///
    /// # Errors
    /// [`Broken::Ended`] when the lease has ended or another process has taken it.
    pub(super) async fn confirm(&self, held: &HeldLease) -> Result<Duration, RoundError> {
        let row = self.platform.get(&held.row.key).await?;
        if row.as_ref() != Some(&held.row) {
            return Err(RoundError::Ended);
        }
        // The clock is read after the row, because the read may have taken long.
        let left = held.lease.until.checked_sub(self.clock.now());
        left.filter(|left| !left.is_zero()).ok_or(RoundError::Ended)
    }
}

fn wall() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}
