//! Answers to refused calls.

use {
    super::diff::Unseen,
    crate::{
        metrics::Metrics,
        response::{Detail, error_response_with},
    },
    derive_more::{Display, Error, From},
    marigoldroute_core::{
        config::Rejection,
        fault::{Fault, Kind, Outcome},
    },
    marigoldroute_store::Fault as Lost,
    poem::{Endpoint, IntoResponse, Request, Response, http::StatusCode},
    poem_openapi::{
        ApiResponse, Object,
        registry::{MetaMediaType, MetaResponse, MetaResponses, Registry},
        types::{Any, Type},
    },
    serde::Serialize,
    serde_json::Value,
    std::sync::Arc,
};

/// Header with the operator's request id.
pub(super) const REQUEST_HEADER: &str = "x-request-id";

/// Largest request body in bytes; above the limit on a change of the settings tree.
const BODY_LIMIT_BYTES: usize = 1 << 20;

/// A mistake in a call, with its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Mistake {
    /// Path of the node, or of the field in the request body.
    pub(super) path: String,
    /// Setting, when the mistake concerns one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) setting: Option<String>,
    /// What is wrong.
    pub(super) message: String,
}

impl Mistake {
    pub(super) fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            setting: None,
            message: message.into(),
        }
    }
}

/// Why a call is refused, with what the operator needs to correct it.
#[derive(Clone, Debug, Display, Error)]
#[display("{fault}")]
pub(super) struct Refused {
    pub(super) fault: Fault,
    /// All mistakes of the call.
    pub(super) mistakes: Vec<Mistake>,
    /// What others changed since the operator looked.
    pub(super) unseen: Option<Box<Unseen>>,
}

/// Result of an operation.
pub(super) type Result<T> = std::result::Result<T, Refused>;

impl Refused {
    pub(super) fn new(kind: Kind, message: impl Into<String>) -> Self {
        Fault::new(kind, message).into()
    }

    /// States that the call may have had an effect; a repetition with the same request id finds
    /// out.
    pub(super) fn with_unknown_outcome(self) -> Self {
        Self {
            fault: self.fault.with_outcome(Outcome::Unknown),
            ..self
        }
    }

    /// Refuses a call with mistakes.
    pub(super) fn mistakes(mistakes: Vec<Mistake>) -> Self {
        let message = match mistakes.len() {
            1 => "1 mistake".to_owned(),
            count => format!("{count} mistakes"),
        };
        Self {
            mistakes,
            ..Self::new(Kind::InvalidRequest, message)
        }
    }
}

impl From<Fault> for Refused {
    fn from(fault: Fault) -> Self {
        Self {
            fault,
            mistakes: Vec::new(),
            unseen: None,
        }
    }
}

impl From<Rejection> for Refused {
    fn from(rejection: Rejection) -> Self {
        let mistake = |mistake: marigoldroute_core::config::Mistake| Mistake {
            path: mistake.path.to_string(),
            setting: mistake.setting.map(|setting| setting.to_string()),
            message: mistake.reason.to_string(),
        };
        Self::mistakes(rejection.0.into_iter().map(mistake).collect())
    }
}

impl From<Lost> for Refused {
    /// A failed read: nothing was written.
    fn from(fault: Lost) -> Self {
        let fault = Fault::new(Kind::StoreUnavailable, fault.to_string());
        fault.with_outcome(Outcome::NotRun).into()
    }
}

