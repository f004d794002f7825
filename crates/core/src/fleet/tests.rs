//! Tests of membership.

use {
    super::{
        Evidence, Fact, Gossip, Host, HostMark, Kind, Listing, Observation, Phase, Report,
        Settings, Status, Suspicion, View, WeightedHost, ZonedHost, rank, rank_across_zones,
    },
    crate::id::{HostId, UpstreamId},
    proptest::prelude::*,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const START: Duration = Duration::from_secs(100);

fn seconds(seconds: u64) -> Duration {
    START + Duration::from_secs(seconds)
}

fn host(id: &str) -> Host {
    Host {
        id: id.into(),
        incarnation: 1,
        region: "east".into(),
        zone: "z0".into(),
        address: "127.0.0.1:1".into(),
        weight: 1,
    }
}

fn view() -> View {
    View::new(host("me"), Settings::default(), START)
}

fn random() -> SmallRng {
    SmallRng::seed_from_u64(5)
}

fn receive(view: &mut View, now: Duration, facts: impl IntoIterator<Item = Fact>) {
    let gossip = Gossip {
        marks: facts.into_iter().map(Into::into).collect(),
        kind: Kind::Urgent.into(),
        ..Gossip::default()
    };
    view.receive(now, &"peer".into(), &gossip, &mut random());
}

fn mark(id: &str, incarnation: u64, revision: u64, phase: Phase) -> Fact {
    Fact::Host(HostMark {
        id: id.into(),
        incarnation,
        revision,
        phase: phase.into(),
        zone: "z0".into(),
        weight: 1,
        ..HostMark::default()
    })
}

fn report(reporter: &str, sequence: u64, evidence: Evidence) -> Fact {
    Fact::Report(Report {
        upstream: "u".into(),
        reporter: reporter.into(),
        incarnation: 1,
        sequence,
        evidence: evidence.into(),
    })
}

fn suspicion(id: &str, revision: u64, reporter: &str) -> Fact {
    Fact::Suspicion(Suspicion {
        id: id.into(),
        incarnation: 1,
        revision,
        reporter: reporter.into(),
    })
}

fn upstream() -> UpstreamId {
    "u".into()
}

fn weighted(weights: &[u32]) -> Vec<WeightedHost> {
    let hosts = weights.iter().enumerate();
    hosts
        .map(|(index, weight)| WeightedHost {
            host: format!("h{index}").into(),
            weight: *weight,
        })
        .collect()
}

fn first(keys: usize, hosts: &[WeightedHost]) -> BTreeMap<usize, HostId> {
    let first = |key: usize| rank(&format!("key{key}"), hosts)[0].clone();
    (0..keys).map(|key| (key, first(key))).collect()
}

/// Guards against keys that move although the host that they were on is still there.
#[test]
fn only_keys_of_a_lost_host_move() {
    let hosts = weighted(&[1; 20]);
    let before = first(2_000, &hosts);
    let after = first(2_000, &hosts[1..]);
    for (key, host) in before {
        assert!(*host == *"h0" || after[&key] == host);
    }
}

/// Guards against shares that do not follow the sizes of the hosts.
#[test]
fn shares_follow_weights() {
    let hosts = weighted(&[1, 2, 5, 0]);
    let first = first(8_000, &hosts);
    let share = |id: &str| first.values().filter(|host| ***host == *id).count();
    for (id, expected) in [("h0", 1_000), ("h1", 2_000), ("h2", 5_000)] {
        assert!(share(id).abs_diff(expected) < 200, "{id}: {}", share(id));
    }
    assert_eq!(share("h3"), 0);
}

/// Guards against an upstream that comes back at its first good probe and fails again.
#[test]
fn flapping_upstream_stays_out_longer_each_time() {
    let mut view = view();
    let mut now = START;
    let mut outs = Vec::new();
    for _ in 0..3 {
        for _ in 0..3 {
            view.observe(now, &upstream(), Observation::Failure);
        }
        let since = now;
        while view.status(now, "u") != Status::Up {
            now += Duration::from_secs(1);
            view.observe(now, &upstream(), Observation::Ready);
        }
        outs.push((now - since).as_secs());
    }
    assert_eq!(outs, [5, 10, 20]);
}

/// Guards against a request that is still answered being taken for the return of an upstream
/// that is leaving, and against one that never returns.
#[test]
fn leaving_upstream_returns_only_after_ready_probes() {
    let mut view = view();
    view.observe(START, &upstream(), Observation::Leaving);
    for second in 1..60 {
        view.observe(seconds(second), &upstream(), Observation::Success);
        assert_eq!(view.status(seconds(second), "u"), Status::Leaving);
    }
    for second in 60..63 {
        view.observe(seconds(second), &upstream(), Observation::Ready);
    }
    assert_eq!(view.status(seconds(63), "u"), Status::Up);
}

/// Guards against a probe answered before the upstream decided to leave bringing it back.
#[test]
fn early_ready_probes_do_not_clear_a_leaving_upstream() {
    let mut view = view();
    receive(&mut view, START, [report("a", 1, Evidence::Leaving)]);
    for _ in 0..5 {
        view.observe(seconds(1), &upstream(), Observation::Ready);
    }
    assert_eq!(view.status(seconds(2), "u"), Status::Leaving);
}

/// Guards against a stale list that puts a leaving upstream back, and against ignoring a list
/// that knows more.
#[test]
fn list_adds_leaving_upstreams_and_removes_none() {
    let mut view = view();
    view.observe(START, &upstream(), Observation::Leaving);
    view.update_listing(Listing::default());
    assert_eq!(view.status(seconds(1), "u"), Status::Leaving);
    assert_eq!(view.status(seconds(1), "v"), Status::Up);
    view.update_listing(Listing {
        leaving: ["v".into()].into(),
        ..Listing::default()
    });
    assert_eq!(view.status(seconds(1), "v"), Status::Leaving);
}

/// Guards against one cut-off host taking an upstream out for everybody, and against own success
/// being outweighed by others' failures.
#[test]
fn failure_needs_two_reporters_and_no_own_success() {
    let mut view = view();
    let hosts = ["a", "b"].map(|id| mark(id, 1, 1, Phase::Ready));
    receive(&mut view, START, hosts);
    receive(&mut view, START, [report("a", 1, Evidence::Failing)]);
    receive(&mut view, START, [report("a", 2, Evidence::Failing)]);
    assert_eq!(view.status(seconds(1), "u"), Status::Up);
    receive(&mut view, START, [report("b", 1, Evidence::Failing)]);
    assert_eq!(view.status(seconds(1), "u"), Status::Failing);
    view.observe(seconds(1), &upstream(), Observation::Success);
    assert_eq!(view.status(seconds(2), "u"), Status::Up);
    assert_eq!(view.status(seconds(5), "u"), Status::Failing);
    assert_eq!(view.status(seconds(16), "u"), Status::Up);
}

/// Guards against a late or repeated report undoing a newer one.
#[test]
fn old_report_does_not_replace_a_newer_one() {
    let mut view = view();
    receive(&mut view, START, [report("a", 2, Evidence::Leaving)]);
    receive(&mut view, seconds(1), [report("a", 1, Evidence::Clear)]);
    assert_eq!(view.status(seconds(1), "u"), Status::Leaving);
    receive(&mut view, seconds(1), [report("a", 3, Evidence::Clear)]);
    assert_eq!(view.status(seconds(1), "u"), Status::Up);
    receive(&mut view, seconds(1), [report("a", 2, Evidence::Leaving)]);
    assert_eq!(view.status(seconds(1), "u"), Status::Up);
}

/// Guards against a host whose own connection is broken reporting every upstream.
#[test]
fn host_that_reaches_nothing_reports_nothing() {
    let mut view = view();
    for index in 0..40 {
        let upstream: UpstreamId = format!("u{index}").into();
        for _ in 0..3 {
            view.observe(START, &upstream, Observation::Failure);
        }
    }
    receive(&mut view, START, [mark("a", 1, 1, Phase::Ready)]);
    let mut reported = BTreeSet::new();
    for tick in 0..100 {
        let now = START + Duration::from_millis(200) * tick;
        for (_, gossip) in view.tick(now, &mut random()) {
            for mark in gossip.marks {
                if let Some(Fact::Report(report)) = mark.fact {
                    reported.insert(report.upstream);
                }
            }
        }
    }
    assert!(reported.len() < 4, "{reported:?}");
}

/// Guards against a single suspicion removing a host, and against one that cannot be refuted.
#[test]
fn host_is_gone_after_two_suspicions_without_refutation() {
    let mut view = view();
    let hosts = ["a", "b", "c"].map(|id| mark(id, 1, 1, Phase::Ready));
    receive(&mut view, START, hosts);
    let is_known = |view: &View| view.peers().contains(&"a".into());
    receive(&mut view, START, [suspicion("a", 1, "b")]);
    view.tick(seconds(10), &mut random());
    assert!(is_known(&view));
    receive(&mut view, seconds(10), [suspicion("a", 1, "c")]);
    receive(&mut view, seconds(10), [mark("a", 1, 2, Phase::Ready)]);
    view.tick(seconds(15), &mut random());
    assert!(is_known(&view));
    let both = [suspicion("a", 2, "b"), suspicion("a", 2, "c")];
    receive(&mut view, seconds(15), both);
    view.tick(seconds(19), &mut random());
    assert!(!is_known(&view));
    receive(&mut view, seconds(20), [mark("a", 1, 2, Phase::Ready)]);
    assert!(!is_known(&view), "a late mark brought the host back");
    receive(&mut view, seconds(20), [mark("a", 2, 1, Phase::Joining)]);
    assert!(is_known(&view));
}

/// Guards against a paused host that stays out because it never answers the suspicion.
#[test]
fn returned_host_refutes_a_suspicion_about_itself() {
    let mut view = view();
    receive(&mut view, START, [mark("a", 1, 1, Phase::Ready)]);
    receive(&mut view, START, [suspicion("me", 1, "a")]);
    let sent = view.tick(seconds(1), &mut random());
    let marks = sent.into_iter().flat_map(|(_, gossip)| gossip.marks);
    let own = marks.filter_map(|mark| match mark.fact {
        Some(Fact::Host(mark)) if mark.id == "me" => Some(mark.revision),
        _ => None,
    });
    assert_eq!(own.collect::<Vec<_>>(), [2]);
}

/// Guards against a draining host that still gets keys, and against one that goes back.
#[test]
fn draining_host_is_not_ready() {
    let mut view = view();
    view.enter(Phase::Ready);
    assert_eq!(view.ready_hosts().len(), 1);
    view.enter(Phase::Draining);
    view.enter(Phase::Ready);
    assert_eq!(view.ready_hosts(), []);
}

/// Guards against messages that grow with what there is to say.
#[test]
fn messages_stay_within_their_size() {
    let mut view = view();
    let hosts = (0..400).map(|index| mark(&format!("host-{index}"), 1, 1, Phase::Ready));
    receive(&mut view, START, hosts);
    for tick in 0..50 {
        let now = START + Duration::from_millis(200) * tick;
        for (_, gossip) in view.tick(now, &mut random()) {
            let bytes = prost::Message::encoded_len(&gossip);
            assert!(bytes < 2_000, "{bytes} bytes");
        }
    }
}

/// Hosts in up to six availability zones, with weights.
fn zoned() -> impl Strategy<Value = Vec<ZonedHost>> {
    let host = (0_u8..6, 1_u32..5);
    prop::collection::vec(host, 2..30).prop_map(|hosts| {
        let hosts = hosts.into_iter().enumerate();
        let zoned = |(number, (zone, weight))| ZonedHost {
            weighted: WeightedHost {
                host: format!("h{number}").into(),
                weight,
            },
            zone: format!("z{zone}").into(),
        };
        hosts.map(zoned).collect()
    })
}

fn spread_names(key: &str, hosts: &[ZonedHost], count: usize) -> BTreeSet<HostId> {
    let spread = rank_across_zones(key, hosts).into_iter().take(count);
    spread.map(|host| host.weighted.host.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d_6172_6990_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against holders that share an availability zone although there is a free one, and
    /// against hosts that are left out or named twice.
    #[test]
    fn spread_covers_zones(hosts in zoned(), key in 0_u32..1_000, count in 1_usize..8) {
        let key = format!("key{key}");
        let spread = rank_across_zones(&key, &hosts);
        prop_assert_eq!(spread_names(&key, &hosts, hosts.len()).len(), hosts.len());
        let zones: BTreeSet<_> = hosts.iter().map(|host| &host.zone).collect();
        let taken: BTreeSet<_> = spread.iter().take(count).map(|host| &host.zone).collect();
        prop_assert_eq!(taken.len(), count.min(zones.len()));
        let weighted: Vec<_> = hosts.iter().map(|host| host.weighted.clone()).collect();
        prop_assert_eq!(&spread[0].weighted.host, rank(&key, &weighted)[0]);
    }

    /// Guards against tokens that change holders for no reason: one host that leaves, or joins, may
    /// replace at most one of the holders.
    #[test]
    fn spread_is_stable(
        hosts in zoned(),
        gone in any::<prop::sample::Index>(),
        key in 0_u32..1_000,
        count in 1_usize..8,
    ) {
        let key = format!("key{key}");
        let before = spread_names(&key, &hosts, count);
        let mut left = hosts.clone();
        let gone = left.remove(gone.index(hosts.len())).weighted.host;
        let after = spread_names(&key, &left, count);
        let lost: Vec<_> = before.difference(&after).collect();
        prop_assert!(lost.len() <= 1, "{gone} left, {lost:?} replaced");
        prop_assert_eq!(after.len(), count.min(left.len()));
        // A host that was no holder must not change who is one.
        prop_assert!(before.contains(&gone) || lost.is_empty());
    }
}
