//! Model that a stand-in engine holds, and orders to load another one.

use {
    crate::{server::StandIn, weights::WeightStore},
    poem::{
        IntoResponse, Response, handler,
        http::StatusCode,
        web::{Data, Json},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::sync::Semaphore,
};

/// Delay before an engine repeats a failed transfer of weights.
const TRANSFER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of accepted orders kept for tests; the oldest is dropped first.
const ORDER_LIMIT: usize = 10_000;

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// An order to load a model in place of what the engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Model to load.
    #[serde(flatten)]
    pub load: Model,
    /// Fencing number of the sender's placement lease.
    pub fencing: u64,
}

/// An engine's report of the model that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Holding {
    /// Model that the engine serves.
    pub loaded: Option<Model>,
    /// Model that the engine is loading; it serves none meanwhile.
    pub loading: Option<Model>,
    /// Number of requests for the loaded model since it was loaded.
    pub requests: u64,
    /// Number of those requests that failed.
    pub errors: u64,
    /// Tokens generated since the model was loaded.
    pub tokens: u64,
}

/// Source of the weights that an engine loads.
#[derive(Clone, Debug)]
pub enum WeightSource {
    /// A weight store in this process.
    Local(WeightStore),
    /// A weight store at a base URL.
    Remote(Arc<str>),
}

/// Settings by which an engine loads models on order.
#[derive(Clone, Debug)]
pub struct Loader {
    /// Whether orders with a fencing number below the greatest accepted one are refused.
    pub is_fencing: bool,
    /// Time from the end of the transfer until the engine serves the model.
    pub start_time: Duration,
    /// Source of the weights.
    pub weights: WeightSource,
}

/// Fault of an accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadFault {
    /// The order takes effect, and its answer is lost.
    LoseAnswer,
    /// The load fails, and the engine holds no model.
    FailLoad,
}

/// State of an engine that takes orders.
#[derive(Debug)]
pub(crate) struct Models {
    loader: Loader,
    pub(crate) holding: Holding,
    /// Greatest fencing number of an accepted order.
    fencing: u64,
    /// Accepted orders, oldest first, including those for a model that the engine holds already.
    pub(crate) accepted: VecDeque<Order>,
    /// Number of orders that were refused for their fencing number.
    pub(crate) refused: u64,
    /// Faults of the next accepted orders.
    pub(crate) faults: VecDeque<LoadFault>,
    /// Number of the last load or drop; a load with a lower number must not complete.
    load_number: u64,
    /// Whether arriving orders are held in transit.
    pub(crate) is_holding_orders: bool,
    /// Number of orders in transit.
    pub(crate) in_transit: usize,
    /// Gives one permit to each order that is released.
    transit_permits: Arc<Semaphore>,
}

impl Models {
    pub(crate) fn new(loader: Loader) -> Self {
        Self {
            loader,
            holding: Holding::default(),
            fencing: 0,
            accepted: VecDeque::new(),
            refused: 0,
            faults: VecDeque::new(),
            load_number: 0,
            is_holding_orders: false,
            in_transit: 0,
            transit_permits: Arc::new(Semaphore::new(0)),
        }
    }

    /// Delivers the orders in transit.
    pub(crate) fn release_orders(&mut self) {
        self.transit_permits
            .add_permits(std::mem::take(&mut self.in_transit));
    }

    /// Counts an arriving order as in transit when orders are held; returns the semaphore whose
    /// permit it has to wait for.
    fn hold_order(&mut self) -> Option<Arc<Semaphore>> {
        if !self.is_holding_orders {
            return None;
        }
        self.in_transit += 1;
        Some(self.transit_permits.clone())
    }

    /// Accepts an order and begins to load; `None` when it is refused for its fencing number.
    fn begin_load(&mut self, order: &Order) -> Option<ActiveLoad> {
        if self.loader.is_fencing && order.fencing < self.fencing {
            self.refused += 1;
            return None;
        }
        self.fencing = order.fencing.max(self.fencing);
        if self.accepted.len() >= ORDER_LIMIT {
            self.accepted.pop_front();
        }
        self.accepted.push_back(order.clone());
        self.load_number += 1;
        self.holding = Holding {
            loading: Some(order.load.clone()),
            ..Holding::default()
        };
        Some(ActiveLoad {
            number: self.load_number,
            loader: self.loader.clone(),
            model: order.load.clone(),
            fault: self.faults.pop_front(),
        })
    }

    /// Completes a load, unless another one or a drop came after it.
    fn finish_load(&mut self, load: &ActiveLoad) {
        if self.load_number != load.number {
            return;
        }
        self.holding = Holding {
            loaded: (load.fault != Some(LoadFault::FailLoad)).then(|| load.model.clone()),
            ..Holding::default()
        };
    }

    /// Drops the model that the engine holds or loads.
    pub(crate) fn drop_model(&mut self) {
        self.load_number += 1;
        self.holding = Holding::default();
    }

    pub(crate) fn serves(&self, model: &str) -> bool {
        let loaded = self.holding.loaded.as_ref();
        loaded.is_some_and(|loaded| loaded.model == model)
    }
}

/// A load in progress.
struct ActiveLoad {
    number: u64,
    loader: Loader,
    model: Model,
    fault: Option<LoadFault>,
}

impl ActiveLoad {
    /// Transfers the weights, with retries, and completes the load.
    async fn run(self, stand_in: StandIn) {
        while !self.loader.weights.fetch(&self.model).await {
            tokio::time::sleep(TRANSFER_RETRY_DELAY).await;
        }
        tokio::time::sleep(self.loader.start_time).await;
        stand_in.with_models(|models| models.finish_load(&self));
    }
}

impl WeightSource {
    /// Transfers the weights of a model; returns whether that succeeded.
    async fn fetch(&self, model: &Model) -> bool {
        match self {
            Self::Local(store) => store.fetch().await.is_ok(),
            Self::Remote(base) => {
                let url = format!("{base}/v1/weights/{}/{}", model.model, model.version);
                let response = reqwest::get(url).await;
                let response = response.and_then(reqwest::Response::error_for_status);
                match response {
                    Ok(response) => response.bytes().await.is_ok(),
                    Err(_) => false,
                }
            }
        }
    }
}

#[handler]
pub(crate) async fn load_model(stand_in: Data<&StandIn>, Json(order): Json<Order>) -> Response {
    // A separate task, so that an order in transit is delivered even when its sender disconnects.
    let response = tokio::spawn(deliver((*stand_in).clone(), order)).await;
    response.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

/// Waits while the order is held in transit, then accepts or refuses it.
async fn deliver(stand_in: StandIn, order: Order) -> Response {
    if let Some(transit_permits) = stand_in.with_models(Models::hold_order).flatten()
        && let Ok(permit) = transit_permits.acquire().await
    {
        permit.forget();
    }
    let Some(accepted) = stand_in.with_models(|models| models.begin_load(&order)) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let Some(load) = accepted else {
        return StatusCode::CONFLICT.into_response();
    };
    let fault = load.fault;
    tokio::spawn(load.run(stand_in));
    match fault {
        Some(LoadFault::LoseAnswer) => std::future::pending().await,
        _ => StatusCode::ACCEPTED.into_response(),
    }
}

#[handler]
pub(crate) fn inject_faults(stand_in: Data<&StandIn>, Json(faults): Json<Vec<LoadFault>>) {
    stand_in.inject_load_faults(faults);
}
