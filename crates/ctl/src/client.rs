//! Client of the administration API.

use {
    anyhow::Context,
    derive_more::{Display, Error},
    marigoldroute_core::fault::{Kind, Outcome},
    reqwest::{Certificate, Method, RequestBuilder},
    serde::Deserialize,
    serde_json::Value,
    std::{sync::Arc, time::Duration},
};

/// Bound on a call; above the router's own bound on its calls to the platform.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Attempts of a call. Writes carry a request id, so repeating one is safe.
const ATTEMPTS: u32 = 4;
/// Pause before the second attempt; it doubles each time.
const PAUSE: Duration = Duration::from_millis(200);

/// A mistake in a call.
#[derive(Clone, Debug, Deserialize)]
pub struct Mistake {
    /// Path of the node or field.
    pub path: String,
    /// Setting, when the mistake concerns one.
    pub setting: Option<String>,
    /// What is wrong.
    pub message: String,
}

/// A refusal by the API.
#[derive(Clone, Debug, Deserialize, Display, Error)]
#[display("{message} ({kind}, {outcome})")]
pub struct Refused {
    /// Kind.
    pub kind: Kind,
    /// What is known about the effect of the call.
    pub outcome: Outcome,
    /// What happened.
    pub message: String,
    /// All mistakes of the call.
    #[serde(default)]
    pub mistakes: Vec<Mistake>,
    /// What others changed since the operator looked.
    #[serde(default)]
    pub unseen: Value,
}

#[derive(Deserialize)]
struct Envelope {
    error: Refused,
}

/// A call that got no answer.
#[derive(Clone, Debug, Display, Error)]
#[display("no answer from {url}: {reason}")]
pub struct Unanswered {
    url: String,
    reason: String,
    /// Whether the call may have taken effect.
    pub is_unknown: bool,
}

/// Client with a key.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: Arc<str>,
    key: Arc<str>,
}

impl Client {
    /// Creates a client; `url` is that of a router. With `trusted`, only certificates below one of
    /// these CA certificates are accepted, otherwise those that the system trusts.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn new(url: &str, key: &str, trusted: Option<Vec<Certificate>>) -> anyhow::Result<Self> {
        let http = reqwest::Client::builder().timeout(TIMEOUT);
        let is_secure = url.starts_with("https:");
        let http = match trusted {
            Some(trusted) => http.tls_certs_only(trusted),
            // A host without CA certificates can still use plain HTTP.
            None if !is_secure => http.tls_certs_only([]),
            None => http,
        };
        let http = http.build();
        Ok(Self {
            http: http.context("set up the HTTP client")?,
            base: format!("{}/admin/v1", url.trim_end_matches('/')).into(),
            key: key.into(),
        })
    }

    /// Reads.
    ///
    /// # Errors
    /// [`Refused`] or [`Unanswered`].
    pub async fn get(&self, path: &str, query: &[(&str, String)]) -> anyhow::Result<Value> {
        let call = || self.call(Method::GET, path).query(query);
        repeat(call).await
    }

    /// Asks a question that has a body and no effect.
    ///
    /// # Errors
    /// [`Refused`] or [`Unanswered`].
    pub async fn ask(&self, path: &str, body: &Value) -> anyhow::Result<Value> {
        repeat(|| self.call(Method::POST, path).json(body)).await
    }

    /// Writes under a request id.
    ///
    /// # Errors
    /// [`Refused`] or [`Unanswered`].
    pub async fn write(
        &self,
        method: Method,
        path: &str,
        request: &str,
        body: &Value,
    ) -> anyhow::Result<Value> {
        let call = || {
            let call = self.call(method.clone(), path).json(body);
            call.header("x-request-id", request)
        };
        repeat(call).await
    }

    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.base);
        self.http.request(method, url).bearer_auth(&self.key)
    }
}

/// Makes a call until it has a final answer.
async fn repeat(call: impl Fn() -> RequestBuilder) -> anyhow::Result<Value> {
    let mut pause = PAUSE;
    for _ in 1..ATTEMPTS {
        match send(call()).await {
            Err(error) if may_repeat(&error) => {}
            answer => return answer,
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
    send(call()).await
}

fn may_repeat(error: &anyhow::Error) -> bool {
    let is_lost = error.is::<Unanswered>();
    let refused = error.downcast_ref::<Refused>();
    is_lost || refused.is_some_and(|refused| refused.outcome == Outcome::Unknown)
}

async fn send(call: RequestBuilder) -> anyhow::Result<Value> {
    let response = call.send().await.map_err(lost)?;
    let is_done = response.status().is_success();
    let status = response.status();
    let body = response.bytes().await.map_err(lost)?;
    if is_done {
        return serde_json::from_slice(&body).context("the answer is not JSON");
    }
    match serde_json::from_slice::<Envelope>(&body) {
        Ok(envelope) => Err(envelope.error.into()),
        Err(_) => anyhow::bail!("unexpected answer {status}"),
    }
}

fn lost(error: reqwest::Error) -> Unanswered {
    let url = error.url().map(ToString::to_string).unwrap_or_default();
    Unanswered {
        url,
        is_unknown: !error.is_connect(),
        reason: error.without_url().to_string(),
    }
}
