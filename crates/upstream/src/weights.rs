//! Stand-in of the weight store, whose rate is limited.

use {
    derive_more::{Display, Error},
    marigoldroute_store::serve,
    poem::{
        EndpointExt, IntoResponse, Response, Route, get, handler,
        http::StatusCode,
        web::{Data, Json, Path},
    },
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Rate of a weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Transfers at a time.
    pub concurrent: usize,
    /// Shortest time between the starts of two transfers.
    pub interval: Duration,
    /// Time that a transfer takes.
    pub transfer: Duration,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            concurrent: 8,
            interval: Duration::ZERO,
            transfer: Duration::from_millis(50),
        }
    }
}

/// Transfers so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfers {
    /// Complete transfers.
    pub complete: u64,
    /// Transfers refused because they were above the rate.
    pub refused: u64,
    /// Transfers in progress.
    pub running: usize,
    /// Greatest number of transfers in progress at a time.
    pub peak: usize,
}

/// A transfer was refused because it was above the rate.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("above the rate of the weight store")]
pub struct RateExceeded;

#[derive(Debug, Default)]
struct State {
    transfers: Transfers,
    last: Option<Instant>,
}

/// A weight store; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct WeightStore {
    rate: Rate,
    state: Arc<Mutex<State>>,
}

impl WeightStore {
    /// Creates a weight store.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate,
            state: Arc::default(),
        }
    }

    /// Transfers the weights of one model.
    ///
    /// # Errors
    /// [`RateExceeded`] when the transfer would be above the rate.
    pub async fn fetch(&self) -> Result<(), RateExceeded> {
        let transfer = self.begin()?;
        tokio::time::sleep(self.rate.transfer).await;
        transfer.0.lock().transfers.complete += 1;
        Ok(())
    }

    /// Returns the transfers so far.
    pub fn transfers(&self) -> Transfers {
        self.lock().transfers
    }

    /// Binds `address` and serves until the returned future is dropped.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(
        &self,
        address: SocketAddr,
    ) -> anyhow::Result<(SocketAddr, impl Future<Output = ()> + Send + use<>)> {
        let routes = Route::new()
            .at("/v1/weights/:model/:version", get(read))
            .at("/v1/transfers", get(count))
            .data(self.clone());
        serve("weight store stand-in", address, routes)
    }

    fn begin(&self) -> Result<Transfer, RateExceeded> {
        let now = Instant::now();
        let mut state = self.lock();
        let interval = self.rate.interval;
        let is_early = state.last.is_some_and(|last| now < last + interval);
        if is_early || state.transfers.running >= self.rate.concurrent {
            state.transfers.refused += 1;
            return Err(RateExceeded);
        }
        state.last = Some(now);
        state.transfers.running += 1;
        state.transfers.peak = state.transfers.peak.max(state.transfers.running);
        Ok(Transfer(self.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A transfer in progress; one whose reader has left ends as well.
struct Transfer(WeightStore);

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.lock().transfers.running -= 1;
    }
}

#[handler]
async fn read(store: Data<&WeightStore>, Path((model, version)): Path<(String, u64)>) -> Response {
    match store.fetch().await {
        Ok(()) => format!("weights of {model} version {version}").into_response(),
        Err(refused) => (StatusCode::TOO_MANY_REQUESTS, refused.to_string()).into_response(),
    }
}

#[handler]
fn count(store: Data<&WeightStore>) -> Json<Transfers> {
    Json(store.transfers())
}
