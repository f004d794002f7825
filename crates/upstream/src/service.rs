//! Answers of the stand-in plain service.

use {
    crate::{fault::Fault, server::StandIn},
    poem::{
        IntoResponse, Response, handler,
        http::StatusCode,
        web::{Data, Json},
    },
    serde_json::json,
};

/// Accepts a request and answers with its id and the size of its body.
#[handler]
pub(crate) async fn handle(
    stand_in: Data<&StandIn>,
    request: &poem::Request,
    body: Vec<u8>,
) -> Response {
    let Some(id) = request.header("x-request-id") else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let fault = stand_in.next_fault();
    if stand_in.is_draining() {
        let refusal = StatusCode::SERVICE_UNAVAILABLE.with_header("x-draining", "true");
        return refusal.into_response();
    }
    if fault == Fault::Refuse {
        let refusal = StatusCode::SERVICE_UNAVAILABLE.with_header("x-not-run", "true");
        return refusal.into_response();
    }
    stand_in.update_record(id, |record| {
        record.runs += 1;
        record.ended = true;
    });
    match fault {
        Fault::Break => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Fault::Silent => std::future::pending().await,
        _ => Json(json!({"accepted": true, "request": id, "bytes": body.len()})).into_response(),
    }
}
