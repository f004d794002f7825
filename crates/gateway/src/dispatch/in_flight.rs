//! Requests in flight.

use {
    super::{Dispatcher, Scheduled},
    crate::{profile::Profile, protocol::Load, view::lock},
    marigoldroute_core::{
        id::UpstreamId,
        route::{self, Policy, Progress, Ticket},
        throttle::{Process, Rate},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A request in flight at its assigned upstream; dropping it ends the request and lowers the count
/// of requests in flight there.
pub(crate) struct InFlight {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    /// Rate that the upstream had stated when it was assigned; the request then needs a permit.
    pub(crate) rate: Option<Rate>,
    pub(crate) process: Process,
    /// When the request was sent; the time of its assignment before that.
    pub(super) sent_at: Duration,
    pub(super) ticket: Ticket,
    /// Prompt tokens that count as pending until the first event.
    pub(super) pending: u32,
    pub(super) has_ended: bool,
    /// The scheduler that has chosen the upstream, if one has.
    pub(super) scheduled: Option<Scheduled>,
    /// Load that the upstream stated with the response.
    pub(super) load: Option<Load>,
}

impl InFlight {
    /// Returns the host that has chosen the upstream; `None` when this host did so for itself.
    pub(crate) fn scheduler(&self) -> Option<&str> {
        Some(&self.scheduled.as_ref()?.host)
    }

    /// Returns why the scheduler has chosen the upstream.
    pub(crate) fn scheduled_reason(&self) -> Option<&str> {
        Some(&self.scheduled.as_ref()?.reason)
    }

    /// Reports the progress of the request to the routing policy. Each report ends the pending
    /// state of its prompt.
    pub(crate) fn report(&mut self, progress: Progress<'_>) {
        let is_end = !matches!(progress, Progress::Sent(_) | Progress::FirstToken);
        let now = self.dispatcher.clock.now();
        let mut inner = lock(&self.dispatcher.inner);
        inner.policy.report(now, &mut self.ticket, progress);
        inner.update_pending(&self.upstream, |pending| {
            pending.saturating_sub(self.pending)
        });
        drop(inner);
        if let Some(scheduled) = self.scheduled.as_ref().filter(|_| !self.has_ended) {
            let elapsed = now.saturating_sub(self.sent_at);
            let load = self.load.take();
            let dispatcher = &self.dispatcher;
            dispatcher.report_outcome(scheduled, &progress, elapsed, load.as_ref());
        }
        self.has_ended |= is_end;
        if std::mem::take(&mut self.pending) > 0 {
            self.dispatcher.pending_changed.notify_one();
        }
    }

    /// Passes the load that the upstream states to the routing policy and to the requests that wait.
    pub(crate) fn update_load(&mut self, stated: &Load) {
        self.load = Some(*stated);
        let load = route::Load {
            running: stated.running,
            waiting: [stated.waiting, 0, 0],
            slowdown: stated.slowdown.unwrap_or(0.0),
            ..route::Load::default()
        };
        let now = self.dispatcher.clock.now();
        let mut inner = lock(&self.dispatcher.inner);
        inner.policy.record_load(now, &self.upstream, &load);
        let upstream = inner.upstreams.get(&self.upstream);
        let service = upstream.map(|upstream| upstream.service.clone());
        drop(inner);
        if let Some(service) = service.filter(|_| self.dispatcher.has_queue()) {
            self.dispatcher.record_intake(&service, stated);
        }
    }

    /// Records that the request is about to be sent, with its permit if it needs one; returns
    /// `false` when the upstream takes no requests any more since it was assigned.
    pub(crate) fn record_sent(&mut self, profile: &Profile) -> bool {
        if self.bar().is_some() {
            return false;
        }
        let now = self.dispatcher.clock.now();
        let mut inner = lock(&self.dispatcher.inner);
        let Some(upstream) = inner.upstreams.get_mut(&self.upstream) else {
            return false;
        };
        self.sent_at = now;
        if profile.prompt > 0 {
            self.pending = self.ticket.uncached_tokens();
        }
        upstream.pending = upstream.pending.saturating_add(self.pending);
        upstream.has_unreported_change |= self.pending > 0;
        let progress = Progress::Sent(&profile.prefixes);
        inner.policy.report(now, &mut self.ticket, progress);
        drop(inner);
        if self.pending > 0 {
            self.dispatcher.pending_changed.notify_one();
        }
        true
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.has_ended {
            self.report(Progress::Cancelled);
        }
        let mut inner = lock(&self.dispatcher.inner);
        inner.admission.end(&self.upstream);
        let upstream = inner.upstreams.get(&self.upstream);
        let service = upstream.map(|upstream| upstream.service.clone());
        inner.remove_if_done(&self.upstream);
        drop(inner);
        if !self.dispatcher.has_queue() {
            self.dispatcher.capacity_freed.notify_waiters();
        } else if let Some(service) = service {
            let now = self.dispatcher.clock.now();
            let time = now.saturating_sub(self.sent_at);
            self.dispatcher.pass_on(&service, time);
        }
    }
}
