//! HTTP responses for faults.

use {
    marigoldroute_core::fault::{Fault, Kind, Outcome},
    poem::{IntoResponse, Response, http::StatusCode, web::Json},
    serde::Serialize,
};

#[derive(Serialize)]
pub(crate) struct Envelope<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    kind: Kind,
    outcome: Outcome,
    message: &'a str,
    request_id: &'a str,
}

/// Returns the body for a fault.
pub(crate) fn envelope<'a>(fault: &'a Fault, request: &'a str) -> Envelope<'a> {
    let error = Detail {
        kind: fault.kind,
        outcome: fault.answer().outcome,
        message: &fault.message,
        request_id: request,
    };
    Envelope { error }
}

/// Returns the response for a fault.
pub(crate) fn refuse(fault: &Fault, request: &str) -> Response {
    let answer = fault.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = Json(envelope(fault, request)).with_status(status);
    let mut response = json.with_header("x-request-id", request).into_response();
    if let Some(after) = answer.retry_after {
        let seconds = after.as_millis().div_ceil(1_000) as u64;
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}
