//! HTTP exchange of one request with one upstream.

use {
    crate::{
        body::Outgoing,
        dispatch::InFlight,
        memory::{Exceeded, Quota},
        pool::{Connection, Pool, SendError},
        protocol::{Attempt, Protocol, RequestHead, ResponseHead},
        whole::Whole,
    },
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    marigoldroute_core::{forward::retry::Outcome, route::Progress},
    poem::http::{HeaderMap, Request, StatusCode, header::TRANSFER_ENCODING},
    std::{sync::Arc, time::Duration},
};

/// Largest body of a response that is not a stream.
const BODY_LIMIT_BYTES: usize = 8 << 20;
/// Longest time to read the rest of a refusal so that its connection can be reused. The caller or
/// the next attempt waits for it.
const REFUSAL_READ_LIMIT: Duration = Duration::from_millis(50);

/// Why an attempt gave no usable response, and whether the request may have run.
#[derive(Clone, Debug, Display, Error)]
#[display("{outcome}: {reason}")]
pub(crate) struct Failure {
    pub(crate) outcome: Outcome,
    pub(crate) reason: String,
    /// Whether the connection broke.
    pub(crate) is_break: bool,
}

impl Failure {
    pub(crate) fn new(outcome: Outcome, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self {
            outcome,
            reason,
            is_break: false,
        }
    }

    /// Returns the failure of a connection that broke while the request may have run.
    fn broken(reason: impl Into<String>) -> Self {
        Self {
            is_break: true,
            ..Self::new(Outcome::Unknown, reason)
        }
    }
}

impl From<Exceeded> for Failure {
    fn from(exceeded: Exceeded) -> Self {
        Self::new(Outcome::Unknown, exceeded.to_string())
    }
}

impl From<SendError> for Failure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent { reason } => Self::new(Outcome::Unsent, reason),
            SendError::MaybeSent { reason } => Self::broken(reason),
        }
    }
}

/// Returns whether a body is sent in chunks. With any other encoding of the transfer, it ends with its
/// connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// A response whose head has arrived. Dropping it closes the connection, which cancels the request
/// at the upstream.
pub(crate) struct Exchange {
    pub(crate) head: ResponseHead,
    pub(crate) in_flight: InFlight,
    /// Whether the end of the body is marked, by a length or by the last chunk. Any other body ends
    /// with its connection, which also ends when the upstream does.
    pub(crate) is_end_marked: bool,
    body: Incoming,
    connection: Connection,
    pool: Arc<Pool>,
}

impl Exchange {
    /// Sends a request over a connection and waits for the head of its response.
    ///
    /// # Errors
    /// The failure, with `in_flight` so that another connection can be tried.
    pub(crate) async fn start(
        protocol: &dyn Protocol,
        pool: &Arc<Pool>,
        mut in_flight: InFlight,
        mut connection: Connection,
        request_head: &RequestHead,
        attempt: &Attempt<'_>,
        body: Outgoing,
    ) -> Result<Self, (InFlight, Failure)> {
        let mut request = Request::new(body);
        *request.method_mut() = request_head.method.clone();
        *request.uri_mut() = request_head.target.clone();
        *request.headers_mut() = protocol.upstream_headers(request_head, attempt);
        // Whatever the request has waited for since it was assigned, nothing lies between this check
        // and the first byte.
        if let Some(bar) = in_flight.bar() {
            return Err((in_flight, Failure::new(Outcome::Barred, bar.to_string())));
        }
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(error) => return Err((in_flight, error.into())),
        };
        let (parts, body) = response.into_parts();
        let head = protocol.parse_response(parts.status, &parts.headers);
        let is_end_marked = body.size_hint().exact().is_some() || is_chunked(&parts.headers);
        // Bytes of another answer belong to no request, and state nothing about the upstream.
        let is_own = head.id.as_ref() == Some(&request_head.id);
        if let Some(load) = head.load.as_ref().filter(|_| is_own) {
            in_flight.update_load(load);
        }
        // Another process at the address of the upstream answers that the request is not for it.
        if is_own && head.status != StatusCode::MISDIRECTED_REQUEST {
            in_flight.record_statement(head.rate, head.status.is_success());
            in_flight.record_notice(&head, &request_head.id);
            if let Some(left) = head.cold_left {
                in_flight.record_cold(left);
            }
        }
        let pool = pool.clone();
        Ok(Self {
            head,
            in_flight,
            is_end_marked,
            body,
            connection,
            pool,
        })
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// A success that ends with its connection before the request was written is not whole: the
    /// upstream has ended, or has given the request up.
    pub(crate) async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Failure::broken(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        let is_cut = !self.is_end_marked && !self.connection.has_written();
        if is_cut && self.head.status.is_success() {
            return Err(Failure::broken("the answer ended within the request"));
        }
        Ok(None)
    }

    /// Returns the failure of a response that ended too early. Its connection broke, unless the
    /// upstream marked the end.
    pub(crate) fn ended_early(&self, reason: &str) -> Failure {
        Failure {
            is_break: !self.is_end_marked,
            ..Failure::new(Outcome::Unknown, reason)
        }
    }

    /// Returns the whole body, whose memory is taken from `quota`.
    ///
    /// # Errors
    /// When it breaks off, takes too much memory, or ends with its connection before it has begun
    /// although the response is a success.
    pub(crate) async fn read_all(&mut self, quota: &Quota) -> Result<Whole, Failure> {
        let mut all = Whole::new(quota.permit());
        while let Some(data) = self.read().await? {
            if all.len() + data.len() > BODY_LIMIT_BYTES {
                return Err(Failure::new(Outcome::Unknown, "the answer is too large"));
            }
            all.push(data)?;
        }
        if all.len() == 0 && !self.is_end_marked && self.head.status.is_success() {
            return Err(self.ended_early("the answer ended without a body"));
        }
        Ok(all)
    }

    /// Ends the exchange after a refusal. Its connection is kept if the rest of the response
    /// arrives within [`REFUSAL_READ_LIMIT`].
    pub(crate) async fn finish_refused(mut self) {
        let is_unavailable = self.head.status == StatusCode::SERVICE_UNAVAILABLE;
        let pause = self.head.pause.filter(|_| is_unavailable);
        let after = pause.filter(|pause| !pause.is_zero());
        let rest = async {
            while self.read().await?.is_some() {}
            Ok::<_, Failure>(())
        };
        let progress = Progress::Refused { after };
        match tokio::time::timeout(REFUSAL_READ_LIMIT, rest).await {
            Ok(Ok(())) => self.finish(progress),
            Ok(Err(_)) | Err(_) => self.in_flight.report(progress),
        }
    }

    /// Ends the exchange and closes its connection.
    pub(crate) fn into_in_flight(self) -> InFlight {
        self.in_flight
    }

    /// Ends the exchange after a complete response, and keeps its connection unless the upstream
    /// closes it.
    pub(crate) fn finish(mut self, progress: Progress<'_>) {
        self.in_flight.report(progress);
        if !self.head.is_closing {
            let (upstream, address) = (&self.in_flight.upstream, self.in_flight.address);
            self.pool
                .put(upstream, address, self.connection, self.head.keep_alive);
        }
    }
}
