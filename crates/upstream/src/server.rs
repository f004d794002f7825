//! HTTP server of the stand-ins.

use {
    crate::{
        cache::{Cache, CacheEvent},
        engine::{self, Run, Settings},
        fault::Fault,
        models::{self, Holding, LoadFault, Loader, Models, Order},
        queue::{CLASSES, Queue},
        record::{Book, Record},
        service,
    },
    marigoldroute_store::serve,
    poem::{
        EndpointExt, Route, get, handler,
        http::StatusCode,
        post,
        web::{Data, Json, Path, Query},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::sync::watch,
};

/// Most prefix hashes in a load report.
const HASH_LIMIT: usize = 1_024;

/// Load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that wait, by priority class.
    pub waiting_by_class: [u64; CLASSES],
    /// Prompt tokens that wait, by priority class.
    pub prompt_tokens_by_class: [u64; CLASSES],
    /// Mean seconds between tokens.
    pub seconds_per_token: f64,
    /// Mean seconds per prompt token that is not cached; 0 when unknown.
    pub seconds_per_prompt_token: f64,
    /// The newest cache events after the one that the reader names.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cache: Vec<CacheEvent>,
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
    queue: Queue,
    cache: Cache,
    draining: bool,
    /// Absent for an engine that takes no orders and serves any model.
    models: Option<Models>,
    /// Tokens that a run may have; all when absent.
    held: watch::Sender<Option<u64>>,
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
    pub fn inject_load_faults(&self, faults: impl IntoIterator<Item = LoadFault>) {
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
    pub fn drop_model(&self) {
        self.with_models(Models::lose);
    }

    /// Returns what an engine that takes orders holds.
    pub fn holding(&self) -> Holding {
        self.with_models(|models| models.holding.clone())
            .unwrap_or_default()
    }

    /// Returns the orders that were accepted, oldest first.
    pub fn accepted_orders(&self) -> Vec<Order> {
        let acted = self.with_models(|models| models.acted.iter().cloned().collect());
        acted.unwrap_or_default()
    }

    /// Returns the number of orders that were refused for their fencing number.
    pub fn refused_orders(&self) -> u64 {
        self.with_models(|models| models.refused).unwrap_or(0)
    }

    /// Replaces the settings; runs that have begun keep theirs.
    pub fn configure(&self, settings: Settings) {
        self.lock().settings = settings;
    }

    /// Queues faults, one for each answer to come.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults.extend(faults);
    }

    /// Refuses new work from now on, or takes it again.
    pub fn set_draining(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Holds each run once it has this many tokens, or lets all go on.
    pub fn pause_at(&self, tokens: Option<u64>) {
        self.lock().held.send_replace(tokens);
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

    /// Returns whether a request was cancelled.
    pub fn is_cancelled(&self, request: &str) -> bool {
        self.lock().cancelled.contains(request)
    }

    /// Waits until a run may have another token after its first `tokens`.
    pub(crate) async fn permit(&self, tokens: u64) {
        let mut held = self.lock().held.subscribe();
        // The sender is kept in the state.
        let _ = held
            .wait_for(|held| held.is_none_or(|held| tokens < held))
            .await;
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

    /// Changes or reads the queue.
    pub(crate) fn queue<T>(&self, change: impl FnOnce(&mut Queue) -> T) -> T {
        change(&mut self.lock().queue)
    }

    /// Takes a prompt into the prefix cache and returns the blocks that were in it.
    pub(crate) fn cache_prompt(&self, prefixes: &[u64]) -> u64 {
        let mut state = self.lock();
        let capacity = state.settings.cache_blocks;
        state.cache.take(prefixes, capacity)
    }

    /// Loses this many cache events from now on.
    pub fn drop_events(&self, count: u64) {
        self.lock().cache.lose(count);
    }

    /// Publishes a cache event, whether it is true or not.
    pub fn publish(&self, event: CacheEvent) {
        self.lock().cache.publish(event);
    }

    /// Returns the blocks of prompts that were in the cache.
    pub fn prefix_hits(&self) -> u64 {
        self.lock().cache.hits
    }

    fn load(&self, wanted: &Wanted) -> Load {
        let state = self.lock();
        let settings = &state.settings;
        let (waiting_by_class, prompt_tokens_by_class) = state.queue.waiting();
        let events = wanted.after.map(|after| {
            let hashes = wanted.hashes.unwrap_or(HASH_LIMIT);
            state.cache.after(after, settings.cache_lag, hashes)
        });
        Load {
            running: state.queue.running,
            waiting: waiting_by_class.iter().sum(),
            waiting_by_class,
            prompt_tokens_by_class,
            seconds_per_token: settings.token.as_secs_f64(),
            seconds_per_prompt_token: settings.prompt_token.as_secs_f64(),
            cache: events.unwrap_or_default(),
            draining: state.draining,
            holding: state.models.as_ref().map(|models| models.holding.clone()),
        }
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

/// Which cache events a load report is to contain.
#[derive(Deserialize)]
struct Wanted {
    /// Events after this sequence number; none when absent.
    after: Option<u64>,
    /// Most prefix hashes in all of them.
    hashes: Option<usize>,
}

#[handler]
fn read_load(stand_in: Data<&StandIn>, Query(wanted): Query<Wanted>) -> Json<Load> {
    Json(stand_in.load(&wanted))
}

#[handler]
fn inject_faults(stand_in: Data<&StandIn>, Json(faults): Json<Vec<Fault>>) {
    stand_in.inject(faults);
}
