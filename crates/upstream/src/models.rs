//! The model that a stand-in engine holds, and orders to load another one.

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

/// Pause of an engine whose transfer was refused by the weight store.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// Orders kept for tests; the oldest is dropped first.
const ORDER_LIMIT: usize = 10_000;

/// A model in a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Model.
    pub model: String,
    /// Version of the model.
    pub version: u64,
}

/// An order to load a model in place of what the engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What to load.
    #[serde(flatten)]
    pub load: Model,
    /// Fencing number of the sender's lease.
    pub fencing: u64,
}

/// What an engine reports of the model that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Holding {
    /// What it serves.
    pub loaded: Option<Model>,
    /// What it is loading.
    pub loading: Option<Model>,
    /// Requests for the loaded model since it was loaded.
    pub requests: u64,
    /// Those that failed.
    pub errors: u64,
    /// Tokens generated since the model was loaded.
    pub tokens: u64,
}

/// Where an engine gets weights from.
#[derive(Clone, Debug)]
pub enum WeightSource {
    /// A weight store in this process.
    Local(WeightStore),
    /// A weight store at a base URL.
    Remote(Arc<str>),
}

/// How an engine takes orders.
#[derive(Clone, Debug)]
pub struct Loader {
    /// Whether an order with an old fencing number is refused.
    pub is_fencing: bool,
    /// Time between the transfer of the weights and the first request.
    pub start_time: Duration,
    /// Where the weights come from.
    pub weights: WeightSource,
}

/// Fault of one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadFault {
    /// The order takes effect, and its answer is lost.
    LoseAnswer,
    /// The load fails, and the engine holds nothing.
    FailLoad,
}

/// State of an engine that takes orders.
#[derive(Debug)]
pub(crate) struct Models {
    loader: Loader,
    pub(crate) holding: Holding,
    /// Greatest fencing number of an order that was acted upon.
    fencing: u64,
    /// Orders that were acted upon, in their order. Each counts, also one for what is held.
    pub(crate) acted: VecDeque<Order>,
    /// Orders that were refused.
    pub(crate) refused: u64,
    pub(crate) faults: VecDeque<LoadFault>,
    /// Number of the last load; one that was replaced must not complete.
    load: u64,
    /// Whether orders that arrive are kept on their way.
    pub(crate) is_holding_back: bool,
    /// Orders on their way.
    pub(crate) in_transit: usize,
    transit: Arc<Semaphore>,
}

impl Models {
    pub(crate) fn new(loader: Loader) -> Self {
        Self {
            loader,
            holding: Holding::default(),
            fencing: 0,
            acted: VecDeque::new(),
            refused: 0,
            faults: VecDeque::new(),
            load: 0,
            is_holding_back: false,
            in_transit: 0,
            transit: Arc::new(Semaphore::new(0)),
        }
    }

    /// Lets the orders on their way arrive.
    pub(crate) fn release(&mut self) {
        self.transit
            .add_permits(std::mem::take(&mut self.in_transit));
    }

    /// Returns what an order that arrives has to wait for.
    fn delay(&mut self) -> Option<Arc<Semaphore>> {
        if !self.is_holding_back {
            return None;
        }
        self.in_transit += 1;
        Some(self.transit.clone())
    }

    /// Begins to load, unless the order is old and the engine refuses old ones.
    fn begin(&mut self, order: &Order) -> Option<Load> {
        if self.loader.is_fencing && order.fencing < self.fencing {
            self.refused += 1;
            return None;
        }
        self.fencing = order.fencing.max(self.fencing);
        if self.acted.len() >= ORDER_LIMIT {
            self.acted.pop_front();
        }
        self.acted.push_back(order.clone());
        self.load += 1;
        self.holding = Holding {
            loading: Some(order.load.clone()),
            ..Holding::default()
        };
        Some(Load {
            number: self.load,
            loader: self.loader.clone(),
            model: order.load.clone(),
            fault: self.faults.pop_front(),
        })
    }

    fn finish(&mut self, load: &Load) {
        if self.load != load.number {
            return;
        }
        self.holding = Holding {
            loaded: (load.fault != Some(LoadFault::FailLoad)).then(|| load.model.clone()),
            ..Holding::default()
        };
    }

    /// Drops what the engine holds or loads.
    pub(crate) fn lose(&mut self) {
        self.load += 1;
        self.holding = Holding::default();
    }

    pub(crate) fn serves(&self, model: &str) -> bool {
        let loaded = self.holding.loaded.as_ref();
        loaded.is_some_and(|loaded| loaded.model == model)
    }
}

/// A load in progress.
struct Load {
    number: u64,
    loader: Loader,
    model: Model,
    fault: Option<LoadFault>,
}

impl Load {
    async fn run(self, stand_in: StandIn) {
        while !self.loader.weights.fetch(&self.model).await {
            tokio::time::sleep(REFUSED_PAUSE).await;
        }
        tokio::time::sleep(self.loader.start_time).await;
        stand_in.with_models(|models| models.finish(&self));
    }
}

impl WeightSource {
    /// Returns whether the weights were transferred.
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
pub(crate) async fn take(stand_in: Data<&StandIn>, Json(order): Json<Order>) -> Response {
    // A task of its own: an order on its way arrives although its sender has given up.
    let taken = tokio::spawn(arrive((*stand_in).clone(), order)).await;
    taken.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn arrive(stand_in: StandIn, order: Order) -> Response {
    if let Some(transit) = stand_in.with_models(Models::delay).flatten()
        && let Ok(permit) = transit.acquire().await
    {
        permit.forget();
    }
    let Some(begun) = stand_in.with_models(|models| models.begin(&order)) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let Some(load) = begun else {
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
pub(crate) fn inject(stand_in: Data<&StandIn>, Json(faults): Json<Vec<LoadFault>>) {
    stand_in.inject_load_faults(faults);
}
