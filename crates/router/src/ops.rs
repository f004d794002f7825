//! Operational endpoints.

use {
    crate::caller::Context,
    poem::{Route, get, handler, http::StatusCode, web::Data},
    std::sync::Arc,
};

/// Adds the routes; they need a [`Context`] as data.
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
fn ready(context: Data<&Arc<Context>>) -> (StatusCode, &'static str) {
    if context.draining.is_cancelled() {
        (StatusCode::SERVICE_UNAVAILABLE, "draining")
    } else if context.config.permit().is_err() {
        (StatusCode::SERVICE_UNAVAILABLE, "no recent configuration")
    } else {
        (StatusCode::OK, "ok")
    }
}

#[handler]
fn metrics(context: Data<&Arc<Context>>) -> Result<String, StatusCode> {
    let text = context.metrics.render();
    text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
