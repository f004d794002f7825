//! Steps of a case: operations and faults in any order.

use {
    super::{
        fuzz,
        network::Faults,
        operator,
        simulation::{BUDGETS, Defect, HOSTS, NODES, STORE, Simulation, UPSTREAMS},
        upstream::{AnswerFault, Kind},
    },
    marigoldroute_core::{budget::Change, withdraw::Action},
    proptest::prelude::*,
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

#[derive(Clone, Debug)]
pub enum Step {
    /// Seeds the random choices of the model, such as delays.
    Seed(u64),
    /// Advances the simulation by this many ticks.
    Run(usize),
    /// Host, kind, key, budget and output tokens.
    Call(usize, Kind, Option<u8>, usize, u64),
    /// Two callers with the same key at two hosts.
    Retry(usize, usize, Kind, u8),
    TopUp(usize, usize, u64),
    CutBudget(usize, usize, u64),
    /// Two operators change the same setting at two hosts.
    Edit(usize, usize, u64),
    Withdraw(usize, usize),
    Restore(usize, usize),
    StoreDown,
    StoreUp,
    /// Age of stale reads in seconds.
    StoreStale(u64),
    /// Number of commits that take effect although their answer is lost.
    LoseAnswers(u32),
    /// Number of commits that take effect only after their answer was lost.
    DelayCommits(u32),
    ObjectsDown(bool),
    /// Cuts the link between two nodes in one direction.
    Cut(usize, usize),
    /// Cuts all links of a host to its peers and the store.
    Isolate(usize),
    /// Cuts all links between the hosts of the two regions.
    Partition,
    /// Percentages of lost, duplicated and late messages.
    Network(u32, u32, u32),
    Heal,
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    /// Starts a planned stop of a host.
    Stop(usize),
    /// The next answer of an upstream has this fault.
    AnswerFault(usize, AnswerFault),
    Crash(usize),
    Recover(usize),
    /// The listing that a host gets from the platform names only this host.
    StaleList(usize),
    /// Offset of a host's wall clock in milliseconds.
    Skew(usize, u64),
}

fn calls() -> impl Strategy<Value = Step> {
    let kind = prop::sample::select(vec![Kind::Stream, Kind::Stream, Kind::Whole]);
    let key = prop::option::of(0..6_u8);
    let budget = 0..BUDGETS.len();
    prop_oneof![
        6 => (0..HOSTS, kind.clone(), key, budget.clone(), 1..16_u64)
            .prop_map(|(host, kind, key, budget, output_tokens)| Step::Call(host, kind, key, budget, output_tokens)),
        3 => (0..HOSTS, 0..8_u8, budget)
            .prop_map(|(host, key, budget)| Step::Call(host, Kind::Order, Some(key), budget, 1)),
        2 => (0..HOSTS, 0..HOSTS, prop::sample::select(vec![Kind::Stream, Kind::Order]), 8..12_u8)
            .prop_map(|(first, second, kind, key)| Step::Retry(first, second, kind, key)),
    ]
}

fn operations() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..HOSTS, 0..BUDGETS.len(), 20..300_u64).prop_map(|(h, b, t)| Step::TopUp(h, b, t)),
        1 => (0..HOSTS, 0..BUDGETS.len(), 20..200_u64).prop_map(|(h, b, t)| Step::CutBudget(h, b, t)),
        2 => (0..HOSTS, 0..HOSTS, 2..100_u64).prop_map(|(a, b, weight)| Step::Edit(a, b, weight)),
        2 => (0..HOSTS, 0..UPSTREAMS).prop_map(|(host, upstream)| Step::Withdraw(host, upstream)),
        1 => (0..HOSTS, 0..UPSTREAMS).prop_map(|(host, upstream)| Step::Restore(host, upstream)),
        2 => (0..HOSTS).prop_map(Step::Stop),
    ]
}

fn faults() -> impl Strategy<Value = Step> {
    let fault = prop::sample::select(vec![
        AnswerFault::Refuse,
        AnswerFault::Truncated,
        AnswerFault::NoEnd,
        AnswerFault::WrongId,
        AnswerFault::Duplicated,
        AnswerFault::Silent,
    ]);
    prop_oneof![
        1 => Just(Step::StoreDown),
        2 => Just(Step::StoreUp),
        1 => (1..6_u64).prop_map(Step::StoreStale),
        2 => (1..4_u32).prop_map(Step::LoseAnswers),
        1 => (1..3_u32).prop_map(Step::DelayCommits),
        1 => any::<bool>().prop_map(Step::ObjectsDown),
        3 => (0..HOSTS, 0..NODES).prop_map(|(from, to)| Step::Cut(from, to)),
        2 => (0..HOSTS, 0..NODES).prop_map(|(from, to)| Step::Cut(to, from)),
        1 => (0..HOSTS).prop_map(Step::Isolate),
        1 => Just(Step::Partition),
        2 => (0..30_u32, 0..30_u32, 0..30_u32).prop_map(|(l, d, t)| Step::Network(l, d, t)),
        4 => Just(Step::Heal),
        2 => (0..HOSTS).prop_map(Step::Kill),
        4 => (0..HOSTS).prop_map(Step::Start),
        2 => (0..HOSTS).prop_map(Step::Pause),
        3 => (0..HOSTS).prop_map(Step::Resume),
        5 => (0..UPSTREAMS, fault).prop_map(|(upstream, m)| Step::AnswerFault(upstream, m)),
        1 => (0..UPSTREAMS).prop_map(Step::Crash),
        2 => (0..UPSTREAMS).prop_map(Step::Recover),
        1 => (0..HOSTS).prop_map(Step::StaleList),
        1 => (0..HOSTS, 0..3_000_u64).prop_map(|(host, ms)| Step::Skew(host, ms)),
    ]
}

