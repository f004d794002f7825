//! Tests of the slow start.

use {
    super::{Dispatch, Flight, Need},
    crate::{clock::Clock, control::Scene},
    marigoldroute_core::{
        config::{Catalog, State, Upstream},
        fleet::Status,
        route::{Name, Origin},
    },
    std::{sync::Arc, time::Duration},
};

/// Requests in flight before the change.
const BEFORE: usize = 100;
/// Requests after the change.
const AFTER: usize = 60;
/// A tenth of what each of two other upstreams has in flight, and rising for a second.
const BOUND: usize = 15;

/// A dispatch whose policy prefers the upstream with the fewest requests, so that without a bound
/// an empty upstream gets everything.
struct Fleet {
    dispatch: Arc<Dispatch>,
    scene: Scene,
    flights: Vec<Flight>,
}

impl Fleet {
    fn new(upstreams: &[&str]) -> Self {
        let origin = Origin {
            host: "host-1".into(),
            region: "region-1".into(),
            zone: "zone-1".into(),
        };
        let mut fleet = Self {
            dispatch: Arc::new(Dispatch::new(Clock::new(), origin, Name::LeastInFlight)),
            scene: Scene::default(),
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
        let mut catalog = (*self.scene.catalog).clone();
        change(&mut catalog);
        catalog.version += 1;
        self.scene.catalog = Arc::new(catalog);
    }

    fn turn(&mut self, id: &str, state: State) {
        self.change(|catalog| {
            catalog.upstreams.get_mut(id).unwrap().state = state;
        });
    }

    /// Sends requests that stay in flight; returns how many went to an upstream.
    fn send(&mut self, seconds: u64, count: usize, to: &str) -> usize {
        let now = Duration::from_secs(seconds);
        let need = Need {
            target: &"drafting".into(),
            prompt: 100,
            output: 100,
            prefixes: &[],
            priority: 0,
        };
        let choose = |_| self.dispatch.choose_at(now, &self.scene, need, &[]);
        let chosen: Vec<_> = (0..count).filter_map(choose).collect();
        assert_eq!(chosen.len(), count, "requests were refused");
        let hits = chosen.iter().filter(|flight| **flight.upstream() == *to);
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
    fleet.scene.out.insert("c".into(), Status::Failing);
    assert_eq!(fleet.send(100, BEFORE, "c"), 0);
    fleet.scene.out.clear();
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
