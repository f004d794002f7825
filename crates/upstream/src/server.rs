//! State and HTTP server of a stand-in upstream.

use {
    crate::{
        cache::{Cache, CacheEvent},
        engine::{self, Run, Settings},
        fault::Fault,
        models::{self, Holding, LoadFault, Loader, Models, Order},
        queue::{PRIORITY_CLASSES, Queue},
        record::{Record, RecordStore},
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

/// Maximum number of prefix hashes in a load report, unless the query sets another.
const HASH_LIMIT: usize = 1_024;

/// Load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that run.
    pub running: u64,
    /// Number of requests that wait in the engine's queue.
    pub waiting: u64,
    /// Number of waiting requests, by priority class.
    pub waiting_by_class: [u64; PRIORITY_CLASSES],
    /// Prompt tokens of the waiting requests, by priority class.
    pub prompt_tokens_by_class: [u64; PRIORITY_CLASSES],
    /// Mean seconds between tokens.
    pub seconds_per_token: f64,
    /// Mean seconds per prompt token that is not cached; 0 when unknown.
    pub seconds_per_prompt_token: f64,
    /// Newest cache events after the sequence number in the query.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cache: Vec<CacheEvent>,
    /// Whether the engine asks for no new work.
    pub draining: bool,
    /// Model that the engine holds; absent for an engine that takes no orders to load one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holding: Option<Holding>,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    records: RecordStore,
    /// Faults of the answers to come, in their order.
    faults: VecDeque<Fault>,
    /// Ids of cancelled requests.
    cancelled: HashSet<String>,
    /// Runs that can be resumed, by request id.
    runs: HashMap<String, Run>,
    queue: Queue,
    cache: Cache,
    is_draining: bool,
    /// State of the model; absent for an engine that takes no orders and serves any model.
    models: Option<Models>,
    /// Number of tokens at which runs pause; no run pauses when it is absent.
    pause_at: watch::Sender<Option<u64>>,
}

/// A stand-in upstream; it answers as a model engine and as a plain service. Clones share their
/// state.
#[derive(Clone, Debug, Default)]
pub struct StandIn(Arc<Mutex<State>>);

impl StandIn {
    /// Creates a stand-in that serves any model and takes no orders to load one.
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

    /// Queues faults for the next accepted orders, one for each.
    pub fn inject_load_faults(&self, faults: impl IntoIterator<Item = LoadFault>) {
        self.with_models(|models| models.faults.extend(faults));
    }

    /// Holds orders that arrive from now on in transit until [`Self::release_orders`].
    pub fn hold_orders(&self) {
        self.with_models(|models| models.is_holding_orders = true);
    }

    /// Delivers orders that arrive from now on at once; those in transit stay there.
    pub fn pass_orders(&self) {
        self.with_models(|models| models.is_holding_orders = false);
    }

    /// Delivers the orders in transit.
    pub fn release_orders(&self) {
        self.with_models(Models::release_orders);
    }

    /// Returns the number of orders in transit.
    pub fn orders_in_transit(&self) -> usize {
        self.with_models(|models| models.in_transit).unwrap_or(0)
    }

    /// Makes the engine drop the model that it holds or loads, as after a crash.
    pub fn drop_model(&self) {
        self.with_models(Models::drop_model);
    }

    /// Returns the state of the model that the engine holds; empty when it takes no orders.
    pub fn holding(&self) -> Holding {
        self.with_models(|models| models.holding.clone())
            .unwrap_or_default()
    }

    /// Returns the orders that were accepted, oldest first.
    pub fn accepted_orders(&self) -> Vec<Order> {
        let accepted = self.with_models(|models| models.accepted.iter().cloned().collect());
        accepted.unwrap_or_default()
    }

    /// Returns the number of orders that were refused for their fencing number.
    pub fn refused_orders(&self) -> u64 {
        self.with_models(|models| models.refused).unwrap_or(0)
    }

    /// Replaces the settings; admitted runs keep theirs.
    pub fn configure(&self, settings: Settings) {
        self.lock().settings = settings;
    }

    /// Queues faults for the next answers, one for each.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults.extend(faults);
    }

    /// Sets whether the stand-in refuses new requests as draining.
    pub fn set_draining(&self, draining: bool) {
        self.lock().is_draining = draining;
    }

    /// Pauses each run once it has sent this many tokens; `None` resumes all.
    pub fn pause_at(&self, tokens: Option<u64>) {
        self.lock().pause_at.send_replace(tokens);
    }

    /// Returns the records of all requests, by request id.
    pub fn records(&self) -> HashMap<String, Record> {
        self.lock().records.all()
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
            .at("/v1/models/load", post(models::load_model))
            .at("/v1/faults", post(inject_faults))
            .at("/v1/load-faults", post(models::inject_faults))
            .at("/*path", service::handle)
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

    /// Reads or changes the state of the model; `None` for an engine that takes no orders.
    pub(crate) fn with_models<T>(&self, change: impl FnOnce(&mut Models) -> T) -> Option<T> {
        self.lock().models.as_mut().map(change)
    }

    /// Returns whether the engine serves a model now; one that takes no orders serves any.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.with_models(|models| models.serves(model))
            .unwrap_or(true)
    }

    pub(crate) fn next_fault(&self) -> Fault {
        self.lock().faults.pop_front().unwrap_or_default()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.lock().is_draining
    }

    /// Returns whether a request was cancelled.
    pub fn is_cancelled(&self, request: &str) -> bool {
        self.lock().cancelled.contains(request)
    }

    /// Waits while a run that has sent `tokens` tokens is paused.
    pub(crate) async fn wait_while_paused(&self, tokens: u64) {
        let mut pause_at = self.lock().pause_at.subscribe();
        // An error is impossible: the state owns the sender.
        let _ = pause_at
            .wait_for(|pause_at| pause_at.is_none_or(|pause_at| tokens < pause_at))
            .await;
    }

    /// Stores a run so that it can be resumed.
    pub(crate) fn store_run(&self, run: Run) {
        self.lock().runs.insert(run.request.clone(), run);
    }

    pub(crate) fn find_run(&self, request: &str) -> Option<Run> {
        self.lock().runs.get(request).cloned()
    }

    /// Updates the record of a request. A record that is dropped to stay within the limit takes the
    /// request's run and cancellation with it.
    pub(crate) fn update_record(&self, request: &str, change: impl FnOnce(&mut Record)) {
        let mut state = self.lock();
        if let Some(dropped) = state.records.update(request, change) {
            state.runs.remove(&dropped);
            state.cancelled.remove(&dropped);
        }
    }

    /// Reads or changes the queue.
    pub(crate) fn queue<T>(&self, change: impl FnOnce(&mut Queue) -> T) -> T {
        change(&mut self.lock().queue)
    }

    /// Inserts a prompt into the prefix cache; returns the number of leading blocks that were
    /// cached before.
    pub(crate) fn cache_prompt(&self, prefixes: &[u64]) -> u64 {
        let mut state = self.lock();
        let capacity = state.settings.cache_blocks;
        state.cache.insert(prefixes, capacity)
    }

    /// Drops the next `count` cache events; readers see a gap in the sequence numbers.
    pub fn drop_events(&self, count: u64) {
        self.lock().cache.drop_next(count);
    }

    /// Publishes a cache event, which need not agree with the cache's content.
    pub fn publish(&self, event: CacheEvent) {
        self.lock().cache.publish(event);
    }

    /// Returns the total number of prompt blocks that were found in the prefix cache.
    pub fn prefix_hits(&self) -> u64 {
        self.lock().cache.hits
    }

    fn load(&self, query: &LoadQuery) -> Load {
        let state = self.lock();
        let settings = &state.settings;
        let (waiting_by_class, prompt_tokens_by_class) = state.queue.waiting();
        let events = query.after.map(|after| {
            let hash_limit = query.hashes.unwrap_or(HASH_LIMIT);
            state
                .cache
                .events_after(after, settings.cache_lag, hash_limit)
        });
        Load {
            running: state.queue.running,
            waiting: waiting_by_class.iter().sum(),
            waiting_by_class,
            prompt_tokens_by_class,
            seconds_per_token: settings.token.as_secs_f64(),
            seconds_per_prompt_token: settings.prompt_token.as_secs_f64(),
            cache: events.unwrap_or_default(),
            draining: state.is_draining,
            holding: state.models.as_ref().map(|models| models.holding.clone()),
        }
    }
}

#[handler]
fn read_usage(
    stand_in: Data<&StandIn>,
    Path(request): Path<String>,
) -> Result<Json<Record>, StatusCode> {
    let record = stand_in.lock().records.get(&request);
    record.map(Json).ok_or(StatusCode::NOT_FOUND)
}

#[handler]
fn cancel(stand_in: Data<&StandIn>, Path(request): Path<String>) {
    stand_in.lock().cancelled.insert(request);
}

/// Query of a load report: the cache events that it is to contain.
#[derive(Deserialize)]
struct LoadQuery {
    /// Events after this sequence number; none when absent.
    after: Option<u64>,
    /// Maximum number of prefix hashes in all events.
    hashes: Option<usize>,
}

#[handler]
fn read_load(stand_in: Data<&StandIn>, Query(query): Query<LoadQuery>) -> Json<Load> {
    Json(stand_in.load(&query))
}

#[handler]
fn inject_faults(stand_in: Data<&StandIn>, Json(faults): Json<Vec<Fault>>) {
    stand_in.inject(faults);
}
