//! A fleet, its store and limited upstreams on a simulated clock.

use {
    marigoldroute_core::{
        fleet::{Census, WeightedHost, rank},
        id::{HostId, UpstreamId},
        throttle::{Process, Rate, State, Statement, Step, Throttle},
        wire::{Acquire, Acquired, Stated},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Time between two renewals of a host's row.
pub const RENEWAL: Duration = Duration::from_secs(3);
/// Time for which a host relies on its view of the fleet.
pub const TERM: Duration = Duration::from_millis(7_100);
/// Time without an answer after which a host counts as silent.
const SILENCE: Duration = Duration::from_millis(180);

pub const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// What happens at a time.
#[derive(Clone, Debug)]
enum Event {
    /// A host renews its row and counts the hosts.
    Round(usize),
    /// A caller sends a request to a host.
    Request(usize),
    /// A request for a permit reaches a host.
    Ask {
        asker: usize,
        granter: usize,
        upstream: usize,
        acquire: Acquire,
        call: u64,
    },
    /// The answer reaches the asker.
    Answer {
        asker: usize,
        granter: usize,
        upstream: usize,
        acquired: Acquired,
        call: u64,
    },
    /// A host has waited long enough for an answer.
    Silence {
        asker: usize,
        granter: usize,
        call: u64,
    },
    /// A request reaches an upstream.
    Arrival {
        host: usize,
        upstream: usize,
        sent_at: Duration,
    },
    /// A response reaches a host.
    Response {
        host: usize,
        process: Process,
        sent_at: Duration,
        statement: Statement,
    },
    /// A host publishes what it has learned.
    Publish(usize),
    /// A host learns what another one published.
    Learn { host: usize, stated: Stated },
}

/// An event, ordered by time, the earliest first, and by number.
struct Scheduled(Duration, u64, usize, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// A host; a restart replaces everything but its id.
pub struct Host {
    pub id: HostId,
    pub throttle: Throttle,
    census: Census,
    /// Row in the store, a new one for each process.
    row: Arc<str>,
    /// Number of the process; events of earlier ones are dropped.
    process: usize,
    pub is_up: bool,
    /// Whether the host reaches the store.
    pub reaches_store: bool,
    /// Hosts of different sides reach neither each other nor each other's datagrams.
    pub side: u8,
    /// Until when the host stands still.
    frozen_until: Duration,
    /// Until when messages to the host are lost.
    deaf_until: Duration,
    /// Time that the host has stood still, which its clock does not count.
    frozen: Duration,
    /// Since when this process knows each upstream's rate.
    knows_since: HashMap<usize, Duration>,
    /// Calls without an answer.
    calls: BTreeSet<u64>,
    is_publishing: bool,
}

/// An upstream and what it received.
pub struct Upstream {
    pub id: UpstreamId,
    pub started_ms: u64,
    pub rate: Option<f64>,
    /// Text in place of a number.
    pub is_unreadable: bool,
    /// Arrivals, with whether the sender had known the rate for half a second.
    pub arrivals: Vec<(Duration, bool)>,
}

pub struct World {
    pub now: Duration,
    pub random: StdRng,
    events: BinaryHeap<Scheduled>,
    numbers: u64,
    pub hosts: Vec<Host>,
    pub upstreams: Vec<Upstream>,
    /// Rows of the store: version, instance.
    rows: BTreeMap<Arc<str>, (u64, HostId)>,
    version: u64,
    pub is_store_up: bool,
    /// Requests a second at each host.
    pub load: f64,
    pub sent: usize,
    /// Questions for permits.
    pub asked: usize,
    /// Times after which refused callers were told to return.
    pub refused: Vec<(Duration, Duration)>,
}

impl World {
    pub fn new(seed: u64, hosts: usize, rates: &[Option<f64>], load: f64) -> Self {
        let upstream = |(index, rate): (usize, &Option<f64>)| Upstream {
            id: format!("u{index}").into(),
            started_ms: 1,
            rate: *rate,
            is_unreadable: false,
            arrivals: Vec::new(),
        };
        let mut world = Self {
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            numbers: 0,
            hosts: Vec::new(),
            upstreams: rates.iter().enumerate().map(upstream).collect(),
            rows: BTreeMap::new(),
            version: 0,
            is_store_up: true,
            load,
            sent: 0,
            asked: 0,
            refused: Vec::new(),
        };
        for _ in 0..hosts {
            world.join();
        }
        world
    }

    /// Adds a host to the fleet.
    pub fn join(&mut self) -> usize {
        let index = self.hosts.len();
        let id: HostId = format!("h{index}").into();
        self.hosts.push(Host {
            throttle: Throttle::new(id.clone(), TERM),
            id,
            census: Census::new(RENEWAL),
            row: "".into(),
            process: 0,
            is_up: false,
            reaches_store: true,
            side: 0,
            frozen_until: Duration::ZERO,
            deaf_until: Duration::ZERO,
            frozen: Duration::ZERO,
            knows_since: HashMap::new(),
            calls: BTreeSet::new(),
            is_publishing: false,
        });
        self.start(index);
        index
    }

    /// Starts a process of a host; the one before, if any, has ended.
    pub fn start(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.process += 1;
        host.throttle = Throttle::new(host.id.clone(), TERM);
        host.census = Census::new(RENEWAL);
        host.row = format!("{}.{}", host.id, host.process).into();
        host.knows_since.clear();
        host.calls.clear();
        (host.is_up, host.is_publishing) = (true, false);
        let start = Duration::from_millis(self.random.random_range(0..300));
        self.schedule(index, start, Event::Round(index));
        let first = start + self.pause();
        self.schedule(index, first, Event::Request(index));
    }

    /// Ends the process of a host without a stop.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].is_up = false;
        self.hosts[index].process += 1;
    }

    /// Ends the process of a host in a planned way: it has removed its row.
    pub fn stop(&mut self, index: usize) {
        let row = self.hosts[index].row.clone();
        self.rows.remove(&row);
        self.kill(index);
    }

    /// Returns the hosts in the order of the ranking for an upstream.
    pub fn ranked(&self, upstream: usize) -> Vec<usize> {
        let hosts = self.hosts.iter().filter(|host| host.is_up);
        let hosts: Vec<_> = hosts.map(|host| weighted(&host.id)).collect();
        let ranked = rank(&self.upstreams[upstream].id, &hosts);
        let index = |id: &HostId| self.hosts.iter().position(|host| host.id == *id);
        ranked.into_iter().filter_map(index).collect()
    }

    /// Makes a host stand still.
    pub fn freeze(&mut self, index: usize, time: Duration) {
        self.hosts[index].frozen_until = self.now + time;
        self.hosts[index].frozen += time;
    }

    /// Makes a host stand still, with its machine: what others send it meanwhile is lost.
    pub fn suspend(&mut self, index: usize, time: Duration) {
        self.freeze(index, time);
        self.hosts[index].deaf_until = self.hosts[index].frozen_until;
    }

    /// Ends all cuts and the outage of the store.
    pub fn heal(&mut self) {
        self.is_store_up = true;
        for host in &mut self.hosts {
            host.reaches_store = true;
            host.side = 0;
        }
    }

    /// Starts a new process of an upstream, which all hosts see on the list.
    pub fn restart_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.started_ms += 1;
        let process = Process {
            upstream: upstream.id.clone(),
            started_ms: upstream.started_ms,
        };
        for host in 0..self.hosts.len() {
            self.hosts[host].throttle.join(&process);
            self.note_knowledge(host);
        }
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Duration) {
        while self.events.peek().is_some_and(|event| event.0 <= end) {
            let Some(Scheduled(at, number, process, event)) = self.events.pop() else {
                break;
            };
            self.now = at;
            let host = owner(&event);
            let thaw = self.hosts[host].frozen_until;
            // What was sent arrives, whatever becomes of its sender.
            let is_local = !matches!(event, Event::Arrival { .. });
            if is_local && self.hosts[host].process != process {
                continue;
            }
            let is_message = matches!(
                event,
                Event::Ask { .. } | Event::Answer { .. } | Event::Learn { .. }
            );
            if is_message && self.hosts[host].deaf_until > at {
                continue;
            }
            if is_local && thaw > at {
                self.events.push(Scheduled(thaw, number, process, event));
                continue;
            }
            self.handle(event);
            if self.hosts[host].throttle.has_unpublished() && !self.hosts[host].is_publishing {
                self.hosts[host].is_publishing = true;
                self.schedule(host, Duration::from_millis(10), Event::Publish(host));
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, host: usize, after: Duration, event: Event) {
        self.numbers += 1;
        let process = self.hosts[host].process;
        let scheduled = Scheduled(self.now + after, self.numbers, process, event);
        self.events.push(scheduled);
    }

    fn pause(&mut self) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.load)
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..3_000))
    }

    /// Returns the time by the clock of a host.
    pub fn clock(&self, host: usize) -> Duration {
        self.now + seconds(100) - self.hosts[host].frozen
    }

    /// Lets a host compare its clock with the time of day, which counts the time of a suspension.
    fn check_clocks(&mut self, host: usize) {
        let now = self.clock(host);
        self.hosts[host].throttle.check_clocks(now, self.now);
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        self.hosts[to].is_up && self.hosts[from].side == self.hosts[to].side
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round(host) => self.round(host),
            Event::Request(host) => {
                self.request(host);
                let pause = self.pause();
                self.schedule(host, pause, Event::Request(host));
            }
            Event::Ask {
                asker,
                granter,
                upstream,
                acquire,
                call,
            } => {
                let now = self.clock(granter);
                self.check_clocks(granter);
                let (acquired, _) = self.hosts[granter].throttle.answer(now, &acquire);
                self.note_knowledge(granter);
                if self.reach(granter, asker) {
                    let delay = self.delay();
                    let answer = Event::Answer {
                        asker,
                        granter,
                        upstream,
                        acquired,
                        call,
                    };
                    self.schedule(asker, delay, answer);
                }
            }
            Event::Answer {
                asker,
                granter,
                upstream,
                acquired,
                call,
            } => {
                if !self.hosts[asker].calls.remove(&call) {
                    return;
                }
                let now = self.clock(asker);
                let id = self.upstreams[upstream].id.clone();
                let host = self.hosts[granter].id.clone();
                let throttle = &mut self.hosts[asker].throttle;
                throttle.apply(now, &id, &host, &acquired);
                self.note_knowledge(asker);
                match acquired.is_granted {
                    true => self.send(asker, upstream),
                    false => self.request(asker),
                }
            }
            Event::Silence {
                asker,
                granter,
                call,
            } => {
                if self.hosts[asker].calls.remove(&call) {
                    let (now, host) = (self.clock(asker), self.hosts[granter].id.clone());
                    self.hosts[asker].throttle.record_silence(now, host);
                    self.request(asker);
                }
            }
            Event::Arrival {
                host,
                upstream,
                sent_at,
            } => {
                let known = self.hosts[host].knows_since.get(&upstream);
                let has_known =
                    known.is_some_and(|since| *since + Duration::from_millis(500) <= self.now);
                let now = self.now;
                let target = &mut self.upstreams[upstream];
                target.arrivals.push((now, has_known));
                let statement = match target.rate {
                    _ if target.is_unreadable => Statement::Unreadable,
                    Some(rate) => Rate::new(rate).map_or(Statement::Unreadable, Statement::Limited),
                    None => Statement::Unlimited,
                };
                let process = Process {
                    upstream: target.id.clone(),
                    started_ms: target.started_ms,
                };
                let work = Duration::from_millis(self.random.random_range(2..40));
                let response = Event::Response {
                    host,
                    process,
                    sent_at,
                    statement,
                };
                self.schedule(host, work, response);
            }
            Event::Response {
                host,
                process,
                sent_at,
                statement,
            } => {
                let now = self.clock(host);
                let throttle = &mut self.hosts[host].throttle;
                throttle.record(now, &process, sent_at, statement, true);
                self.note_knowledge(host);
            }
            Event::Publish(host) => {
                self.hosts[host].is_publishing = false;
                let now = self.clock(host);
                let (to_all, to_granters) = self.hosts[host].throttle.take_unpublished(now);
                for (granter, stated) in to_granters {
                    let granter = self.hosts.iter().position(|other| other.id == granter);
                    self.tell(host, granter.expect("a known host"), stated);
                }
                for other in 0..self.hosts.len() {
                    for stated in &to_all {
                        self.tell(host, other, stated.clone());
                    }
                }
            }
            Event::Learn { host, stated } => {
                let now = self.clock(host);
                self.hosts[host].throttle.learn(now, &stated);
                self.note_knowledge(host);
            }
        }
    }

    fn tell(&mut self, from: usize, to: usize, stated: Stated) {
        // One datagram in fifty is lost.
        if from != to && self.reach(from, to) && self.random.random_range(0..50) > 0 {
            let delay = self.delay();
            self.schedule(to, delay, Event::Learn { host: to, stated });
        }
    }

    fn round(&mut self, index: usize) {
        let now = self.clock(index);
        self.schedule(index, RENEWAL, Event::Round(index));
        let host = &mut self.hosts[index];
        if !self.is_store_up || !host.reaches_store {
            return;
        }
        self.version += 1;
        self.rows
            .insert(host.row.clone(), (self.version, host.id.clone()));
        let versions = self.rows.iter().map(|(key, row)| (key.clone(), row.0));
        host.census.update(now, &versions.collect::<Vec<_>>());
        let mut newest: BTreeMap<&HostId, u64> = BTreeMap::new();
        for (key, (version, id)) in &self.rows {
            if host.census.is_live(now, key) {
                let known = newest.entry(id).or_default();
                *known = (*known).max(*version);
            }
        }
        let hosts = newest.into_keys().map(weighted);
        host.throttle.update_hosts(now, hosts.collect(), Some(now));
        for key in host.census.removable(now) {
            self.rows.remove(&key.0);
        }
    }

    /// Serves a request with a random upstream that is not closed.
    fn request(&mut self, host: usize) {
        let now = self.clock(host);
        self.check_clocks(host);
        loop {
            let throttle = &self.hosts[host].throttle;
            let is_open = |upstream: &usize| {
                let state = throttle.state(now, &self.upstreams[*upstream].id);
                !matches!(state, State::Closed(..))
            };
            let open: Vec<_> = (0..self.upstreams.len()).filter(is_open).collect();
            if open.is_empty() {
                let ids = self.upstreams.iter().map(|upstream| &upstream.id);
                let throttle = &mut self.hosts[host].throttle;
                let after = throttle.schedule_return(now, &"service".into(), ids);
                self.refused.push((self.now, after));
                return;
            }
            let upstream = open[self.random.random_range(0..open.len())];
            let id = self.upstreams[upstream].id.clone();
            match self.hosts[host].throttle.acquire(now, &id) {
                Step::Send => return self.send(host, upstream),
                Step::Closed => {}
                Step::Ask(granter, acquire) => {
                    let granter = self.hosts.iter().position(|other| other.id == granter);
                    let granter = granter.expect("a known host");
                    self.numbers += 1;
                    self.asked += 1;
                    let call = self.numbers;
                    self.hosts[host].calls.insert(call);
                    let silence = Event::Silence {
                        asker: host,
                        granter,
                        call,
                    };
                    self.schedule(host, SILENCE, silence);
                    if self.reach(host, granter) {
                        let delay = self.delay();
                        let ask = Event::Ask {
                            asker: host,
                            granter,
                            upstream,
                            acquire,
                            call,
                        };
                        self.schedule(granter, delay, ask);
                    }
                    return;
                }
            }
        }
    }

    fn send(&mut self, host: usize, upstream: usize) {
        self.sent += 1;
        let (delay, sent_at) = (self.delay(), self.clock(host));
        let arrival = Event::Arrival {
            host,
            upstream,
            sent_at,
        };
        self.schedule(host, delay, arrival);
    }

    /// Records since when a host has known each rate.
    fn note_knowledge(&mut self, host: usize) {
        let now = self.clock(host);
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let host = &mut self.hosts[host];
            match host.throttle.state(now, &upstream.id) {
                State::Free => {
                    host.knows_since.remove(&index);
                }
                State::Limited(_) | State::Closed(..) => {
                    host.knows_since.entry(index).or_insert(self.now);
                }
            }
        }
    }
}

