//! Number of attempts in which a request was sent, shared by its copies.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

/// Attempts in which a request was sent to an upstream. Clones count together, so that a request
/// whose copy may run is never taken for one that was not sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sends(Arc<AtomicU32>);

impl Sends {
    pub(crate) fn count(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts an attempt that is about to be sent.
    pub(super) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back an attempt of which no byte was sent.
    pub(super) fn take_back(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
