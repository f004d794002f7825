//! Health of one upstream, from own observations and from the reports of other hosts.

use {
    super::mark::Evidence,
    crate::id::HostId,
    derive_more::Display,
    std::{collections::BTreeMap, time::Duration},
};

/// Consecutive failures after which this host ejects an upstream.
const FAILURE_THRESHOLD: u32 = 3;
/// Consecutive probes answered as ready after which an upstream returns.
const READY_THRESHOLD: u32 = 3;
/// Shortest time for which a failing upstream is ejected, that is, gets no new work. It is doubled
/// when the upstream fails again soon after its return, or before ready probes have ended the
/// previous ejection.
const EJECTION_TIME: Duration = Duration::from_secs(5);
/// Limit on the number of doublings.
const EJECTION_DOUBLING_LIMIT: u32 = 4;
/// An ejection within this time after a return counts as flapping.
const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// Shortest time for which an upstream counts as leaving. Probes that it answered before it decided
/// to leave may still arrive within this time.
const LEAVING_MIN_TIME: Duration = Duration::from_secs(10);
/// Time for which a report that an upstream is leaving counts, unless it is renewed.
const LEAVING_TTL: Duration = Duration::from_secs(120);
/// Time for which a report that an upstream is failing counts, unless it is renewed.
pub(super) const FAILING_TTL: Duration = Duration::from_secs(15);
/// Time for which an own success outweighs failures that other hosts report.
const SUCCESS_WINDOW: Duration = Duration::from_secs(3);
/// Hosts that must report a failure before a host that has not ejected the upstream itself treats
/// it as failing.
const REPORT_QUORUM: usize = 2;
/// Limit on the reporters whose latest report is kept. It exceeds the quorum, so further ones would
/// change nothing.
const REPORTER_LIMIT: usize = 4;

/// What this host observed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A probe was answered, and the upstream accepts work.
    Ready,
    /// A request was answered. This does not show that the upstream stays: one that is leaving
    /// still answers requests.
    Success,
    /// A request or a probe failed.
    Failure,
    /// The upstream stated that it is leaving.
    Leaving,
}

/// Whether an upstream gets new work, and why not.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Status {
    /// Gets new work.
    #[display("up")]
    Up,
    /// Gets no new work: the upstream or the platform's list stated that it is leaving.
    #[display("leaving")]
    Leaving,
    /// Gets no new work: requests failed on this host or on several others.
    #[display("failing")]
    Failing,
}

/// The latest report of one host.
#[derive(Clone, Copy, Debug)]
struct LatestReport {
    /// Incarnation of the reporter and sequence of the report; a greater order is newer.
    order: (u64, u64),
    evidence: Evidence,
    /// When the report was received.
    at: Duration,
}

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    consecutive_ready: u32,
    /// When a request or probe was last answered.
    last_success: Option<Duration>,
    /// Earliest end of the current ejection; ready probes end it from then on.
    ejected_until: Option<Duration>,
    /// Doublings of the last ejection.
    doublings: u32,
    /// When the last ejection ended.
    returned_at: Option<Duration>,
    /// Reports received up to then no longer count.
    cleared_at: Option<Duration>,
    /// Whether the platform's list states that the upstream is leaving.
    pub(super) is_listed_leaving: bool,
    /// Latest report of each host, this one included.
    reports: BTreeMap<HostId, LatestReport>,
}

impl Health {
    /// Records an observation; returns what to report to other hosts.
    pub(super) fn observe(&mut self, now: Duration, observation: Observation) -> Option<Evidence> {
        match observation {
            Observation::Success => {
                self.consecutive_failures = 0;
                self.last_success = Some(now);
                None
            }
            Observation::Ready => self.record_ready(now),
            Observation::Failure => self.record_failure(now),
            Observation::Leaving => {
                self.consecutive_ready = 0;
                (!self.is_leaving(now)).then_some(Evidence::Leaving)
            }
        }
    }

    fn record_ready(&mut self, now: Duration) -> Option<Evidence> {
        self.consecutive_failures = 0;
        self.last_success = Some(now);
        self.consecutive_ready += 1;
        if self.consecutive_ready < READY_THRESHOLD {
            return None;
        }
        let has_returned = self.ejected_until.take_if(|until| now >= *until).is_some();
        if has_returned {
            self.returned_at = Some(now);
        }
        let is_min_time_over = self
            .last_report(Evidence::Leaving)
            .is_some_and(|at| now >= at + LEAVING_MIN_TIME);
        let is_cleared = is_min_time_over && self.is_leaving(now);
        if is_cleared {
            self.cleared_at = Some(now);
        }
        (has_returned || is_cleared).then_some(Evidence::Clear)
    }