impl From<Refused> for poem::Error {
    fn from(refused: Refused) -> Self {
        let status = StatusCode::from_u16(refused.fault.answer().status);
        Self::new(refused, status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
    }
}

/// Error kinds of this interface, with their descriptions in the OpenAPI document.
const DESCRIBED: [(Kind, &str); 9] = [
    (
        Kind::InvalidRequest,
        "The request has mistakes; all of them are listed",
    ),
    (Kind::Unauthenticated, "The key is missing or unknown"),
    (Kind::Forbidden, "The key lacks a role"),
    (Kind::NotFound, "The object does not exist"),
    (
        Kind::Conflict,
        "The object was changed in the meantime, or the request id was used before",
    ),
    (Kind::TooLarge, "The request body is too large"),
    (Kind::Overloaded, "Other writes were faster each time"),
    (Kind::Internal, "A defect of the router"),
    (Kind::StoreUnavailable, "The table service did not answer"),
];

/// The form of an error.
#[derive(Debug, Object)]
#[oai(rename = "Error")]
struct Problem {
    /// The error.
    error: ProblemDetail,
}

/// An error.
#[derive(Debug, Object)]
#[oai(rename = "ErrorDetail")]
struct ProblemDetail {
    /// Kind from the table of errors.
    kind: String,
    /// `not_run`, `ran` or `unknown`.
    outcome: String,
    /// What happened.
    message: String,
    /// The operator's request id.
    request_id: String,
    /// Mistakes of the request, each with its path.
    mistakes: Vec<Any<Value>>,
    /// What others changed since the operator looked.
    unseen: Option<Any<Value>>,
}

impl ApiResponse for Refused {
    fn meta() -> MetaResponses {
        let response = |(kind, description): (Kind, &'static str)| MetaResponse {
            description,
            status: Some(kind.answer().status),
            status_range: None,
            content: vec![MetaMediaType {
                content_type: "application/json; charset=utf-8",
                schema: Problem::schema_ref(),
            }],
            headers: Vec::new(),
        };
        let responses = DESCRIBED.into_iter().map(response).collect();
        MetaResponses { responses }
    }

    fn register(registry: &mut Registry) {
        Problem::register(registry);
    }
}

/// Name of a call's result in the metrics.
#[derive(Debug, Display, From)]
enum Label {
    #[display("ok")]
    Done,
    Refused(Kind),
}

/// Runs a call and turns an error into the JSON answer that all interfaces use.
pub(super) async fn finish<E: Endpoint>(
    endpoint: Arc<E>,
    request: Request,
    metrics: Arc<Metrics>,
) -> poem::Result<Response> {
    let id = request.header(REQUEST_HEADER).unwrap_or_default();
    let id = id.to_owned();
    let answered = match bound(request).await {
        Ok(request) => endpoint.call(request).await,
        Err(refused) => Err(refused.into()),
    };
    let (response, label) = match answered {
        Ok(response) => (response.into_response(), Label::Done),
        Err(error) => {
            let refused = explain(error);
            let label = Label::Refused(refused.fault.kind);
            (answer(&refused, &id), label)
        }
    };
    let result = label.to_string();
    metrics.admin_calls.with_label_values(&[&result]).inc();
    Ok(response)
}

/// Reads the body, which must not exceed the limit.
async fn bound(mut request: Request) -> Result<Request> {
    let body = request.take_body().into_bytes_limit(BODY_LIMIT_BYTES).await;
    let message = format!("the request body has more than {BODY_LIMIT_BYTES} bytes");
    let body = body.map_err(|_| Refused::new(Kind::TooLarge, message))?;
    request.set_body(body);
    Ok(request)
}

fn answer(refused: &Refused, request: &str) -> Response {
    let detail = Detail {
        mistakes: serde_json::to_value(&refused.mistakes).unwrap_or_default(),
        unseen: serde_json::to_value(&refused.unseen).unwrap_or_default(),
    };
    error_response_with(&refused.fault, request, detail)
}

fn explain(error: poem::Error) -> Refused {
    let status = error.status();
    let message = error.to_string();
    if let Ok(refused) = error.downcast::<Refused>() {
        return refused;
    }
    let kind = match status {
        StatusCode::UNAUTHORIZED => Kind::Unauthenticated,
        StatusCode::FORBIDDEN => Kind::Forbidden,
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => Kind::NotFound,
        StatusCode::PAYLOAD_TOO_LARGE => Kind::TooLarge,
        status if status.is_client_error() => Kind::InvalidRequest,
        _ => Kind::Internal,
    };
    Refused::new(kind, message)
}
