//! Permits for requests to upstreams that have stated a rate.

use {
    crate::{
        dispatch::Dispatcher,
        metrics::Metrics,
        peers::{CallOutcome, Peers},
    },
    marigoldroute_core::{id::UpstreamId, throttle::Step, wire::Body},
    std::{sync::Arc, time::Duration},
};

/// Acquires permits, at this host or at those that grant them.
pub(crate) struct Permits {
    dispatcher: Arc<Dispatcher>,
    /// Absent when hosts exchange no messages; then only hosts that grant get permits.
    peers: Option<Arc<Peers>>,
    metrics: Arc<Metrics>,
}

impl Permits {
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        peers: Option<Arc<Peers>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            dispatcher,
            peers,
            metrics,
        }
    }

    /// Acquires a permit to send one request at once; returns whether there was one.
    pub(crate) async fn acquire(&self, upstream: &UpstreamId) -> bool {
        let result = match self.dispatcher.acquire(upstream) {
            Step::Send => "granted",
            Step::Closed => "refused",
            Step::Ask(host, acquire) => {
                let answer = match &self.peers {
                    Some(peers) => {
                        let body = Body::Acquire(acquire);
                        peers.call(&host, body, Duration::ZERO).await
                    }
                    None => CallOutcome::Unanswered,
                };
                let (result, acquired) = match answer {
                    CallOutcome::Answered(Body::Acquired(acquired)) if acquired.is_granted => {
                        ("granted", Some(acquired))
                    }
                    CallOutcome::Answered(Body::Acquired(acquired)) => ("refused", Some(acquired)),
                    CallOutcome::Answered(_) | CallOutcome::Waiting | CallOutcome::Unanswered => {
                        ("unanswered", None)
                    }
                };
                self.dispatcher
                    .apply_permit(upstream, host, acquired.as_ref());
                result
            }
        };
        self.metrics.permits.with_label_values(&[result]).inc();
        result == "granted"
    }
}