    fn record_failure(&mut self, now: Duration) -> Option<Evidence> {
        self.consecutive_ready = 0;
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURE_THRESHOLD
            || self.ejected_until.is_some_and(|until| now < until)
        {
            return None;
        }
        let is_flapping = self.returned_at.is_some_and(|at| now < at + FLAP_WINDOW);
        let is_still_ejected = self.ejected_until.is_some();
        self.doublings = match is_flapping || is_still_ejected {
            true => (self.doublings + 1).min(EJECTION_DOUBLING_LIMIT),
            false => 0,
        };
        self.ejected_until = Some(now + EJECTION_TIME * (1 << self.doublings));
        Some(Evidence::Failing)
    }

    /// Records a report; returns whether it was newer than what was known of its reporter.
    pub(super) fn record_report(
        &mut self,
        now: Duration,
        reporter: &HostId,
        order: (u64, u64),
        evidence: Evidence,
    ) -> bool {
        let known = self.reports.get(reporter);
        if known.is_some_and(|known| known.order >= order) {
            return false;
        }
        if known.is_none() && self.reports.len() >= REPORTER_LIMIT && !self.evict_expired(now) {
            return false;
        }
        if evidence == Evidence::Leaving {
            self.consecutive_ready = 0;
        }
        let at = now;
        let report = LatestReport {
            order,
            evidence,
            at,
        };
        self.reports.insert(reporter.clone(), report);
        true
    }

    /// Removes one expired report to make room; returns whether there was any.
    fn evict_expired(&mut self, now: Duration) -> bool {
        let is_expired = |report: &LatestReport| !is_active(report, now);
        let expired = self.reports.iter().find(|(_, report)| is_expired(report));
        let expired = expired.map(|(reporter, _)| reporter.clone());
        expired.is_some_and(|reporter| self.reports.remove(&reporter).is_some())
    }

    /// Returns the reporter, the order and the evidence of each report that still counts.
    pub(super) fn active_reports(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&HostId, (u64, u64), Evidence)> {
        let is_counted = move |report: &LatestReport| {
            is_active(report, now) && self.cleared_at.is_none_or(|cleared| report.at > cleared)
        };
        self.reports
            .iter()
            .filter(move |(_, report)| is_counted(report))
            .map(|(reporter, report)| (reporter, report.order, report.evidence))
    }

    /// Returns whether an own report adds to those that are known.
    pub(super) fn needs_report(&self, now: Duration, evidence: Evidence) -> bool {
        let same = self
            .active_reports(now)
            .filter(|(_, _, known)| *known == evidence);
        evidence == Evidence::Clear || same.count() < REPORTER_LIMIT - 1
    }

    /// Returns whether the upstream gets new work. Failures count only when `is_trusted` holds for
    /// their reporter.
    pub(super) fn status(&self, now: Duration, is_trusted: impl Fn(&HostId) -> bool) -> Status {
        if self.is_listed_leaving || self.is_leaving(now) {
            return Status::Leaving;
        }
        if self.ejected_until.is_some() {
            return Status::Failing;
        }
        let is_working = self
            .last_success
            .is_some_and(|at| now < at + SUCCESS_WINDOW);
        let failing = self
            .active_reports(now)
            .filter(|(reporter, _, evidence)| {
                *evidence == Evidence::Failing && is_trusted(reporter)
            })
            .count();
        if failing >= REPORT_QUORUM && !is_working {
            return Status::Failing;
        }
        Status::Up
    }

    /// Returns whether the latest report of `reporter` states a failure and has reached `age`.
    pub(super) fn is_renewal_due(&self, now: Duration, reporter: &HostId, age: Duration) -> bool {
        let own = self.reports.get(reporter);
        own.is_some_and(|own| own.evidence == Evidence::Failing && now >= own.at + age)
    }

    /// Returns whether this host has ejected the upstream because of its own observations.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    fn is_leaving(&self, now: Duration) -> bool {
        let mut active_reports = self.active_reports(now);
        active_reports.any(|(_, _, evidence)| evidence == Evidence::Leaving)
    }

    /// Returns when the latest report with this evidence was received.
    fn last_report(&self, evidence: Evidence) -> Option<Duration> {
        let reports = self.reports.values();
        let same = reports.filter(|report| report.evidence == evidence);
        same.map(|report| report.at).max()
    }
}

/// Returns whether a report has not expired.
fn is_active(report: &LatestReport, now: Duration) -> bool {
    let time = match report.evidence {
        Evidence::Clear => return false,
        Evidence::Failing => FAILING_TTL,
        Evidence::Leaving => LEAVING_TTL,
    };
    now < report.at + time
}
