//! Cold upstreams, as this host learns of them.

use {
    super::{Dispatcher, InFlight, Inner},
    crate::view::lock,
    marigoldroute_core::{
        forward::{ColdStart, Registration},
        id::{ServiceId, UpstreamId},
        throttle::Process,
    },
    marigoldroute_process::logs::BELIEFS,
    std::time::Duration,
};

/// Logs that an upstream has become cold; `left` is what it states about the time.
fn report(upstream: &UpstreamId, left: Duration) {
    log::info!(target: BELIEFS, upstream:%, ms = left.as_millis() as u64; "upstream is cold");
}

impl Inner {
    /// Records for how long an upstream stays cold by its entry in the list.
    pub(super) fn learn_cold(&mut self, now: Duration, id: &UpstreamId, entry: &Registration) {
        let process = Process {
            upstream: id.clone(),
            started_ms: entry.started_ms,
        };
        let cold_starts = self.admission.cold_starts();
        if cold_starts.join(now, &process, &entry.service, entry.cold_left) {
            report(id, entry.cold_left);
        }
    }
}

impl InFlight {
    /// Records for how long the upstream stays cold by its response.
    pub(crate) fn record_cold(&self, left: Duration) {
        let now = self.dispatcher.clock.now();
        let mut inner = lock(&self.dispatcher.inner);
        let begins = inner
            .admission
            .cold_starts()
            .extend(now, &self.process, left);
        drop(inner);
        if begins {
            report(&self.upstream, left);
        }
    }
}

impl Dispatcher {
    /// Replaces the services whose upstreams are limited while they are cold.
    pub(crate) fn update_cold_starts(
        &self,
        services: impl IntoIterator<Item = (ServiceId, ColdStart)>,
    ) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        inner.admission.cold_starts().update_services(now, services);
    }

    /// Records that the whole list of upstreams has been read and applied.
    pub(crate) fn record_list(&self) {
        lock(&self.inner).admission.cold_starts().record_list();
    }
}
