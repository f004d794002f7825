//! A host and its upstreams, which check what they get.

use {
    marigoldroute_core::{
        admission::{Admission, ColdSettings, Evacuation, Notice, Stage, Standing},
        fleet::WeightedHost,
        forward::ColdStart,
        id::{UpstreamId, Zone},
        throttle::{Process, Rate, Statement, Step, Throttle},
    },
    proptest::{
        collection::{btree_set, vec},
        prelude::{Just, Strategy, any, prop_assert, prop_oneof},
        test_runner::TestCaseError,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Requests that the host may have in flight at an upstream.
pub const LIMIT: u32 = 3;
/// Time for which a view of the fleet holds.
const TERM: Duration = Duration::from_secs(1);
/// Limit on what a cold upstream gets in a second.
const COLD: ColdSettings = ColdSettings {
    overage: 1.5,
    tolerance: 5.0,
};
/// Requests per second that a cold upstream takes.
const COLD_RATE: f64 = 5.9;
/// Upstreams of the property test.
pub const UPSTREAMS: usize = 2;

pub fn admission(host: &str) -> Admission {
    let throttle = Throttle::new(host.into(), TERM);
    Admission::new(host.into(), throttle, COLD)
}

pub fn process(id: &str, started_ms: u64) -> Process {
    Process {
        upstream: id.into(),
        started_ms,
    }
}

/// Returns one of the availability zones, of which there are as many as upstreams.
pub fn zone(index: usize) -> Zone {
    format!("z{index}").into()
}

/// What happens next to the host.
#[derive(Clone, Debug)]
pub enum Action {
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
        zone: usize,
        is_restart: bool,
    },
    Leave {
        upstream: usize,
    },
    /// Operators evacuate a zone, or take that back.
    Evacuate {
        zone: usize,
        is_end: bool,
    },
    /// All orders to evacuate are read again.
    ReadEvacuations {
        zones: BTreeSet<usize>,
    },
    /// The upstream becomes cold, or says so again, in its entry or in an answer.
    Cold {
        upstream: usize,
        ms: u64,
        is_listed: bool,
    },
    Wait {
        ms: u64,
    },
}

pub fn actions() -> impl Strategy<Value = Vec<Action>> {
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
        2 => (upstream(), upstream(), any::<bool>())
            .prop_map(|(upstream, zone, is_restart)| Action::Join { upstream, zone, is_restart }),
        1 => upstream().prop_map(|upstream| Action::Leave { upstream }),
        2 => (upstream(), prop_oneof![1 => Just(false), 2 => Just(true)])
            .prop_map(|(zone, is_end)| Action::Evacuate { zone, is_end }),
        1 => btree_set(upstream(), 0..=1).prop_map(|zones| Action::ReadEvacuations { zones }),
        2 => (upstream(), 0..4_000_u64, any::<bool>())
            .prop_map(|(upstream, ms, is_listed)| Action::Cold { upstream, ms, is_listed }),
        6 => (0..1_500_u64).prop_map(|ms| Action::Wait { ms }),
    ];
    vec(action, 1..150)
}

/// An upstream with what it has said to the host, as itself knows it.
#[derive(Clone, Debug, Default)]
struct Peer {
    started_ms: u64,
    zone: usize,
    is_listed: bool,
    has_left: bool,
    /// Until when it wants nothing.
    until: Duration,
    /// The rate that it stated last, and the requests that it got since then.
    rate: Option<(f64, Duration, u32)>,
    in_flight: u32,
    /// When it became cold, and until when it is.
    cold: (Duration, Duration),
    /// When it got requests.
    arrivals: Vec<Duration>,
}

/// A request of the host.
#[derive(Clone, Debug)]
struct Request {
    upstream: usize,
    process: Process,
    has_permit: bool,
    assigned_at: Duration,
    /// Whether the host took the upstream for cold by then.
    is_counted: bool,
    sent_at: Option<Duration>,
}

pub struct World {
    now: Duration,
    host: Admission,
    peers: Vec<Peer>,
    evacuated: BTreeSet<usize>,
    requests: Vec<Request>,
}

