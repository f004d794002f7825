//! A fleet, its store and upstreams that become cold, on a simulated clock.

use {
    marigoldroute_core::{
        admission::{Admission, ColdSettings, Stage, Standing},
        fleet::Census,
        forward::ColdStart,
        id::{HostId, UpstreamId},
        throttle::{Process, Throttle},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
};

/// Time between two renewals of a host's row.
const RENEWAL: Duration = millis(3_000);
/// Time between two entries of an upstream.
const HEARTBEAT: Duration = millis(1_200);
/// Time for which an upstream is cold after its start.
pub const COLD_TIME: Duration = millis(3_000);
/// Requests per second that a cold upstream takes.
pub const RATE: f64 = 5.9;
/// Requests that a cold upstream may get in one second.
const BOUND: f64 = RATE * 1.5 + 5.0;

pub const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host renews its row and counts the hosts.
    Round(usize),
    /// A host reads the list of upstreams.
    Read(usize),
    /// A caller sends a request to a host.
    Request(usize),
    /// A host sends a request that it has assigned.
    Send {
        host: usize,
        upstream: usize,
        started_ms: u64,
        assigned_at: Duration,
    },
    /// An upstream renews its entry.
    Heartbeat(usize),
}

/// What an upstream states in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    started_ms: u64,
    left: Duration,
    version: u64,
}

pub struct Host {
    id: HostId,
    row: Arc<str>,
    admission: Admission,
    census: Census,
    process: usize,
    pub is_up: bool,
    pub reaches_store: bool,
    /// Longest delay of a read of the list.
    pub lag: Duration,
    frozen_until: Duration,
    known: BTreeMap<usize, Entry>,
    /// Version of the list that it has read.
    read_version: u64,
}

pub struct Upstream {
    id: UpstreamId,
    started_ms: u64,
    is_up: bool,
    cold: (Duration, Duration),
    /// Requests that were sent and arrived while it was cold.
    cold_arrivals: Vec<(Duration, Duration)>,
}

impl Upstream {
    /// Returns the most requests that were both sent and received within one second.
    pub fn busiest_second(&self) -> usize {
        let windows = self.cold_arrivals.iter().map(|(from, _)| {
            let until = *from + millis(1_000);
            let within = self
                .cold_arrivals
                .iter()
                .filter(|(sent, arrived)| sent >= from && *arrived < until);
            within.count()
        });
        windows.max().unwrap_or(0)
    }

    /// Returns how many requests it got while it was cold.
    pub fn cold_count(&self) -> usize {
        self.cold_arrivals.len()
    }
}

pub struct World {
    pub now: Duration,
    pub random: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, usize, Event)>>,
    numbers: u64,
    pub hosts: Vec<Host>,
    pub upstreams: Vec<Upstream>,
    entries: BTreeMap<usize, Entry>,
    /// Upstreams whose entries have changed, by the version of the last change.
    changes: BTreeMap<u64, usize>,
    rows: BTreeMap<Arc<str>, (u64, HostId)>,
    version: u64,
    pub is_store_up: bool,
    /// Whether hosts keep to what they know about cold upstreams.
    is_limited: bool,
    /// Whether requests prefer the upstreams that are cold, as if they were idle.
    pub is_greedy: bool,
    /// Requests a second of all hosts.
    load: f64,
    pub refused: usize,
}

