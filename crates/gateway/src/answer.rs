//! Answers that the gateway makes itself.

use {
    crate::{
        front::{Body, whole},
        protocol::{Malformed, Protocol, RequestHead},
    },
    derive_more::Display,
    marigoldroute_core::forward::AccessError,
    poem::http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER},
    rand::Rng,
    std::time::Duration,
};

/// Random share that is added to the time to come back, so that callers do not return together.
const SPREAD: f64 = 0.5;

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Reason {
    /// No configuration is known yet.
    #[display("no configuration")]
    Unconfigured,
    /// The request is malformed.
    #[display("{_0}")]
    Malformed(Malformed),
    /// The body is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// The caller broke off or was too slow while it sent the body.
    #[display("the body is incomplete")]
    Incomplete,
    /// No route or no key.
    #[display("{_0}")]
    Missing(AccessError),
    /// The budget does not cover the request.
    #[display("the budget does not cover the request")]
    Exhausted,
    /// The budget cannot be reached for now; states when it is expected to be.
    #[display("the budget cannot be reached")]
    Unreachable(Duration),
    /// No upstream could take the request.
    #[display("no upstream could take the request")]
    Unplaced,
    /// Upstreams refused the request.
    #[display("the upstreams refused the request")]
    Refused,
    /// The request failed, and may have run.
    #[display("the request failed")]
    Failed,
    /// No answer came in time.
    #[display("no answer in time")]
    Late,
}

impl Reason {
    /// Returns the status. 503 states that the request has not run and never will.
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Missing(AccessError::NoRoute) => StatusCode::NOT_FOUND,
            Self::Missing(AccessError::UnknownKey) => StatusCode::UNAUTHORIZED,
            Self::Exhausted => StatusCode::PAYMENT_REQUIRED,
            Self::Unconfigured | Self::Unreachable(_) | Self::Unplaced | Self::Refused => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns when to come back, for requests that have not run.
    fn come_back(self) -> Option<Duration> {
        match self {
            Self::Unconfigured => Some(Duration::from_millis(500)),
            Self::Unreachable(after) => Some(after),
            Self::Unplaced | Self::Refused => Some(Duration::from_millis(200)),
            _ => None,
        }
    }
}

/// Returns the answer for a reason.
pub(crate) fn own(
    protocol: &dyn Protocol,
    head: Option<&RequestHead>,
    reason: Reason,
) -> Response<Body> {
    let mut response = Response::new(whole(reason.to_string().into()));
    *response.status_mut() = reason.status();
    *response.headers_mut() = protocol.error_headers(head);
    if let Some(least) = reason.come_back() {
        let spread = 1.0 + SPREAD * rand::rng().random::<f64>();
        let seconds = format!("{:.3}", least.as_secs_f64() * spread);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
