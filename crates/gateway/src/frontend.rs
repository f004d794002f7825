//! HTTP service for callers: admits requests and returns responses.

use {
    crate::{
        body::{Counted, RequestBody},
        drain::Prospect,
        error::{self, Error},
        memory::Permit,
        protocol::{RequestHead, ResponseHead},
        relay::Relay,
        request::{ActiveRequest, Answer, Context, Deadline},
        supervise::catch_panic,
        unanswered::Unanswered,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::body::Body as _,
    marigoldroute_core::{
        forward::{Access, Directory, Service},
        id::RequestId,
    },
    marigoldroute_process::logs::REQUESTS,
    poem::http::{
        HeaderValue, Request, Response, StatusCode, Version,
        header::{CONNECTION, CONTENT_LENGTH, EXPECT},
    },
    std::{io, sync::Arc, time::Duration},
};

/// Longest time to read a request's body when the caller states no timeout.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time to read the rest of a body whose request gets an error response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// As [`DISCARD_TIMEOUT`], for a body that did not arrive in time, and for any while memory or
/// connections are short.
const LATE_DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest rest of a body that is read before an error response.
const DISCARD_LIMIT_BYTES: usize = 16 << 20;

/// Fields of a head that take no memory from the quota of heads; usual heads have fewer.
const FREE_FIELDS: usize = 64;
/// Memory of a field in the three copies of a head that exist at a time: that of the HTTP library, the
/// one to forward, and that of an attempt. A copy takes 104 bytes for an entry, up to twice that for
/// the growth of the table, and 40 bytes for the name.
const FIELD_BYTES: usize = 3 * (2 * 104 + 40);

/// Assumed size of the head of a request or a response, with the overhead of its packets.
const HEAD_BYTES: usize = 600;

/// Body of a response; an error in it closes the connection, so that the caller does not take a
/// truncated response for a complete one.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body with all of its bytes.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A request that was authorized and whose body has arrived.
struct Admitted {
    access: Access,
    /// One of the route's services, of the same configuration as the route.
    service: Arc<Service>,
    body: Bytes,
    deadline: Deadline,
}

/// The service that handles callers' requests.
#[derive(Clone)]
pub(crate) struct Frontend(pub(crate) Arc<Context>);

impl Frontend {
    /// Handles a request; asks the caller to close the connection after a head that is too large, and
    /// while this host should get no new requests.
    pub(crate) async fn call(&self, request: Request<impl RequestBody + Unpin>) -> Response<Body> {
        let mut response = self.handle_guarded(request).await;
        let view = &self.0.view;
        // What the caller sends next could be the rest of a request that was refused before its end.
        let is_own = response.extensions().get::<Answered>().is_none();
        let is_unread = is_own && response.status() == StatusCode::REQUEST_TIMEOUT;
        let is_head_too_large = response.status() == StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        if is_unread || is_head_too_large || view.is_draining() || view.is_busy(self.0.clock.now())
        {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn handle(&self, request: Request<impl RequestBody + Unpin>) -> Response<Body> {
        let context = &self.0;
        let arrived = context.clock.now();
        let mut memory = context.head_quota.permit();
        let head = match head_bytes(&request) > self.head_limit() {
            true => Err(Error::HeadTooLarge),
            false => self.parse(&request, &mut memory),
        };
        let expects_continue = request.headers().contains_key(EXPECT);
        // A caller without chunks takes the end of its connection for that of the stream.
        let takes_streams = request.version() > Version::HTTP_10;
        self.record_bytes(HEAD_BYTES);
        // Also counts bodies that are dropped before an error response.
        let mut body = Counted::new(request.into_body(), |bytes| self.record_bytes(bytes));
        let head = match head {
            Ok(head) => head,
            Err(error) => {
                let limit = self.discard_limit();
                let is_read = discard(&mut body, expects_continue, limit).await;
                let response = self.reject(None, arrived, error);
                self.record_unread(is_read, &response);
                return response;
            }
        };
        let unanswered = Unanswered::new(context.clone(), head.id.clone(), arrived);
        let response = match self.admit(&head, &mut body, arrived).await {
            Ok(admitted) if admitted.access.route.kind.is_stream() && !takes_streams => {
                self.reject(Some(&head), arrived, Error::Version)
            }
            Ok(admitted) => {
                let mut response = self.forward(head, memory, admitted, arrived).await;
                let length = response.body().size_hint().lower();
                if !takes_streams && length > 0 {
                    response.headers_mut().insert(CONTENT_LENGTH, length.into());
                }
                response
            }
            Err(error) => {
                let left = self.caller_time_left(&head, arrived);
                // The response has to be sent before the process ends.
                let left = self
                    .0
                    .drain
                    .time_left()
                    .map_or(left, |end| left.min(end / 2));
                let limit = match error {
                    // The time of the request is over already.
                    Error::Late => LATE_DISCARD_TIMEOUT,
                    _ => self.discard_limit(),
                };
                let expects_continue = expects_continue && !body.was_polled;
                let is_read = discard(&mut body, expects_continue, left.min(limit)).await;
                let response = self.reject(Some(&head), arrived, error);
                self.record_unread(is_read, &response);
                response
            }
        };
        unanswered.finish();
        response
    }

    /// Parses a head; one of many fields takes its memory from the quota before it is copied.
    fn parse<B>(&self, request: &Request<B>, memory: &mut Permit) -> Result<RequestHead, Error> {
        let context = &self.0;
        let fields = request.headers().len();
        if fields > FREE_FIELDS {
            // A single one is served, whatever the limits are.
            let bytes = (fields * FIELD_BYTES).min(context.settings.head_memory);
            let taken = memory.resize(bytes);
            taken.map_err(|_| Error::TooManyFields)?;
        }
        let head =
            context
                .protocol
                .parse_request(request.method(), request.uri(), request.headers());
        head.map_err(Error::Malformed)
    }

    /// Returns how long the rest of a body is read before an error response.
    fn discard_limit(&self) -> Duration {
        let is_short = self.0.registry.is_short() || self.0.body_quota.is_short();
        if is_short {
            LATE_DISCARD_TIMEOUT
        } else {
            DISCARD_TIMEOUT
        }
    }

    /// Returns the largest head that callers may send, by the configuration in effect.
    pub(crate) fn head_limit(&self) -> usize {
        let directory = self.0.view.directory().unwrap_or_default();
        directory.limits().header_bytes
    }

    /// Returns the time for which the caller still waits for the response.
    fn caller_time_left(&self, head: &RequestHead, arrived: Duration) -> Duration {
        let elapsed = self.0.clock.now().saturating_sub(arrived);
        let timeout = head.timeout.unwrap_or(Duration::MAX);
        timeout.saturating_sub(elapsed)
    }

    /// Counts a response that is returned before the end of the request's body.
    fn record_unread(&self, is_read: bool, response: &Response<Body>) {
        if !is_read {
            let unread = &self.0.metrics.unread_bodies;
            unread
                .with_label_values(&[response.status().as_str()])
                .inc();
        }
    }

    /// Handles a request; a panic becomes [`Error::Failed`], because the request may have run.
    async fn handle_guarded(&self, request: Request<impl RequestBody + Unpin>) -> Response<Body> {
        let arrived = self.0.clock.now();
        let response = catch_panic(&self.0.metrics, "request", self.handle(request)).await;
        response.unwrap_or_else(|| self.reject(None, arrived, Error::Failed))
    }

    /// Authorizes a request and reads its body.
    async fn admit(
        &self,
        head: &RequestHead,
        body: &mut (impl RequestBody + Unpin),
        arrived: Duration,
    ) -> Result<Admitted, Error> {
        let directory = self.0.view.directory().ok_or(Error::Unconfigured)?;
        let access = directory.find(&head.host, head.target.path(), head.key.as_deref());
        let access = access.map_err(Error::Access)?;
        let service = choose_service(&directory, &access).ok_or(Error::NoUpstream)?;
        let deadline = Deadline::new(&self.0, head, &access.route, arrived);
        let prospect = Prospect {
            head,
            access: &access,
            service: &service,
            deadline: deadline.at(),
            last_event: head.last_event,
            has_begun: false,
        };
        let drain = &self.0.drain;
        if drain.slack(&prospect).is_zero() {
            return Err(self.0.stopping());
        }
        let limit = directory.limits().body_bytes;
        let timeout = head.timeout.unwrap_or(BODY_TIMEOUT);
        let patience = timeout.min(deadline.remaining());
        let reading = self.0.body_quota.read(body, limit, patience);
        let reading = tokio::time::timeout(timeout, reading);
        let read = tokio::select! {
            biased;
            read = deadline.run(reading) => read,
            () = drain.until_late(&prospect) => return Err(self.0.stopping()),
        };
        let body = read.and_then(Result::ok).ok_or(Error::Late)??;
        Ok(Admitted {
            access,
            service,
            body,
            deadline,
        })
    }

    /// Forwards an admitted request to its service.
    async fn forward(
        &self,
        head: RequestHead,
        memory: Permit,
        admitted: Admitted,
        arrived: Duration,
    ) -> Response<Body> {
        let Admitted {
            access,
            service,
            body,
            deadline,
        } = admitted;
        self.0.dispatcher.record_request(&service.name);
        let last_event = head.last_event;
        let context = self.0.clone();
        let mut request =
            ActiveRequest::new(context, head, access, service, body, arrived, deadline);
        request.head_memory = Some(memory);
        if let Some(rest) = self.0.quarantine.check(&request.parts) {
            let error = request.record_quarantined(rest);
            return self.reject(Some(&request.head), arrived, error);
        }
        if request.is_too_late(last_event) {
            return self.reject(Some(&request.head), arrived, self.0.stopping());
        }
        if let Err(error) = request.reserve().await {
            return self.reject(Some(&request.head), arrived, error);
        }
        let answer = request.run(last_event).await;
        let elapsed = self.0.clock.now().saturating_sub(arrived);
        self.0.metrics.first_byte.observe(elapsed.as_secs_f64());
        match answer {
            Answer::Error(error) => self.reject(Some(&request.head), arrived, error),
            Answer::Complete(head, body) => {
                self.record_bytes(HEAD_BYTES + body.len());
                self.record_answer(&request, &head, elapsed);
                build_response(&head, body.into_body(), false)
            }
            Answer::Stream(stream) => {
                let head = stream.exchange.head.clone();
                self.record_answer(&request, &head, elapsed);
                build_response(&head, Relay::new(request, stream).body(), true)
            }
        }
    }

    /// Adds bytes of a request or a response to the load of the link.
    fn record_bytes(&self, bytes: usize) {
        self.0.view.record_bytes(self.0.clock.now(), bytes);
    }

    fn record_answer(&self, request: &ActiveRequest, head: &ResponseHead, elapsed: Duration) {
        let status = head.status.as_u16();
        self.0
            .metrics
            .requests
            .with_label_values(&["answered"])
            .inc();
        log::info!(
            target: REQUESTS,
            request:% = request.head.id, route:% = request.access.route.name, status,
            ms = elapsed.as_millis() as u64;
            "answered"
        );
    }

    /// Returns an error response and records it.
    fn reject(
        &self,
        head: Option<&RequestHead>,
        arrived: Duration,
        error: Error,
    ) -> Response<Body> {
        let response = error::response(&*self.0.protocol, head, error);
        let id = head.map_or("", |head| &head.id);
        let elapsed = self.0.clock.now().saturating_sub(arrived);
        let version = self
            .0
            .view
            .directory()
            .map_or(0, |directory| directory.version());
        self.0
            .metrics
            .requests
            .with_label_values(&["refused"])
            .inc();
        log::info!(
            target: REQUESTS,
            request = id, status = response.status().as_u16(), reason:% = error, version,
            ms = elapsed.as_millis() as u64;
            "refused"
        );
        response
    }
}

/// Returns the size of the head of a request, as sent without needless spaces.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let line = format!("{} {} HTTP/1.1\r\n", request.method(), request.uri());
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line.len() + headers.sum::<usize>() + "\r\n".len()
}

/// Chooses one of the route's services at random, by weight.
fn choose_service(directory: &Directory, access: &Access) -> Option<Arc<Service>> {
    let random = rand::random::<f64>();
    let target = access.route.pick(random)?;
    directory.service(&target.service).cloned()
}

/// Reads the rest of a request's body and drops it. Closing a connection with unread bytes resets
/// it, so that the caller may lose the response. Returns whether the body was read to its end.
///
/// A caller that waits for the interim response 100 has not sent its body and need not send it.
async fn discard(
    body: &mut (impl RequestBody + Unpin),
    expects_continue: bool,
    limit: Duration,
) -> bool {
    if expects_continue {
        return body.is_end_stream();
    }
    let rest = async {
        let mut left = DISCARD_LIMIT_BYTES;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(fewer) = left.checked_sub(bytes) else {
                return false;
            };
            left = fewer;
        }
        true
    };
    // Whoever is slower gets the response on a connection that closes.
    tokio::time::timeout(limit, rest).await.unwrap_or(false)
}

/// Marks the response of an upstream, in its extensions.
#[derive(Clone, Debug)]
pub(crate) struct Answered {
    pub(crate) request: RequestId,
    pub(crate) is_stream: bool,
}

fn build_response(head: &ResponseHead, body: Body, is_stream: bool) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    response.headers_mut().extend(head.headers.clone());
    if let Some(request) = head.id.clone() {
        let extensions = response.extensions_mut();
        extensions.insert(Answered { request, is_stream });
    }
    response
}
