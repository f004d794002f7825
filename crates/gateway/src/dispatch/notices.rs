//! What answers of upstreams say about later requests, and whether a request may be sent.

use {
    super::{Dispatcher, InFlight},
    crate::{protocol::ResponseHead, view::lock},
    marigoldroute_core::{
        admission::{Bar, Change, Notice, Stage, Standing},
        id::{RequestId, ServiceId},
    },
    marigoldroute_process::logs::BELIEFS,
    poem::http::StatusCode,
    std::time::Duration,
};

impl InFlight {
    /// Returns why the request must not be sent now, if so.
    pub(crate) fn bar(&self) -> Option<Bar> {
        let now = self.dispatcher.clock.now();
        let inner = lock(&self.dispatcher.inner);
        let stage = Stage::Send {
            started_ms: self.process.started_ms,
            has_permit: self.rate.is_some(),
            assigned_at: self.sent_at,
        };
        match inner.admission.standing(now, &self.upstream, stage) {
            Standing::Open | Standing::Limited(_) => None,
            Standing::Barred(bar) => Some(bar),
        }
    }

    /// Records what a response says about later requests. `request` is the id of the request that
    /// was sent: a pause counts only in the upstream's own 503 to it.
    pub(crate) fn record_notice(&self, head: &ResponseHead, request: &RequestId) {
        let is_own = head.status == StatusCode::SERVICE_UNAVAILABLE;
        let is_own = is_own && head.id.as_ref() == Some(request);
        let notice = Notice {
            is_leaving: head.is_leaving,
            pause: head.pause.filter(|_| is_own),
        };
        let now = self.dispatcher.clock.now();
        let mut inner = lock(&self.dispatcher.inner);
        let change = inner
            .admission
            .record(now, &self.process, self.sent_at, notice);
        drop(inner);
        let notice = match change {
            Some(Change::Leaving) => {
                log::info!(target: BELIEFS, upstream:% = self.upstream; "upstream leaves");
                "leaving"
            }
            Some(Change::Paused(pause)) => {
                log::info!(
                    target: BELIEFS,
                    upstream:% = self.upstream, ms = pause.as_millis() as u64;
                    "upstream asks for a pause"
                );
                "paused"
            }
            Some(Change::Resumed) => {
                log::info!(target: BELIEFS, upstream:% = self.upstream; "upstream resumes");
                "resumed"
            }
            None => return,
        };
        let notices = &self.dispatcher.metrics.notices;
        notices.with_label_values(&[notice]).inc();
        // Requests that wait look at the upstreams again.
        self.dispatcher.capacity_freed.notify_waiters();
    }
}

impl Dispatcher {
    /// Returns the time after which a caller should return when no upstream of a service takes
    /// requests now; `None` if one does, or none will.
    pub(crate) fn returns_after(&self, service: &ServiceId) -> Option<Duration> {
        let now = self.clock.now();
        lock(&self.inner).schedule_return(now, service, |_| true)
    }
}
