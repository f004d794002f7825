//! Random steps and the initial state.

use {
    crate::{
        fleet::{ALLOCATED, Fleet, HOLDERS},
        fuzz::{Store, World, fault},
        step::{Defect, Step},
    },
    marigoldroute_core::table::Transaction,
    proptest::prelude::*,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const LEDGERS: usize = 2;
const BUDGETS: usize = 2;
const EPOCH: Duration = Duration::from_secs(1_800_000_000);

impl World for Fleet {
    type Step = Step;
    type Defect = Defect;

    fn steps() -> BoxedStrategy<Step> {
        let second = prop::option::weighted(0.4, 0..HOLDERS);
        let stored = prop_oneof![4 => Just(99_usize), 1 => 0..4_usize];
        prop_oneof![
            8 => (0..HOLDERS, second, 0..BUDGETS, 0..50_u64)
                .prop_map(|(holder, second, budget, n)| Step::Execute(holder, second, budget, n)),
            8 => (0..HOLDERS).prop_map(Step::Flush),
            1 => (0..HOLDERS).prop_map(Step::DeclareLost),
            1 => Just(Step::Return),
            3 => (0..LEDGERS, fault()).prop_map(|(ledger, fault)| Step::Acquire(ledger, fault)),
            24 => (0..LEDGERS, 0..6_usize, fault(), stored)
                .prop_map(|(ledger, journal, fault, n)| Step::Visit(ledger, journal, fault, n)),
            1 => (0..LEDGERS).prop_map(Step::Restart),
            2 => prop::sample::select(vec![1, 40, 700]).prop_map(Step::Advance),
            2 => Just(Step::Deliver),
        ]
        .boxed()
    }

    fn new(defect: Option<Defect>) -> Self {
        let mut world = Self {
            defect,
            store: Store::default(),
            objects: BTreeMap::new(),
            now: EPOCH,
            executions: BTreeMap::new(),
            holders: Vec::new(),
            lost: VecDeque::new(),
            journals: Vec::new(),
            ledgers: (0..LEDGERS).map(|_| None).collect(),
            appended: Vec::new(),
            delayed_objects: VecDeque::new(),
        };
        let mut transaction = Transaction::default();
        for budget in 0..BUDGETS {
            let value = format!(r#"{{"purchased":{ALLOCATED},"allocated":{ALLOCATED}}}"#);
            transaction.put(format!("budget/b{budget}"), value);
        }
        world.store.table.commit(&transaction);
        for _ in 0..HOLDERS {
            let holder = world.new_holder();
            world.holders.push(holder);
        }
        world
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Execute(holder, second, budget, n) => self.execute(holder, second, budget, n),
            Step::Flush(holder) => self.flush(holder),
            Step::DeclareLost(holder) => self.declare_lost(holder),
            Step::Return => self.return_lost(),
            Step::Acquire(ledger, fault) => self.acquire(ledger, fault),
            Step::Visit(ledger, journal, fault, n) => self.visit(ledger, journal, fault, n),
            Step::Restart(ledger) => self.ledgers[ledger] = None,
            Step::Advance(seconds) => self.now += Duration::from_secs(seconds),
            Step::Deliver => drop(self.deliver()),
        }
    }

    fn check(&self) {
        self.billed();
    }

    fn finish(&mut self) {
        self.run_to_completion();
        self.check_final_state();
    }
}
