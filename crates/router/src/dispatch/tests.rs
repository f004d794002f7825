//! Tests of the slow start and of cache events.

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

/// Requests in flight before the change.
const BEFORE: usize = 100;
/// Requests after the change.
const AFTER: usize = 60;
/// A tenth of what each of two other upstreams has in flight, and rising for a second.
const BOUND: usize = 15;

/// A dispatcher whose policy prefers the upstream with the fewest requests, so that without a bound
/// an empty upstream gets everything.
struct Fleet {
    dispatcher: Arc<Dispatcher>,
    snapshot: Snapshot,
    flights: Vec<InFlight>,
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
            flights: Vec::new(),
        };
        fleet.change(|catalog| {
            for id in upstreams {
                let known = catalog.upstreams.insert((*id).into(), upstream());
                assert!(known.is_none());
            }
        });
        fleet
    }

    /// Makes a new version of the configuration.
    fn change(&mut self, change: impl FnOnce(&mut Catalog)) {
        let mut catalog = (*self.snapshot.catalog).clone();
        change(&mut catalog);
        catalog.version += 1;
        self.snapshot.catalog = Arc::new(catalog);
    }

    fn turn(&mut self, id: &str, state: State) {
        self.change(|catalog| {
            catalog.upstreams.get_mut(id).unwrap().state = state;
        });
    }

    /// Sends requests that stay in flight; returns how many went to an upstream.
    fn send(&mut self, seconds: u64, count: usize, to: &str) -> usize {
        let now = Duration::from_secs(seconds);
        self.dispatcher.apply_at(now, &self.snapshot);
        let target = "drafting".into();
        let profile = profile(&target);
        let choose = |_| self.dispatcher.choose_at(now, &self.snapshot, profile, &[]);
        let chosen: Vec<_> = (0..count).filter_map(choose).collect();
        assert_eq!(chosen.len(), count, "requests were refused");
        let hits = chosen
            .iter()
            .filter(|in_flight| **in_flight.upstream() == *to);
        let hits = hits.count();
        self.flights.extend(chosen);
        hits
    }

    fn check_slow_start(&mut self, of: &str) {
        let first = self.send(101, AFTER, of);
        assert!((1..=BOUND).contains(&first), "{first} requests at once");
        let later = self.send(130, AFTER, of);
        assert!(later > BOUND, "{later} requests after the slow start");
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
    fleet.send(100, BEFORE, "a");
    fleet.change(|catalog| drop(catalog.upstreams.insert("c".into(), upstream())));
    fleet.check_slow_start("c");
}

/// Guards against full load on an upstream that is put back into service.
#[test]
fn a_restored_upstream_starts_slowly() {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.turn("c", State::Withdrawn);
    assert_eq!(fleet.send(100, BEFORE, "c"), 0);
    fleet.turn("c", State::InService);
    fleet.check_slow_start("c");
}

/// Guards against full load on an upstream that was out because it failed.
#[test]
fn a_recovered_upstream_starts_slowly() {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.snapshot.out.insert("c".into(), Status::Failing);
    assert_eq!(fleet.send(100, BEFORE, "c"), 0);
    fleet.snapshot.out.clear();
    fleet.check_slow_start("c");
}

/// Guards against a restarted process that sends too little to upstreams that were there before.
#[test]
fn a_new_process_knows_no_slow_start() {
    let mut fleet = Fleet::new(&["a", "b"]);
    assert_eq!(fleet.send(0, BEFORE, "a"), BEFORE / 2);
}

/// Guards against refusals because everything that is left is in its slow start.
#[test]
fn a_slow_start_refuses_nothing() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.send(100, 1, "a");
    fleet.change(|catalog| drop(catalog.upstreams.insert("b".into(), upstream())));
    fleet.turn("a", State::Withdrawn);
    assert_eq!(fleet.send(101, AFTER, "b"), AFTER);
}

/// Guards against a request that still has the state from before a withdrawal and puts the upstream
/// back into service for all others.
#[test]
fn an_older_state_restores_nothing() {
    let mut fleet = Fleet::new(&["a", "b"]);
    let before = fleet.snapshot.clone();
    fleet.send(100, 1, "a");
    fleet.turn("b", State::Withdrawn);
    fleet.dispatcher.apply(&fleet.snapshot);
    let now = Duration::from_secs(101);
    let target = "drafting".into();
    for _ in 0..BEFORE {
        let in_flight = fleet
            .dispatcher
            .choose_at(now, &before, profile(&target), &[]);
        let in_flight = in_flight.unwrap();
        assert_eq!(**in_flight.upstream(), *"a");
        fleet.flights.push(in_flight);
    }
}

/// Guards against a model without any upstream because all of them have failed, and against work
/// for one that is leaving.
#[test]
fn failures_do_not_take_all_upstreams_out() {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.snapshot.out.insert("a".into(), Status::Failing);
    fleet.snapshot.out.insert("c".into(), Status::Leaving);
    assert_eq!(fleet.send(100, 10, "b"), 10);
    fleet.snapshot.out.insert("b".into(), Status::Failing);
    assert_eq!(fleet.send(101, 10, "c"), 0);
    fleet.snapshot.out.remove("a");
    assert_eq!(fleet.send(102, 10, "a"), 10);
    fleet.snapshot.out.insert("a".into(), Status::Leaving);
    fleet.snapshot.out.insert("b".into(), Status::Leaving);
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

/// Returns the cached prompt tokens that are expected at an upstream after events 10 s apart.
fn expected_hit(events: &[CacheEvent]) -> u32 {
    let fleet = Fleet::with(PolicyName::Adaptive, &["a"]);
    fleet.dispatcher.apply(&fleet.snapshot);
    let mut now = Duration::from_secs(100);
    for event in events {
        fleet
            .dispatcher
            .cache_at(now, &"a".into(), std::slice::from_ref(event));
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

/// Guards against events that are trusted as much after others were lost, and against hits that
/// are expected where a block was removed.
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
