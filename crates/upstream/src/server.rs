//! HTTP server of the stand-ins.

use {
    crate::{
        engine::{self, Run, Settings},
        fault::Fault,
        models::{self, Holding, LoadFault, Loader, Models, Order},
        record::{Book, Record},
        service,
    },
    marigoldroute_platform::serve,
    poem::{
        EndpointExt, Route, get, handler,
        http::StatusCode,
        post,
        web::{Data, Json, Path},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Whether the engine asks for no new work.
    pub draining: bool,
    /// The model that it holds; absent for an engine that takes no orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holding: Option<Holding>,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    book: Book,
    faults: VecDeque<Fault>,
    cancelled: HashSet<String>,
    /// Runs that can be resumed, by request id.
    runs: HashMap<String, Run>,
    running: u64,
    draining: bool,
    /// Absent for an engine that takes no orders and serves any model.
    models: Option<Models>,
}

/// A stand-in upstream; it answers as a model engine and as a plain service. Clones share their
/// state.
#[derive(Clone, Debug, Default)]
pub struct StandIn(Arc<Mutex<State>>);

impl StandIn {
    /// Creates a stand-in.
    pub fn new(settings: Settings) -> Self {
        let state = State {
            settings,
            ..State::default()
        };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Creates an engine that holds no model until it is ordered to load one.
    pub fn with_loader(settings: Settings, loader: Loader) -> Self {
        let stand_in = Self::new(settings);
        stand_in.lock().models = Some(Models::new(loader));
        stand_in
    }

    /// Queues faults of orders, one for each order to come.
    pub fn inject_loads(&self, faults: impl IntoIterator<Item = LoadFault>) {
        self.with_models(|models| models.faults.extend(faults));
    }

    /// Keeps orders that arrive from now on on their way until [`Self::release_orders`].
    pub fn hold_orders(&self) {
        self.with_models(|models| models.is_holding_back = true);
    }

    /// Lets orders that arrive from now on through; those on their way stay there.
    pub fn pass_orders(&self) {
        self.with_models(|models| models.is_holding_back = false);
    }

    /// Lets the orders on their way arrive.
    pub fn release_orders(&self) {
        self.with_models(Models::release);
    }

    /// Returns the number of orders on their way.
    pub fn orders_in_transit(&self) -> usize {
        self.with_models(|models| models.in_transit).unwrap_or(0)
    }

    /// Lets the engine lose the model that it holds or loads.
    pub fn lose_model(&self) {
        self.with_models(Models::lose);
    }

    /// Returns what an engine that takes orders holds.
    pub fn holding(&self) -> Holding {
        self.with_models(|models| models.holding.clone())
            .unwrap_or_default()
    }

    /// Returns the orders that were acted upon, oldest first.
    pub fn acted(&self) -> Vec<Order> {
        let acted = self.with_models(|models| models.acted.iter().cloned().collect());
        acted.unwrap_or_default()
    }

    /// Returns the number of orders that were refused for their fencing number.
    pub fn refused_orders(&self) -> u64 {
        self.with_models(|models| models.refused).unwrap_or(0)
    }

    /// Queues faults, one for each answer to come.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults.extend(faults);
    }

    /// Refuses new work from now on, or takes it again.
    pub fn set_draining(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Returns the records of all requests.
    pub fn records(&self) -> HashMap<String, Record> {
        self.lock().book.all()
    }

    /// Binds `address` and serves until the returned future is dropped.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(
        &self,
        address: SocketAddr,
    ) -> anyhow::Result<(SocketAddr, impl Future<Output = ()> + Send + use<>)> {
        serve("upstream stand-in", address, self.routes())
    }

    fn routes(&self) -> impl poem::Endpoint + use<> {
        Route::new()
            .at("/v1/chat/completions", post(engine::complete))
            .at("/v1/completions", post(engine::complete))
            .at("/v1/resume/:request", get(engine::resume))
            .at("/v1/usage/:request", get(read_usage))
            .at("/v1/cancel/:request", post(cancel))
            .at("/v1/load", get(read_load))
            .at("/v1/models/load", post(models::take))
            .at("/v1/faults", post(inject_faults))
            .at("/v1/load-faults", post(models::inject))
            .at("/*path", service::call)
            .data(self.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn settings(&self) -> Settings {
        self.lock().settings
    }

    /// Changes the state of an engine that takes orders; `None` for one that takes none.
    pub(crate) fn with_models<T>(&self, change: impl FnOnce(&mut Models) -> T) -> Option<T> {
        self.lock().models.as_mut().map(change)
    }

    /// Returns whether the engine serves a model now.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.with_models(|models| models.serves(model))
            .unwrap_or(true)
    }

    pub(crate) fn next_fault(&self) -> Fault {
        self.lock().faults.pop_front().unwrap_or_default()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.lock().draining
    }

    pub(crate) fn is_cancelled(&self, request: &str) -> bool {
        self.lock().cancelled.contains(request)
    }

    /// Keeps a run so that it can be resumed.
    pub(crate) fn keep(&self, run: Run) {
        self.lock().runs.insert(run.request.clone(), run);
    }

    pub(crate) fn run(&self, request: &str) -> Option<Run> {
        self.lock().runs.get(request).cloned()
    }

    pub(crate) fn record(&self, request: &str, change: impl FnOnce(&mut Record)) {
        let mut state = self.lock();
        if let Some(dropped) = state.book.update(request, change) {
            state.runs.remove(&dropped);
            state.cancelled.remove(&dropped);
        }
    }

    /// Counts a running request until the guard is dropped.
    pub(crate) fn occupy(&self) -> Busy {
        self.lock().running += 1;
        Busy(self.clone())
    }
}

/// A running request.
pub(crate) struct Busy(StandIn);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

#[handler]
fn read_usage(
    stand_in: Data<&StandIn>,
    Path(request): Path<String>,
) -> Result<Json<Record>, StatusCode> {
    let record = stand_in.lock().book.get(&request);
    record.map(Json).ok_or(StatusCode::NOT_FOUND)
}

#[handler]
fn cancel(stand_in: Data<&StandIn>, Path(request): Path<String>) {
    stand_in.lock().cancelled.insert(request);
}

#[handler]
fn read_load(stand_in: Data<&StandIn>) -> Json<Load> {
    let state = stand_in.lock();
    Json(Load {
        running: state.running,
        waiting: 0,
        draining: state.draining,
        holding: state.models.as_ref().map(|models| models.holding.clone()),
    })
}

#[handler]
fn inject_faults(stand_in: Data<&StandIn>, Json(faults): Json<Vec<Fault>>) {
    stand_in.inject(faults);
}
