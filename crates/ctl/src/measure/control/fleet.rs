//! A simulated fleet.

use {
    super::node::{Node, Output},
    bytes::BytesMut,
    marigoldroute_core::{
        config::{
            Change, Edit, HEAD_KEY, Kind, LOG_PREFIX, Log, Proposal, Read, Rebase, Setting, Step,
            Submission, Value,
        },
        fleet::{Host, ListedHost, Listing, Observation, Status},
        id::{HostId, UpstreamId, Version},
        table::{Memory, Row},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

const ZONES: usize = 6;
const ZONES_PER_REGION: usize = 3;
const TICK: Duration = Duration::from_millis(200);
const STORE_TIME: Duration = Duration::from_millis(10);
const NEAR_TIME: Duration = Duration::from_millis(1);
const FAR_TIME: Duration = Duration::from_millis(30);
/// Steps in which times are measured.
const FINE: Duration = Duration::from_millis(20);
pub(super) const COARSE: Duration = Duration::from_millis(500);
/// Times longer than this are reported as this.
const TIME_LIMIT: Duration = Duration::from_secs(300);

enum Event {
    Tick(usize),
    Frame(usize, BytesMut),
    Answer(usize, Read, Vec<Row>),
}

/// Traffic and load over a time.
pub(super) struct Usage {
    pub(super) mean_bytes: f64,
    pub(super) peak_bytes: f64,
    pub(super) core_percent: f64,
}

/// Hosts, network and table service on a simulated clock.
pub(super) struct Fleet {
    pub(super) loss_percent: u64,
    now: Duration,
    nodes: Vec<Node>,
    indexes: HashMap<HostId, usize>,
    store: Memory,
    /// The operator's own copy of the log.
    log: Log,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    is_cut: bool,
    random: SmallRng,
    upstreams: usize,
}

impl Fleet {
    pub(super) fn new(hosts: usize, upstreams: usize, seed: u64) -> Self {
        let now = Duration::from_secs(1);
        let mut fleet = Self {
            loss_percent: 0,
            now,
            nodes: Vec::with_capacity(hosts),
            indexes: HashMap::new(),
            store: Memory::default(),
            log: Log::new(Default::default(), now),
            events: BTreeMap::new(),
            count: 0,
            is_cut: false,
            random: SmallRng::seed_from_u64(seed),
            upstreams,
        };
        fleet.accept(set_up(upstreams));
        let listing = Listing {
            hosts: (0..hosts).map(listed).collect(),
            leaving: BTreeSet::new(),
        };
        for index in 0..hosts {
            let seed = fleet.random.random();
            fleet
                .nodes
                .push(Node::new(host(index), listing.clone(), seed, now));
            fleet.indexes.insert(id(index), index);
            let offset = fleet.random.random_range(Duration::ZERO..TICK);
            fleet.add(now + offset, Event::Tick(index));
        }
        fleet
    }

    fn add(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// Runs for a time.
    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until something holds on the whole fleet, which is looked at after each `step`;
    /// returns the seconds that it took.
    pub(super) fn time(&mut self, step: Duration, holds: impl Fn(&Self) -> bool) -> f64 {
        let start = self.now;
        while !holds(self) && self.now < start + TIME_LIMIT {
            self.run(step);
        }
        (self.now - start).as_secs_f64()
    }

    fn step(&mut self, end: Duration) -> bool {
        let Some(entry) = self.events.first_entry() else {
            return false;
        };
        if entry.key().0 > end {
            return false;
        }
        let ((at, _), event) = entry.remove_entry();
        self.now = at;
        let (index, outputs) = match event {
            Event::Tick(index) => {
                self.add(at + TICK, Event::Tick(index));
                (index, self.nodes[index].tick(at))
            }
            Event::Frame(index, bytes) => (index, self.nodes[index].receive(at, bytes)),
            Event::Answer(index, read, rows) => (index, self.nodes[index].answer(at, &read, &rows)),
        };
        for output in outputs {
            self.output(index, output);
        }
        true
    }

    fn output(&mut self, from: usize, output: Output) {
        match output {
            Output::Read(read) => {
                let rows = match &read {
                    Read::Head | Read::Pointer => {
                        self.store.get(read.key()).cloned().into_iter().collect()
                    }
                    Read::Rows { after, limit } | Read::Parts { after, limit, .. } => {
                        self.store.scan(read.key(), after, *limit)
                    }
                };
                self.add(self.now + STORE_TIME, Event::Answer(from, read, rows));
            }
            Output::Frame(to, bytes) => {
                let Some(to) = self.indexes.get(&to).copied() else {
                    return;
                };
                let is_far = region(from) != region(to);
                let is_lost = self.random.random_range(0..100) < self.loss_percent;
                if is_lost || is_far && self.is_cut {
                    return;
                }
                let time = if is_far { FAR_TIME } else { NEAR_TIME };
                self.add(self.now + time, Event::Frame(to, bytes));
            }
        }
    }

    /// Accepts a change; returns its version.
    fn accept(&mut self, edits: Vec<Edit>) -> Version {
        self.count += 1;
        let mut proposal = Proposal::new(Submission {
            change: Change {
                edits,
                force: false,
            },
            author: "operator".into(),
            request: format!("request-{}", self.count).into(),
            time_ms: 0,
            base: self.log.version(),
            rebase: Rebase::Never,
        });
        let head = self.store.get(HEAD_KEY).cloned();
        let rows: Vec<_> = head.into_iter().collect();
        if let Ok(Step::Commit(transaction)) = proposal.decide(&rows, &self.log) {
            self.store.commit(&transaction);
        }
        let rows = self.store.scan(LOG_PREFIX, "", usize::MAX);
        self.log.apply_rows(self.now, &rows);
        self.log.version()
    }

    fn change(&mut self) -> Version {
        let upstream = self.random.random_range(0..self.upstreams);
        let weight = self.log.version();
        let lot = Value::Labels([("lot".into(), weight.to_string().into())].into());
        self.accept(vec![set(&path(upstream), Setting::Labels, lot)])
    }

    pub(super) fn is_joined(&self) -> bool {
        let newest = self.log.version();
        self.nodes.iter().all(|node| {
            node.log.check_ready(self.now).is_ok()
                && node.view.peers().len() + 1 == self.nodes.len()
                && node.view.progress(newest).behind.is_empty()
        })
    }

    /// Runs for a time with a change every `interval` seconds; returns traffic and load.
    pub(super) fn usage(&mut self, time: Duration, interval: u64) -> Usage {
        let before: Vec<_> = self.nodes.iter().map(|n| (n.bytes, n.busy)).collect();
        for second in 0..time.as_secs() {
            if second % interval == 0 {
                self.change();
            }
            self.run(Duration::from_secs(1));
        }
        let seconds = time.as_secs_f64();
        let after = self.nodes.iter().zip(before);
        let rates: Vec<_> = after
            .map(|(node, (bytes, busy))| {
                let bytes = (node.bytes - bytes) as f64 / seconds;
                (bytes, (node.busy - busy).as_secs_f64() / seconds)
            })
            .collect();
        let count = rates.len() as f64;
        Usage {
            mean_bytes: rates.iter().map(|(bytes, _)| bytes).sum::<f64>() / count,
            peak_bytes: rates.iter().map(|(bytes, _)| *bytes).fold(0.0, f64::max),
            core_percent: rates.iter().map(|(_, busy)| busy).sum::<f64>() / count * 100.0,
        }
    }

    /// Times the spread of what one host sees of a leaving upstream.
    pub(super) fn drain(&mut self) -> f64 {
        self.count += 1;
        let upstream: UpstreamId = format!("leaving{}", self.count).into();
        let observer = self.random.random_range(0..self.nodes.len());
        let now = self.now;
        let view = &mut self.nodes[observer].view;
        view.observe(now, &upstream, Observation::Leaving);
        let time = self.time(FINE, |fleet| {
            let mut nodes = fleet.nodes.iter();
            nodes.all(|node| node.view.status(fleet.now, &upstream) == Status::Leaving)
        });
        self.pause();
        time
    }

    /// Times a version from its acceptance until it is in effect everywhere.
    pub(super) fn version(&mut self) -> f64 {
        let version = self.change();
        let time = self.time(FINE, |fleet| fleet.is_at(version));
        self.pause();
        time
    }

    fn pause(&mut self) {
        let time = Duration::from_millis(self.random.random_range(2_000..4_000));
        self.run(time);
    }

    fn is_at(&self, version: Version) -> bool {
        self.nodes.iter().all(|node| node.log.version() >= version)
    }

    /// Cuts one region off from the other for a time, with changes; returns the seconds until
    /// everybody has the newest version, and until everybody knows everybody.
    pub(super) fn partition(&mut self, time: Duration) -> (f64, f64) {
        self.is_cut = true;
        self.run(time);
        let version = self.change();
        self.is_cut = false;
        let healed = self.time(FINE, |fleet| fleet.is_at(version));
        let rejoined = self.time(COARSE, Self::is_joined);
        (healed, healed + rejoined)
    }
}

fn id(index: usize) -> HostId {
    format!("host-{index:03}").into()
}

fn region(index: usize) -> usize {
    index % ZONES / ZONES_PER_REGION
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn host(index: usize) -> Host {
    Host {
        id: id(index),
        incarnation: 1,
        region: format!("region-{}", region(index)).into(),
        zone: zone(index).into(),
        address: format!("10.0.{}.{}:7400", index / 250, index % 250).into(),
        weight: 1,
    }
}

fn listed(index: usize) -> ListedHost {
    let host = host(index);
    ListedHost {
        id: host.id,
        zone: host.zone,
        address: host.address,
    }
}

fn path(upstream: usize) -> String {
    format!("model/upstream-{upstream:03}")
}

fn set(path: &str, setting: Setting, value: Value) -> Edit {
    Edit::Set {
        path: path.into(),
        setting: setting.to_string().into(),
        value,
    }
}

fn set_up(upstreams: usize) -> Vec<Edit> {
    let add = |path: &str, kind| Edit::Add {
        path: path.into(),
        kind,
    };
    let text = |text: &str| Value::Text(text.into());
    let mut edits = vec![
        add("model", Kind::Model),
        set("", Setting::Region, text("region-0")),
        set("", Setting::Zone, text("zone-0")),
    ];
    for upstream in 0..upstreams {
        let path = path(upstream);
        edits.push(add(&path, Kind::Upstream));
        let url = format!("http://10.1.{}.{}:8000", upstream / 250, upstream % 250);
        edits.push(set(&path, Setting::Url, text(&url)));
    }
    edits
}
