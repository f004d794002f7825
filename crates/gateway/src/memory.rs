//! Limit on the memory that responses of upstreams take in this process.
//!
//! A limit on each response is not enough: a host with little memory may hold many at a time, also
//! because callers do not read theirs.

use {
    derive_more::{Display, Error},
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Granularity of the accounting: one semaphore permit stands for this many bytes.
const UNIT_BYTES: usize = 1 << 10;

/// The responses in memory have used up the quota.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("answers take all memory that they may")]
pub(crate) struct Exceeded;

/// Quota of memory that all responses of the process share.
#[derive(Clone, Debug)]
pub(crate) struct Quota(Arc<Semaphore>);

impl Quota {
    /// Creates a quota; it is rounded down to whole units.
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes / UNIT_BYTES)))
    }

    /// Returns the memory that is left, in bytes.
    pub(crate) fn left(&self) -> usize {
        self.0.available_permits() * UNIT_BYTES
    }

    /// Returns an empty permit for a response.
    pub(crate) fn permit(&self) -> Permit {
        Permit {
            quota: self.clone(),
            units: None,
        }
    }
}

/// Memory that one response has taken from the quota; dropping it returns the memory.
#[derive(Debug)]
pub(crate) struct Permit {
    quota: Quota,
    units: Option<OwnedSemaphorePermit>,
}

impl Permit {
    /// Grows or shrinks to the size of the response.
    ///
    /// # Errors
    /// When the quota has too little memory left.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let wanted = bytes.div_ceil(UNIT_BYTES);
        let held = self.units.as_ref().map_or(0, |units| units.num_permits());
        if wanted < held {
            // Dropping the part that is split off releases it.
            drop(
                self.units
                    .as_mut()
                    .and_then(|units| units.split(held - wanted)),
            );
            return Ok(());
        }
        let more = u32::try_from(wanted - held).map_err(|_| Exceeded)?;
        let more = self.quota.0.clone().try_acquire_many_owned(more);
        let more = more.map_err(|_| Exceeded)?;
        match &mut self.units {
            Some(units) => units.merge(more),
            None => self.units = Some(more),
        }
        Ok(())
    }
}
