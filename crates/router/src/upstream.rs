//! HTTP client for upstreams.

use {
    marigoldroute_core::id::{RequestId, Tokens},
    marigoldroute_store::http_client_builder,
    poem::http::{HeaderMap, Method},
    reqwest::{Body, RequestBuilder, Response, StatusCode},
    serde::Deserialize,
    std::time::Duration,
    tokio::time::timeout,
};

/// Timeout for opening a connection, and for short calls such as usage queries.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an upstream gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The upstream acted on no byte of the request.
    Refused,
    /// The upstream acted on no byte of the request and is draining.
    Leaving,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke; the upstream may have acted on the request.
    Lost,
    /// No answer arrived in time; the upstream may have acted on the request.
    Timeout,
}

impl Failure {
    /// Returns whether it is certain that the upstream acted on no byte of the request.
    pub(crate) fn is_refusal(self) -> bool {
        matches!(self, Self::Refused | Self::Leaving | Self::Unreachable)
    }
}

/// Answer of an engine to the query for the usage record of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageAnswer {
    /// The engine has no record.
    Absent,
    /// The attempt is running.
    Running,
    /// The attempt has ended; the sum of its prompt and answer tokens.
    Finished(Tokens),
    /// The engine did not answer.
    Unanswered,
}

#[derive(Deserialize)]
struct UsageRecord {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    ended: bool,
}

/// Client for calls to upstreams.
#[derive(Debug)]
pub(crate) struct Upstreams {
    http: reqwest::Client,
    timeout: Duration,
}

impl Upstreams {
    /// Creates the client; `timeout` applies to the wait for the next bytes of an answer.
    pub(crate) fn new(timeout: Duration) -> reqwest::Result<Self> {
        let http = http_client_builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .build()?;
        Ok(Self { http, timeout })
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        method: Method,
        url: &str,
        request: &RequestId,
        headers: HeaderMap,
        body: impl Into<Body>,
    ) -> Result<Response, Failure> {
        let call = self.http.request(method, url).headers(headers);
        let call = call.header("x-request-id", &**request).body(body);
        self.head(call).await
    }

    /// Requests the rest of a stream from an engine, starting after `from` answer tokens.
    pub(crate) async fn resume(
        &self,
        url: &str,
        request: &RequestId,
        from: Tokens,
    ) -> Result<Response, Failure> {
        let call = self
            .http
            .get(format!("{url}/v1/resume/{request}?from={from}"));
        let response = self.head(call).await?;
        match response.status().is_success() {
            true => Ok(response),
            false => Err(Failure::Refused),
        }
    }

    /// Sends a call and waits for the head of the response.
    async fn head(&self, call: RequestBuilder) -> Result<Response, Failure> {
        let response = timeout(self.timeout, call.send()).await;
        response.map_err(|_| Failure::Timeout)?.map_err(|error| {
            if error.is_connect() || error.is_builder() {
                Failure::Unreachable
            } else {
                Failure::Lost
            }
        })
    }

    /// Queries an engine for its usage record of an attempt.
    pub(crate) async fn usage(&self, url: &str, attempt: &RequestId) -> UsageAnswer {
        let call = self.http.get(format!("{url}/v1/usage/{attempt}"));
        let Ok(Ok(response)) = timeout(CONNECT_TIMEOUT, call.send()).await else {
            return UsageAnswer::Unanswered;
        };
        if response.status() == StatusCode::NOT_FOUND {
            return UsageAnswer::Absent;
        }
        match timeout(CONNECT_TIMEOUT, response.json::<UsageRecord>()).await {
            Ok(Ok(record)) if record.ended => {
                UsageAnswer::Finished(record.prompt_tokens + record.completion_tokens)
            }
            Ok(Ok(_)) => UsageAnswer::Running,
            _ => UsageAnswer::Unanswered,
        }
    }

    /// Cancels a request at an engine.
    pub(crate) async fn cancel(&self, url: &str, request: &RequestId) {
        let call = self.http.post(format!("{url}/v1/cancel/{request}"));
        // If the message is lost, the engine ends the request by its own limit.
        let _ = timeout(CONNECT_TIMEOUT, call.send()).await;
    }

    /// Returns the timeout for the next bytes of an answer.
    pub(crate) fn timeout(&self) -> Duration {
        self.timeout
    }
}
