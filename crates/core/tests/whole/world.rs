//! Router processes, store, network, upstreams and callers in simulated time.

use {
    super::{
        host::{EPOCH, Process},
        job::{Claim, Job, Stage},
        message::{Event, Purpose},
        network::EventQueue,
        operator::Operator,
        oracle::{Call, Oracle, Told},
        store::{Outcome, Store},
        upstream::{Kind, Upstream},
    },
    marigoldroute_core::{
        bill::new_request_id,
        budget::reclaim,
        claim::{Attempt, Capability, digest},
        id::{RequestId, UpstreamId},
        table::{Row, Transaction, Verdict},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{cell::RefCell, collections::BTreeMap, sync::Arc, time::Duration},
};

pub const HOSTS: usize = 4;
pub const ENGINES: usize = 4;
pub const UPSTREAMS: usize = ENGINES + 2;
pub const BUDGETS: [&str; 2] = ["hems", "confetti"];
/// Node of the table service and the object store.
pub const STORE: usize = HOSTS;
pub const NODES: usize = HOSTS + 1 + UPSTREAMS;
pub const TICK: Duration = Duration::from_millis(250);
/// Rates of the hosts' clocks in parts per thousand.
const RATES: [u32; HOSTS] = [1_000, 1_020, 985, 1_005];

/// A fault of the wiring, to show that the oracle finds it; one for each guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Holders spend tokens that were not moved from the budget row.
    SkipAccount,
    /// Retries with a key get a request id of their own.
    FreshRequest,
    CutAsComplete,
    /// A request whose answer is lost is taken as refused.
    LostIsNotRun,
    SkipClaim,
    SendToWithdrawn,
    /// A planned stop waits for nothing.
    StopAtOnce,
    /// A planned stop returns no tokens.
    KeepTokens,
    /// Plain services keep no usage records, and their price is billed when the reservation of an
    /// announced request is neither settled nor released in time. The router does this.
    NoServiceRecords,
    /// A resumed host goes on with an older version.
    OlderVersion,
}

#[derive(Default)]
pub struct Slot {
    pub process: Option<Process>,
    pub is_paused: bool,
    incarnation: u64,
    /// Difference of the calendar clock.
    pub skew: Duration,
}

pub struct World {
    pub defect: Option<Defect>,
    pub now: Duration,
    pub store: Store,
    pub objects: BTreeMap<Arc<str>, Vec<u8>>,
    pub are_objects_down: bool,
    pub hosts: Vec<Slot>,
    pub upstreams: Vec<Upstream>,
    pub agenda: EventQueue<Event>,
    pub oracle: Oracle,
    pub operators: Vec<Operator>,
    pub random: SmallRng,
    pub reclaim: reclaim::Settings,
    ticks: u64,
}

thread_local! {
    /// How often the paths of interest were taken, over all cases.
    pub static REACHED: RefCell<BTreeMap<&'static str, u32>> = RefCell::default();
}

/// Paths that the cases must take.
pub const PATHS: [&str; 15] = [
    "complete",
    "not run",
    "ran or unknown",
    "dropped",
    "replay",
    "exhausted",
    "restart elsewhere",
    "resume",
    "settled elsewhere",
    "fence",
    "lost",
    "late",
    "repeated bill",
    "withdrawn",
    // Every host that knew of a finished request died.
    "bill given up",
];

pub fn reach(path: &'static str) {
    assert!(PATHS.contains(&path));
    REACHED.with_borrow_mut(|reached| *reached.entry(path).or_default() += 1);
}

pub fn index(id: &str) -> usize {
    id[1..].parse().expect("a number")
}

pub fn node(upstream: usize) -> usize {
    HOSTS + 1 + upstream
}

pub fn upstream_id(upstream: usize) -> UpstreamId {
    format!("u{upstream}").into()
}

pub fn upstream(id: &str) -> usize {
    index(id)
}

impl World {
    pub fn new(defect: Option<Defect>) -> Self {
        let upstreams = (0..UPSTREAMS).map(|_| Upstream::new());
        let mut world = Self {
            defect,
            now: Duration::from_secs(100),
            store: Store::default(),
            objects: BTreeMap::new(),
            are_objects_down: false,
            hosts: (0..HOSTS).map(|_| Slot::default()).collect(),
            upstreams: upstreams.collect(),
            agenda: EventQueue::new(),
            oracle: Oracle::default(),
            operators: Vec::new(),
            random: SmallRng::seed_from_u64(0),
            reclaim: reclaim::Settings {
                lease: Duration::from_secs(6),
                after: Some(Duration::from_secs(10)),
            },
            ticks: 0,
        };
        world.set_up();
        (0..HOSTS).for_each(|host| world.start(host));
        world.mark_calm(true);
        world.run(16);
        world
    }

