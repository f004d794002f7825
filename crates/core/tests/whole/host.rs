//! A router process made of the slices.

use {
    super::{escrow::Escrow, job::Job, world},
    marigoldroute_core::{
        bill::Ledger,
        claim::{self, Registry},
        config::{Catalog, Log, State},
        fleet::{self, ListedHost, Listing, Phase, Status, View, rank},
        id::{HolderId, HostId, RequestId, UpstreamId},
        limit::{Concurrency, ConcurrencySettings, RetryBudget, RetrySettings},
        route::{Candidate, Origin, Policy, PolicyName, Progress, Request, Settings, Ticket},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Holders of a budget in each region.
const HOLDERS: usize = 2;
/// Calendar time at the start.
pub const EPOCH: Duration = Duration::from_secs(1_800_000_000);

/// A settlement that is not durable.
pub struct Item {
    pub job: super::message::Ask,
    pub host: usize,
    pub missed: u32,
}

/// A release that the holder has not acknowledged.
pub struct Release {
    pub host: usize,
    pub attempt: RequestId,
    pub tries: u32,
}

/// Since when a process shows no sign of life.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    pub version: u64,
    pub since: Duration,
    pub fenced: Option<Duration>,
}

/// A request at an upstream.
pub struct Flight {
    pub upstream: usize,
    ticket: Ticket,
    started: Duration,
}

/// Choice of upstreams within their limits.
pub struct Dispatch {
    policy: Box<dyn Policy>,
    limits: HashMap<UpstreamId, Concurrency>,
    pub retries: RetryBudget,
    version: u64,
}

pub struct Process {
    pub id: HolderId,
    pub host: usize,
    pub incarnation: u64,
    pub log: Log,
    pub view: View,
    pub random: SmallRng,
    pub escrow: Escrow,
    pub registry: Registry,
    pub dispatch: Dispatch,
    pub jobs: BTreeMap<RequestId, Job>,
    pub outbox: Vec<Item>,
    pub releases: Vec<Release>,
    pub ledger: Option<Ledger>,
    pub silences: BTreeMap<HolderId, Silence>,
    pub last_read: Duration,
    pub is_draining: bool,
    /// Own settlements are durable and the holders are stopping.
    pub is_settled: bool,
    /// State at the start, for the defect that brings it back.
    pub earlier: Option<Log>,
    pub clock: Duration,
    pub wall: Duration,
}

pub fn host_id(host: usize) -> HostId {
    format!("h{host}").into()
}

pub fn region(host: usize) -> &'static str {
    ["east", "west"][host / 2]
}

fn member(host: usize, incarnation: u64) -> fleet::Host {
    fleet::Host {
        id: host_id(host),
        incarnation,
        region: region(host).into(),
        zone: format!("z{host}").into(),
        address: format!("127.0.0.1:{host}").into(),
        weight: 1,
    }
}

impl Process {
    pub fn new(host: usize, incarnation: u64, clock: Duration) -> Self {
        let id: HolderId = format!("h{host}.{incarnation}").into();
        let origin = Origin {
            host: host_id(host),
            region: region(host).into(),
            zone: format!("z{host}").into(),
        };
        let settings = claim::Settings {
            send_within: Duration::from_secs(4),
            late_commit_limit: Duration::from_secs(10),
            ..claim::Settings::default()
        };
        Self {
            host,
            incarnation,
            log: Log::new(marigoldroute_core::config::Settings::default(), clock),
            view: View::new(member(host, incarnation), fleet::Settings::default(), clock),
            random: SmallRng::seed_from_u64(incarnation << 8 | host as u64),
            escrow: Escrow::new(id.clone()),
            registry: Registry::new(id.clone(), settings),
            dispatch: Dispatch::new(origin),
            jobs: BTreeMap::new(),
            outbox: Vec::new(),
            releases: Vec::new(),
            ledger: None,
            silences: BTreeMap::new(),
            last_read: clock,
            is_draining: false,
            is_settled: false,
            earlier: None,
            clock,
            wall: EPOCH + clock,
            id,
        }
    }

    pub fn list(&mut self, hosts: impl Iterator<Item = usize>) {
        let hosts = hosts.map(|host| {
            let member = member(host, 0);
            ListedHost {
                id: member.id,
                zone: member.zone,
                address: member.address,
            }
        });
        self.view.update_listing(Listing {
            hosts: hosts.collect(),
            leaving: [].into(),
        });
    }

