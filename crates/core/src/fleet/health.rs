//! State of one upstream as a host sees it.

use {
    super::mark::Evidence,
    crate::id::HostId,
    derive_more::Display,
    std::{collections::BTreeMap, time::Duration},
};

/// Consecutive failures after which an upstream is out.
const FAILURE_LIMIT: u32 = 3;
/// Consecutive good probes after which it is back.
const READY_LIMIT: u32 = 3;
/// First time out; doubled with each time that it fails again soon.
const OUT_TIME: Duration = Duration::from_secs(5);
/// Greatest exponent of the time out.
const OUT_DOUBLINGS: u32 = 4;
/// A failure within this time after the return counts as flapping.
const FLAP_TIME: Duration = Duration::from_secs(60);
/// A leaving upstream is believed to be leaving for at least this time. Probes that were answered
/// before the upstream decided to leave arrive within it.
const LEAVING_MINIMUM: Duration = Duration::from_secs(10);
/// Without a new report, an upstream counts as leaving for this time.
const LEAVING_TIME: Duration = Duration::from_secs(120);
/// Without a new report, a failure reported by a peer counts for this time.
pub(super) const FAILING_TIME: Duration = Duration::from_secs(15);
/// Own success outweighs failures reported by peers for this time.
const SUCCESS_TIME: Duration = Duration::from_secs(3);
/// Peers that must report a failure before a host without own evidence acts on it.
const REPORT_QUORUM: usize = 2;
/// Reporters that are kept; more add nothing.
const REPORTER_LIMIT: usize = 4;

/// What a host saw of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A probe was answered and the upstream takes work.
    Ready,
    /// A request was answered. An upstream that is leaving still answers requests.
    Success,
    /// A request or probe failed.
    Failure,
    /// The upstream said that it is leaving.
    Leaving,
}

/// Whether an upstream gets new work, and why not.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Status {
    /// Gets new work.
    #[display("up")]
    Up,
    /// Said itself that it is leaving, or the platform said so.
    #[display("leaving")]
    Leaving,
    /// Failed here, or on several other hosts.
    #[display("failing")]
    Failing,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    order: (u64, u64),
    evidence: Evidence,
    at: Duration,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ready: u32,
    success: Option<Duration>,
    /// End of the present time out; probes may end it from then on.
    out_until: Option<Duration>,
    strikes: u32,
    returned: Option<Duration>,
    /// Reports up to then no longer count.
    cleared: Option<Duration>,
    pub(super) is_listed_leaving: bool,
    reports: BTreeMap<HostId, Reported>,
}

impl Health {
    /// Takes an observation; returns what to tell the peers.
    pub(super) fn observe(&mut self, now: Duration, observation: Observation) -> Option<Evidence> {
        match observation {
            Observation::Success => {
                self.failures = 0;
                self.success = Some(now);
                None
            }
            Observation::Ready => self.ready(now),
            Observation::Failure => self.fail(now),
            Observation::Leaving => {
                self.ready = 0;
                (!self.is_leaving(now)).then_some(Evidence::Leaving)
            }
        }
    }

    fn ready(&mut self, now: Duration) -> Option<Evidence> {
        self.failures = 0;
        self.success = Some(now);
        self.ready += 1;
        if self.ready < READY_LIMIT {
            return None;
        }
        let is_out = self.out_until.take_if(|until| now >= *until).is_some();
        if is_out {
            self.returned = Some(now);
        }
        let is_settled = self
            .newest(Evidence::Leaving)
            .is_some_and(|at| now >= at + LEAVING_MINIMUM);
        let is_cleared = is_settled && self.is_leaving(now);
        if is_cleared {
            self.cleared = Some(now);
        }
        (is_out || is_cleared).then_some(Evidence::Clear)
    }

    fn fail(&mut self, now: Duration) -> Option<Evidence> {
        self.ready = 0;
        self.failures += 1;
        if self.failures < FAILURE_LIMIT || self.out_until.is_some_and(|until| now < until) {
            return None;
        }
        let is_flapping = self.returned.is_some_and(|at| now < at + FLAP_TIME);
        let is_still_out = self.out_until.is_some();
        self.strikes = match is_flapping || is_still_out {
            true => (self.strikes + 1).min(OUT_DOUBLINGS),
            false => 0,
        };
        self.out_until = Some(now + OUT_TIME * (1 << self.strikes));
        Some(Evidence::Failing)
    }

    /// Takes a report; returns whether it is news.
    pub(super) fn report(
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
        if known.is_none() && self.reports.len() >= REPORTER_LIMIT && !self.forget(now) {
            return false;
        }
        if evidence == Evidence::Leaving {
            self.ready = 0;
        }
        let at = now;
        let reported = Reported {
            order,
            evidence,
            at,
        };
        self.reports.insert(reporter.clone(), reported);
        true
    }

    /// Makes room for a reporter; returns whether there is any.
    fn forget(&mut self, now: Duration) -> bool {
        let over = |reported: &Reported| !is_active(reported, now);
        let old = self.reports.iter().find(|(_, reported)| over(reported));
        let old = old.map(|(reporter, _)| reporter.clone());
        old.is_some_and(|reporter| self.reports.remove(&reporter).is_some())
    }

    /// Returns the reports that still count.
    pub(super) fn active(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&HostId, (u64, u64), Evidence)> {
        let counts = move |reported: &Reported| {
            is_active(reported, now) && self.cleared.is_none_or(|cleared| reported.at > cleared)
        };
        self.reports
            .iter()
            .filter(move |(_, reported)| counts(reported))
            .map(|(reporter, reported)| (reporter, reported.order, reported.evidence))
    }

    /// Returns whether another report adds to what is known.
    pub(super) fn wants_report(&self, now: Duration, evidence: Evidence) -> bool {
        let same = self.active(now).filter(|(_, _, known)| *known == evidence);
        evidence == Evidence::Clear || same.count() < REPORTER_LIMIT - 1
    }

    pub(super) fn status(&self, now: Duration, is_trusted: impl Fn(&HostId) -> bool) -> Status {
        if self.is_listed_leaving || self.is_leaving(now) {
            return Status::Leaving;
        }
        if self.out_until.is_some() {
            return Status::Failing;
        }
        let is_working = self.success.is_some_and(|at| now < at + SUCCESS_TIME);
        let failing = self
            .active(now)
            .filter(|(reporter, _, evidence)| {
                *evidence == Evidence::Failing && is_trusted(reporter)
            })
            .count();
        if failing >= REPORT_QUORUM && !is_working {
            return Status::Failing;
        }
        Status::Up
    }

    /// Returns whether a host's own report of a failure is older than `age`.
    pub(super) fn is_due(&self, now: Duration, reporter: &HostId, age: Duration) -> bool {
        let own = self.reports.get(reporter);
        own.is_some_and(|own| own.evidence == Evidence::Failing && now >= own.at + age)
    }

    pub(super) fn is_out(&self) -> bool {
        self.out_until.is_some()
    }

    fn is_leaving(&self, now: Duration) -> bool {
        let mut active = self.active(now);
        active.any(|(_, _, evidence)| evidence == Evidence::Leaving)
    }

    fn newest(&self, evidence: Evidence) -> Option<Duration> {
        let reports = self.reports.values();
        let same = reports.filter(|reported| reported.evidence == evidence);
        same.map(|reported| reported.at).max()
    }
}

fn is_active(reported: &Reported, now: Duration) -> bool {
    let time = match reported.evidence {
        Evidence::Clear => return false,
        Evidence::Failing => FAILING_TIME,
        Evidence::Leaving => LEAVING_TIME,
    };
    now < reported.at + time
}