    pub fn has(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    pub fn mark_calm(&mut self, is_calm: bool) {
        let since = self.oracle.calm_since.unwrap_or(self.now);
        self.oracle.calm_since = is_calm.then_some(since);
    }

    pub fn start(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        self.hosts[host].incarnation += 1;
        let clock = self.clock(host);
        let mut process = Process::new(host, self.hosts[host].incarnation, clock);
        process.list(0..HOSTS);
        self.hosts[host].process = Some(process);
        self.hosts[host].is_paused = false;
    }

    pub fn incarnation(&self, host: usize) -> Option<u64> {
        let process = self.hosts[host].process.as_ref();
        process.map(|process| process.incarnation)
    }

    fn clock(&self, host: usize) -> Duration {
        self.now * RATES[host] / 1_000
    }

    pub fn is_linked(&self, a: usize, b: usize) -> bool {
        let cut = &self.agenda.faults.cut;
        !cut.contains(&(a, b)) && !cut.contains(&(b, a))
    }

    pub fn delay(&mut self) -> Duration {
        let is_late = self.random.random_range(0..100) < self.agenda.faults.late_percent;
        let longest = if is_late { 8_000 } else { 50 };
        Duration::from_millis(self.random.random_range(1..longest))
    }

    /// Sends a message between hosts; one to the own host always arrives.
    pub fn post(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.agenda.add(self.now, event);
        } else {
            self.agenda
                .send(self.now, (from, to), event, &mut self.random);
        }
    }

    pub fn commit(&mut self, host: usize, transaction: &Transaction) -> Option<Verdict> {
        if self.agenda.faults.cut.contains(&(host, STORE)) {
            return None;
        }
        let outcome = self.store.commit(self.now, transaction);
        self.note();
        match outcome {
            Outcome::Answered(verdict) => self.is_linked(host, STORE).then_some(verdict),
            Outcome::Lost => None,
            Outcome::Late => {
                let delay = Duration::from_millis(self.random.random_range(1..6_000));
                let event = Event::Late(transaction.clone());
                self.agenda.add(self.now + delay, event);
                None
            }
        }
    }

    /// Reads a row, which may be old while the store has that fault.
    pub fn get(&self, host: usize, key: &str) -> Option<Option<Row>> {
        let row = self.store.get(self.now, key)?;
        self.is_linked(host, STORE).then_some(row)
    }

    /// Reads the present state of a row.
    pub fn fresh(&self, host: usize, key: &str) -> Option<Option<Row>> {
        let rows = self.scan(host, key)?;
        Some(rows.into_iter().find(|row| *row.key == *key))
    }

    pub fn scan(&self, host: usize, prefix: &str) -> Option<Vec<Row>> {
        let is_up = !self.store.faults.is_down && self.is_linked(host, STORE);
        is_up.then(|| self.store.rows(prefix))
    }

    /// A caller sends a request to a host.
    pub fn call(&mut self, host: usize, kind: Kind, key: Option<u8>, budget: usize, total: u64) {
        let number = self.oracle.calls.len();
        let slot = &mut self.hosts[host];
        let Some(mut process) = slot.process.take_if(|_| !slot.is_paused) else {
            return;
        };
        let name = key.map_or_else(|| format!("call-{number}"), |key| format!("{kind:?}-{key}"));
        let request = match key {
            Some(_) if !self.has(Defect::FreshRequest) => digest(&[name.as_bytes()]),
            _ => new_request_id(process.wall, number as u64),
        };
        let attempt: RequestId = format!("{request}.{number}").into();
        self.oracle.calls.push(Call {
            name: name.clone(),
            once: kind == Kind::Order,
            process: process.id.to_string(),
            attempt: Some(attempt.clone()),
            told: None,
        });
        let mut job = Job {
            call: number,
            name: name.clone(),
            attempt: attempt.clone(),
            purpose: Purpose {
                budget: BUDGETS[budget].into(),
                kind,
            },
            total,
            stage: Stage::Claiming,
            claim: Claim::Free,
            charge: None,
            is_announced: false,
            tried: Vec::new(),
            is_doubtful: false,
        };
        if process.takes_work() {
            process.dispatch.retries.deposit();
            match kind {
                Kind::Order => submit(&mut process, &job, key.unwrap_or_default()),
                Kind::Stream | Kind::Whole => job.stage = self.reserving(&process, &job),
            }
            process.jobs.insert(attempt, job);
        } else {
            self.tell(&job, Told::NotRun);
        }
        self.hosts[host].process = Some(process);
    }

