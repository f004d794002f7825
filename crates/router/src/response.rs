//! HTTP error responses.

use {
    marigoldroute_core::fault::{Fault, Kind, Outcome},
    poem::{IntoResponse, Response, http::StatusCode, web::Json},
    serde::Serialize,
    serde_json::Value,
};

#[derive(Serialize)]
pub(crate) struct Envelope<'a> {
    error: Body<'a>,
}

#[derive(Serialize)]
struct Body<'a> {
    kind: Kind,
    outcome: Outcome,
    message: &'a str,
    request_id: &'a str,
    #[serde(flatten)]
    detail: Detail,
}

/// Optional fields of an error; empty ones are omitted.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Detail {
    /// Mistakes of an operator's call.
    #[serde(skip_serializing_if = "is_empty")]
    pub(crate) mistakes: Value,
    /// Changes by others since the version that the operator's call was based on.
    #[serde(skip_serializing_if = "is_empty")]
    pub(crate) unseen: Value,
}

fn is_empty(value: &Value) -> bool {
    value.is_null() || value.as_array().is_some_and(Vec::is_empty)
}

/// Returns the body of the response for a fault.
pub(crate) fn envelope<'a>(fault: &'a Fault, request: &'a str) -> Envelope<'a> {
    envelope_with(fault, request, Detail::default())
}

fn envelope_with<'a>(fault: &'a Fault, request: &'a str, detail: Detail) -> Envelope<'a> {
    let error = Body {
        kind: fault.kind,
        outcome: fault.answer().outcome,
        message: &fault.message,
        request_id: request,
        detail,
    };
    Envelope { error }
}

/// Returns the response for a fault.
pub(crate) fn error_response(fault: &Fault, request: &str) -> Response {
    error_response_with(fault, request, Detail::default())
}

/// Returns the response for a fault with optional fields.
pub(crate) fn error_response_with(fault: &Fault, request: &str, detail: Detail) -> Response {
    let answer = fault.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = Json(envelope_with(fault, request, detail)).with_status(status);
    let mut response = json.with_header("x-request-id", request).into_response();
    if let Some(after) = answer.retry_after {
        let seconds = after.as_millis().div_ceil(1_000) as u64;
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}
