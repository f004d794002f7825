//! `GET /v1/models`.

use {
    super::Context,
    crate::response::refuse,
    poem::{
        IntoResponse, Request, Response, handler,
        web::{Data, Json},
    },
    serde_json::json,
    std::sync::Arc,
};

#[handler]
pub(super) fn list(context: Data<&Arc<Context>>, request: &Request) -> Response {
    if let Err(fault) = context.authenticate(request) {
        return refuse(&fault, &super::request::mint_id());
    }
    let models = context.control.scene().catalog.models();
    let entry = |model| json!({"id": model, "object": "model", "owned_by": "marigoldroute"});
    let data: Vec<_> = models.into_iter().map(entry).collect();
    Json(json!({"object": "list", "data": data})).into_response()
}
