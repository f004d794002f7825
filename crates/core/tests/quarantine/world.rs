//! A fleet with its upstreams on a simulated clock.

mod rows;

use {
    crate::plan::{Outcome, Plan},
    marigoldroute_core::{
        id::HostId,
        quarantine::{Audience, Change, PartId, Quarantine, State, judges},
        wire::Parts,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rows::Row,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// First part of every prompt.
pub const COMMON: PartId = 1;
/// Part that crashes upstreams.
pub const DEADLY: PartId = 2;
const WORKSPACES: u64 = 10;
const STEP: Duration = Duration::from_millis(10);
/// Time from the head of a response to its first event, or to the end of the upstream.
const WRITE_TIME: Duration = Duration::from_millis(80);
const DOWN_TIME: Duration = Duration::from_millis(3_200);
const ATTEMPT_LIMIT: u32 = 2;
/// How often a notice is sent, and the time between.
const SENDINGS: u32 = 3;
const SENDING_PAUSE: Duration = Duration::from_millis(60);
const RENEWAL: Duration = Duration::from_secs(3);
/// Time after which a row with news is written.
const NEWS_DELAY: Duration = Duration::from_millis(100);
/// Time without a cut after which a host counts as in touch.
pub const CONTACT: Duration = Duration::from_secs(3);

struct Host {
    quarantine: Quarantine,
    /// Notices with how often they still have to be sent, and when next.
    outbox: BTreeMap<PartId, (Change, u32, Duration)>,
    row: Row,
    /// When the row has to be written before its time.
    writes_at: Option<Duration>,
}

/// Returns what a new process knows in a fleet of this many hosts.
fn quarantine(hosts: usize) -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.set_other_hosts(hosts - 1);
    quarantine
}

#[derive(Clone)]
struct Run {
    host: usize,
    parts: Vec<PartId>,
    upstream: usize,
    begins_at: Duration,
    attempt: u32,
}

/// What reaches a host at a time.
enum Delivery {
    Message(usize, Parts),
    /// The end of a process of an upstream that had begun to answer these parts.
    End(u64, Run),
}

/// A fleet with its upstreams.
pub struct World {
    plan: Plan,
    random: SmallRng,
    now: Duration,
    names: Vec<HostId>,
    hosts: Vec<Host>,
    /// Until when each upstream is down, and the number of its process.
    upstreams: Vec<(Duration, u64)>,
    runs: Vec<Run>,
    deliveries: BTreeMap<(Duration, usize), (usize, Delivery)>,
    sequence: usize,
    pub outcome: Outcome,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> Self {
        let host = || Host {
            quarantine: quarantine(plan.hosts),
            outbox: BTreeMap::new(),
            row: Row::default(),
            writes_at: None,
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            names: (0..plan.hosts)
                .map(|host| format!("h{host}").into())
                .collect(),
            hosts: (0..plan.hosts).map(|_| host()).collect(),
            upstreams: vec![(Duration::ZERO, 0); plan.upstreams],
            runs: Vec::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            outcome: Outcome::default(),
            plan,
        }
    }

    /// Plays for this time.
    pub fn play(mut self, time: Duration) -> Outcome {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.happen();
            self.deliver();
            self.send_notices();
            self.renew_rows();
            self.write_news();
            let expected = self.plan.rate * STEP.as_secs_f64();
            let count = expected as usize + usize::from(self.random.random_bool(expected.fract()));
            for _ in 0..count {
                self.request();
            }
            self.progress();
        }
        self.outcome
    }

    /// Lets what the plan has for this step happen.
    fn happen(&mut self) {
        let is_now = |at: &Duration| (self.now - STEP..self.now).contains(at);
        let is_mass_crash = self.plan.mass_crashes.iter().any(is_now);
        if is_mass_crash {
            for upstream in 0..self.upstreams.len() {
                if self.random.random_bool(0.25) {
                    self.crash(upstream);
                }
            }
        }
        if self.plan.flapping > 0 && self.now.as_millis().is_multiple_of(300) {
            let upstream = self.random.random_range(0..self.plan.flapping);
            self.crash(upstream);
        }
        if self
            .plan
            .restarts
            .iter()
            .any(|at| (self.now - STEP..self.now).contains(at))
        {
            let host = self.random.random_range(0..self.hosts.len());
            self.restart(host);
        }
    }

    /// Replaces a host by a new process, which reads the rows of all hosts.
    fn restart(&mut self, host: usize) {
        let mut quarantine = quarantine(self.hosts.len());
        for other in &self.hosts {
            rows::read(&mut quarantine, self.now, &other.row);
        }
        self.hosts[host].quarantine = quarantine;
        self.hosts[host].outbox.clear();
        self.runs.retain(|run| run.host != host);
    }

    fn request(&mut self) {
        let host = self.random.random_range(0..self.hosts.len());
        let workspace = 100 + self.random.random_range(0..WORKSPACES);
        let sessions = self.hosts.len() as u64 * 40;
        let last = match self.random.random_bool(self.plan.deadly) {
            true => DEADLY,
            false => 1_000 + self.random.random_range(0..sessions),
        };
        self.attempt(host, vec![COMMON, workspace, last], 1);
    }

    fn attempt(&mut self, host: usize, parts: Vec<PartId>, attempt: u32) {
        let is_deadly = parts.contains(&DEADLY);
        if self.hosts[host]
            .quarantine
            .check(self.now, &parts)
            .is_some()
        {
            self.outcome.refused += usize::from(!is_deadly);
            return;
        }
        let up: Vec<_> = (0..self.upstreams.len())
            .filter(|upstream| self.upstreams[*upstream].0 <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let upstream = up[self.random.random_range(0..up.len())];
        let wait = Duration::from_millis(self.random.random_range(10..300));
        if is_deadly && self.is_in_touch(host) {
            self.outcome.deadly_arrivals.push(self.now);
        }
        self.runs.push(Run {
            host,
            parts,
            upstream,
            begins_at: self.now + wait,
            attempt,
        });
    }

    /// Ends the process of an upstream.
    fn crash(&mut self, upstream: usize) {
        let (down_until, process) = &mut self.upstreams[upstream];
        if *down_until > self.now {
            return;
        }
        *down_until = self.now + DOWN_TIME;
        *process += 1;
        let process = (upstream as u64) << 32 | *process;
        let (broken, others) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.upstream == upstream);
        self.runs = others;
        for run in broken {
            let delay = Duration::from_millis(self.random.random_range(5..40));
            self.schedule(delay, run.host, Delivery::End(process, run));
        }
    }

    fn schedule(&mut self, delay: Duration, host: usize, delivery: Delivery) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.deliveries.insert(key, (host, delivery));
    }

    /// Runs reach their first event, or end their upstream.
    fn progress(&mut self) {
        let now = self.now;
        let is_due = |run: &Run| run.begins_at + WRITE_TIME <= now;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|run| is_due(run))
            .cloned()
            .collect();
        for run in &due {
            if run.parts.contains(&DEADLY) && self.upstreams[run.upstream].0 <= now {
                self.outcome.crashes.push(now);
                self.crash(run.upstream);
            }
        }
        for run in due.into_iter().filter(|run| !run.parts.contains(&DEADLY)) {
            let is_running = |other: &Run| {
                other.begins_at == run.begins_at
                    && other.parts == run.parts
                    && other.host == run.host
            };
            let Some(index) = self.runs.iter().position(is_running) else {
                continue;
            };
            self.runs.swap_remove(index);
            self.outcome.served += 1;
            let changes = self.hosts[run.host]
                .quarantine
                .record_success(now, &run.parts);
            self.post(run.host, &changes);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (host, delivery) = entry.remove();
            match delivery {
                Delivery::Message(from, message) => {
                    let learned = self.hosts[host].quarantine.learn(self.now, &message);
                    self.post(host, &learned.changes);
                    if !learned.contradicted.is_empty() {
                        let message = Parts {
                            suspects: Vec::new(),
                            sound: learned.contradicted,
                        };
                        self.send(host, from, message);
                    }
                }
                Delivery::End(process, run) => self.end(host, process, run),
            }
        }
    }

    /// A host sees that the upstream of a request has ended.
    fn end(&mut self, host: usize, process: u64, run: Run) {
        let mut is_accused = false;
        if run.begins_at <= self.now {
            let quarantine = &mut self.hosts[host].quarantine;
            let changes = quarantine.record_crash(self.now, process, &run.parts);
            let is_repeated = |change: &Change| change.state != State::Suspected(1);
            is_accused = changes.iter().any(is_repeated);
            self.post(host, &changes);
        }
        if run.attempt < ATTEMPT_LIMIT && !is_accused {
            self.attempt(host, run.parts, run.attempt + 1);
        }
    }

    fn post(&mut self, host: usize, changes: &[Change]) {
        for change in changes.iter().filter(|change| change.audience.is_some()) {
            let notice = (*change, SENDINGS, self.now);
            self.hosts[host].outbox.insert(change.part, notice);
            if self.hosts[host].quarantine.is_news(change) {
                let writes_at = &mut self.hosts[host].writes_at;
                writes_at.get_or_insert(self.now + NEWS_DELAY);
            }
        }
    }

    fn send_notices(&mut self) {
        for from in 0..self.hosts.len() {
            let mut due = Vec::new();
            for (change, left, at) in self.hosts[from].outbox.values_mut() {
                if *at <= self.now {
                    *left -= 1;
                    *at += SENDING_PAUSE;
                    due.push(*change);
                }
            }
            self.hosts[from].outbox.retain(|_, (_, left, _)| *left > 0);
            let (for_all, for_judges): (Vec<_>, Vec<_>) = due
                .into_iter()
                .partition(|change| change.audience == Some(Audience::All));
            if !for_all.is_empty() {
                self.send_notices_to(from, &for_all, |_| {});
            }
            for change in for_judges {
                self.send_notices_to(from, &[change], |hosts| judges(change.part, hosts));
            }
        }
    }

    /// Sends changes in one datagram to the other hosts that are chosen.
    fn send_notices_to(
        &mut self,
        from: usize,
        changes: &[Change],
        choose: impl FnOnce(&mut Vec<HostId>),
    ) {
        let parts = |is_sound: bool| {
            let changes = changes.iter();
            let changes = changes.filter(|change| (change.state == State::Sound) == is_sound);
            changes.map(|change| change.part).collect::<Vec<_>>()
        };
        let quarantine = &self.hosts[from].quarantine;
        let message = Parts {
            suspects: quarantine.describe(self.now, &parts(false)),
            sound: parts(true),
        };
        let mut to = self.names.clone();
        to.remove(from);
        choose(&mut to);
        let indexes: HashMap<_, _> = self.names.iter().cloned().zip(0..).collect();
        for name in to {
            self.send(from, indexes[&name], message.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Parts) {
        self.outcome.datagrams += 1;
        if self.is_cut_off(from, false) || self.is_cut_off(to, false) {
            return;
        }
        if !self.random.random_bool(self.plan.loss) {
            let delay = Duration::from_millis(self.random.random_range(1..40));
            self.schedule(delay, to, Delivery::Message(from, message));
        }
    }
}
