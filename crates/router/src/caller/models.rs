//! Handler of `GET /v1/models`: the models that the caller's workspace may use.

use {
    super::Context,
    crate::response::error_response,
    poem::{
        IntoResponse, Request, Response, handler,
        web::{Data, Json},
    },
    serde_json::json,
    std::sync::Arc,
};

#[handler]
pub(super) fn list(context: Data<&Arc<Context>>, request: &Request) -> Response {
    let access = match context.authenticate(request) {
        Ok(access) => access,
        Err(fault) => return error_response(&fault, &super::request::new_id()),
    };
    let snapshot = context.control.snapshot();
    let mut models = snapshot.catalog.models();
    models.retain(|model| snapshot.catalog.allows(&access.workspace, model));
    let entry = |model| json!({"id": model, "object": "model", "owned_by": "marigoldroute"});
    let data: Vec<_> = models.into_iter().map(entry).collect();
    Json(json!({"object": "list", "data": data})).into_response()
}