impl World {
    pub fn new() -> Self {
        let mut host = admission("h");
        let own = WeightedHost {
            host: "h".into(),
            weight: 1,
        };
        let start = ColdStart {
            time: Duration::from_secs(3),
            rate: COLD_RATE,
        };
        host.cold_starts()
            .update_services(Duration::ZERO, [("s".into(), start)]);
        host.cold_starts()
            .update_hosts(Duration::ZERO, ["h".into()]);
        host.throttle()
            .update_hosts(Duration::ZERO, vec![own], Some(Duration::ZERO));
        Self {
            now: TERM * 3,
            host,
            peers: vec![Peer::default(); UPSTREAMS],
            evacuated: BTreeSet::new(),
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
        let is_counted = self.host.cold_starts().is_cold(self.now, &id);
        let process = self.host.begin(self.now, &id).expect("it was chosen");
        self.requests.push(Request {
            upstream,
            process,
            has_permit,
            assigned_at: self.now,
            is_counted,
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
            started_ms: request.process.started_ms,
            has_permit: request.has_permit,
            assigned_at: request.assigned_at,
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
        let is_current = request.process.started_ms == peer.started_ms;
        prop_assert!(is_current, "sent to a process that is gone");
        prop_assert!(peer.is_listed, "sent to an upstream that is not listed");
        let is_evacuated = self.evacuated.contains(&peer.zone);
        prop_assert!(!is_evacuated, "sent to an evacuated zone");
        prop_assert!(!peer.has_left, "sent to an upstream that leaves");
        prop_assert!(peer.until <= self.now, "sent in a pause");
        let (cold_since, cold_until) = peer.cold;
        peer.arrivals.push(self.now);
        if self.now < cold_until {
            let is_counted = request.is_counted || request.assigned_at >= cold_since;
            prop_assert!(is_counted, "sent uncounted to a cold upstream");
            let from = cold_since.max(self.now.saturating_sub(Duration::from_secs(1)));
            let count = peer.arrivals.iter().filter(|at| **at >= from).count();
            let bound = COLD_RATE * COLD.overage + COLD.tolerance;
            prop_assert!(count as f64 <= bound, "{count} requests to a cold upstream");
        }
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

    pub fn apply(&mut self, action: Action) -> Result<(), TestCaseError> {
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
                zone: index,
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
                peer.zone = index;
                let process = process(&Self::id(upstream), peer.started_ms);
                self.host.join(self.now, &process, &zone(index));
                let left = peer.cold.1.saturating_sub(self.now);
                self.host
                    .cold_starts()
                    .join(self.now, &process, &"s".into(), left);
            }
            Action::Leave { upstream } => {
                self.peers[upstream].is_listed = false;
                let id = Self::id(upstream);
                self.host.leave(self.now, &id);
                self.host.cold_starts().leave(&id);
            }
            Action::Cold {
                upstream,
                ms,
                is_listed,
            } => {
                let peer = &mut self.peers[upstream];
                if !peer.is_listed {
                    return Ok(());
                }
                let left = Duration::from_millis(ms);
                let (since, until) = peer.cold;
                let is_known = self.now < until;
                let until = until.max(self.now + left);
                peer.cold = (if is_known { since } else { self.now }, until);
                let process = process(&Self::id(upstream), peer.started_ms);
                let cold_starts = self.host.cold_starts();
                match is_listed {
                    true => cold_starts.join(self.now, &process, &"s".into(), left),
                    false => cold_starts.extend(self.now, &process, left),
                };
            }
            Action::Evacuate {
                zone: index,
                is_end,
            } => {
                let (change, has_changed) = match is_end {
                    true => (
                        Evacuation::Ended(zone(index)),
                        self.evacuated.remove(&index),
                    ),
                    false => (Evacuation::Begun(zone(index)), self.evacuated.insert(index)),
                };
                let changes = self.host.apply_evacuations([change]);
                prop_assert!(changes.is_empty() != has_changed, "{changes:?}");
            }
            Action::ReadEvacuations { zones } => {
                let names = zones.iter().map(|index| zone(*index)).collect();
                self.host.replace_evacuated(names);
                self.evacuated = zones;
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
