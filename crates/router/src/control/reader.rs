//! Reads load reports and cache events of the engines that this host uses, within a byte budget.
//!
//! A host cannot read every engine each second: with 600 engines that would be 600 answers. It
//! probes a few (see [`probe`](super::probe)) and reads in turn those that it sends requests to, as
//! far as the budget allows. While the budget is used up, probes request no cache events.

use {
    super::{
        probe::{self, PROBE_INTERVAL, Report},
        task::{Event, Task},
    },
    marigoldroute_core::{fleet::Observation, id::UpstreamId},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Bytes per second that all control traffic of a host may use.
const CONTROL_RATE_BYTES: i64 = 24_000;
/// Bytes per second for probes and reads; less if the traffic between hosts leaves less.
const READ_RATE_BYTES: i64 = 9_000;
/// Largest number of unused bytes that may accumulate.
const BALANCE_LIMIT_BYTES: i64 = READ_RATE_BYTES;
/// Upper bound on the bytes of the headers of a request and its answer.
const HEAD_BYTES: i64 = 400;
/// Bytes assumed for the body of an answer until it has arrived.
const ANSWER_BYTES: i64 = 800;

/// Byte budget and schedule of the reads.
#[derive(Debug, Default)]
pub(super) struct Reader {
    /// Bytes left in the budget; negative after an answer that was larger than assumed.
    balance: i64,
    /// Time of the last refill.
    filled: Duration,
    /// Total bytes exchanged with other hosts at the last refill.
    exchanged: u64,
    /// Time of the last read of each engine in use.
    reads: HashMap<UpstreamId, Duration>,
}

impl Reader {
    /// Adds the bytes that the traffic between hosts has left unused since the last call;
    /// `exchanged` is the total of that traffic in bytes.
    pub(super) fn refill(&mut self, now: Duration, exchanged: u64) {
        let elapsed = now.saturating_sub(self.filled).as_millis().min(1_000) as i64;
        let used = exchanged.saturating_sub(self.exchanged);
        let left = (CONTROL_RATE_BYTES * elapsed / 1_000).saturating_sub_unsigned(used);
        let left = left.clamp(0, READ_RATE_BYTES * elapsed / 1_000);
        self.balance = (self.balance + left).min(BALANCE_LIMIT_BYTES);
        (self.filled, self.exchanged) = (now, exchanged);
    }

    /// Returns whether the budget has bytes left.
    pub(super) fn has_budget(&self) -> bool {
        self.balance > 0
    }

    /// Charges an answer of `bytes` and its request to the budget.
    pub(super) fn charge(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_sub(HEAD_BYTES + bytes);
    }

    /// Returns the engines to read now, least recently read first, and charges their assumed size;
    /// `used` are the engines in use.
    pub(super) fn next(&mut self, now: Duration, used: BTreeSet<UpstreamId>) -> Vec<UpstreamId> {
        self.reads.retain(|id, _| used.contains(id));
        let due = |id: &UpstreamId| {
            let read = self.reads.get(id);
            read.is_none_or(|read| now >= *read + PROBE_INTERVAL)
        };
        let mut waiting: Vec<_> = used.into_iter().filter(due).collect();
        waiting.sort_by_key(|id| self.reads.get(id).copied());
        let mut next = Vec::new();
        for id in waiting {
            if !self.has_budget() {
                break;
            }
            self.balance -= HEAD_BYTES + ANSWER_BYTES;
            self.reads.insert(id.clone(), now);
            next.push(id);
        }
        next
    }

    /// Replaces the assumed size of an answer by its actual size.
    pub(super) fn record_answer(&mut self, bytes: usize) {
        self.balance += HEAD_BYTES + ANSWER_BYTES;
        self.charge(bytes);
    }
}

impl Task {
    pub(super) fn probe(&mut self) {
        let now = self.deps.clock.now();
        let ready = self.view.ready_hosts();
        let assigned_upstreams =
            probe::assigned_upstreams(self.log.catalog(), &self.deps.host.id, &ready);
        let metrics = &self.deps.metrics;
        let exchanged = metrics.peer_sent.get() + metrics.peer_received.get();
        self.reader.refill(now, exchanged);
        let has_budget = self.reader.has_budget();
        let dispatcher = self.deps.dispatcher.clone();
        for (upstream, url) in &assigned_upstreams {
            let (http, upstream, url) = (self.http.clone(), upstream.clone(), url.clone());
            let after = has_budget.then(|| dispatcher.last_cache_sequence(&upstream));
            self.calls.spawn(async move {
                let (observation, report) = probe::probe(http, url, after).await;
                Event::Probed(upstream, observation, report)
            });
        }
        let mut used = dispatcher.recently_used();
        used.retain(|id| assigned_upstreams.iter().all(|(probed, _)| probed != id));
        for upstream in self.reader.next(now, used) {
            let known = self.log.catalog().upstreams.get(&upstream);
            let Some(url) = known.map(|known| known.url.clone()) else {
                continue;
            };
            let (http, after) = (
                self.http.clone(),
                Some(dispatcher.last_cache_sequence(&upstream)),
            );
            self.calls.spawn(async move {
                let (_, report) = probe::probe(http, url, after).await;
                Event::Loaded(upstream, report)
            });
        }
    }

    pub(super) fn record_probe(
        &mut self,
        upstream: &UpstreamId,
        seen: Observation,
        report: &Report,
    ) {
        self.reader.charge(report.bytes);
        self.record_report(upstream, report);
        self.view.observe(self.deps.clock.now(), upstream, seen);
    }

    /// Records a report that was read only for the routing policy. A missing report is no sign of
    /// failure: probes and requests determine the health of an upstream.
    pub(super) fn record_load_report(&mut self, upstream: &UpstreamId, report: &Report) {
        self.reader.record_answer(report.bytes);
        self.record_report(upstream, report);
    }

    fn record_report(&mut self, upstream: &UpstreamId, report: &Report) {
        if let Some(model) = &report.holds {
            self.view.record_held_model(upstream, model);
        }
        if let Some(load) = &report.load {
            self.deps.dispatcher.record_load(upstream, load);
        }
        self.deps
            .dispatcher
            .apply_cache_events(upstream, &report.events);
        let events = report.events.len() as u64;
        self.deps.metrics.cache_events.inc_by(events);
    }
}

#[cfg(test)]
mod tests;
