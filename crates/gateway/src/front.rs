//! The callers' side: reads requests and hands answers back.

use {
    crate::{
        answer::{self, Reason},
        interface::{Call, Reply},
        job::{Answer, Context, Job},
        relay::Relay,
    },
    bytes::Bytes,
    marigoldroute_core::forward::Access,
    marigoldroute_observe::logs::REQUESTS,
    poem::{
        Body, Endpoint, Request, Response,
        error::ReadBodyError,
        http::{HeaderValue, header::CONNECTION},
    },
    std::{sync::Arc, time::Duration},
};

/// Longest time to read a request's body, when the caller does not say how long it waits.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The endpoint for callers.
pub(crate) struct Front(pub(crate) Arc<Context>);

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let mut response = self.respond(request).await;
        if self.0.view.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response)
    }
}

impl Front {
    async fn respond(&self, mut request: Request) -> Response {
        let context = &self.0;
        let arrived = context.clock.now();
        let call = context
            .interface
            .call(request.method(), request.uri(), request.headers());
        let call = match call {
            Ok(call) => call,
            Err(malformed) => return self.own(None, arrived, Reason::Malformed(malformed)),
        };
        let body = request.take_body();
        match self.admit(&call, body).await {
            Ok((access, body)) => self.serve(call, access, body, arrived).await,
            Err(reason) => self.own(Some(&call), arrived, reason),
        }
    }

    /// Finds what the request is allowed to use, and reads its body.
    async fn admit(&self, call: &Call, body: Body) -> Result<(Access, Bytes), Reason> {
        let directory = self.0.view.directory().ok_or(Reason::Unconfigured)?;
        let access = directory.find(&call.host, call.target.path(), call.key.as_deref());
        let access = access.map_err(Reason::Missing)?;
        let limit = directory.limits().body_bytes;
        let timeout = call.patience.unwrap_or(BODY_TIMEOUT);
        let read = tokio::time::timeout(timeout, body.into_bytes_limit(limit)).await;
        match read {
            Ok(Ok(body)) => Ok((access, body)),
            Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(Reason::TooLarge),
            Ok(Err(_)) | Err(_) => Err(Reason::Incomplete),
        }
    }

    async fn serve(&self, call: Call, access: Access, body: Bytes, arrived: Duration) -> Response {
        let service = self.service(&access);
        let Some(service) = service else {
            return self.own(Some(&call), arrived, Reason::Unplaced);
        };
        self.0.dispatch.arrive(&service.name);
        let last_event = call.last_event;
        let mut job = Job::new(self.0.clone(), call, access, service, body, arrived);
        if let Err(reason) = job.reserve().await {
            return self.own(Some(&job.call), arrived, reason);
        }
        let answer = job.answer(last_event).await;
        let elapsed = self.0.clock.now().saturating_sub(arrived);
        self.0.metrics.first_byte.observe(elapsed.as_secs_f64());
        match answer {
            Answer::Own(reason) => self.own(Some(&job.call), arrived, reason),
            Answer::Whole(reply, body) => {
                self.note(&job, &reply, elapsed);
                respond(&reply, Body::from_bytes(body))
            }
            Answer::Stream(stream) => {
                let reply = stream.exchange.reply.clone();
                self.note(&job, &reply, elapsed);
                respond(&reply, Relay::new(job, stream).body())
            }
        }
    }

    /// Chooses one of the route's services by weight.
    fn service(&self, access: &Access) -> Option<Arc<marigoldroute_core::forward::Service>> {
        let directory = self.0.view.directory()?;
        let random = rand::random::<f64>();
        let target = access.route.pick(random)?;
        directory.service(&target.service).cloned()
    }

    fn note(&self, job: &Job, reply: &Reply, elapsed: Duration) {
        let status = reply.status.as_u16();
        self.0
            .metrics
            .requests
            .with_label_values(&["answered"])
            .inc();
        log::info!(
            target: REQUESTS,
            request:% = job.call.id, route:% = job.access.route.name, status,
            ms = elapsed.as_millis() as u64;
            "answered"
        );
    }

    fn own(&self, call: Option<&Call>, arrived: Duration, reason: Reason) -> Response {
        let response = answer::own(&*self.0.interface, call, reason);
        let id = call.map_or("", |call| &call.id);
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

fn respond(reply: &Reply, body: Body) -> Response {
    let mut response = Response::builder().status(reply.status).body(body);
    response.headers_mut().extend(reply.headers.clone());
    response
}
