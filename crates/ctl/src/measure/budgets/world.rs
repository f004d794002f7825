//! The simulated fleet.

mod purchase;
mod shorten;

use {
    super::{
        Size, Variant,
        demand::{Demand, Job},
        figures::{Figures, Tally},
        node::{Node, Store},
        rank::{self, Ranks},
    },
    marigoldroute_core::{
        budget::{
            Phase, ReserveError, Settings, journal,
            reclaim::{self, JournalState},
        },
        id::{BudgetId, RequestId, Tokens},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, time::Duration},
};

/// Flush interval in seconds.
const FLUSH: u64 = 4;
/// How long a request waits for a refill, in seconds.
const PATIENCE: u64 = 4;
/// Seconds until a dead host is fenced, and until it is replaced.
const FENCED_AFTER: u64 = 5;
const REPLACED_AFTER: u64 = 30;
/// Seconds between the rounds of top-ups.
const TOP_UP: u64 = 600;
/// Deaths and planned restarts per host and day.
const DEATHS: f64 = 9.0 / 390.0;
const RESTARTS: f64 = 63.0 / 390.0;
const DAY: f64 = 86_400.0;
/// Seconds between samples of the tokens that a death would strand.
const SAMPLE: u64 = 60;
/// Seconds above the longest request.
const LONGEST: u64 = 64;
/// Hosts that an entry tries when every host has a grant: its own and three others.
const TRIED: usize = 4;

#[derive(Debug)]
struct Running {
    node: usize,
    incarnation: u64,
    request: RequestId,
    job: Job,
}

/// The state of one run.
#[derive(Debug)]
pub struct World {
    size: Size,
    /// Holders per budget and region; `None` for a grant on every host.
    holders: Option<usize>,
    /// Whether requests that the rest of a budget covers in part are shortened.
    shortens: bool,
    /// Whether an entry waits at one holder before it asks the next.
    waits: bool,
    settings: Settings,
    duration: u64,
    random: SmallRng,
    demand: Demand,
    store: Store,
    nodes: Vec<Node>,
    /// Names of the budgets.
    names: Vec<BudgetId>,
    /// For each budget and region, the nodes in the order in which entries try them.
    ranks: Vec<Ranks>,
    /// Tokens bought, and used or reserved, per budget.
    bought: Vec<Tokens>,
    taken: Vec<Tokens>,
    /// Tokens used per budget, also by requests whose holder died.
    used: Vec<Tokens>,
    /// Requests by the second in which they finish.
    running: Vec<Vec<Running>>,
    /// Marked and unspent tokens of dead holders per budget.
    stranded: Vec<Tokens>,
    waiting: VecDeque<(u64, RequestId, Job)>,
    /// Dead holders to fence.
    dead: Vec<(u64, String)>,
    requests: u64,
    tally: Tally,
}

impl World {
    pub fn new(size: Size, variant: &Variant, seed: u64, duration: Duration) -> Self {
        let settings = variant.settings.clone();
        let settings = match variant.paces {
            true => settings.for_fleet(size.hosts),
            false => settings,
        };
        let mut random = SmallRng::seed_from_u64(seed);
        let demand = Demand::new(size.active, &mut random);
        let mut world = Self {
            size,
            holders: variant.holders,
            shortens: variant.shortens,
            waits: variant.waits,
            settings: settings.clone(),
            duration: duration.as_secs(),
            demand,
            store: Store::default(),
            nodes: (0..size.hosts)
                .map(|index| Node::new(index, &settings))
                .collect(),
            names: (0..size.budgets)
                .map(|index| format!("b{index}").into())
                .collect(),
            ranks: Vec::new(),
            bought: vec![0; size.budgets],
            taken: vec![0; size.budgets],
            used: vec![0; size.budgets],
            stranded: vec![0; size.budgets],
            running: (0..LONGEST).map(|_| Vec::new()).collect(),
            waiting: VecDeque::new(),
            dead: Vec::new(),
            requests: 0,
            tally: Tally::default(),
            random,
        };
        world.ranks = rank::ranks(size, variant.holders);
        world.buy_all();
        world
    }

