//! The readiness check and the metrics. Each connection carries one request and is open for a bounded
//! time, since callers that nobody controls reach these addresses too.

use {
    crate::{Clock, listen::listen, metrics::Metrics, view::View},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldroute_process::logs::BELIEFS,
    poem::http::{Method, Request, Response, StatusCode},
    std::{
        collections::VecDeque, convert::Infallible, net::SocketAddr, pin::Pin, sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Bytes that a connection reads ahead; the head of a request has to fit.
const BUFFER_BYTES: usize = 16 << 10;
/// Longest time for which a connection is open.
const CONNECTION_TIME: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers a request, whose body is not read.
pub(crate) trait Answer:
    Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + 'static
{
}

impl<A: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + 'static> Answer for A {}

/// Binds an address and answers there until `stop`; then closes idle connections at once, and the
/// others after their responses. Of more than `limit` connections, the oldest is closed.
pub(crate) fn serve(
    address: SocketAddr,
    answer: impl Answer,
    limit: usize,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> anyhow::Result<SocketAddr> {
    let (listener, address) = listen(address)?;
    let (connections, stop) = (tasks.clone(), stop.clone());
    tasks.spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = run(listener, answer, limit.max(1), &connections, &stop) => {}
        }
    });
    Ok(address)
}

async fn run(
    listener: TcpListener,
    answer: impl Answer,
    limit: usize,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) {
    let mut open = VecDeque::<JoinHandle<()>>::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: BELIEFS, "connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= limit
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
            // The socket is closed once the task has ended; that it was cancelled is no error.
            let _ = oldest.await;
        }
        open.push_back(tasks.spawn(handle(stream, answer.clone(), stop.clone())));
    }
}

/// Answers the request of a connection.
async fn handle(stream: TcpStream, answer: impl Answer, stop: CancellationToken) {
    let service = service_fn(move |request: Request<Incoming>| {
        std::future::ready(Ok::<_, Infallible>(answer(&request)))
    });
    let mut connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let served = async {
        tokio::select! {
            served = &mut connection => return served,
            () = stop.cancelled() => {}
        }
        Pin::new(&mut connection).graceful_shutdown();
        connection.await
    };
    match tokio::time::timeout(CONNECTION_TIME, served).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("probe ended: {error}"),
        Err(_) => log::debug!("probe took too long"),
    }
}

/// Returns a response, or the one to a wrong path or method.
fn respond(
    request: &Request<Incoming>,
    path: &str,
    text: impl FnOnce() -> (StatusCode, Vec<u8>),
) -> Response<Full<Bytes>> {
    let (status, body) = match request.method() {
        _ if request.uri().path() != path => (StatusCode::NOT_FOUND, Vec::new()),
        &Method::GET | &Method::HEAD => text(),
        _ => (StatusCode::METHOD_NOT_ALLOWED, Vec::new()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}

/// Returns the answers of the readiness check, at `/readyz`.
pub(crate) fn readiness(clock: Clock, view: Arc<View>) -> impl Answer {
    move |request: &Request<Incoming>| {
        respond(request, "/readyz", || match view.is_ready(clock.now()) {
            true => (StatusCode::OK, Vec::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        })
    }
}

/// Returns the answers of the metrics, at `/metrics`.
pub(crate) fn exposition(metrics: Arc<Metrics>) -> impl Answer {
    move |request: &Request<Incoming>| {
        respond(request, "/metrics", || (StatusCode::OK, metrics.text()))
    }
}