    pub fn tell(&mut self, job: &Job, told: Told) {
        reach(match &told {
            Told::Complete(_) => "complete",
            Told::NotRun => "not run",
            Told::Other => "ran or unknown",
            Told::Dropped => "dropped",
        });
        self.oracle.calls[job.call].told = Some(told);
    }

    /// Takes a holder's answer to a reservation.
    pub fn reserved(
        &mut self,
        process: &mut Process,
        from: usize,
        attempt: &RequestId,
        is_ok: bool,
    ) {
        let clock = process.clock;
        let Some(job) = process.jobs.get_mut(attempt) else {
            return;
        };
        if let Stage::Reserving { asked, .. } = &mut job.stage
            && asked.is_some_and(|(host, _)| host == from)
        {
            *asked = None;
            if is_ok {
                job.charge = Some(from);
                job.stage = match job.purpose.kind {
                    Kind::Order => Stage::Announcing(None),
                    Kind::Stream | Kind::Whole => Stage::Sending(clock),
                };
            }
        }
    }

    /// Takes a holder's answer to an announcement.
    pub fn announced(
        &mut self,
        process: &mut Process,
        from: usize,
        attempt: &RequestId,
        is_open: bool,
    ) {
        let clock = process.clock;
        let Some(job) = process.jobs.get_mut(attempt) else {
            return;
        };
        if matches!(job.stage, Stage::Announcing(Some(_))) && job.charge == Some(from) {
            job.stage = match is_open {
                true => Stage::Sending(clock),
                false => Stage::Withdrawn,
            };
        }
    }

    /// Takes a holder's acknowledgement of a release.
    pub fn withdrawn(&mut self, process: &mut Process, from: usize, attempt: &RequestId) {
        if let Some(job) = process.jobs.get_mut(attempt)
            && matches!(job.stage, Stage::Withdrawing(_))
            && job.charge == Some(from)
        {
            job.stage = Stage::Withdrawn;
        }
    }

    pub fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            self.ticks += 1;
            self.deliver();
            self.operate();
            for host in 0..HOSTS {
                self.step(host);
            }
            self.upstreams.iter_mut().for_each(Upstream::tick);
        }
    }

    fn step(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        let Some(mut process) = slot.process.take_if(|_| !slot.is_paused) else {
            return;
        };
        process.clock = self.clock(host);
        process.wall = EPOCH + self.now + self.hosts[host].skew;
        self.talk(&mut process);
        self.claim(&mut process);
        for attempt in process.jobs.keys().cloned().collect::<Vec<_>>() {
            let job = process.jobs.remove(&attempt);
            if let Some(job) = job.and_then(|job| self.advance(&mut process, job)) {
                process.jobs.insert(attempt, job);
            }
        }
        if self.ticks.is_multiple_of(2) {
            self.deliver_settlements(&mut process);
            self.flush(&mut process);
        }
        if self.ticks % 4 == host as u64 {
            self.reclaim(&mut process);
            self.bill(&mut process);
        }
        if self.has(Defect::OlderVersion) && process.log.version() > 0 {
            process.earlier.get_or_insert_with(|| process.log.clone());
        }
        let (version, takes_work) = (process.log.version(), process.takes_work());
        let oracle = &mut self.oracle;
        oracle.applied(self.now, &process.id, version, takes_work);
        if !self.is_ended(&mut process) {
            self.hosts[host].process = Some(process);
        }
    }
}

fn submit(process: &mut Process, job: &Job, key: u8) {
    let attempt = Attempt {
        workspace: "w0".into(),
        key: job.name.as_str().into(),
        body: "body".into(),
        request: job.attempt.clone(),
        capability: [Capability::None, Capability::Query][usize::from(key % 2)],
    };
    process.registry.submit(attempt).expect("room in the queue");
}
