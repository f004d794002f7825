//! Bodies of callers' requests on their way in, and of responses on their way out.

use {
    super::{Activity, Running},
    crate::{Clock, frontend, view::lock},
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll},
    },
};

/// Body of a response whose request is in progress until the body has been sent.
pub(super) struct Outgoing {
    pub(super) body: frontend::Body,
    pub(super) _running: Running,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body of a request; until its end, the host waits for the caller.
pub(super) struct Arriving {
    body: Incoming,
    activity: Arc<Mutex<Activity>>,
}

impl Arriving {
    pub(super) fn new(body: Incoming, clock: Clock, activity: Arc<Mutex<Activity>>) -> Self {
        let since = (!body.is_end_stream()).then(|| clock.now());
        lock(&activity).body_since = since;
        Self { body, activity }
    }
}

impl Body for Arriving {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(None | Some(Err(_))) = &polled {
            lock(&self.activity).body_since = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Arriving {
    fn drop(&mut self) {
        lock(&self.activity).body_since = None;
    }
}
