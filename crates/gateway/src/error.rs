//! Error responses that the gateway generates itself.

#[cfg(test)]
mod tests;

use {
    crate::{
        frontend::{Body, full_body},
        protocol::{Malformed, Protocol, RequestHead},
    },
    derive_more::Display,
    marigoldroute_core::forward::AccessError,
    poem::http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER},
    rand::Rng,
    std::time::Duration,
};

/// Largest random share added to `retry-after`, so that callers do not retry at the same time.
const RETRY_JITTER: f64 = 0.5;

/// Why a request gets an error response; its text is the body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Error {
    /// No configuration is known yet.
    #[display("no configuration")]
    Unconfigured,
    /// The head of the request cannot be parsed.
    #[display("{_0}")]
    Malformed(Malformed),
    /// The head exceeds the configured limit.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The body exceeds the configured limit.
    #[display("the body is too large")]
    TooLarge,
    /// The caller disconnected while it sent the body.
    #[display("the body is incomplete")]
    Incomplete,
    /// The body did not arrive in time, and the request has not run.
    #[display("the body did not arrive in time")]
    Late,
    /// The bodies of other requests take the memory, and the request has not run.
    #[display("the bodies of requests take all memory that they may")]
    OutOfMemory,
    /// The heads of other requests take the memory for many fields, and the request has not run.
    #[display("heads of many fields take all memory that they may")]
    TooManyFields,
    /// No route matches the request, or its key is unknown.
    #[display("{_0}")]
    Access(AccessError),
    /// The response is a stream, whose end cannot be marked in the caller's version of HTTP.
    #[display("streams need HTTP/1.1")]
    Version,
    /// The budget has too few tokens left for the request.
    #[display("the budget does not cover the request")]
    BudgetExhausted,
    /// No holder of the budget can reserve tokens now; holds the time until one is expected to.
    #[display("the budget cannot be reached")]
    BudgetUnreachable(Duration),
    /// No upstream could be assigned, and the request has not run.
    #[display("no upstream could take the request")]
    NoUpstream,
    /// The upstreams take no more requests at the rates that they state; holds the time after which
    /// the caller should return.
    #[display("the upstreams take no more requests now")]
    RateLimited(Duration),
    /// A part of the prompt is quarantined; holds the time until the end of the quarantine.
    #[display("a part of the prompt crashes upstreams")]
    Quarantined(Duration),
    /// The process stops before the request could end, and it has not run; holds the time after
    /// which the caller should return.
    #[display("the host is stopping")]
    Stopping(Duration),
    /// Every attempt ended without a run of the request.
    #[display("the upstreams refused the request")]
    Refused,
    /// The request failed and may have run.
    #[display("the request failed")]
    Failed,
    /// The deadline passed while an upstream may have run the request.
    #[display("no answer in time")]
    Timeout,
}

impl Error {
    /// Returns the HTTP status. 503 and 408 guarantee that the request has not run and will not
    /// run.
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Access(AccessError::NoRoute) => StatusCode::NOT_FOUND,
            Self::Access(AccessError::UnknownKey) => StatusCode::UNAUTHORIZED,
            Self::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::Unconfigured
            | Self::BudgetUnreachable(_)
            | Self::OutOfMemory
            | Self::TooManyFields
            | Self::NoUpstream
            | Self::RateLimited(_)
            | Self::Quarantined(_)
            | Self::Stopping(_)
            | Self::Refused => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the shortest time until a retry, for requests that have not run.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Unconfigured => Some(Duration::from_millis(500)),
            Self::BudgetUnreachable(after)
            | Self::RateLimited(after)
            | Self::Quarantined(after)
            | Self::Stopping(after) => Some(after),
            Self::OutOfMemory | Self::TooManyFields | Self::NoUpstream | Self::Refused => {
                Some(Duration::from_millis(200))
            }
            _ => None,
        }
    }
}

/// Returns the response for an error.
pub(crate) fn response(
    protocol: &dyn Protocol,
    head: Option<&RequestHead>,
    error: Error,
) -> Response<Body> {
    let mut response = Response::new(full_body(error.to_string().into()));
    *response.status_mut() = error.status();
    *response.headers_mut() = protocol.error_headers(head);
    if let Some(delay) = error.retry_after() {
        let jitter = 1.0 + RETRY_JITTER * rand::rng().random::<f64>();
        if let Ok(value) = HeaderValue::from_str(&seconds(delay.as_secs_f64() * jitter)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a time in seconds, in milliseconds and rounded up, so that no caller returns early.
fn seconds(time: f64) -> String {
    format!("{:.3}", (time * 1_000.0).ceil() / 1_000.0)
}
