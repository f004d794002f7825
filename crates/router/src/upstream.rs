//! Calls to upstreams.

use {
    crate::control::Scene,
    marigoldroute_core::id::{RequestId, Tokens, UpstreamId},
    poem::http::{HeaderMap, Method},
    reqwest::{Body, Response, StatusCode},
    serde::Deserialize,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
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
pub(crate) enum Used {
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

/// Why a request was sent where it was sent, for the log line.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) upstream: UpstreamId,
    pub(crate) url: Arc<str>,
    pub(crate) candidates: usize,
    pub(crate) in_flight: u64,
}

/// Chooses and calls upstreams.
#[derive(Debug)]
pub(crate) struct Upstreams {
    http: reqwest::Client,
    timeout: Duration,
    in_flight: Mutex<HashMap<UpstreamId, u64>>,
}

/// Counts a request in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    upstreams: Arc<Upstreams>,
    upstream: UpstreamId,
}

impl Upstreams {
    /// Creates the client; `timeout` bounds the wait for the next bytes.
    pub(crate) fn new(timeout: Duration) -> reqwest::Result<Self> {
        let builder = reqwest::Client::builder();
        let http = builder.connect_timeout(CONNECT_TIMEOUT).build()?;
        Ok(Self {
            http,
            timeout,
            in_flight: Mutex::default(),
        })
    }

    /// Chooses the upstream with the fewest requests in flight.
    pub(crate) fn choose(
        self: &Arc<Self>,
        scene: &Scene,
        serves: &str,
        tried: &[UpstreamId],
    ) -> Option<(Choice, InFlight)> {
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = |id: &UpstreamId| in_flight.get(id).copied().unwrap_or(0);
        let candidates: Vec<_> = scene
            .catalog
            .candidates(serves)
            .filter(|(id, _)| scene.is_up(id) && !tried.contains(id))
            .collect();
        let (id, upstream) = candidates.iter().min_by_key(|(id, _)| count(id)).copied()?;
        let choice = Choice {
            upstream: id.clone(),
            url: upstream.url.clone(),
            candidates: candidates.len(),
            in_flight: count(id),
        };
        *in_flight.entry(id.clone()).or_default() += 1;
        let guard = InFlight {
            upstreams: self.clone(),
            upstream: id.clone(),
        };
        Some((choice, guard))
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
    pub(crate) async fn usage(&self, url: &str, attempt: &RequestId) -> Used {
        let call = self.http.get(format!("{url}/v1/usage/{attempt}"));
        let Ok(Ok(response)) = timeout(CONNECT_TIMEOUT, call.send()).await else {
            return Used::Unanswered;
        };
        if response.status() == StatusCode::NOT_FOUND {
            return Used::Absent;
        }
        match timeout(CONNECT_TIMEOUT, response.json::<UsageRecord>()).await {
            Ok(Ok(record)) if record.ended => {
                Used::Finished(record.prompt_tokens + record.completion_tokens)
            }
            Ok(Ok(_)) => Used::Running,
            _ => Used::Unanswered,
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

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut in_flight = self
            .upstreams
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = in_flight.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.upstream);
            }
        }
    }
}
