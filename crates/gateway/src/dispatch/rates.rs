//! Rates that upstreams state, as this host knows and shares them.

use {
    super::{Dispatcher, InFlight},
    crate::view::lock,
    marigoldroute_core::{
        fleet::WeightedHost,
        id::{HostId, UpstreamId},
        throttle::{Change, Rate, Statement, Step},
        wire::{Acquire, Acquired, Stated},
    },
    marigoldroute_process::logs::BELIEFS,
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

impl InFlight {
    /// Records what a response of the upstream states about the rate that it takes.
    pub(crate) fn record_statement(&self, statement: Statement, is_success: bool) {
        let now = self.dispatcher.clock.now();
        let mut inner = lock(&self.dispatcher.inner);
        let throttle = inner.admission.throttle();
        let change = throttle.record(now, &self.process, self.sent_at, statement, is_success);
        drop(inner);
        self.dispatcher
            .report_rate(&self.upstream, change, "own answer");
    }
}

impl Dispatcher {
    /// Replaces the hosts that share the limits of upstreams; see
    /// [`Throttle::update_hosts`](marigoldroute_core::throttle::Throttle::update_hosts).
    pub(crate) fn update_hosts(&self, hosts: Vec<WeightedHost>, confirmed_at: Option<Duration>) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let ids = hosts.iter().map(|host| host.host.clone());
        inner.admission.cold_starts().update_hosts(now, ids);
        if let Some(schedule) = &mut inner.schedule {
            schedule.update_hosts(&hosts);
        }
        inner
            .admission
            .throttle()
            .update_hosts(now, hosts, confirmed_at);
        let has_unpublished = inner.admission.throttle().has_unpublished();
        drop(inner);
        if has_unpublished {
            self.rates_changed.notify_one();
        }
    }

    /// Begins to acquire a permit for a request to an upstream that has stated a rate.
    pub(crate) fn acquire(&self, upstream: &UpstreamId) -> Step {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let throttle = inner.admission.throttle();
        throttle.check_clocks(now, time_of_day());
        throttle.acquire(now, upstream)
    }

    /// Applies the answer of a host that was asked for a permit; `None` when it did not answer.
    pub(crate) fn apply_permit(
        &self,
        upstream: &UpstreamId,
        host: HostId,
        acquired: Option<&Acquired>,
    ) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let Some(acquired) = acquired else {
            inner.admission.throttle().record_silence(now, host);
            return;
        };
        let change = inner
            .admission
            .throttle()
            .apply(now, upstream, &host, acquired);
        drop(inner);
        self.report_rate(upstream, change, &host);
    }

    /// Answers another host that asks for a permit.
    pub(crate) fn answer_acquire(&self, from: &str, acquire: &Acquire) -> Acquired {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let throttle = inner.admission.throttle();
        throttle.check_clocks(now, time_of_day());
        let (acquired, change) = throttle.answer(now, acquire);
        drop(inner);
        self.report_rate(&acquire.stated.upstream.as_str().into(), change, from);
        acquired
    }

    /// Records what another host has learned about a rate.
    pub(crate) fn learn_rate(&self, from: &str, stated: &Stated) {
        let now = self.clock.now();
        let change = lock(&self.inner).admission.throttle().learn(now, stated);
        self.report_rate(&stated.upstream.as_str().into(), change, from);
    }

    /// Takes what other hosts have to be told about rates; see
    /// [`Throttle::take_unpublished`](marigoldroute_core::throttle::Throttle::take_unpublished).
    pub(crate) fn take_unpublished(&self) -> (Vec<Stated>, Vec<(HostId, Stated)>) {
        let now = self.clock.now();
        lock(&self.inner).admission.throttle().take_unpublished(now)
    }

    /// Logs a change of a rate, and lets waiting requests and other hosts know.
    fn report_rate(&self, upstream: &UpstreamId, change: Option<Change>, source: &str) {
        let Some(Change { previous, rate }) = change else {
            return;
        };
        log::info!(
            target: BELIEFS,
            upstream:%, source, rate = rate.map(Rate::per_second),
            previous = previous.map(Rate::per_second);
            "upstream states another rate"
        );
        self.rates_changed.notify_one();
        self.capacity_freed.notify_waiters();
    }
}

/// Returns the time since 1970; zero if the clock is set to an earlier time.
fn time_of_day() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
