//! Calls of the escrow task to the table service.

use {
    super::holders::Generation,
    marigoldroute_core::table::{Row, Transaction, Verdict},
    marigoldroute_store::{Client, Fault},
    std::{future::Future, pin::Pin},
};

/// Result of a call: budget rows, the verdict on a transaction, or a failure.
pub(super) enum Event {
    Rows(Generation, Vec<Row>),
    Verdict(Generation, Verdict),
    Failed(Fault),
}

/// A call to the platform in progress.
pub(super) type Call = Pin<Box<dyn Future<Output = Event> + Send>>;

/// Waits for the call in progress; never completes if there is none.
pub(super) async fn advance(call: &mut Option<Call>) -> Event {
    let Some(future) = call.as_mut() else {
        return std::future::pending().await;
    };
    let event = future.await;
    *call = None;
    event
}

/// Reads the budget rows with these keys for a holder.
pub(super) async fn read(platform: Client, generation: Generation, keys: Vec<String>) -> Event {
    match platform.get_all(&keys).await {
        Ok(rows) => Event::Rows(generation, rows),
        Err(fault) => Event::Failed(fault),
    }
}

/// Commits a transaction of a holder.
pub(super) async fn commit(
    platform: Client,
    generation: Generation,
    transaction: Transaction,
) -> Event {
    match platform.commit(&transaction).await {
        Ok(verdict) => Event::Verdict(generation, verdict),
        Err(fault) => Event::Failed(fault),
    }
}
