//! Tests of slow starts and of prefix cache events.

use {
    super::{Dispatcher, InFlight, Profile},
    crate::{
        Clock,
        control::{CacheEvent, Snapshot},
    },
    marigoldroute_core::{
        config::{Catalog, State, Upstream},
        fleet::Status,
        id::ModelId,
        route::{Origin, PolicyName, Reason},
    },
    std::{sync::Arc, time::Duration},
};

fn profile(target: &ModelId) -> Profile<'_> {
    Profile {
        target,
        prompt_tokens: 100,
        output_limit: 100,
        prefixes: &[],
        priority: 0,
    }
}

/// Requests in flight before an upstream begins its slow start.
const REQUESTS_BEFORE: usize = 100;
/// Requests sent during the slow start, and again after it.
const REQUESTS_AFTER: usize = 60;
/// Upper bound on the requests to the upstream one second into its slow start: a tenth of what each
/// of two other upstreams has in flight, plus the rise during that second.
const SLOW_START_BOUND: usize = 15;

/// A dispatcher whose policy prefers the upstream with the fewest requests, so that without a bound
/// an empty upstream gets everything.
struct Fleet {
    dispatcher: Arc<Dispatcher>,
    snapshot: Snapshot,
    in_flight_requests: Vec<InFlight>,
}

impl Fleet {
    fn new(upstreams: &[&str]) -> Self {
        Self::with(PolicyName::LeastInFlight, upstreams)
    }

    fn with(policy: PolicyName, upstreams: &[&str]) -> Self {
        let origin = Origin {
            host: "host-1".into(),
            region: "region-1".into(),
            zone: "zone-1".into(),
        };
        let mut fleet = Self {
            dispatcher: Arc::new(Dispatcher::new(Clock::new(), origin, policy)),
            snapshot: Snapshot::default(),
            in_flight_requests: Vec::new(),
        };
        fleet.change(|catalog| {
            for id in upstreams {
                let known = catalog.upstreams.insert((*id).into(), upstream());
                assert!(known.is_none());
            }
        });
        fleet
    }

    /// Changes the configuration and increments its version.
    fn change(&mut self, change: impl FnOnce(&mut Catalog)) {
        let mut catalog = (*self.snapshot.catalog).clone();
        change(&mut catalog);
        catalog.version += 1;
        self.snapshot.catalog = Arc::new(catalog);
    }

    fn set_state(&mut self, id: &str, state: State) {
        self.change(|catalog| {
            catalog.upstreams.get_mut(id).unwrap().state = state;
        });
    }

    /// Sends requests that stay in flight; returns how many were assigned to the upstream `to`.
    fn send(&mut self, seconds: u64, count: usize, to: &str) -> usize {
        let now = Duration::from_secs(seconds);
        self.dispatcher.update_at(now, &self.snapshot);
        let target = "drafting".into();
        let profile = profile(&target);
        let choose = |_| self.dispatcher.choose_at(now, &self.snapshot, profile, &[]);
        let chosen: Vec<_> = (0..count).filter_map(choose).collect();
        assert_eq!(chosen.len(), count, "requests were refused");
        let hits = chosen
            .iter()
            .filter(|in_flight| **in_flight.upstream() == *to);
        let hits = hits.count();
        self.in_flight_requests.extend(chosen);
        hits
    }

    fn check_slow_start(&mut self, of: &str) {
        let first = self.send(101, REQUESTS_AFTER, of);
        assert!(
            (1..=SLOW_START_BOUND).contains(&first),
            "{first} requests at once"
        );
        let later = self.send(130, REQUESTS_AFTER, of);
        assert!(
            later > SLOW_START_BOUND,
            "{later} requests after the slow start"
        );
    }
}

fn upstream() -> Upstream {
    Upstream {
        url: "http://127.0.0.1:1".into(),
        serves: vec!["drafting".into()],
        region: "region-1".into(),
        zone: "zone-1".into(),
        labels: Default::default(),
        state: State::InService,
    }
}

/// Guards against full load on an upstream that has just come into service.
#[test]
fn a_new_upstream_starts_slowly() {
    let mut fleet = Fleet::new(&["a", "b"]);
    fleet.send(100, REQUESTS_BEFORE, "a");
    fleet.change(|catalog| drop(catalog.upstreams.insert("c".into(), upstream())));
    fleet.check_slow_start("c");
}

/// Guards against full load on an upstream that is put back into service.
#[test]
fn a_restored_upstream_starts_slowly() {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.set_state("c", State::Withdrawn);
    assert_eq!(fleet.send(100, REQUESTS_BEFORE, "c"), 0);
    fleet.set_state("c", State::InService);
    fleet.check_slow_start("c");
}

/// Guards against full load on an upstream that was out because it failed.
#[test]
fn a_recovered_upstream_starts_slowly() {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet
        .snapshot
        .unavailable
        .insert("c".into(), Status::Failing);
    assert_eq!(fleet.send(100, REQUESTS_BEFORE, "c"), 0);
    fleet.snapshot.unavailable.clear();
    fleet.check_slow_start("c");
}

