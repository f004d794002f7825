//! Tests of membership and upstream health.

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

fn at_second(second: u64) -> Duration {
    START + Duration::from_secs(second)
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

fn first_hosts(keys: usize, hosts: &[WeightedHost]) -> BTreeMap<usize, HostId> {
    let first = |key: usize| rank(&format!("key{key}"), hosts)[0].clone();
    (0..keys).map(|key| (key, first(key))).collect()
}

/// Guards against keys that move although the host that was first for them is still there.
#[test]
fn only_keys_of_a_lost_host_move() {
    let hosts = weighted(&[1; 20]);
    let before = first_hosts(2_000, &hosts);
    let after = first_hosts(2_000, &hosts[1..]);
    for (key, host) in before {
        assert!(*host == *"h0" || after[&key] == host);
    }
}

/// Guards against hosts whose share of the keys is not proportional to their weight.
#[test]
fn shares_follow_weights() {
    let hosts = weighted(&[1, 2, 5, 0]);
    let first = first_hosts(8_000, &hosts);
    let share = |id: &str| first.values().filter(|host| ***host == *id).count();
    for (id, expected) in [("h0", 1_000), ("h1", 2_000), ("h2", 5_000)] {
        assert!(share(id).abs_diff(expected) < 200, "{id}: {}", share(id));
    }
    assert_eq!(share("h3"), 0);
}

/// Guards against an upstream that returns at its first ready probe and fails again: each ejection
/// soon after a return must last twice as long.
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

/// Guards against treating an answered request as the return of a leaving upstream, which still
/// answers running requests, and against an upstream that never returns.
#[test]
fn leaving_upstream_returns_only_after_ready_probes() {
    let mut view = view();
    view.observe(START, &upstream(), Observation::Leaving);
    for second in 1..60 {
        view.observe(at_second(second), &upstream(), Observation::Success);
        assert_eq!(view.status(at_second(second), "u"), Status::Leaving);
    }
    for second in 60..63 {
        view.observe(at_second(second), &upstream(), Observation::Ready);
    }
    assert_eq!(view.status(at_second(63), "u"), Status::Up);
}

/// Guards against probes that were answered before the upstream decided to leave, and that arrive
/// afterwards, returning it to service.
#[test]
fn early_ready_probes_do_not_clear_a_leaving_upstream() {
    let mut view = view();
    receive(&mut view, START, [report("a", 1, Evidence::Leaving)]);
    for _ in 0..5 {
        view.observe(at_second(1), &upstream(), Observation::Ready);
    }
    assert_eq!(view.status(at_second(2), "u"), Status::Leaving);
}

/// Guards against a stale list that returns a leaving upstream to service, and against ignoring a
/// list that contains another leaving upstream.
#[test]
fn list_adds_leaving_upstreams_and_removes_none() {
    let mut view = view();
    view.observe(START, &upstream(), Observation::Leaving);
    view.update_listing(Listing::default());
    assert_eq!(view.status(at_second(1), "u"), Status::Leaving);
    assert_eq!(view.status(at_second(1), "v"), Status::Up);
    view.update_listing(Listing {
        leaving: ["v".into()].into(),
        ..Listing::default()
    });
    assert_eq!(view.status(at_second(1), "v"), Status::Leaving);
}

/// Guards against a single partitioned host taking an upstream out of service for all, and against
/// failures on other hosts that outweigh an own success.
#[test]
fn failure_needs_two_reporters_and_no_own_success() {
    let mut view = view();
    let hosts = ["a", "b"].map(|id| mark(id, 1, 1, Phase::Ready));
    receive(&mut view, START, hosts);
    receive(&mut view, START, [report("a", 1, Evidence::Failing)]);
    receive(&mut view, START, [report("a", 2, Evidence::Failing)]);
    assert_eq!(view.status(at_second(1), "u"), Status::Up);
    receive(&mut view, START, [report("b", 1, Evidence::Failing)]);
    assert_eq!(view.status(at_second(1), "u"), Status::Failing);
    view.observe(at_second(1), &upstream(), Observation::Success);
    assert_eq!(view.status(at_second(2), "u"), Status::Up);
    assert_eq!(view.status(at_second(5), "u"), Status::Failing);
    assert_eq!(view.status(at_second(16), "u"), Status::Up);
}

/// Guards against a late or repeated report that replaces a newer one.
#[test]
fn old_report_does_not_replace_a_newer_one() {
    let mut view = view();
    receive(&mut view, START, [report("a", 2, Evidence::Leaving)]);
    receive(&mut view, at_second(1), [report("a", 1, Evidence::Clear)]);
    assert_eq!(view.status(at_second(1), "u"), Status::Leaving);
    receive(&mut view, at_second(1), [report("a", 3, Evidence::Clear)]);
    assert_eq!(view.status(at_second(1), "u"), Status::Up);
    receive(&mut view, at_second(1), [report("a", 2, Evidence::Leaving)]);
    assert_eq!(view.status(at_second(1), "u"), Status::Up);
}

/// Guards against a host that reports every upstream as failing because its own connection is
/// broken.
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

/// Guards against removing a host after a single suspicion, and against suspicions that the host
/// cannot refute.
#[test]
fn host_is_gone_after_two_suspicions_without_refutation() {
    let mut view = view();
    let hosts = ["a", "b", "c"].map(|id| mark(id, 1, 1, Phase::Ready));
    receive(&mut view, START, hosts);
    let is_known = |view: &View| view.peers().contains(&"a".into());
    receive(&mut view, START, [suspicion("a", 1, "b")]);
    view.tick(at_second(10), &mut random());
    assert!(is_known(&view));
    receive(&mut view, at_second(10), [suspicion("a", 1, "c")]);
    receive(&mut view, at_second(10), [mark("a", 1, 2, Phase::Ready)]);
    view.tick(at_second(15), &mut random());
    assert!(is_known(&view));
    let both = [suspicion("a", 2, "b"), suspicion("a", 2, "c")];
    receive(&mut view, at_second(15), both);
    view.tick(at_second(19), &mut random());
    assert!(!is_known(&view));
    receive(&mut view, at_second(20), [mark("a", 1, 2, Phase::Ready)]);
    assert!(!is_known(&view), "a late mark brought the host back");
    receive(&mut view, at_second(20), [mark("a", 2, 1, Phase::Joining)]);
    assert!(is_known(&view));
}

/// Guards against a host that stays removed after a pause because it does not refute the suspicion.
#[test]
fn returned_host_refutes_a_suspicion_about_itself() {
    let mut view = view();
    receive(&mut view, START, [mark("a", 1, 1, Phase::Ready)]);
    receive(&mut view, START, [suspicion("me", 1, "a")]);
    let sent = view.tick(at_second(1), &mut random());
    let marks = sent.into_iter().flat_map(|(_, gossip)| gossip.marks);
    let own = marks.filter_map(|mark| match mark.fact {
        Some(Fact::Host(mark)) if mark.id == "me" => Some(mark.revision),
        _ => None,
    });
    assert_eq!(own.collect::<Vec<_>>(), [2]);
}

/// Guards against a draining host that still gets keys, and against one that becomes ready again.
#[test]
fn draining_host_is_not_ready() {
    let mut view = view();
    view.enter(Phase::Ready);
    assert_eq!(view.ready_hosts().len(), 1);
    view.enter(Phase::Draining);
    view.enter(Phase::Ready);
    assert_eq!(view.ready_hosts(), []);
}

/// Guards against messages whose size grows with the number of marks that are to be sent.
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

/// Generates hosts with weights in up to six availability zones.
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

fn top_hosts(key: &str, hosts: &[ZonedHost], count: usize) -> BTreeSet<HostId> {
    let ranked = rank_across_zones(key, hosts).into_iter().take(count);
    ranked.map(|host| host.weighted.host.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d_6172_6990_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against holders in the same availability zone although another zone has none, and
    /// against hosts that are missing from the ranking or appear twice.
    #[test]
    fn zone_ranking_covers_zones(hosts in zoned(), key in 0_u32..1_000, count in 1_usize..8) {
        let key = format!("key{key}");
        let ranked = rank_across_zones(&key, &hosts);
        prop_assert_eq!(top_hosts(&key, &hosts, hosts.len()).len(), hosts.len());
        let zones: BTreeSet<_> = hosts.iter().map(|host| &host.zone).collect();
        let taken: BTreeSet<_> = ranked.iter().take(count).map(|host| &host.zone).collect();
        prop_assert_eq!(taken.len(), count.min(zones.len()));
        let weighted: Vec<_> = hosts.iter().map(|host| host.weighted.clone()).collect();
        prop_assert_eq!(&ranked[0].weighted.host, rank(&key, &weighted)[0]);
    }

    /// Guards against grants that move unnecessarily: a host that joins or leaves may replace at
    /// most one of the holders of a budget.
    #[test]
    fn zone_ranking_is_stable(
        hosts in zoned(),
        gone in any::<prop::sample::Index>(),
        key in 0_u32..1_000,
        count in 1_usize..8,
    ) {
        let key = format!("key{key}");
        let before = top_hosts(&key, &hosts, count);
        let mut left = hosts.clone();
        let gone = left.remove(gone.index(hosts.len())).weighted.host;
        let after = top_hosts(&key, &left, count);
        let lost: Vec<_> = before.difference(&after).collect();
        prop_assert!(lost.len() <= 1, "{gone} left, {lost:?} replaced");
        prop_assert_eq!(after.len(), count.min(left.len()));
        // The departure of a host that is not a holder must not replace any holder.
        prop_assert!(before.contains(&gone) || lost.is_empty());
    }
}