    /// Runs to the end and returns the figures.
    pub fn run(mut self) -> Figures {
        let (reads, writes) = (self.store.reads, self.store.writes);
        for second in 0..self.duration {
            self.step(second);
        }
        self.tally.reads = self.store.reads - reads;
        self.tally.writes = self.store.writes - writes;
        let pairs = self.used.iter().zip(&self.bought);
        self.tally.overspent = pairs
            .map(|(used, bought)| used.saturating_sub(*bought))
            .sum();
        Figures::new(&self.tally, &self.nodes, self.duration)
    }

    fn step(&mut self, second: u64) {
        self.finish(second);
        self.fail(second);
        let writes = self.store.writes;
        for index in 0..self.nodes.len() {
            if (second + index as u64).is_multiple_of(FLUSH) {
                self.flush(second, index);
            }
        }
        for _ in 0..self.waiting.len() {
            if let Some((since, request, job)) = self.waiting.pop_front() {
                self.attempt(second, since, request, job);
            }
        }
        // The count per second is drawn as a sum of Bernoulli trials around the rate.
        let trials = (self.size.rate * 2.0) as u64;
        let count = (0..trials).filter(|_| self.random.random_bool(0.5)).count();
        for _ in 0..count {
            let job = self.demand.draw(second, &mut self.random);
            self.requests += 1;
            let (left, bought) = (self.left(&job), self.bought[job.budget]);
            let calm = self.is_calm(second);
            self.tally.arrive(second, left, bought, &job, calm);
            let request = format!("r{}", self.requests).into();
            self.attempt(second, second, request, job);
        }
        if second > 0 && second.is_multiple_of(TOP_UP) {
            self.top_up(second);
        }
        if second.is_multiple_of(SAMPLE) {
            self.nodes
                .iter()
                .for_each(|node| self.tally.strand(node.marked()));
        }
        self.tally.second(self.store.writes - writes);
    }

    /// Returns the unspent and unreserved tokens of a budget, wherever they are.
    fn left(&self, job: &Job) -> Tokens {
        self.bought[job.budget].saturating_sub(self.taken[job.budget])
    }

    /// Returns whether a region can reach the store and the other region.
    fn is_connected(&self, second: u64, region: usize) -> bool {
        region == 0 || !(self.duration / 6..self.duration * 5 / 6).contains(&second)
    }

    /// Returns whether no region is cut off.
    fn is_calm(&self, second: u64) -> bool {
        (0..2).all(|region| self.is_connected(second, region))
    }

    fn attempt(&mut self, second: u64, since: u64, request: RequestId, mut job: Job) {
        let (mut hope, mut refills) = (false, 0);
        let candidates = self.candidates(second, &job);
        for index in &candidates {
            let index = *index;
            match self.ask(second, index, &request, &job) {
                Ok(amount) => return self.start(second, since, index, request, job, amount),
                Err(ReserveError::RefillPending) => {
                    let region = self.nodes[index].region;
                    hope |= self.is_connected(second, region);
                    refills += 1;
                    if self.waits && refills > second - since {
                        break;
                    }
                }
                Err(_) => {}
            }
        }
        if hope && second - since < PATIENCE {
            return self.waiting.push_back((since, request, job));
        }
        let part = self
            .shortens
            .then(|| self.shorten(second, &candidates, &request, &job));
        if let Some((index, amount)) = part.flatten() {
            job.used = job.used.min(amount);
            job.amount = amount;
            self.tally.shorten();
            return self.start(second, since, index, request, job, amount);
        }
        let (left, bought) = (self.left(&job), self.bought[job.budget]);
        let calm = self.is_calm(second);
        let stranded = self.stranded[job.budget];
        self.tally.refuse(since, left, stranded, bought, &job, calm);
    }

    /// Returns the hosts that an entry asks, in order.
    fn candidates(&mut self, second: u64, job: &Job) -> Vec<usize> {
        let Some(holders) = self.holders else {
            let half = self.size.hosts / 2;
            let mut draw = || self.random.random_range(0..half) * 2 + job.region;
            return (0..TRIED).map(|_| draw()).collect();
        };
        let regions = if self.is_calm(second) { 2 } else { 1 };
        let ranks = &self.ranks[job.budget];
        let order = [&ranks[job.region], &ranks[1 - job.region]];
        let up = |index: &&usize| self.nodes[**index].is_up();
        let holding = order.into_iter().take(regions);
        holding
            .flat_map(|rank| rank.iter().filter(up).take(holders))
            .copied()
            .collect()
    }

