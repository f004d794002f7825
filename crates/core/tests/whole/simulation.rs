//! Router processes, store, network, upstreams and callers in simulated time.

use {
    super::{
        host::{EPOCH, Process},
        message::{Event, ReservationSpec},
        network::EventQueue,
        operator::Operator,
        oracle::{Call, CallOutcome, Oracle},
        request::{ActiveRequest, Claim, Stage},
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
/// Network node of the table service and the object store.
pub const STORE: usize = HOSTS;
pub const NODES: usize = HOSTS + 1 + UPSTREAMS;
pub const TICK: Duration = Duration::from_millis(250);
/// Rates of the hosts' monotonic clocks in parts per thousand.
const CLOCK_RATES_PER_MILLE: [u32; HOSTS] = [1_000, 1_020, 985, 1_005];

/// A deliberate defect of the code that connects the modules, to show that the oracle detects it.
/// There is at least one for each guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Holders spend tokens that were not moved from the budget row.
    SkipAccount,
    /// Each retry with a key gets a new request id.
    FreshRequest,
    /// An interrupted answer is reported as complete.
    TruncatedAsComplete,
    /// A request whose answer is lost or invalid is treated as not executed.
    LostAsNotRun,
    /// Claims count as committed without a write.
    SkipClaim,
    /// Withdrawn upstreams stay candidates.
    SendToWithdrawn,
    /// A planned stop drops running requests.
    StopAtOnce,
    /// A planned stop returns no tokens.
    KeepTokens,
    /// Plain services keep no usage records, and their price is billed when the reservation of an
    /// announced request is neither settled nor released in time. The router does this.
    NoServiceRecords,
    /// A resumed host continues with an older version of the configuration.
    OlderVersion,
}

#[derive(Default)]
pub struct Slot {
    pub process: Option<Process>,
    pub is_paused: bool,
    incarnation: u64,
    /// Offset of the wall clock.
    pub skew: Duration,
}

pub struct Simulation {
    pub defect: Option<Defect>,
    pub now: Duration,
    pub store: Store,
    pub objects: BTreeMap<Arc<str>, Vec<u8>>,
    pub are_objects_down: bool,
    pub hosts: Vec<Slot>,
    pub upstreams: Vec<Upstream>,
    pub events: EventQueue<Event>,
    pub oracle: Oracle,
    pub operators: Vec<Operator>,
    pub random: SmallRng,
    pub reclaim: reclaim::Settings,
    ticks: u64,
}

thread_local! {
    /// How often each of [`PATHS`] was taken, over all cases.
    pub static PATH_COUNTS: RefCell<BTreeMap<&'static str, u32>> = RefCell::default();
}

/// Code paths that the cases must take.
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
    // Every process that knew of a finished request was killed.
    "bill given up",
];

