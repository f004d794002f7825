//! Whether upstreams may be sent requests, checked from what the upstreams see.

use {
    marigoldroute_core::{
        admission::{Admission, Notice, Stage, Standing},
        fleet::WeightedHost,
        id::UpstreamId,
        throttle::{Process, Rate, Statement, Step, Throttle},
    },
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest},
        test_runner::TestCaseError,
    },
    std::time::Duration,
};

/// Requests that the host may have in flight at an upstream.
const LIMIT: u32 = 3;
/// Time for which a view of the fleet holds.
const TERM: Duration = Duration::from_secs(1);
/// Upstreams of the property test.
const UPSTREAMS: usize = 2;

fn admission(host: &str) -> Admission {
    Admission::new(host.into(), Throttle::new(host.into(), TERM))
}

fn process(id: &str, started_ms: u64) -> Process {
    Process {
        upstream: id.into(),
        started_ms,
    }
}

fn pause(time: Duration) -> Notice {
    Notice {
        pause: Some(time),
        ..Notice::default()
    }
}

fn may_choose(admission: &Admission, now: Duration, id: &UpstreamId) -> bool {
    let standing = admission.standing(now, id, Stage::Choose { limit: LIMIT });
    !matches!(standing, Standing::Barred(_))
}

/// Guards against 300 hosts that all send at the instant at which a pause ends, and against a host
/// that sends all that it has before the upstream has answered.
#[test]
fn hosts_come_back_one_after_the_other_with_one_request_each() {
    let mut hosts: Vec<_> = (0..300)
        .map(|host| admission(&format!("h{host}")))
        .collect();
    let id: UpstreamId = "u".into();
    for host in &mut hosts {
        host.join(Duration::ZERO, &process(&id, 1));
        host.record(
            Duration::ZERO,
            &process(&id, 1),
            Duration::ZERO,
            pause(Duration::from_secs(4)),
        );
    }
    let mut sent = Vec::new();
    for ms in 0..5_100_u64 {
        let now = Duration::from_millis(ms);
        hosts.retain_mut(|host| {
            if !may_choose(host, now, &id) {
                return true;
            }
            host.begin(now, &id);
            assert!(!may_choose(host, now, &id), "a second request at once");
            sent.push(ms);
            host.record(now, &process(&id, 1), now, Notice::default());
            assert!(may_choose(host, now, &id), "the upstream has answered");
            false
        });
    }
    assert!(hosts.is_empty(), "{} hosts stay away", hosts.len());
    assert!(sent.iter().all(|ms| *ms >= 4_000), "sent in the pause");
    let most = sent.iter().map(|start| {
        sent.iter()
            .filter(|ms| (*start..start + 100).contains(ms))
            .count()
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= 60, "{most} of 300 hosts within 100 ms");
    let first = sent.iter().filter(|ms| **ms < 4_500).count();
    assert!(
        (100..=200).contains(&first),
        "{first} requests in the first half second"
    );
}

/// Guards against callers that were refused in a pause and come back together, or before its end.
#[test]
fn callers_come_back_in_the_order_in_which_they_were_refused() {
    let mut host = admission("h");
    let id: UpstreamId = "u".into();
    host.join(Duration::ZERO, &process(&id, 1));
    host.record(
        Duration::ZERO,
        &process(&id, 1),
        Duration::ZERO,
        pause(Duration::from_secs(10)),
    );
    let mut returns = Vec::new();
    for ms in (0..10_000).step_by(50) {
        let now = Duration::from_millis(ms);
        let after = host.schedule_return(now, &"s".into(), &[&id]);
        returns.push(now + after.expect("a time to return"));
    }
    assert!(returns.is_sorted());
    assert!(returns.iter().all(|at| *at >= Duration::from_secs(10)));
    let gaps = returns.windows(2).map(|pair| pair[1] - pair[0]);
    let least = gaps.min().unwrap_or_default();
    assert!(
        least >= Duration::from_millis(20),
        "{least:?} between callers"
    );
}

/// Guards against an upstream that one number takes out of use for good, and one whose pause is
/// ended by a shorter one.
#[test]
fn extreme_pauses_end_and_are_not_shortened() {
    let id: UpstreamId = "u".into();
    let cases = [
        (vec![Duration::MAX], 600, 602),
        (vec![Duration::from_secs(9), Duration::ZERO], 9, 11),
        (vec![Duration::from_secs(9), Duration::from_secs(2)], 9, 11),
        (vec![Duration::from_secs(2), Duration::from_secs(9)], 9, 11),
        (vec![Duration::ZERO], 0, 0),
    ];
    for (pauses, closed_s, open_s) in cases {
        let mut host = admission("h");
        host.join(Duration::ZERO, &process(&id, 1));
        for time in &pauses {
            host.record(
                Duration::ZERO,
                &process(&id, 1),
                Duration::ZERO,
                pause(*time),
            );
        }
        if closed_s > 0 {
            let late = Duration::from_secs(closed_s) - Duration::from_millis(1);
            assert!(!may_choose(&host, late, &id), "{pauses:?}");
        }
        assert!(
            may_choose(&host, Duration::from_secs(open_s), &id),
            "{pauses:?}"
        );
    }
}

/// Guards against notices that are lost when an upstream is off the list for a while, as after an
/// outage of the store, and against ones that hold for its next process.
#[test]
fn notices_hold_for_the_process_that_gave_them() {
    let id: UpstreamId = "u".into();
    let leaving = Notice {
        is_leaving: true,
        pause: None,
    };
    for notice in [leaving, pause(Duration::from_secs(60))] {
        let mut host = admission("h");
        let at = Duration::from_secs;
        host.join(at(0), &process(&id, 1));
        host.record(at(1), &process(&id, 1), at(0), notice);
        host.leave(at(2), &id);
        host.join(at(3), &process(&id, 1));
        assert!(!may_choose(&host, at(4), &id), "{notice:?}");
        host.join(at(5), &process(&id, 2));
        host.record(at(5), &process(&id, 1), at(0), notice);
        assert!(may_choose(&host, at(6), &id), "a late answer: {notice:?}");
    }
}

/// What happens next to the host.
#[derive(Clone, Debug)]
enum Action {
    /// Chooses an upstream for a request; a retry or a resumed stream has tried the other one.
    Choose {
        upstream: usize,
    },
    /// Sends a request that was chosen some time ago, or gives it up.
    Send {
        index: usize,
        is_given_up: bool,
    },
    /// An answer to a request that was sent.
    Answer {
        index: usize,
        notice: Notice,
        rate: Option<Option<f64>>,
    },
    Join {
        upstream: usize,
        is_restart: bool,
    },
    Leave {
        upstream: usize,
    },
    Wait {
        ms: u64,
    },
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let upstream = || 0..UPSTREAMS;
    let asked = prop_oneof![
        Just(Duration::ZERO),
        (1..5_000_u64).prop_map(Duration::from_millis),
        Just(Duration::MAX),
    ];
    let asked = prop_oneof![6 => Just(None), 1 => asked.prop_map(Some)];
    let notice = (prop_oneof![12 => Just(false), 1 => Just(true)], asked)
        .prop_map(|(is_leaving, pause)| Notice { is_leaving, pause });
    let rate = prop_oneof![
        8 => Just(None),
        1 => (0.0..20.0).prop_map(|rate| Some(Some(rate))),
        1 => Just(Some(None)),
    ];
    let action = prop_oneof![
        8 => upstream().prop_map(|upstream| Action::Choose { upstream }),
        8 => (any::<usize>(), prop_oneof![9 => Just(false), 1 => Just(true)])
            .prop_map(|(index, is_given_up)| Action::Send { index, is_given_up }),
        6 => (any::<usize>(), notice, rate)
            .prop_map(|(index, notice, rate)| Action::Answer { index, notice, rate }),
        2 => (upstream(), any::<bool>())
            .prop_map(|(upstream, is_restart)| Action::Join { upstream, is_restart }),
        1 => upstream().prop_map(|upstream| Action::Leave { upstream }),
        6 => (0..1_500_u64).prop_map(|ms| Action::Wait { ms }),
    ];
    vec(action, 1..150)
}

/// An upstream with what it has said to the host, as itself knows it.
#[derive(Clone, Debug, Default)]
struct Peer {
    started_ms: u64,
    is_listed: bool,
    has_left: bool,
    /// Until when it wants nothing.
    until: Duration,
    /// The rate that it stated last, and the requests that it got since then.
    rate: Option<(f64, Duration, u32)>,
    in_flight: u32,
}

/// A request of the host.
#[derive(Clone, Debug)]
struct Request {
    upstream: usize,
    process: Process,
    has_permit: bool,
    sent_at: Option<Duration>,
}

struct World {
    now: Duration,
    host: Admission,
    peers: Vec<Peer>,
    requests: Vec<Request>,
}

impl World {
    fn new() -> Self {
        let mut host = admission("h");
        let own = WeightedHost {
            host: "h".into(),
            weight: 1,
        };
        host.throttle()
            .update_hosts(Duration::ZERO, vec![own], Some(Duration::ZERO));
        Self {
            now: TERM * 3,
            host,
            peers: vec![Peer::default(); UPSTREAMS],
            requests: Vec::new(),
        }
    }

    fn id(upstream: usize) -> UpstreamId {
        format!("u{upstream}").into()
    }

    fn choose(&mut self, upstream: usize) -> Result<(), TestCaseError> {
        let id = Self::id(upstream);
        let standing = self
            .host
            .standing(self.now, &id, Stage::Choose { limit: LIMIT });
        let has_permit = match standing {
            Standing::Barred(_) => return Ok(()),
            Standing::Open => false,
            Standing::Limited(_) => match self.host.throttle().acquire(self.now, &id) {
                Step::Send => true,
                Step::Closed | Step::Ask(..) => return Ok(()),
            },
        };
        let peer = &mut self.peers[upstream];
        prop_assert!(peer.in_flight < LIMIT, "over the limit of connections");
        peer.in_flight += 1;
        let process = self.host.begin(self.now, &id).expect("it was chosen");
        self.requests.push(Request {
            upstream,
            process,
            has_permit,
            sent_at: None,
        });
        Ok(())
    }

    /// Sends a request unless it is barred; checks each rule at the upstream.
    fn send(&mut self, index: usize, is_given_up: bool) -> Result<(), TestCaseError> {
        let waiting = self.requests.iter().enumerate();
        let waiting: Vec<_> = waiting
            .filter(|(_, request)| request.sent_at.is_none())
            .collect();
        if waiting.is_empty() {
            return Ok(());
        }
        let index = waiting[index % waiting.len()].0;
        let request = &mut self.requests[index];
        let stage = Stage::Send {
            has_permit: request.has_permit,
        };
        let standing = self
            .host
            .standing(self.now, &request.process.upstream, stage);
        let peer = &mut self.peers[request.upstream];
        if is_given_up || matches!(standing, Standing::Barred(_)) {
            peer.in_flight -= 1;
            self.host.end(&request.process.upstream);
            self.requests.remove(index);
            return Ok(());
        }
        request.sent_at = Some(self.now);
        prop_assert!(peer.is_listed, "sent to an upstream that is not listed");
        prop_assert!(!peer.has_left, "sent to an upstream that leaves");
        prop_assert!(peer.until <= self.now, "sent in a pause");
        if let Some((_, _, count)) = &mut peer.rate {
            prop_assert!(request.has_permit, "sent without a permit");
            *count += 1;
        }
        Ok(())
    }

    fn answer(&mut self, index: usize, notice: Notice, rate: Option<Option<f64>>) {
        let sent = self.requests.iter().enumerate();
        let sent: Vec<_> = sent
            .filter(|(_, request)| request.sent_at.is_some())
            .collect();
        if sent.is_empty() {
            return;
        }
        let index = sent[index % sent.len()].0;
        let request = self.requests.remove(index);
        let peer = &mut self.peers[request.upstream];
        peer.in_flight -= 1;
        let sent_at = request.sent_at.expect("it was sent");
        self.host
            .record(self.now, &request.process, sent_at, notice);
        let is_current = peer.started_ms == request.process.started_ms;
        if let Some(stated) = rate.filter(|_| is_current) {
            let rate = stated.and_then(Rate::new);
            let statement = rate.map_or(Statement::Unlimited, Statement::Limited);
            let changed =
                self.host
                    .throttle()
                    .record(self.now, &request.process, self.now, statement, true);
            if changed.is_some() {
                peer.rate = stated.map(|rate| (rate, self.now, 0));
            }
        }
        if is_current {
            peer.has_left |= notice.is_leaving;
            let cap = Duration::from_secs(600);
            let until = self.now + notice.pause.unwrap_or_default().min(cap);
            peer.until = peer.until.max(until);
        }
        self.host.end(&request.process.upstream);
    }

    fn apply(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Choose { upstream } => self.choose(upstream)?,
            Action::Send { index, is_given_up } => self.send(index, is_given_up)?,
            Action::Answer {
                index,
                notice,
                rate,
            } => self.answer(index, notice, rate),
            Action::Join {
                upstream,
                is_restart,
            } => {
                let peer = &mut self.peers[upstream];
                if is_restart {
                    let started_ms = peer.started_ms + 1;
                    *peer = Peer {
                        started_ms,
                        in_flight: peer.in_flight,
                        ..Peer::default()
                    };
                }
                peer.is_listed = true;
                let process = process(&Self::id(upstream), peer.started_ms);
                self.host.join(self.now, &process);
            }
            Action::Leave { upstream } => {
                self.peers[upstream].is_listed = false;
                self.host.leave(self.now, &Self::id(upstream));
            }
            Action::Wait { ms } => self.now += Duration::from_millis(ms),
        }
        for peer in &self.peers {
            if let Some((rate, since, count)) = peer.rate {
                let time = (self.now - since).as_secs_f64();
                // Permits that were acquired and not used yet, and a burst.
                let most = rate.max(1.0 / 30.0) * (time + 0.3) + f64::from(LIMIT) + 1.0;
                prop_assert!(f64::from(count) <= most, "{count} at {rate} in {time} s");
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a path on which one of the reasons is forgotten: first tries and requests
    /// that are chosen and sent later, as after a wait for a permit or a connection.
    #[test]
    fn every_reason_holds_on_every_path(actions in actions()) {
        let mut world = World::new();
        for upstream in 0..UPSTREAMS {
            world.apply(Action::Join { upstream, is_restart: false })?;
        }
        for action in actions {
            world.apply(action)?;
        }
    }
}