    /// Asks a holder, which may refill at once when it has not done so in this second.
    fn ask(
        &mut self,
        second: u64,
        index: usize,
        request: &RequestId,
        job: &Job,
    ) -> Result<Tokens, ReserveError> {
        let now = Duration::from_secs(second);
        let budget = self.names[job.budget].clone();
        let node = &mut self.nodes[index];
        if !node.is_up() {
            return Err(ReserveError::Closed);
        }
        let first = node.reserve(now, request, &budget, job.amount);
        let is_hurried = node.hurried == Some(second) || !node.holder.is_early_flush_due(now);
        if first != Err(ReserveError::RefillPending) || is_hurried {
            return first;
        }
        node.hurried = Some(second);
        self.flush(second, index);
        self.nodes[index].reserve(now, request, &budget, job.amount)
    }

    fn start(
        &mut self,
        second: u64,
        since: u64,
        node: usize,
        request: RequestId,
        job: Job,
        amount: Tokens,
    ) {
        self.tally.start(second - since);
        self.taken[job.budget] += amount;
        let incarnation = self.nodes[node].incarnation;
        let slot = (second + job.seconds) % LONGEST;
        self.running[slot as usize].push(Running {
            node,
            incarnation,
            request,
            job,
        });
    }

    fn finish(&mut self, second: u64) {
        let slot = (second % LONGEST) as usize;
        for running in std::mem::take(&mut self.running[slot]) {
            let Running { node, job, .. } = &running;
            self.taken[job.budget] -= job.amount - job.used;
            self.used[job.budget] += job.used;
            let node = &mut self.nodes[*node];
            if node.incarnation == running.incarnation && node.down_until.is_none() {
                node.settle(&running.request, job.used);
            }
        }
    }

    fn flush(&mut self, second: u64, index: usize) {
        let connected = self.is_connected(second, self.nodes[index].region);
        let node = &mut self.nodes[index];
        if node.down_until.is_some() {
            return;
        }
        let store = connected.then_some(&mut self.store);
        node.flush(Duration::from_secs(second), store);
        if node.holder.phase() == Phase::Closed {
            node.restart(&self.settings);
        }
    }

    fn fail(&mut self, second: u64) {
        let hosts = self.size.hosts as f64;
        // A run has at least one death and two restarts.
        let seconds = self.duration as f64;
        let death = (hosts * DEATHS / DAY).max(1.0 / seconds);
        let restart = (hosts * RESTARTS / DAY).max(2.0 / seconds);
        if self.random.random_bool(death) {
            let index = self.random.random_range(0..self.nodes.len());
            self.kill(second, index);
        }
        if self.random.random_bool(restart) {
            let index = self.random.random_range(0..self.nodes.len());
            self.nodes[index].holder.stop();
        }
        self.reclaim(second);
        for node in &mut self.nodes {
            if node.down_until.is_some_and(|until| until <= second) {
                node.restart(&self.settings);
            }
        }
    }

    fn kill(&mut self, second: u64, index: usize) {
        let node = &mut self.nodes[index];
        if node.down_until.is_some() {
            return;
        }
        node.down_until = Some(second + REPLACED_AFTER);
        for (budget, share) in node.holder.shares() {
            if let Some(index) = self.names.iter().position(|name| *name == budget) {
                self.stranded[index] += share.mark - share.spent;
            }
        }
        self.dead
            .push((second + FENCED_AFTER, node.id().to_string()));
    }

    fn reclaim(&mut self, second: u64) {
        let due: Vec<_> = self.dead.extract_if(.., |(at, _)| *at <= second).collect();
        for (_, id) in due {
            let last = self
                .store
                .table
                .scan(&journal::prefix(&id), "", usize::MAX)
                .pop();
            let opening = self.store.table.get(&journal::opening_key(&id));
            let found = reclaim::read(&id.as_str().into(), last.as_ref(), opening);
            if let Some(JournalState::Live(tail)) = found {
                let rows = self.store.fetch(&tail.keys(&[]));
                let fence = tail.fence(&"reclaimer".into(), &rows);
                fence
                    .iter()
                    .for_each(|fence| drop(self.store.commit(fence)));
            }
        }
    }
}
