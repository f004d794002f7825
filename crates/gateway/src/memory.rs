//! Bound on the memory that answers of upstreams take in this process.
//!
//! A bound on each answer is not enough: a host with little memory may hold many at a time, also
//! because callers do not read theirs.

use {
    derive_more::{Display, Error},
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Bytes of a unit in which memory is counted.
const UNIT_BYTES: usize = 1 << 10;

/// The answers held together take all memory that they may.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("answers take all memory that they may")]
pub(crate) struct Exceeded;

/// Memory for answers.
#[derive(Clone, Debug)]
pub(crate) struct Memory(Arc<Semaphore>);

impl Memory {
    /// Creates the bound.
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes / UNIT_BYTES)))
    }

    /// Starts to count an answer.
    pub(crate) fn part(&self) -> Part {
        Part {
            memory: self.clone(),
            permit: None,
        }
    }
}

/// Memory of one answer; dropping it frees the memory.
#[derive(Debug)]
pub(crate) struct Part {
    memory: Memory,
    permit: Option<OwnedSemaphorePermit>,
}

impl Part {
    /// Sets the size of the answer.
    ///
    /// # Errors
    /// When other answers leave too little memory.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let wanted = bytes.div_ceil(UNIT_BYTES);
        let held = self
            .permit
            .as_ref()
            .map_or(0, |permit| permit.num_permits());
        if wanted < held {
            // What is split off is freed.
            drop(
                self.permit
                    .as_mut()
                    .and_then(|permit| permit.split(held - wanted)),
            );
            return Ok(());
        }
        let more = u32::try_from(wanted - held).map_err(|_| Exceeded)?;
        let more = self.memory.0.clone().try_acquire_many_owned(more);
        let more = more.map_err(|_| Exceeded)?;
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        Ok(())
    }
}