impl World {
    pub fn new(seed: u64, hosts: usize, upstreams: usize, load: f64, is_limited: bool) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            numbers: 0,
            hosts: Vec::new(),
            upstreams: Vec::new(),
            entries: BTreeMap::new(),
            changes: BTreeMap::new(),
            rows: BTreeMap::new(),
            version: 0,
            is_store_up: true,
            is_limited,
            is_greedy: true,
            load,
            refused: 0,
        };
        for index in 0..upstreams {
            world.upstreams.push(Upstream {
                id: format!("u{index}").into(),
                started_ms: 1,
                is_up: true,
                cold: (Duration::ZERO, Duration::ZERO),
                cold_arrivals: Vec::new(),
            });
            world.write_entry(index);
            let first = world.random_time(HEARTBEAT);
            world.schedule(0, first, Event::Heartbeat(index));
        }
        (0..hosts).for_each(|_| world.join());
        world
    }

    fn schedule(&mut self, process: usize, after: Duration, event: Event) {
        self.numbers += 1;
        let entry = (self.now + after, self.numbers, process, event);
        self.events.push(Reverse(entry));
    }

    fn schedule_at_host(&mut self, host: usize, after: Duration, event: Event) {
        self.schedule(self.hosts[host].process, after, event);
    }

    pub fn random_time(&mut self, below: Duration) -> Duration {
        below.mul_f64(self.random.random_range(0.0..1.0))
    }

    fn admission(&self, id: &HostId) -> Admission {
        let settings = ColdSettings {
            overage: 1.5,
            tolerance: 5.0,
        };
        let throttle = Throttle::new(id.clone(), RENEWAL * 2);
        let mut admission = Admission::new(id.clone(), throttle, settings);
        let start = ColdStart {
            time: COLD_TIME,
            rate: RATE,
        };
        if self.is_limited {
            let services = [("s".into(), start)];
            admission.cold_starts().update_services(self.now, services);
        }
        admission
    }

    /// Adds a host to the fleet.
    pub fn join(&mut self) {
        let index = self.hosts.len();
        let id: HostId = format!("h{index}").into();
        self.hosts.push(Host {
            admission: self.admission(&id),
            id,
            row: "".into(),
            census: Census::new(RENEWAL),
            process: 0,
            is_up: false,
            reaches_store: true,
            lag: millis(200),
            frozen_until: Duration::ZERO,
            known: BTreeMap::new(),
            read_version: 0,
        });
        self.start(index);
    }

    /// Starts a process of a host; the one before, if any, has ended.
    pub fn start(&mut self, index: usize) {
        let admission = self.admission(&self.hosts[index].id);
        let host = &mut self.hosts[index];
        host.process += 1;
        host.is_up = true;
        host.admission = admission;
        host.census = Census::new(RENEWAL);
        host.row = format!("{}.{}", host.id, host.process).into();
        host.known.clear();
        host.read_version = 0;
        self.read(index);
        let first = self.random_time(millis(300));
        self.schedule_at_host(index, first, Event::Round(index));
        self.schedule_at_host(index, first, Event::Read(index));
        let first = first + self.pause();
        self.schedule_at_host(index, first, Event::Request(index));
    }

    /// Ends the process of a host without a stop.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].is_up = false;
        self.hosts[index].process += 1;
    }

    pub fn freeze(&mut self, index: usize, time: Duration) {
        self.hosts[index].frozen_until = self.now + time;
    }

    /// Ends all faults but those of the upstreams, and starts the hosts that are down.
    pub fn heal(&mut self) {
        self.is_store_up = true;
        for index in 0..self.hosts.len() {
            self.hosts[index].reaches_store = true;
            if !self.hosts[index].is_up {
                self.start(index);
            }
        }
    }

    /// Ends the processes of the first upstreams; their entries go at once.
    pub fn stop_upstreams(&mut self, count: usize) {
        for index in 0..count {
            self.upstreams[index].is_up = false;
            self.record_change(index);
            self.entries.remove(&index);
        }
    }

    /// Starts new, cold processes of the first upstreams.
    pub fn return_upstreams(&mut self, count: usize) {
        for index in 0..count {
            let upstream = &mut self.upstreams[index];
            upstream.started_ms += 1;
            upstream.is_up = true;
            upstream.cold = (self.now, self.now + COLD_TIME);
            self.write_entry(index);
        }
    }

    /// Makes running upstreams cold, which their next entries tell.
    pub fn chill(&mut self, count: usize) {
        for upstream in &mut self.upstreams[..count] {
            upstream.cold = (self.now, self.now + COLD_TIME);
        }
    }

    fn record_change(&mut self, index: usize) {
        self.version += 1;
        if let Some(entry) = self.entries.get(&index) {
            self.changes.remove(&entry.version);
        }
        self.changes.insert(self.version, index);
    }

    fn write_entry(&mut self, index: usize) {
        self.record_change(index);
        let upstream = &self.upstreams[index];
        let entry = Entry {
            started_ms: upstream.started_ms,
            left: upstream.cold.1.saturating_sub(self.now),
            version: self.version,
        };
        self.entries.insert(index, entry);
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Duration) {
        while self.events.peek().is_some_and(|event| event.0.0 <= end) {
            let Some(Reverse((at, number, process, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            if let Event::Heartbeat(index) = event {
                if self.upstreams[index].is_up && self.is_store_up {
                    self.write_entry(index);
                }
                self.schedule(0, HEARTBEAT, event);
                continue;
            }
            let host = match event {
                Event::Round(host) | Event::Read(host) | Event::Request(host) => host,
                Event::Send { host, .. } => host,
                Event::Heartbeat(_) => continue,
            };
            if self.hosts[host].process != process {
                continue;
            }
            let thaw = self.hosts[host].frozen_until;
            if thaw > at {
                self.events.push(Reverse((thaw, number, process, event)));
                continue;
            }
            match event {
                Event::Round(_) => self.round(host),
                Event::Read(_) => {
                    self.read(host);
                    let lag = self.hosts[host].lag;
                    let next = millis(5) + self.random_time(lag);
                    self.schedule_at_host(host, next, event);
                }
                Event::Request(_) => {
                    self.request(host);
                    let pause = self.pause();
                    self.schedule_at_host(host, pause, event);
                }
                Event::Send {
                    upstream,
                    started_ms,
                    assigned_at,
                    ..
                } => self.send(host, upstream, started_ms, assigned_at),
                Event::Heartbeat(_) => {}
            }
        }
        self.now = end;
    }

    fn pause(&mut self) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let per_host = self.load / self.hosts.len() as f64;
        Duration::from_secs_f64(-uniform.ln() / per_host)
    }

    fn round(&mut self, index: usize) {
        self.schedule_at_host(index, RENEWAL, Event::Round(index));
        let host = &mut self.hosts[index];
        if !self.is_store_up || !host.reaches_store {
            return;
        }
        self.version += 1;
        self.rows
            .insert(host.row.clone(), (self.version, host.id.clone()));
        let versions = self.rows.iter().map(|(key, row)| (key.clone(), row.0));
        host.census.update(self.now, &versions.collect::<Vec<_>>());
        let live = self.rows.iter();
        let live = live.filter(|(key, _)| host.census.is_live(self.now, key));
        let mut ids: Vec<_> = live.map(|(_, (_, id))| id.clone()).collect();
        ids.sort();
        ids.dedup();
        host.admission.cold_starts().update_hosts(self.now, ids);
    }

    /// Applies what has changed on the list of upstreams since a host has read it.
    fn read(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !self.is_store_up || !host.reaches_store {
            return;
        }
        let now = self.now;
        let unread = self.changes.range(host.read_version + 1..);
        host.read_version = self.version;
        for (_, id) in unread {
            let Some(entry) = self.entries.get(id) else {
                host.known.remove(id);
                host.admission.leave(now, &self.upstreams[*id].id);
                host.admission.cold_starts().leave(&self.upstreams[*id].id);
                continue;
            };
            let known = host.known.insert(*id, *entry);
            let process = Process {
                upstream: self.upstreams[*id].id.clone(),
                started_ms: entry.started_ms,
            };
            let cold_starts = host.admission.cold_starts();
            match known {
                Some(known) if known.version == entry.version => {}
                Some(known) if known.started_ms == entry.started_ms => {
                    cold_starts.extend(now, &process, entry.left);
                }
                _ => {
                    cold_starts.join(now, &process, &"s".into(), entry.left);
                    host.admission.join(now, &process, &"z".into());
                }
            }
        }
        host.admission.cold_starts().record_list();
    }

    fn request(&mut self, host: usize) {
        let now = self.now;
        let admission = &mut self.hosts[host].admission;
        let stage = Stage::Choose { limit: u32::MAX };
        let is_open = |index: &usize| {
            let standing = admission.standing(now, &self.upstreams[*index].id, stage);
            standing == Standing::Open
        };
        let mut open: Vec<_> = (0..self.upstreams.len()).filter(is_open).collect();
        let is_cold = |index: &usize| self.upstreams[*index].cold.1 > now;
        if self.is_greedy && open.iter().any(is_cold) {
            open.retain(is_cold);
        }
        if open.is_empty() {
            self.refused += 1;
            return;
        }
        let upstream = open[self.random.random_range(0..open.len())];
        let process = admission.begin(now, &self.upstreams[upstream].id);
        let send = Event::Send {
            host,
            upstream,
            started_ms: process.expect("a known upstream").started_ms,
            assigned_at: now,
        };
        // Some requests wait for a connection.
        let wait = match self.random.random_range(0..20) {
            0 => self.random_time(millis(900)),
            _ => self.random_time(millis(10)),
        };
        self.schedule_at_host(host, wait, send);
    }

    fn send(&mut self, host: usize, upstream: usize, started_ms: u64, assigned_at: Duration) {
        let stage = Stage::Send {
            started_ms,
            has_permit: false,
            assigned_at,
        };
        let arrived_at = self.now + millis(1) + self.random_time(millis(3));
        let target = &mut self.upstreams[upstream];
        let admission = &mut self.hosts[host].admission;
        let standing = admission.standing(self.now, &target.id, stage);
        admission.end(&target.id);
        if standing != Standing::Open {
            self.request(host);
            return;
        }
        // Another process turns the request away, and it does not count.
        if target.started_ms == started_ms && (target.cold.0..target.cold.1).contains(&arrived_at) {
            target.cold_arrivals.push((self.now, arrived_at));
        }
    }
}

/// Returns whether an upstream may get this many requests in a second while it is cold.
pub fn is_borne(count: usize) -> bool {
    count as f64 <= BOUND
}
