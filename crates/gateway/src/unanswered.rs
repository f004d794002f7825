//! Requests that end without a response.

use {
    crate::request::Context,
    marigoldroute_core::id::RequestId,
    marigoldroute_process::logs::REQUESTS,
    std::{sync::Arc, time::Duration},
};

/// A request that has no response yet. Dropping it records that the request ended without one:
/// hyper drops the request when its caller closes the connection, and the runtime when the process
/// ends.
pub(crate) struct Unanswered {
    context: Arc<Context>,
    id: RequestId,
    arrived: Duration,
    has_response: bool,
}

impl Unanswered {
    pub(crate) fn new(context: Arc<Context>, id: RequestId, arrived: Duration) -> Self {
        Self {
            context,
            id,
            arrived,
            has_response: false,
        }
    }

    /// Records that the request has a response.
    pub(crate) fn finish(mut self) {
        self.has_response = true;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        // The response to a request that panicked is returned by whoever catches the panic.
        if self.has_response || std::thread::panicking() {
            return;
        }
        let requests = &self.context.metrics.requests;
        requests.with_label_values(&["unanswered"]).inc();
        let elapsed = self.context.clock.now().saturating_sub(self.arrived);
        log::info!(
            target: REQUESTS,
            request:% = self.id, is_stopping = self.context.view.is_draining(),
            ms = elapsed.as_millis() as u64;
            "ended without a response"
        );
    }
}
