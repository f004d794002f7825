//! One attempt of a request at one upstream.

use {
    crate::{
        dispatch::Flight,
        memory::{Exceeded, Part},
        pool::{Broken, Connection, Pool},
        protocol::{Attempt, Protocol, RequestHead, ResponseHead},
    },
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    marigoldroute_core::{forward::retry::Outcome, route::Progress},
    poem::http::Request,
    std::{sync::Arc, time::Duration},
};

/// Largest answer that is not a stream, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;
/// Longest time to read the rest of a refusal, so that its connection can be used again; the caller or
/// the next attempt waits for that.
const REFUSAL_TIME: Duration = Duration::from_millis(50);

/// Why an attempt gave no answer.
#[derive(Clone, Debug, Display, Error)]
#[display("{outcome}: {reason}")]
pub(crate) struct Failure {
    pub(crate) outcome: Outcome,
    pub(crate) reason: String,
}

impl Failure {
    pub(crate) fn new(outcome: Outcome, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { outcome, reason }
    }
}

impl From<Exceeded> for Failure {
    fn from(exceeded: Exceeded) -> Self {
        Self::new(Outcome::Unknown, exceeded.to_string())
    }
}

impl From<Broken> for Failure {
    fn from(broken: Broken) -> Self {
        match broken {
            Broken::Unsent { reason } => Self::new(Outcome::Unsent, reason),
            Broken::Sent { reason } => Self::new(Outcome::Unknown, reason),
        }
    }
}

/// An answer whose head has arrived. Dropping it closes the connection, which ends the work at the
/// upstream.
pub(crate) struct Exchange {
    pub(crate) head: ResponseHead,
    pub(crate) flight: Flight,
    body: Incoming,
    connection: Connection,
    pool: Arc<Pool>,
}

impl Exchange {
    /// Sends a request over a connection and waits for the head of its answer.
    pub(crate) async fn start(
        protocol: &dyn Protocol,
        pool: &Arc<Pool>,
        flight: Flight,
        mut connection: Connection,
        request_head: &RequestHead,
        attempt: &Attempt<'_>,
        body: Bytes,
    ) -> Result<Self, (Flight, Failure)> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = request_head.method.clone();
        *request.uri_mut() = request_head.target.clone();
        *request.headers_mut() = protocol.upstream_headers(request_head, attempt);
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(broken) => return Err((flight, broken.into())),
        };
        let (parts, body) = response.into_parts();
        let head = protocol.parse_response(parts.status, &parts.headers);
        if let Some(load) = &head.load {
            flight.load(load);
        }
        let pool = pool.clone();
        Ok(Self {
            head,
            flight,
            body,
            connection,
            pool,
        })
    }

    /// Returns the next bytes of the answer, or `None` at its end.
    pub(crate) async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Failure::new(Outcome::Unknown, error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Returns the whole answer, and counts it to `part`.
    pub(crate) async fn read_all(&mut self, part: &mut Part) -> Result<Bytes, Failure> {
        let mut all = BytesMut::new();
        while let Some(data) = self.read().await? {
            if all.len() + data.len() > ANSWER_LIMIT_BYTES {
                return Err(Failure::new(Outcome::Unknown, "the answer is too large"));
            }
            all.reserve(data.len());
            part.resize(all.capacity())?;
            all.extend_from_slice(&data);
        }
        Ok(all.freeze())
    }

    /// Ends the exchange after a refusal. Its connection is kept if the rest of the refusal comes
    /// soon.
    pub(crate) async fn dismiss(mut self) {
        let rest = async {
            while self.read().await?.is_some() {}
            Ok::<_, Failure>(())
        };
        let progress = Progress::Refused { after: None };
        match tokio::time::timeout(REFUSAL_TIME, rest).await {
            Ok(Ok(())) => self.finish(progress),
            Ok(Err(_)) | Err(_) => self.flight.report(progress),
        }
    }

    /// Ends the exchange after a complete answer, and keeps its connection unless the upstream
    /// closes it.
    pub(crate) fn finish(mut self, progress: Progress<'_>) {
        self.flight.report(progress);
        if !self.head.is_closing {
            let (upstream, address) = (&self.flight.upstream, self.flight.address);
            self.pool
                .put(upstream, address, self.connection, self.head.keep_alive);
        }
    }
}