fn weighted(id: &HostId) -> WeightedHost {
    WeightedHost {
        host: id.clone(),
        weight: 1,
    }
}

/// Returns the host at which an event happens.
fn owner(event: &Event) -> usize {
    match event {
        Event::Round(host) | Event::Request(host) | Event::Publish(host) => *host,
        Event::Ask { granter, .. } => *granter,
        Event::Answer { asker, .. } | Event::Silence { asker, .. } => *asker,
        Event::Arrival { host, .. } | Event::Response { host, .. } => *host,
        Event::Learn { host, .. } => *host,
    }
}

impl Upstream {
    /// Returns the most arrivals of one span of 4 s between these times, from hosts that had known
    /// the rate for half a second.
    pub fn busiest_span(&self, from: Duration, to: Duration) -> usize {
        let counted = self
            .arrivals
            .iter()
            .filter(|(at, has_known)| *has_known && (from..to).contains(at));
        let times: Vec<_> = counted.map(|(at, _)| *at).collect();
        let mut start = 0;
        let mut most = 0;
        for (index, at) in times.iter().enumerate() {
            while times[start] + seconds(4) <= *at {
                start += 1;
            }
            most = most.max(index + 1 - start);
        }
        most
    }

    /// Returns the longest time without an arrival between these times.
    pub fn longest_gap(&self, from: Duration, to: Duration) -> Duration {
        let times = self.arrivals.iter().map(|(at, _)| *at);
        let within = times.filter(|at| (from..to).contains(at));
        let mut last = from;
        let gaps = within.chain([to]).map(|at| {
            let gap = at - last;
            last = at;
            gap
        });
        gaps.max().unwrap_or_default()
    }

    /// Returns the number of all arrivals between these times.
    pub fn count(&self, from: Duration, to: Duration) -> usize {
        let within = self
            .arrivals
            .iter()
            .filter(|(at, _)| (from..to).contains(at));
        within.count()
    }
}