impl Simulation {
    fn apply_operation(&mut self, step: &Step) {
        let id = format!("sum-{}-{}", self.now.as_millis(), self.operators.len());
        match *step {
            Step::Call(host, kind, key, budget, output_tokens) => {
                self.call(host, kind, key, budget, output_tokens);
            }
            Step::Retry(first, second, kind, key) => {
                self.call(first, kind, Some(key), 0, 3);
                self.call(second, kind, Some(key), 0, 3);
            }
            Step::TopUp(host, budget, tokens) => {
                self.change_budget(host, BUDGETS[budget], &id, Change::TopUp(tokens));
            }
            Step::CutBudget(host, budget, tokens) => {
                self.change_budget(host, BUDGETS[budget], &id, Change::Cut(tokens));
            }
            Step::Edit(first, second, weight) => {
                self.edit(first, weight);
                self.edit(second, weight + 1);
            }
            Step::Withdraw(host, upstream) => self.withdraw(host, upstream, operator::withdrawal()),
            Step::Restore(host, upstream) => self.withdraw(host, upstream, Action::Restore),
            Step::Start(host) => self.start(host),
            Step::Stop(host) => self.stop(host),
            Step::Resume(host) => self.resume(host),
            Step::Seed(seed) => self.random = SmallRng::seed_from_u64(seed),
            Step::Run(ticks) => self.run(ticks),
            _ => self.inject_fault(step),
        }
    }

    fn inject_fault(&mut self, step: &Step) {
        self.set_fault_free(false);
        match *step {
            Step::StoreDown => self.store.faults.is_down = true,
            Step::StoreUp => self.store.faults = Default::default(),
            Step::StoreStale(seconds) => self.store.faults.stale = Duration::from_secs(seconds),
            Step::LoseAnswers(count) => self.store.faults.lost_after += count,
            Step::DelayCommits(count) => self.store.faults.lost_before += count,
            Step::ObjectsDown(is_down) => self.are_objects_down = is_down,
            Step::Cut(from, to) => drop(self.events.faults.cut.insert((from, to))),
            Step::Isolate(host) => {
                let peers = (0..=STORE).filter(|peer| *peer != host);
                let links = peers.flat_map(|peer| [(host, peer), (peer, host)]);
                self.events.faults.cut.extend(links);
            }
            Step::Partition => {
                let links = [(0, 2), (0, 3), (1, 2), (1, 3)];
                let links = links.into_iter().flat_map(|(a, b)| [(a, b), (b, a)]);
                self.events.faults.cut.extend(links);
            }
            Step::Network(lost_percent, doubled_percent, late_percent) => {
                let cut = std::mem::take(&mut self.events.faults.cut);
                self.events.faults = Faults {
                    cut,
                    lost_percent,
                    doubled_percent,
                    late_percent,
                };
            }
            Step::Heal => self.events.faults = Faults::default(),
            Step::Kill(host) => self.kill(host),
            Step::Pause(host) => self.pause(host),
            Step::AnswerFault(upstream, fault) => self.upstreams[upstream].fault = fault,
            Step::Crash(upstream) => self.upstreams[upstream].crash(),
            Step::Recover(upstream) => self.upstreams[upstream].is_down = false,
            Step::StaleList(host) => {
                if let Some(process) = &mut self.hosts[host].process {
                    process.update_listing(host..=host);
                }
            }
            Step::Skew(host, ms) => self.hosts[host].skew = Duration::from_millis(ms),
            _ => unreachable!("the other steps are operations"),
        }
    }

    fn pause(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        slot.is_paused = slot.process.is_some();
    }

    fn resume(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        let was_paused = std::mem::take(&mut slot.is_paused);
        if let Some(process) = slot.process.as_mut().filter(|_| was_paused)
            && let Some(saved_log) = process.saved_log.take()
        {
            process.log = saved_log;
        }
    }
}

impl fuzz::World for Simulation {
    type Step = Step;
    type Defect = Defect;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            1 => any::<u64>().prop_map(Step::Seed),
            24 => (1..12_usize).prop_map(Step::Run),
            30 => calls(),
            8 => operations(),
            16 => faults(),
        ]
        .boxed()
    }

    fn new(defect: Option<Defect>) -> Self {
        Self::new(defect)
    }

    fn apply(&mut self, step: Step) {
        self.apply_operation(&step);
    }

    fn check(&self) {
        self.oracle.check_calls();
        let bills = self.bills();
        for budget in BUDGETS {
            self.oracle
                .check_spend(budget, &self.account(budget), &bills);
        }
    }

    fn finish(&mut self) {
        self.finish_case();
        fuzz::World::check(self);
    }
}
