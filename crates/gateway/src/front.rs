//! The callers' side: reads requests and hands answers back.

use {
    crate::{
        answer::{self, Reason},
        job::{Answer, Context, Job},
        memory::Part,
        protocol::{RequestHead, ResponseHead},
        relay::Relay,
        supervise::guard,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody},
    hyper::body::Incoming,
    marigoldroute_core::forward::{Access, Service},
    marigoldroute_process::logs::REQUESTS,
    poem::http::{HeaderValue, Request, Response, header::CONNECTION},
    std::{io, sync::Arc, time::Duration},
};

/// Longest time to read a request's body, when the caller does not say how long it waits.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Assumed size of the head of a request or an answer, with the overhead of its packets.
const HEAD_BYTES: usize = 600;

/// Body of an answer; an error cuts the connection, so that the answer cannot pass as complete.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body that is known as a whole.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the same for an answer that counts to the memory until its caller has it.
fn counted(bytes: Bytes, part: Part) -> Body {
    let count = move |frame| {
        let _ = &part;
        frame
    };
    whole(bytes).map_frame(count).boxed_unsync()
}

/// Serves callers.
#[derive(Clone)]
pub(crate) struct Front(pub(crate) Arc<Context>);

impl Front {
    /// Answers a request.
    pub(crate) async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let mut response = self.answer(request).await;
        let view = &self.0.view;
        if view.is_draining() || view.is_busy(self.0.clock.now()) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let context = &self.0;
        let arrived = context.clock.now();
        let head =
            context
                .protocol
                .parse_request(request.method(), request.uri(), request.headers());
        let head = match head {
            Ok(head) => head,
            Err(malformed) => return self.own(None, arrived, Reason::Malformed(malformed)),
        };
        match self.admit(&head, request.into_body()).await {
            Ok((access, body)) => self.serve(head, access, body, arrived).await,
            Err(reason) => self.own(Some(&head), arrived, reason),
        }
    }

    /// Answers a request, also when a defect ends its handling. It may have run then.
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived = self.0.clock.now();
        let response = guard(&self.0.metrics, "request", self.respond(request)).await;
        response.unwrap_or_else(|| self.own(None, arrived, Reason::Failed))
    }

    /// Finds what the request is allowed to use, and reads its body.
    async fn admit(&self, head: &RequestHead, body: Incoming) -> Result<(Access, Bytes), Reason> {
        let directory = self.0.view.directory().ok_or(Reason::Unconfigured)?;
        let access = directory.find(&head.host, head.target.path(), head.key.as_deref());
        let access = access.map_err(Reason::Missing)?;
        let limit = directory.limits().body_bytes;
        let timeout = head.timeout.unwrap_or(BODY_TIMEOUT);
        let read = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
        match read {
            Ok(Ok(body)) => {
                let body = body.to_bytes();
                self.count(body.len());
                Ok((access, body))
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge),
            Ok(Err(_)) | Err(_) => Err(Reason::Incomplete),
        }
    }

    async fn serve(
        &self,
        head: RequestHead,
        access: Access,
        body: Bytes,
        arrived: Duration,
    ) -> Response<Body> {
        let service = self.service(&access);
        let Some(service) = service else {
            return self.own(Some(&head), arrived, Reason::Unplaced);
        };
        self.0.dispatcher.arrive(&service.name);
        let last_event = head.last_event;
        let mut job = Job::new(self.0.clone(), head, access, service, body, arrived);
        if let Err(reason) = job.reserve().await {
            return self.own(Some(&job.head), arrived, reason);
        }
        let answer = job.answer(last_event).await;
        let elapsed = self.0.clock.now().saturating_sub(arrived);
        self.0.metrics.first_byte.observe(elapsed.as_secs_f64());
        match answer {
            Answer::Own(reason) => self.own(Some(&job.head), arrived, reason),
            Answer::Whole(head, body, part) => {
                self.count(body.len());
                self.note(&job, &head, elapsed);
                respond(&head, counted(body, part))
            }
            Answer::Stream(stream) => {
                let head = stream.exchange.head.clone();
                self.note(&job, &head, elapsed);
                respond(&head, Relay::new(job, stream).body())
            }
        }
    }

    /// Chooses one of the route's services by weight.
    fn service(&self, access: &Access) -> Option<Arc<Service>> {
        let directory = self.0.view.directory()?;
        let random = rand::random::<f64>();
        let target = access.route.pick(random)?;
        directory.service(&target.service).cloned()
    }

    fn count(&self, bytes: usize) {
        let now = self.0.clock.now();
        self.0.view.count_bytes(now, bytes + HEAD_BYTES);
    }

    fn note(&self, job: &Job, head: &ResponseHead, elapsed: Duration) {
        let status = head.status.as_u16();
        self.0
            .metrics
            .requests
            .with_label_values(&["answered"])
            .inc();
        log::info!(
            target: REQUESTS,
            request:% = job.head.id, route:% = job.access.route.name, status,
            ms = elapsed.as_millis() as u64;
            "answered"
        );
    }

    fn own(&self, head: Option<&RequestHead>, arrived: Duration, reason: Reason) -> Response<Body> {
        let response = answer::own(&*self.0.protocol, head, reason);
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
            request = id, status = response.status().as_u16(), reason:%, version,
            ms = elapsed.as_millis() as u64;
            "refused"
        );
        response
    }
}

fn respond(head: &ResponseHead, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    response.headers_mut().extend(head.headers.clone());
    response
}
