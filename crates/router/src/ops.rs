//! Endpoints for liveness, readiness and metrics.

use {
    crate::caller::Context,
    poem::{Route, get, handler, http::StatusCode, web::Data},
    std::sync::Arc,
};

/// Adds the routes, which need a [`Context`] as data.
pub(crate) fn add(routes: Route) -> Route {
    routes
        .at("/livez", get(live))
        .at("/readyz", get(ready))
        .at("/metrics", get(metrics))
}

#[handler]
fn live() -> &'static str {
    "ok"
}

#[handler]
fn ready(context: Data<&Arc<Context>>) -> (StatusCode, String) {
    if context.draining.is_cancelled() {
        return (StatusCode::SERVICE_UNAVAILABLE, "draining".to_owned());
    }
    match context.control.check_ready() {
        Ok(()) if context.control.snapshot().catalog.version == 0 => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration".to_owned(),
        ),
        Ok(()) => (StatusCode::OK, "ok".to_owned()),
        Err(not_ready) => (StatusCode::SERVICE_UNAVAILABLE, not_ready.to_string()),
    }
}

#[handler]
fn metrics(context: Data<&Arc<Context>>) -> Result<String, StatusCode> {
    let text = context.metrics.render();
    text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