    pub fn claim_timestamp(&self) -> claim::Timestamp {
        claim::Timestamp {
            monotonic: self.clock,
            wall: self.wall,
        }
    }

    pub fn takes_work(&self) -> bool {
        !self.is_draining && self.log.check_ready(self.clock).is_ok()
    }

    /// Returns the processes that this host hears, with itself.
    pub fn heard(&self) -> Vec<HolderId> {
        let members = self.view.members().into_iter();
        let alive = members.filter(|member| member.is_alive);
        alive
            .map(|member| format!("{}.{}", member.host.id, member.host.incarnation).into())
            .collect()
    }

    /// Returns the holders of a budget in the order in which they are asked: the own region first,
    /// and in each region this host last.
    pub fn places(&self, budget: &str) -> Vec<usize> {
        let ready = self.view.ready_hosts();
        let mut places = Vec::new();
        for name in ["east", "west"] {
            let is_in = |id: &HostId| region(world::index(id)) == name;
            let hosts = ready.iter().filter(|host| is_in(&host.host));
            let ranked = rank(budget, hosts).into_iter().take(HOLDERS);
            places.extend(ranked.map(|id| world::index(id)));
        }
        let is_far = |host: &usize| region(*host) != region(self.host);
        places.sort_by_key(|host| (is_far(host), *host == self.host));
        places
    }

    /// Applies what the log has reached.
    pub fn follow(&mut self, ignores_withdrawal: bool) {
        let version = self.log.version();
        self.view.record_applied(version);
        let catalog = self.log.catalog().clone();
        self.dispatch
            .follow(self.clock, &catalog, ignores_withdrawal);
        if self.takes_work() {
            self.view.enter(Phase::Ready);
        }
    }

    pub fn choose(&mut self, target: &str, total: u64, tried: &[usize]) -> Option<Flight> {
        let (view, now) = (&self.view, self.clock);
        let Dispatch { policy, limits, .. } = &mut self.dispatch;
        let allows = |id: &UpstreamId| {
            let has_room = limits.get(id).is_none_or(|limit| limit.has_capacity(1.0));
            let is_up = view.status(now, id) == Status::Up;
            has_room && is_up && !tried.contains(&world::upstream(id))
        };
        let request = Request {
            target,
            prompt_tokens: super::upstream::PROMPT as u32,
            output_limit: total as u32,
            prefixes: &[],
            shared_prefix: None,
            priority: 0,
            allows: &allows,
        };
        let mut choice = policy.choose(now, &mut self.random, &request)?;
        policy.report(now, &mut choice.ticket, Progress::Sent(&[]));
        let limit = limits.entry(choice.upstream.clone());
        assert!(limit.or_insert_with(limit_of_new).acquire(1.0));
        Some(Flight {
            upstream: world::upstream(&choice.upstream),
            ticket: choice.ticket,
            started: now,
        })
    }

    pub fn land(&mut self, mut flight: Flight, progress: Progress<'_>) {
        let now = self.clock;
        let id = world::upstream_id(flight.upstream);
        if let Some(limit) = self.dispatch.limits.get_mut(&id) {
            match progress {
                Progress::Finished { .. } => limit.succeed(now.saturating_sub(flight.started)),
                _ => limit.fail(),
            }
        }
        let policy = &mut self.dispatch.policy;
        policy.report(now, &mut flight.ticket, progress);
    }
}

impl Dispatch {
    fn new(origin: Origin) -> Self {
        Self {
            policy: PolicyName::Adaptive.policy(origin, Settings::default()),
            limits: HashMap::new(),
            retries: RetryBudget::new(RetrySettings::default()),
            version: 0,
        }
    }

    fn follow(&mut self, now: Duration, catalog: &Catalog, ignores_withdrawal: bool) {
        if catalog.version == self.version {
            return;
        }
        self.version = catalog.version;
        for (id, upstream) in &catalog.upstreams {
            if upstream.state == State::Withdrawn && !ignores_withdrawal {
                self.policy.withdraw(id);
                continue;
            }
            self.limits.entry(id.clone()).or_insert_with(limit_of_new);
            let candidate = Candidate {
                id: id.clone(),
                serves: upstream.serves.clone(),
                region: upstream.region.clone(),
                zone: upstream.zone.clone(),
            };
            self.policy.join(now, &candidate).expect("room for all");
        }
    }
}

fn limit_of_new() -> Concurrency {
    Concurrency::new(ConcurrencySettings {
        initial: 4,
        ..ConcurrencySettings::default()
    })
}
