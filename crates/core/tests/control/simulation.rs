//! Hosts, store, network and operators in simulated time.

use {
    super::{
        host::{self, Process, id, index},
        network::EventQueue,
        operator::Operator,
        oracle::Oracle,
        store::Store,
    },
    marigoldroute_core::{
        config::{
            Action, Change, Edit, HEAD_KEY, Kind, LOG_PREFIX, Log, Packet, Proposal, Read, Rebase,
            Role, SNAPSHOT_KEY, Setting, Step, Submission, Value, hash_key,
        },
        fleet::{Gossip, Kind as Message, ListedHost, Listing, Observation, Status},
        id::UpstreamId,
        table::{Row, Transaction},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

pub const HOSTS: usize = 6;
pub const WORKSPACES: usize = 4;
const SET_UP_VERSIONS: u64 = 8;
const TICK: Duration = Duration::from_millis(200);

/// An injected defect, to show that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A resumed host continues with an earlier state of its log.
    Revert,
    /// A version is applied under another number.
    WrongContent,
    /// The store drops accepted versions.
    LoseVersion,
    /// An operator who gets no answer submits the change as a new one.
    LostAnswerIsNewRequest,
    /// Hosts answer no question about versions, and do not push any.
    NoRelay,
    /// A host takes work from its start.
    WorkBeforeCatchUp,
    /// Reports on upstreams are dropped.
    NoReports,
    /// Each report on an upstream arrives under several names.
    ForgedReporters,
}

#[derive(Clone)]
enum Event {
    Packet(usize, usize, Packet),
    Gossip(usize, usize, Gossip),
    /// Answer of the store to an incarnation of a host.
    Answer(usize, u64, Read, Option<Vec<Row>>),
    /// A commit that takes effect after its answer was lost.
    Late(Transaction),
}

/// A host and its process, if that runs.
#[derive(Default)]
pub struct Slot {
    pub process: Option<Process>,
    pub is_paused: bool,
    incarnation: u64,
}

pub struct Simulation {
    pub now: Duration,
    pub store: Store,
    pub hosts: Vec<Slot>,
    pub oracle: Oracle,
    events: EventQueue<Event>,
    operators: Vec<Operator>,
    random: SmallRng,
    seed: u64,
    count: u64,
    defect: Option<Defect>,
}

impl Simulation {
    pub fn new(seed: u64, defect: Option<Defect>) -> Self {
        let mut simulation = Self {
            now: Duration::from_secs(100),
            store: Store::default(),
            hosts: (0..HOSTS).map(|_| Slot::default()).collect(),
            oracle: Oracle::default(),
            events: EventQueue::new(),
            operators: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            seed,
            count: 0,
            defect,
        };
        simulation.set_up();
        (0..HOSTS).for_each(|host| simulation.start(host));
        simulation
    }

    /// Accepts the first versions: workspaces, each with a key, and changes of their shares. There
    /// are more versions than the hosts keep, so that a host that starts needs a snapshot.
    fn set_up(&mut self) {
        let edits = (0..WORKSPACES).flat_map(|workspace| {
            let path: std::sync::Arc<str> = format!("w{workspace}").into();
            let hash = hash_key(&path).into();
            let values = [
                (Setting::Budget, Value::Text("b".into())),
                (Setting::OutputLimit, Value::Tokens(1)),
                (Setting::ApiKeys, Value::Hashes(vec![hash])),
                (Setting::Share, Value::Weight(1)),
            ];
            let kind = Kind::Workspace;
            let add = Edit::Add {
                path: path.clone(),
                kind,
            };
            let set = values.map(|(setting, value)| Edit::Set {
                path: path.clone(),
                setting: setting.to_string().into(),
                value,
            });
            [add].into_iter().chain(set)
        });
        let mut log = Log::new(host::settings(), self.now);
        self.accept("set-up", edits.collect(), &mut log);
        for version in 0..SET_UP_VERSIONS {
            let share = share(version as usize % WORKSPACES, version + 2);
            self.accept(&format!("earlier{version}"), vec![share], &mut log);
        }
    }

    /// Accepts a change before the hosts start.
    fn accept(&mut self, request: &str, edits: Vec<Edit>, log: &mut Log) {
        let submission = submission(request.into(), edits, log.version(), Rebase::Never);
        let mut proposal = Proposal::new(submission);
        let head = self.store.get(self.now, HEAD_KEY).flatten();
        let rows: Vec<_> = head.into_iter().collect();
        let Ok(Step::Commit(transaction)) = proposal.decide(&rows, log) else {
            panic!("{request} was not accepted");
        };
        self.store.apply(self.now, &transaction);
        log.apply_rows(self.now, &self.store.rows(LOG_PREFIX));
        self.update_oracle();
    }

    pub fn start(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        slot.incarnation += 1;
        let mut process = Process::new(host, slot.incarnation, self.seed, self.now);
        let hosts = (0..HOSTS).map(|host| ListedHost {
            id: id(host),
            zone: format!("z{}", host % 3).into(),
            address: format!("127.0.0.1:{host}").into(),
        });
        process.view.update_listing(Listing {
            hosts: hosts.collect(),
            leaving: [].into(),
        });
        slot.process = Some(process);
        slot.is_paused = false;
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].is_paused = false;
    }

    pub fn pause(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        slot.is_paused = true;
    }

    pub fn resume(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        slot.is_paused = false;
        if self.defect == Some(Defect::Revert)
            && let Some(process) = &mut slot.process
        {
            process.revert();
        }
    }

    pub fn faults(&mut self) -> &mut super::network::Faults {
        &mut self.events.faults
    }

    /// Submits a change of a workspace's share, based on the version of a host.
    pub fn submit(&mut self, host: usize, workspace: usize, rebase: Rebase) {
        let Some(process) = &self.hosts[host].process else {
            return;
        };
        self.count += 1;
        let edit = share(workspace, SET_UP_VERSIONS + self.count + 2);
        let request = format!("r{}", self.count);
        let base = process.log.version();
        let submission = submission(request, vec![edit], base, rebase);
        self.operators.push(Operator::new(submission));
    }

    /// Repeats the request of the last operator, as after a lost answer.
    pub fn repeat(&mut self) {
        if let Some(operator) = self.operators.last() {
            let submission = operator.submission.clone();
            self.operators.push(Operator::new(submission));
        }
    }

    pub fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            self.deliver();
            self.run_operators();
            (0..HOSTS).for_each(|host| self.tick(host));
            self.maintain();
            self.check();
        }
    }

    fn deliver(&mut self) {
        while let Some((at, event)) = self.events.next(self.now) {
            match event {
                Event::Late(transaction) => {
                    self.store.apply(at, &transaction);
                    self.update_oracle();
                }
                Event::Packet(from, to, packet) => self.deliver_packet(at, (from, to), packet),
                Event::Gossip(from, to, gossip) => self.deliver_gossip(at, (from, to), gossip),
                Event::Answer(host, incarnation, read, rows) => {
                    self.deliver_answer(at, (host, incarnation), &read, rows);
                }
            }
        }
    }

    /// Returns the process of a host, if it runs; an event for a paused host is deferred.
    fn recipient(&mut self, host: usize, event: &Event) -> Option<&mut Process> {
        if self.hosts[host].is_paused {
            self.events.add(self.now + TICK, event.clone());
            return None;
        }
        self.hosts[host].process.as_mut()
    }

    fn deliver_packet(&mut self, at: Duration, (from, to): (usize, usize), packet: Packet) {
        let event = Event::Packet(from, to, packet.clone());
        let defect = self.defect;
        let Some(process) = self.recipient(to, &event) else {
            return;
        };
        let packet = if defect == Some(Defect::WrongContent) {
            super::defect::renumber(packet, process.log.version())
        } else {
            packet
        };
        let answer = process.packet(at, from, packet);
        if let Some(answer) = answer.filter(|_| defect != Some(Defect::NoRelay)) {
            let event = Event::Packet(to, from, answer);
            self.events.send(at, (to, from), event, &mut self.random);
        }
    }

    fn deliver_gossip(&mut self, at: Duration, (from, to): (usize, usize), gossip: Gossip) {
        let event = Event::Gossip(from, to, gossip.clone());
        let defect = self.defect;
        let Some(process) = self.recipient(to, &event) else {
            return;
        };
        let gossip = match defect {
            Some(Defect::NoReports) => super::defect::drop_reports(gossip),
            Some(Defect::ForgedReporters) => super::defect::forge_reports(gossip),
            _ => gossip,
        };
        if let Some(answer) = process.gossip(at, from, &gossip) {
            let event = Event::Gossip(to, from, answer);
            self.events.send(at, (to, from), event, &mut self.random);
        }
    }

    fn deliver_answer(
        &mut self,
        at: Duration,
        to: (usize, u64),
        read: &Read,
        rows: Option<Vec<Row>>,
    ) {
        let event = Event::Answer(to.0, to.1, read.clone(), rows.clone());
        let process = self.recipient(to.0, &event);
        let Some(process) = process.filter(|process| process.incarnation == to.1) else {
            return;
        };
        let Some(rows) = rows else {
            process.log.record_store_failure();
            return;
        };
        match read {
            Read::Head => {
                let head = rows
                    .first()
                    .map(|row| serde_json::from_str(&row.value).unwrap());
                let head: marigoldroute_core::config::Head = head.unwrap_or_default();
                process.answered(head.version);
                process.log.apply_head(at, rows.first());
            }
            Read::Rows { .. } => process.log.apply_rows(at, &rows),
            Read::Pointer => process.log.apply_pointer(at, rows.first()),
            Read::Parts { .. } => process.log.apply_parts(at, &rows),
        }
    }

    fn run_operators(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        let slot = &self.hosts[host];
        let Some(process) = slot.process.as_ref().filter(|_| !slot.is_paused) else {
            return;
        };
        for operator in &mut self.operators {
            let late = operator.attempt(self.now, process, &mut self.store, self.defect);
            if let Some(transaction) = late {
                let delay = Duration::from_millis(self.random.random_range(1..4_000));
                self.events.add(self.now + delay, Event::Late(transaction));
            }
            self.oracle.update(&mut self.store);
        }
    }

    fn tick(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        let Some(process) = slot.process.as_mut().filter(|_| !slot.is_paused) else {
            return;
        };
        let role = match process.view.is_poller() {
            true => Role::Poller,
            false => Role::Follower,
        };
        let gossip = process.view.tick(self.now, &mut process.random);
        let peers = process.view.peers();
        let actions = process
            .log
            .tick(self.now, role, &peers, &mut process.random);
        let incarnation = process.incarnation;
        for (to, gossip) in gossip {
            assert!(gossip.kind() != Message::Answer);
            let to = index(&to);
            let event = Event::Gossip(host, to, gossip);
            self.events
                .send(self.now, (host, to), event, &mut self.random);
        }
        for action in actions {
            match action {
                Action::Read(read) => self.read(host, incarnation, read),
                Action::Send(..) if self.defect == Some(Defect::NoRelay) => {}
                Action::Send(to, packet) => {
                    let to = index(&to);
                    let event = Event::Packet(host, to, packet);
                    self.events
                        .send(self.now, (host, to), event, &mut self.random);
                }
            }
        }
    }

    fn read(&mut self, host: usize, incarnation: u64, read: Read) {
        let rows = self.store.read(self.now, &read);
        let is_hidden = self.defect == Some(Defect::NoRelay) && matches!(read, Read::Rows { .. });
        let rows = rows.filter(|_| !is_hidden);
        let delay = Duration::from_millis(self.random.random_range(1..100));
        let event = Event::Answer(host, incarnation, read, rows);
        self.events.add(self.now + delay, event);
    }

    /// Writes a snapshot and removes old versions, from a random host.
    fn maintain(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        let Some(process) = &self.hosts[host].process else {
            return;
        };
        let pointer = self.store.get(self.now, SNAPSHOT_KEY).flatten();
        let rows = self.store.rows(LOG_PREFIX);
        let snapshot = process.log.snapshot(pointer.as_ref());
        let trim = process.log.trim(pointer.as_ref(), &rows);
        for transaction in [snapshot, trim].into_iter().flatten() {
            self.store.commit(self.now, &transaction);
        }
    }

    fn update_oracle(&mut self) {
        self.oracle.update(&mut self.store);
    }

    fn check(&mut self) {
        if self.defect == Some(Defect::LoseVersion) {
            super::defect::lose_version(&mut self.store, self.now);
        }
        self.update_oracle();
        for slot in &mut self.hosts {
            if let Some(process) = slot.process.as_mut().filter(|_| !slot.is_paused) {
                process.check(self.now, &self.oracle, self.defect);
            }
        }
        for operator in &self.operators {
            operator.check(&self.oracle, &self.operators);
        }
    }

    /// Ends every fault and checks that all hosts have caught up and take work after a bounded
    /// number of ticks.
    pub fn settle(&mut self) {
        const FINISH_TICKS: usize = 50;
        const CATCH_UP_TICKS: usize = 50;
        self.events.faults = super::network::Faults::default();
        self.store.faults = super::store::Faults::default();
        for host in 0..HOSTS {
            self.resume(host);
            if self.hosts[host].process.is_none() {
                self.start(host);
            }
        }
        self.run(FINISH_TICKS);
        let newest = self.oracle.newest();
        self.run(CATCH_UP_TICKS);
        for slot in &self.hosts {
            let process = slot.process.as_ref().unwrap();
            assert!(
                process.log.version() >= newest,
                "a reachable host is behind"
            );
            assert_eq!(
                process.log.check_ready(self.now),
                Ok(()),
                "a reachable host takes no work"
            );
        }
    }

    /// Checks that every host knows the version of every other. Hosts that were cut off are found
    /// again through the platform's list, one in ten seconds.
    pub fn check_progress(&mut self) {
        const REJOIN_TICKS: usize = 300;
        self.run(REJOIN_TICKS);
        let newest = self.oracle.newest();
        for slot in &self.hosts {
            let progress = slot.process.as_ref().unwrap().view.progress(newest);
            assert_eq!(progress.applied.len(), HOSTS, "{progress:?}");
        }
    }

    /// One host observes that an upstream is leaving; then no host sends it new work.
    pub fn check_leaving(&mut self, observer: usize) {
        const SPREAD_TICKS: usize = 15;
        let upstream = self.new_upstream("leaving");
        self.observe(observer, &upstream, Observation::Leaving);
        self.run(SPREAD_TICKS);
        for slot in &self.hosts {
            let process = slot.process.as_ref().unwrap();
            let status = process.view.status(self.now, &upstream);
            assert_eq!(status, Status::Leaving, "a leaving upstream gets new work");
        }
    }

    /// One host cannot reach an upstream; the others continue to use it.
    pub fn check_lone_report(&mut self, observer: usize) {
        const SPREAD_TICKS: usize = 15;
        const FAILURES: usize = 3;
        let upstream = self.new_upstream("failing");
        for _ in 0..FAILURES {
            self.observe(observer, &upstream, Observation::Failure);
        }
        self.run(SPREAD_TICKS);
        for (host, slot) in self.hosts.iter().enumerate() {
            let process = slot.process.as_ref().unwrap();
            let expected = if host == observer {
                Status::Failing
            } else {
                Status::Up
            };
            let status = process.view.status(self.now, &upstream);
            assert_eq!(
                status, expected,
                "one host's report decides for host {host}"
            );
        }
    }

    fn new_upstream(&mut self, name: &str) -> UpstreamId {
        self.count += 1;
        format!("{name}{}", self.count).into()
    }

    fn observe(&mut self, host: usize, upstream: &UpstreamId, observation: Observation) {
        let process = self.hosts[host].process.as_mut().unwrap();
        process.view.observe(self.now, upstream, observation);
    }
}

fn share(workspace: usize, weight: u64) -> Edit {
    Edit::Set {
        path: format!("w{workspace}").into(),
        setting: Setting::Share.to_string().into(),
        value: Value::Weight(weight),
    }
}

fn submission(request: String, edits: Vec<Edit>, base: u64, rebase: Rebase) -> Submission {
    Submission {
        change: Change {
            edits,
            force: false,
        },
        author: "operator".into(),
        request: request.into(),
        time_ms: 0,
        base,
        rebase,
    }
}
