//! Stand-in of the weight store, which limits the rate of transfers.

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

/// Limits of a weight store and the duration of its transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Maximum number of transfers in progress at a time.
    pub concurrent: usize,
    /// Minimum time between the starts of two transfers.
    pub interval: Duration,
    /// Duration of a transfer.
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

/// Numbers of transfers of a weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfers {
    /// Transfers completed since the start.
    pub complete: u64,
    /// Transfers refused since the start because they were above the rate.
    pub refused: u64,
    /// Transfers in progress.
    pub running: usize,
    /// Greatest number of transfers in progress at a time.
    pub peak: usize,
}

/// Error of a transfer that was refused because it was above the rate.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("above the rate of the weight store")]
pub struct RateExceeded;

#[derive(Debug, Default)]
struct State {
    transfers: Transfers,
    /// Start of the last accepted transfer.
    last_start: Option<Instant>,
}

/// A weight store; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct WeightStore {
    rate: Rate,
    state: Arc<Mutex<State>>,
}

impl WeightStore {
    /// Creates a weight store that accepts transfers up to `rate`.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate,
            state: Arc::default(),
        }
    }

    /// Transfers the weights of one model; returns when the transfer is complete.
    ///
    /// # Errors
    /// [`RateExceeded`] when the transfer would be above the rate.
    pub async fn fetch(&self) -> Result<(), RateExceeded> {
        let transfer = self.begin_transfer()?;
        tokio::time::sleep(self.rate.transfer).await;
        transfer.0.lock().transfers.complete += 1;
        Ok(())
    }

    /// Returns the current numbers of transfers.
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
            .at("/v1/weights/:model/:version", get(read_weights))
            .at("/v1/transfers", get(read_transfers))
            .data(self.clone());
        serve("weight store stand-in", address, routes)
    }

    fn begin_transfer(&self) -> Result<Transfer, RateExceeded> {
        let now = Instant::now();
        let mut state = self.lock();
        let interval = self.rate.interval;
        let is_early = state
            .last_start
            .is_some_and(|last_start| now < last_start + interval);
        if is_early || state.transfers.running >= self.rate.concurrent {
            state.transfers.refused += 1;
            return Err(RateExceeded);
        }
        state.last_start = Some(now);
        state.transfers.running += 1;
        state.transfers.peak = state.transfers.peak.max(state.transfers.running);
        Ok(Transfer(self.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A transfer in progress; dropping it, also when the client disconnects, ends the transfer.
struct Transfer(WeightStore);

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.lock().transfers.running -= 1;
    }
}

#[handler]
async fn read_weights(
    store: Data<&WeightStore>,
    Path((model, version)): Path<(String, u64)>,
) -> Response {
    match store.fetch().await {
        Ok(()) => format!("weights of {model} version {version}").into_response(),
        Err(refused) => (StatusCode::TOO_MANY_REQUESTS, refused.to_string()).into_response(),
    }
}

#[handler]
fn read_transfers(store: Data<&WeightStore>) -> Json<Transfers> {
    Json(store.transfers())
}
