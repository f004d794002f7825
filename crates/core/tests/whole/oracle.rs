//! Checks the guarantees against what callers were told, what upstreams executed, what was billed
//! and purchased, and which versions were accepted. It does not depend on how they are kept.

use {
    marigoldroute_core::{bill::Bill, budget::Account, id::RequestId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time within which every host learns of a withdrawn upstream and of a new version while there
/// are no faults. The design targets state it for versions.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Complete(String),
    NotRun,
    /// Ran or may have run.
    Other,
    /// The connection broke.
    Dropped,
}

pub struct Call {
    /// The caller's own name of the request; a retry has the same.
    pub name: String,
    /// Whether the request must not run twice.
    pub runs_at_most_once: bool,
    /// Process that was called.
    pub process: String,
    pub attempt: Option<RequestId>,
    pub outcome: Option<CallOutcome>,
}

/// One execution at an upstream.
pub struct Run {
    pub attempt: RequestId,
    pub name: String,
    /// Text of a complete answer.
    pub output: String,
    pub tokens: u64,
}

/// An accepted version of the configuration.
pub struct Version {
    pub accepted_at: Duration,
    /// Upstreams withdrawn by then, with the time of their withdrawal.
    pub withdrawn: BTreeMap<String, Duration>,
}

#[derive(Default)]
pub struct Oracle {
    pub calls: Vec<Call>,
    pub runs: Vec<Run>,
    pub versions: Vec<Version>,
    /// First check and newest version in effect, by process.
    applied: BTreeMap<String, (Duration, u64)>,
    pub killed: BTreeSet<String>,
    /// Requests that only killed processes knew of; by design their bills are lost.
    pub unbillable: BTreeSet<RequestId>,
    /// Top-ups less cuts, by budget.
    pub purchased: BTreeMap<String, i64>,
    /// Start of the present time without faults.
    pub fault_free_since: Option<Duration>,
}

impl Oracle {
    /// Returns whether every host must know of a change that was accepted at `since`.
    fn is_propagated(&self, now: Duration, since: Duration) -> bool {
        self.fault_free_since
            .is_some_and(|start| now > start.max(since) + PROPAGATION_LIMIT)
    }

    /// Checks P6 when work is sent to an upstream.
    pub fn check_send(&self, now: Duration, upstream: &str) {
        let newest = self.versions.last();
        if let Some(since) = newest.and_then(|version| version.withdrawn.get(upstream)) {
            let is_late = self.is_propagated(now, *since);
            assert!(!is_late, "P6: work was sent to a withdrawn upstream");
        }
    }

    /// Checks P8 for the version that a process has in effect. A process that has just started may
    /// be behind until it takes work or `PROPAGATION_LIMIT` has passed.
    pub fn check_version(&mut self, now: Duration, process: &str, version: u64, takes_work: bool) {
        let start = self.applied.entry(process.to_owned()).or_insert((now, 0));
        let (since, last) = *start;
        assert!(version >= last, "P8: version {version} after {last}");
        start.1 = version;
        if takes_work || now > since + PROPAGATION_LIMIT {
            let old = self.versions.iter();
            let known = old
                .filter(|known| self.is_propagated(now, known.accepted_at))
                .count() as u64;
            assert!(version >= known, "P8: {process} is behind version {known}");
        }
    }

    /// Checks P1, which holds at any time.
    pub fn check_spend(&self, budget: &str, account: &Account, bills: &[Bill]) {
        let mut spent = BTreeMap::new();
        for bill in bills.iter().filter(|bill| *bill.budget == *budget) {
            spent.entry(&bill.request).or_insert(bill.charged);
        }
        let spent: u64 = spent.values().sum();
        let bought = self.purchased[budget] + account.cut as i64;
        assert_eq!(account.purchased as i64, bought, "P1: purchased tokens");
        assert!(spent as i64 <= bought, "P1: {spent} spent of {bought}");
    }

    /// Checks P3, P4, P5 and P7, which hold at any time.
    pub fn check_calls(&self) {
        for call in &self.calls {
            let own = |run: &&Run| run.name == call.name;
            let runs: Vec<_> = self.runs.iter().filter(own).collect();
            let is_attempt = |run: &&Run| Some(&run.attempt) == call.attempt.as_ref();
            match &call.outcome {
                Some(CallOutcome::Complete(text)) => assert!(
                    runs.iter().any(|run| run.output == *text),
                    "P3: {} got {text:?} as complete",
                    call.name
                ),
                Some(CallOutcome::NotRun) => assert!(
                    !self.runs.iter().any(|run| is_attempt(&run)),
                    "P4: {} was told that it did not run",
                    call.name
                ),
                Some(CallOutcome::Dropped) => assert!(
                    self.killed.contains(&call.process),
                    "P7: {} was dropped by a planned stop",
                    call.name
                ),
                Some(CallOutcome::Other) | None => {}
            }
            let is_once = !call.runs_at_most_once || runs.len() <= 1;
            assert!(is_once, "P5: {} ran {} times", call.name, runs.len());
        }
    }

    /// Checks P2, and that every caller got an outcome, after all requests have ended. Returns the
    /// number of calls that ran and whose bill is lost.
    pub fn check_end(&self, bills: &[Bill]) -> usize {
        let mut unbilled = 0;
        let mut billed: BTreeMap<&str, Vec<&Bill>> = BTreeMap::new();
        for bill in bills {
            let name = self.name(&bill.request).expect("P2: a bill of no request");
            billed.entry(name).or_default().push(bill);
        }
        for call in &self.calls {
            assert!(call.outcome.is_some(), "P3: {} got no answer", call.name);
            let own = |run: &&Run| run.name == call.name;
            let runs: Vec<_> = self.runs.iter().filter(own).collect();
            let bills = billed.get(&*call.name).map_or(&[][..], Vec::as_slice);
            let count = bills.len();
            assert!(count <= 1, "P2: {} was billed {count} times", call.name);
            let is_known = |run: &&&Run| {
                !self
                    .unbillable
                    .contains(&marigoldroute_core::bill::request_of(&run.attempt))
            };
            let is_due = runs.iter().any(|run| is_known(&run));
            unbilled += usize::from(count == 0 && !runs.is_empty());
            assert!(count == 1 || !is_due, "P2: {} was not billed", call.name);
            let is_complete = matches!(call.outcome, Some(CallOutcome::Complete(_)));
            if let ([run], [bill], true) = (&*runs, bills, is_complete) {
                let tokens = bill.charged + bill.uncovered;
                assert_eq!(tokens, run.tokens, "P2: tokens of {}", call.name);
            }
            let mut same = self.calls.iter().filter(|other| other.name == call.name);
            let is_refused = same.all(|other| other.outcome == Some(CallOutcome::NotRun));
            let is_free = count == 0 || !is_refused || !runs.is_empty();
            assert!(is_free, "P2: {} did not run and was billed", call.name);
        }
        unbilled
    }

    fn name(&self, request: &str) -> Option<&str> {
        let is_own = |call: &&Call| {
            let attempt = call.attempt.as_deref();
            attempt.is_some_and(|id| *marigoldroute_core::bill::request_of(id) == *request)
        };
        self.calls.iter().find(is_own).map(|call| &*call.name)
    }
}