/// Guards against a restarted process that applies slow starts to upstreams that were in service
/// before it started.
#[test]
fn a_new_process_knows_no_slow_start() {
    let mut fleet = Fleet::new(&["a", "b"]);
    assert_eq!(fleet.send(0, REQUESTS_BEFORE, "a"), REQUESTS_BEFORE / 2);
}

/// Guards against refused requests when every remaining upstream is in its slow start.
#[test]
fn a_slow_start_refuses_nothing() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.send(100, 1, "a");
    fleet.change(|catalog| drop(catalog.upstreams.insert("b".into(), upstream())));
    fleet.set_state("a", State::Withdrawn);
    assert_eq!(fleet.send(101, REQUESTS_AFTER, "b"), REQUESTS_AFTER);
}

/// Guards against a request with a snapshot from before a withdrawal that puts the upstream back
/// into service for all other requests.
#[test]
fn an_older_state_restores_nothing() {
    let mut fleet = Fleet::new(&["a", "b"]);
    let before = fleet.snapshot.clone();
    fleet.send(100, 1, "a");
    fleet.set_state("b", State::Withdrawn);
    fleet.dispatcher.update(&fleet.snapshot);
    let now = Duration::from_secs(101);
    let target = "drafting".into();
    for _ in 0..REQUESTS_BEFORE {
        let in_flight = fleet
            .dispatcher
            .choose_at(now, &before, profile(&target), &[]);
        let in_flight = in_flight.unwrap();
        assert_eq!(**in_flight.upstream(), *"a");
        fleet.in_flight_requests.push(in_flight);
    }
}

/// Guards against a model without any upstream because all of them have failed, and against new
/// work for an upstream that is leaving.
#[test]
fn failures_do_not_take_all_upstreams_out() {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet
        .snapshot
        .unavailable
        .insert("a".into(), Status::Failing);
    fleet
        .snapshot
        .unavailable
        .insert("c".into(), Status::Leaving);
    assert_eq!(fleet.send(100, 10, "b"), 10);
    fleet
        .snapshot
        .unavailable
        .insert("b".into(), Status::Failing);
    assert_eq!(fleet.send(101, 10, "c"), 0);
    fleet.snapshot.unavailable.remove("a");
    assert_eq!(fleet.send(102, 10, "a"), 10);
    fleet
        .snapshot
        .unavailable
        .insert("a".into(), Status::Leaving);
    fleet
        .snapshot
        .unavailable
        .insert("b".into(), Status::Leaving);
    let target = "drafting".into();
    let now = Duration::from_secs(103);
    let none = fleet
        .dispatcher
        .choose_at(now, &fleet.snapshot, profile(&target), &[]);
    assert!(none.is_none());
}

const PREFIXES: &[u64] = &[11, 12, 13, 14, 15, 16, 17, 18];

fn event(sequence: u64, stored: &[u64], removed: &[u64]) -> CacheEvent {
    CacheEvent {
        sequence,
        stored: stored.to_vec(),
        removed: removed.to_vec(),
        cleared: false,
    }
}

/// Returns the policy's estimate of the cached prompt tokens at an upstream after events 10 s
/// apart.
fn expected_hit(events: &[CacheEvent]) -> u32 {
    let fleet = Fleet::with(PolicyName::Adaptive, &["a"]);
    fleet.dispatcher.update(&fleet.snapshot);
    let mut now = Duration::from_secs(100);
    for event in events {
        fleet
            .dispatcher
            .apply_cache_events_at(now, &"a".into(), std::slice::from_ref(event));
        now += Duration::from_secs(10);
    }
    let target = "drafting".into();
    let profile = Profile {
        prompt_tokens: 3_000,
        prefixes: PREFIXES,
        ..profile(&target)
    };
    let in_flight = fleet
        .dispatcher
        .choose_at(now, &fleet.snapshot, profile, &[]);
    match in_flight.unwrap().reason {
        Reason::Estimate { cached, .. } => cached,
        reason => panic!("{reason}"),
    }
}

/// Guards against an estimate of cache hits that is not lowered after lost events, and against hits
/// that are expected for removed blocks.
#[test]
fn a_gap_in_the_events_lowers_trust() {
    let stored = event(1, PREFIXES, &[]);
    let whole = expected_hit(&[stored.clone(), event(2, &[99], &[])]);
    let gap = expected_hit(&[stored.clone(), event(5, &[99], &[])]);
    assert!(whole > 1_000, "{whole}");
    assert!(gap > 0 && gap <= whole / 2 + 1, "{gap} of {whole}");
    assert_eq!(expected_hit(&[stored, event(2, &[], PREFIXES)]), 0);
    assert_eq!(expected_hit(&[]), 0);
}
