//! Calls to upstreams.

use {
    marigoldroute_core::id::{RequestId, Tokens},
    marigoldroute_store::http,
    poem::http::{HeaderMap, Method},
    reqwest::{Body, Response, StatusCode},
    serde::Deserialize,
    std::time::Duration,
    tokio::time::timeout,
};

/// Bound on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an upstream gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It acted on no byte of the request.
    Refused,
    /// It acted on no byte of the request, and takes no more work.
    Leaving,
    /// No connection could be opened.
    Unreachable,
    /// It may have acted on the request.
    Lost,
    /// No answer arrived in time; it may have acted on the request.
    Timeout,
}

impl Failure {
    /// Returns whether it is certain that the upstream acted on no byte of the request.
    pub(crate) fn is_refusal(self) -> bool {
        matches!(self, Self::Refused | Self::Leaving | Self::Unreachable)
    }
}

/// What an engine knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageAnswer {
    /// It has no record.
    Absent,
    /// It has not finished the attempt.
    Running,
    /// It finished the attempt with this many prompt and answer tokens.
    Finished(Tokens),
    /// It could not be asked.
    Unanswered,
}

#[derive(Deserialize)]
struct UsageRecord {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    ended: bool,
}

/// Calls upstreams.
#[derive(Debug)]
pub(crate) struct Upstreams {
    http: reqwest::Client,
    timeout: Duration,
}

impl Upstreams {
    /// Creates the client; `timeout` bounds the wait for the next bytes.
    pub(crate) fn new(timeout: Duration) -> reqwest::Result<Self> {
        let http = http().connect_timeout(CONNECT_TIMEOUT).build()?;
        Ok(Self { http, timeout })
    }

    /// Sends a request and waits for the head of the answer.
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
        let response = timeout(self.timeout, call.send()).await;
        let response = response.map_err(|_| Failure::Timeout)?.map_err(|error| {
            if error.is_connect() || error.is_builder() {
                Failure::Unreachable
            } else {
                Failure::Lost
            }
        })?;
        Ok(response)
    }

    /// Asks an engine to send the rest of a stream, from an answer token on.
    pub(crate) async fn resume(
        &self,
        url: &str,
        request: &RequestId,
        from: Tokens,
    ) -> Option<Response> {
        let call = self
            .http
            .get(format!("{url}/v1/resume/{request}?from={from}"));
        let response = timeout(self.timeout, call.send()).await.ok()?.ok()?;
        response.status().is_success().then_some(response)
    }

    /// Asks an engine for its usage record of an attempt.
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

    /// Tells an engine that nobody waits for a request any more.
    pub(crate) async fn cancel(&self, url: &str, request: &RequestId) {
        let call = self.http.post(format!("{url}/v1/cancel/{request}"));
        // The engine ends the request by its own limit when the message is lost.
        let _ = timeout(CONNECT_TIMEOUT, call.send()).await;
    }

    /// Returns the bound on the wait for the next bytes.
    pub(crate) fn timeout(&self) -> Duration {
        self.timeout
    }
}