pub fn record_path(path: &'static str) {
    assert!(PATHS.contains(&path));
    PATH_COUNTS.with_borrow_mut(|reached| *reached.entry(path).or_default() += 1);
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

pub fn upstream_index(id: &str) -> usize {
    index(id)
}

impl Simulation {
    pub fn new(defect: Option<Defect>) -> Self {
        let upstreams = (0..UPSTREAMS).map(|_| Upstream::new());
        let mut simulation = Self {
            defect,
            now: Duration::from_secs(100),
            store: Store::default(),
            objects: BTreeMap::new(),
            are_objects_down: false,
            hosts: (0..HOSTS).map(|_| Slot::default()).collect(),
            upstreams: upstreams.collect(),
            events: EventQueue::new(),
            oracle: Oracle::default(),
            operators: Vec::new(),
            random: SmallRng::seed_from_u64(0),
            reclaim: reclaim::Settings {
                lease: Duration::from_secs(6),
                after: Some(Duration::from_secs(10)),
            },
            ticks: 0,
        };
        simulation.set_up();
        (0..HOSTS).for_each(|host| simulation.start(host));
        simulation.set_fault_free(true);
        simulation.run(16);
        simulation
    }

    pub fn has(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    pub fn set_fault_free(&mut self, is_fault_free: bool) {
        let since = self.oracle.fault_free_since.unwrap_or(self.now);
        self.oracle.fault_free_since = is_fault_free.then_some(since);
    }

    pub fn start(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        self.hosts[host].incarnation += 1;
        let clock = self.clock(host);
        let mut process = Process::new(host, self.hosts[host].incarnation, clock);
        process.update_listing(0..HOSTS);
        self.hosts[host].process = Some(process);
        self.hosts[host].is_paused = false;
    }

    pub fn incarnation(&self, host: usize) -> Option<u64> {
        let process = self.hosts[host].process.as_ref();
        process.map(|process| process.incarnation)
    }

    fn clock(&self, host: usize) -> Duration {
        self.now * CLOCK_RATES_PER_MILLE[host] / 1_000
    }

    pub fn is_linked(&self, a: usize, b: usize) -> bool {
        let cut = &self.events.faults.cut;
        !cut.contains(&(a, b)) && !cut.contains(&(b, a))
    }

    pub fn delay(&mut self) -> Duration {
        let is_late = self.random.random_range(0..100) < self.events.faults.late_percent;
        let longest = if is_late { 8_000 } else { 50 };
        Duration::from_millis(self.random.random_range(1..longest))
    }

    /// Sends a message between hosts. One to the sender itself always arrives, without delay.
    pub fn send_message(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.events.add(self.now, event);
        } else {
            self.events
                .send(self.now, (from, to), event, &mut self.random);
        }
    }

    pub fn commit(&mut self, host: usize, transaction: &Transaction) -> Option<Verdict> {
        if self.events.faults.cut.contains(&(host, STORE)) {
            return None;
        }
        let outcome = self.store.commit(self.now, transaction);
        self.record_store_changes();
        match outcome {
            Outcome::Answered(verdict) => self.is_linked(host, STORE).then_some(verdict),
            Outcome::Lost => None,
            Outcome::Late => {
                let delay = Duration::from_millis(self.random.random_range(1..6_000));
                let event = Event::Late(transaction.clone());
                self.events.add(self.now + delay, event);
                None
            }
        }
    }

    /// Reads a row, which may be stale while the store has that fault.
    pub fn get(&self, host: usize, key: &str) -> Option<Option<Row>> {
        let row = self.store.get(self.now, key)?;
        self.is_linked(host, STORE).then_some(row)
    }

    /// Reads the latest state of a row.
    pub fn read_latest(&self, host: usize, key: &str) -> Option<Option<Row>> {
        let rows = self.scan(host, key)?;
        Some(rows.into_iter().find(|row| *row.key == *key))
    }

    pub fn scan(&self, host: usize, prefix: &str) -> Option<Vec<Row>> {
        let is_up = !self.store.faults.is_down && self.is_linked(host, STORE);
        is_up.then(|| self.store.rows(prefix))
    }

    /// Sends a caller's request to a host. A paused or stopped host gets none.
    pub fn call(
        &mut self,
        host: usize,
        kind: Kind,
        key: Option<u8>,
        budget: usize,
        output_tokens: u64,
    ) {
        let number = self.oracle.calls.len();
        let slot = &mut self.hosts[host];
        let Some(mut process) = slot.process.take_if(|_| !slot.is_paused) else {
            return;
        };
        let name = key.map_or_else(|| format!("call-{number}"), |key| format!("{kind:?}-{key}"));
        let request_id = match key {
            Some(_) if !self.has(Defect::FreshRequest) => digest(&[name.as_bytes()]),
            _ => new_request_id(process.wall, number as u64),
        };
        let attempt: RequestId = format!("{request_id}.{number}").into();
        self.oracle.calls.push(Call {
            name: name.clone(),
            runs_at_most_once: kind == Kind::Order,
            process: process.id.to_string(),
            attempt: Some(attempt.clone()),
            outcome: None,
        });
        let mut request = ActiveRequest {
            call: number,
            name: name.clone(),
            attempt: attempt.clone(),
            spec: ReservationSpec {
                budget: BUDGETS[budget].into(),
                kind,
            },
            output_tokens,
            stage: Stage::Claiming,
            claim: Claim::Free,
            reservation_host: None,
            is_announced: false,
            tried: Vec::new(),
            may_have_run: false,
        };
        if process.takes_work() {
            process.dispatcher.retries.deposit();
            match kind {
                Kind::Order => submit(&mut process, &request, key.unwrap_or_default()),
                Kind::Stream | Kind::Whole => request.stage = self.reserving(&process, &request),
            }
            process.requests.insert(attempt, request);
        } else {
            self.respond(&request, CallOutcome::NotRun);
        }
        self.hosts[host].process = Some(process);
    }

    /// Records the outcome that the caller gets.
    pub fn respond(&mut self, request: &ActiveRequest, outcome: CallOutcome) {
        record_path(match &outcome {
            CallOutcome::Complete(_) => "complete",
            CallOutcome::NotRun => "not run",
            CallOutcome::Other => "ran or unknown",
            CallOutcome::Dropped => "dropped",
        });
        self.oracle.calls[request.call].outcome = Some(outcome);
    }

    /// Applies a holder's reply to a reservation.
    pub fn handle_reserved(
        &mut self,
        process: &mut Process,
        from: usize,
        attempt: &RequestId,
        is_ok: bool,
    ) {
        let clock = process.clock;
        let Some(request) = process.requests.get_mut(attempt) else {
            return;
        };
        if let Stage::Reserving { pending, .. } = &mut request.stage
            && pending.is_some_and(|(host, _)| host == from)
        {
            *pending = None;
            if is_ok {
                request.reservation_host = Some(from);
                request.stage = match request.spec.kind {
                    Kind::Order => Stage::Announcing(None),
                    Kind::Stream | Kind::Whole => Stage::Sending(clock),
                };
            }
        }
    }

    /// Applies a holder's reply to an announcement.
    pub fn handle_announced(
        &mut self,
        process: &mut Process,
        from: usize,
        attempt: &RequestId,
        is_announced: bool,
    ) {
        let clock = process.clock;
        let Some(request) = process.requests.get_mut(attempt) else {
            return;
        };
        if matches!(request.stage, Stage::Announcing(Some(_)))
            && request.reservation_host == Some(from)
        {
            request.stage = match is_announced {
                true => Stage::Sending(clock),
                false => Stage::Withdrawn,
            };
        }
    }

    /// Applies a holder's acknowledgement of a release.
    pub fn handle_released(&mut self, process: &mut Process, from: usize, attempt: &RequestId) {
        if let Some(request) = process.requests.get_mut(attempt)
            && matches!(request.stage, Stage::Withdrawing(_))
            && request.reservation_host == Some(from)
        {
            request.stage = Stage::Withdrawn;
        }
    }

    pub fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            self.ticks += 1;
            self.deliver();
            self.run_operators();
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
        self.exchange_state(&mut process);
        self.commit_claims(&mut process);
        for attempt in process.requests.keys().cloned().collect::<Vec<_>>() {
            let request = process.requests.remove(&attempt);
            if let Some(request) = request.and_then(|request| self.advance(&mut process, request)) {
                process.requests.insert(attempt, request);
            }
        }
        if self.ticks.is_multiple_of(2) {
            self.deliver_settlements(&mut process);
            self.flush(&mut process);
        }
        if self.ticks % 4 == host as u64 {
            self.reclaim(&mut process);
            self.run_ledger(&mut process);
        }
        if self.has(Defect::OlderVersion) && process.log.version() > 0 {
            process.saved_log.get_or_insert_with(|| process.log.clone());
        }
        let (version, takes_work) = (process.log.version(), process.takes_work());
        let oracle = &mut self.oracle;
        oracle.check_version(self.now, &process.id, version, takes_work);
        if !self.advance_stop(&mut process) {
            self.hosts[host].process = Some(process);
        }
    }
}

fn submit(process: &mut Process, request: &ActiveRequest, key: u8) {
    let attempt = Attempt {
        workspace: "w0".into(),
        key: request.name.as_str().into(),
        body: "body".into(),
        request: request.attempt.clone(),
        capability: [Capability::None, Capability::Query][usize::from(key % 2)],
    };
    process.registry.submit(attempt).expect("room in the queue");
}
