//! HTTP client of the table service and the object store.

use {
    derive_more::{Display, Error},
    marigoldroute_core::table::{Row, Transaction, Verdict},
    reqwest::{RequestBuilder, Response, StatusCode},
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Duration},
};

/// Failure of a call to the table service or the object store.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The connection failed or the service answered 503; nothing was written.
    #[display("the platform service is unavailable")]
    Unavailable,
    /// No complete answer arrived in time, or it was another server error; a write may have taken
    /// effect.
    #[display("the platform service did not answer")]
    Unanswered,
    /// The answer does not follow the service's protocol, or the service rejected the request as
    /// malformed.
    #[display("the platform service gave a malformed answer")]
    Malformed,
}

/// Client of the table service and the object store.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: Arc<str>,
}

/// Returns a builder of clients for plain HTTP.
///
/// It trusts no certificate authority: a client that loads the system's cannot be built on a host
/// that has none.
pub fn http_client_builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder().tls_certs_only([])
}

impl Client {
    /// Creates a client; `base` is the services' URL without a trailing slash, and `timeout`
    /// bounds each call.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn new(base: impl Into<Arc<str>>, timeout: Duration) -> reqwest::Result<Self> {
        let http = http_client_builder().timeout(timeout).build()?;
        let base = base.into();
        Ok(Self { http, base })
    }

    /// Returns a row, or `None` when it is absent.
    ///
    /// # Errors
    /// [`Fault`]; reads have no effect, so they may be repeated after any of them.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        let response = send(self.http.get(self.url(&format!("rows/{key}")))).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => parse(response).await.map(Some),
        }
    }

    /// Returns up to `limit` rows whose key starts with `prefix` and is greater than `after`,
    /// sorted by key.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Fault> {
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", &limit)];
        parse(send(self.http.get(self.url("rows")).query(&query)).await?).await
    }

    /// Commits a transaction; all of its writes take effect, or none when a condition fails.
    ///
    /// # Errors
    /// After [`Fault::Unanswered`] and [`Fault::Malformed`] the writes may have taken effect.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Verdict, Fault> {
        let request = self.http.post(self.url("transactions")).json(transaction);
        let response = send(request).await?;
        match response.status() {
            StatusCode::CONFLICT => {
                let rows = response.json().await.map_err(|_| Fault::Malformed)?;
                Ok(Verdict::Conflict(rows))
            }
            StatusCode::OK => Ok(Verdict::Committed),
            _ => Err(Fault::Malformed),
        }
    }

    /// Creates or replaces an object.
    ///
    /// # Errors
    /// As for [`Self::commit`].
    pub async fn put_object(&self, key: &str, body: Vec<u8>) -> Result<(), Fault> {
        let request = self
            .http
            .put(self.url(&format!("objects/{key}")))
            .body(body);
        send(request).await.map(drop)
    }

    /// Returns an object, or `None` when it is absent.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, Fault> {
        let response = send(self.http.get(self.url(&format!("objects/{key}")))).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let body = response.bytes().await.map_err(|_| Fault::Unanswered)?;
        Ok(Some(body.to_vec()))
    }

    /// Deletes an object; an absent one is ignored.
    ///
    /// # Errors
    /// As for [`Self::commit`].
    pub async fn delete_object(&self, key: &str) -> Result<(), Fault> {
        let request = self.http.delete(self.url(&format!("objects/{key}")));
        send(request).await.map(drop)
    }

    /// Returns the keys of the objects whose key starts with `prefix`, sorted.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>, Fault> {
        let request = self.http.get(self.url("objects"));
        parse(send(request.query(&[("prefix", prefix)])).await?).await
    }

    /// Returns up to `limit` keys of objects that start with `prefix` and are greater than `after`,
    /// sorted.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn list_objects_after(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<String>, Fault> {
        let limit_text = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", &limit_text)];
        let request = self.http.get(self.url("objects")).query(&query);
        let mut keys: Vec<String> = parse(send(request).await?).await?;
        // A service that ignores `after` and `limit` returns every key with the prefix.
        keys.retain(|key| key.as_str() > after);
        keys.truncate(limit);
        Ok(keys)
    }

    fn url(&self, path: &str) -> String {
        format!("{}/v1/{path}", self.base)
    }
}

/// Sends a request and maps connection errors and error statuses to a [`Fault`].
async fn send(request: RequestBuilder) -> Result<Response, Fault> {
    let response = request.send().await.map_err(|error| {
        if error.is_connect() {
            Fault::Unavailable
        } else {
            Fault::Unanswered
        }
    })?;
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Err(Fault::Unavailable),
        status if status.is_server_error() => Err(Fault::Unanswered),
        StatusCode::BAD_REQUEST => Err(Fault::Malformed),
        _ => Ok(response),
    }
}

/// Reads the body and decodes it as JSON.
async fn parse<T: DeserializeOwned>(response: Response) -> Result<T, Fault> {
    let body = response.bytes().await.map_err(|_| Fault::Unanswered)?;
    serde_json::from_slice(&body).map_err(|_| Fault::Malformed)
}
