//! The operators' interface: JSON over HTTP under `/admin/v1`.
//!
//! Each operation authenticates an [`key::Operator`] and requires a role. Writes go through
//! [`write::execute`], which makes them idempotent by the operator's request id and adds an audit
//! entry in the same transaction.

mod answer;
mod audit;
mod batch;
mod bill;
mod budget;
mod change;
mod diff;
mod history;
mod host;
mod key;
mod listed;
mod lost;
mod node;
mod page;
mod progress;
mod ring;
mod running;
mod segments;
mod settings;
mod spend;
mod upstream;
mod workspace;
mod write;

use {
    crate::{Clock, control::Control, dispatch::Dispatcher, metrics::Metrics, peer::Links},
    marigoldroute_core::id::HostId,
    marigoldroute_store::Client,
    poem::{EndpointExt, Route},
    poem_openapi::OpenApiService,
    std::sync::{Arc, Mutex},
};

/// Root of the interface.
const ROOT: &str = "/admin/v1";

/// What the operators' interface needs.
pub(crate) struct Admin {
    /// This host.
    pub(crate) host: HostId,
    pub(crate) control: Control,
    pub(crate) platform: Client,
    pub(crate) metrics: Arc<Metrics>,
    /// SHA-256 hash of the first key, which has every role.
    pub(crate) initial: Option<Arc<str>>,
    /// Keys as last read from the store; used while the store does not answer.
    pub(crate) ring: Mutex<Arc<ring::Ring>>,
    pub(crate) clock: Clock,
    /// Hosts as last listed in the store.
    pub(crate) listed: Mutex<Option<listed::Listed>>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) links: Arc<Links>,
    /// What other hosts said last of their running requests.
    pub(crate) counts: Mutex<running::Counts>,
}

/// Adds the routes.
pub(crate) fn add(routes: Route, admin: Admin) -> Route {
    let admin = Arc::new(admin);
    let resources = (
        settings::Api(admin.clone()),
        history::Api(admin.clone()),
        workspace::Api(admin.clone()),
        budget::Api(admin.clone()),
        upstream::Api(admin.clone()),
        batch::Api(admin.clone()),
        progress::Api(admin.clone()),
        host::Api(admin.clone()),
        bill::Api(admin.clone()),
        spend::Api(admin.clone()),
        audit::Api(admin.clone()),
        key::Api(admin.clone()),
    );
    let service = OpenApiService::new(
        resources,
        "marigoldroute administration",
        env!("CARGO_PKG_VERSION"),
    );
    let service = service.url_prefix(ROOT);
    let document = service.spec_endpoint();
    let metrics = admin.metrics.clone();
    let endpoint = Route::new()
        .at("/openapi.json", document)
        .nest("/", service)
        .data(admin)
        .around(move |endpoint, request| answer::finish(endpoint, request, metrics.clone()));
    routes.nest(ROOT, endpoint)
}
