//! What the gateway needs of its store.

use {
    derive_more::{Display, Error},
    futures_util::future::BoxFuture,
    marigoldroute_core::{
        forward::{Registration, Snapshot},
        id::UpstreamId,
        table::{Row, Transaction, Verdict},
    },
    std::time::Duration,
};

/// Position in the store's sequence of changes.
pub type Position = u64;

/// Why a call failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The store did not take the call; nothing was written.
    #[display("the store is unavailable")]
    Unavailable,
    /// No answer arrived; a write may have taken effect.
    #[display("the store did not answer")]
    Unanswered,
    /// The answer does not follow the store's interface.
    #[display("the store gave a malformed answer")]
    Malformed,
    /// The changes since the position are no longer known; the whole list has to be read.
    #[display("the store has discarded the history")]
    Discarded,
}

/// What was read, with the position from which changes follow.
#[derive(Clone, Debug)]
pub struct Read<T> {
    /// Content.
    pub content: T,
    /// Position of the content.
    pub position: Position,
}

/// Upstreams as listed; an entry that names no usable upstream is left out.
pub type Listing = Vec<(UpstreamId, Registration)>;

/// A change of the list of upstreams.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new or changed entry.
    Put(UpstreamId, Registration),
    /// The entry was removed, or names no usable upstream any more.
    Removed(UpstreamId),
}

/// The store: a table of rows of the product's own, the operators' configuration and the list of
/// upstreams.
///
/// Reads may be repeated. After [`Fault::Unanswered`] and [`Fault::Malformed`], a write may have
/// taken effect or may do so later.
pub trait Store: Send + Sync + 'static {
    /// Returns the rows of the given keys that exist.
    fn get(&self, keys: Vec<String>) -> BoxFuture<'_, Result<Vec<Row>, Fault>>;

    /// Returns the rows whose key starts with `prefix`, in ascending order of their keys.
    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, Fault>>;

    /// Returns the store's steady clock in milliseconds, as in the newest answer that has arrived.
    fn clock_ms(&self) -> Option<u64>;

    /// Commits a transaction.
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, Result<Verdict, Fault>>;

    /// Returns the newest configuration, or `None` when there is none.
    fn configuration(&self) -> BoxFuture<'_, Result<Read<Option<Snapshot>>, Fault>>;

    /// Waits up to `wait` for a newer configuration than at `since`.
    fn configuration_after(
        &self,
        since: Position,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<Option<Snapshot>>, Fault>>;

    /// Returns the list of upstreams.
    fn upstreams(&self) -> BoxFuture<'_, Result<Read<Listing>, Fault>>;

    /// Waits up to `wait` for changes of the list since a position.
    fn upstreams_after(
        &self,
        since: Position,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<Vec<Update>>, Fault>>;
}
