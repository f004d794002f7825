//! Stateful fuzzing of the escrow against an oracle that counts tokens only.

use {
    super::{
        super::{Change, Entry, Request},
        harness::{Defect, Harness, StoreBehaviour, budget},
        inspect::{is_lost, last_shares},
    },
    crate::id::Tokens,
    proptest::{
        prelude::*,
        strategy::ValueTree,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::{
        cell::RefCell,
        collections::BTreeMap,
        panic::{AssertUnwindSafe, catch_unwind},
        sync::atomic::Ordering,
        time::Duration,
    },
};

const BUDGETS: u8 = 2;
const CASES: u64 = 400;
/// Number of seeds within which a defect has to be found.
const SEED_LIMIT: u64 = 100;

#[derive(Clone, Debug)]
enum Step {
    Reserve(u8, u8, Tokens),
    Settle(u8, u8, Tokens),
    Release(u8, u8),
    Lower(u8, u8, Tokens),
    Flush(u8, StoreBehaviour),
    FlushAll,
    Replay(u8),
    Tick(u64),
    TakeSnapshot,
    Kill(u8),
    Stop(u8),
    Reclaim(u8, StoreBehaviour),
    /// Budget, id of the operator's request, change, and behaviour of the store.
    Operate(u8, u8, Change, StoreBehaviour),
}

/// Reference model of the operators' changes: a request id is applied once.
#[derive(Clone, Debug)]
struct OperatorModel {
    defect: Defect,
    receipts: BTreeMap<(u8, u8), Change>,
    /// Purchased and cut tokens by budget.
    totals: BTreeMap<u8, (Tokens, Tokens)>,
    /// Whether the last operator's request was accepted.
    accepted: bool,
}

impl ReferenceStateMachine for OperatorModel {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            defect: Defect::None,
            receipts: BTreeMap::new(),
            totals: BTreeMap::new(),
            accepted: false,
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let store = || {
            prop_oneof![
                5 => Just(StoreBehaviour::Up),
                1 => Just(StoreBehaviour::Down),
                2 => Just(StoreBehaviour::Lost),
                2 => Just(StoreBehaviour::Stale),
            ]
        };
        let change = prop_oneof![
            3 => (500..4_000_u64).prop_map(Change::TopUp),
            1 => (100..1_500_u64).prop_map(Change::Cut),
        ];
        let node = any::<u8>;
        prop_oneof![
            14 => (node(), 0..BUDGETS, 1..300_u64).prop_map(|(n, b, t)| Step::Reserve(n, b, t)),
            8 => (node(), node(), 1..330_u64).prop_map(|(n, p, t)| Step::Settle(n, p, t)),
            2 => (node(), node()).prop_map(|(n, p)| Step::Release(n, p)),
            1 => (node(), node(), 1..300_u64).prop_map(|(n, p, t)| Step::Lower(n, p, t)),
            8 => (node(), store()).prop_map(|(n, s)| Step::Flush(n, s)),
            4 => Just(Step::FlushAll),
            1 => node().prop_map(Step::Replay),
            4 => (1..20_u64).prop_map(Step::Tick),
            1 => Just(Step::TakeSnapshot),
            1 => node().prop_map(Step::Kill),
            1 => node().prop_map(Step::Stop),
            2 => (node(), store()).prop_map(|(n, s)| Step::Reclaim(n, s)),
            4 => (0..BUDGETS, 0..8_u8, change, store())
                .prop_map(|(b, id, c, s)| Step::Operate(b, id, c, s)),
        ]
        .boxed()
    }

    fn apply(mut model: Self, step: &Step) -> Self {
        let Step::Operate(budget, id, change, _) = step else {
            return model;
        };
        let (bought, cut) = model.totals.entry(*budget).or_default();
        if let Some(earlier) = model.receipts.get(&(*budget, *id)) {
            model.accepted = earlier == change;
            return model;
        }
        model.accepted = match change {
            Change::TopUp(amount) => {
                *bought += amount;
                true
            }
            Change::Cut(amount) => {
                let fits = *cut + amount <= *bought;
                *cut += if fits { *amount } else { 0 };
                fits
            }
        };
        if model.accepted {
            model.receipts.insert((*budget, *id), *change);
        }
        model
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Harness;
    type Reference = OperatorModel;

    fn init_test(model: &OperatorModel) -> Harness {
        Harness::new(model.defect)
    }

    fn apply(mut harness: Harness, model: &OperatorModel, step: Step) -> Harness {
        match step {
            Step::Reserve(n, b, tokens) => {
                harness.reserve(harness.live_node(n), &budget(b), tokens);
            }
            Step::Settle(n, pick, tokens) => harness.settle(harness.live_node(n), pick, tokens),
            Step::Release(n, pick) => harness.release(harness.live_node(n), pick),
            Step::Lower(n, pick, tokens) => harness.lower(harness.live_node(n), pick, tokens),
            Step::Flush(n, store) => harness.flush(harness.live_node(n), store),
            Step::FlushAll => {
                (0..harness.nodes.len()).for_each(|n| harness.flush(n, StoreBehaviour::Up));
            }
            Step::Replay(index) => harness.replay(index),
            Step::Tick(seconds) => harness.now += Duration::from_secs(seconds),
            Step::TakeSnapshot => harness.take_snapshot(),
            Step::Kill(n) => harness.kill(harness.live_node(n)),
            Step::Stop(n) => {
                let n = harness.live_node(n);
                harness.nodes[n]
                    .holder
                    .iter_mut()
                    .for_each(|holder| holder.stop());
            }
            Step::Reclaim(n, store) => harness.reclaim(harness.index(n), store),
            Step::Operate(b, id, change, store) => {
                let request = Request {
                    budget: budget(b),
                    id: id.to_string(),
                    change,
                    operator: "operator".into(),
                };
                assert_eq!(
                    harness.operate(&request, store),
                    model.accepted,
                    "{request:?}"
                );
            }
        }
        harness.spawn();
        check(&mut harness, model);
        harness
    }

    fn teardown(mut harness: Harness, model: OperatorModel) {
        count(&mut harness);
        finish(&mut harness);
        check(&mut harness, &model);
        for b in 0..BUDGETS {
            let billed = billed(&mut harness, &budget(b));
            let account = harness.account(&budget(b));
            assert_eq!(
                account.allocated, billed,
                "tokens are not back: {account:?}"
            );
        }
        for node in 0..harness.nodes.len() {
            assert_eq!(harness.unbilled(node), [], "bills are missing");
        }
    }
}

/// Checks that tokens are conserved, that billed tokens do not exceed the purchased ones, that
/// holders' unwritten use stays below their marks, and that no request is billed twice.
fn check(harness: &mut Harness, model: &OperatorModel) {
    for b in 0..BUDGETS {
        let id = budget(b);
        let account = harness.account(&id);
        let (bought, cut) = model.totals.get(&b).copied().unwrap_or_default();
        assert_eq!(account.purchased + cut, bought + account.cut, "purchased");
        let billed = billed(harness, &id);
        assert!(
            billed <= account.purchased,
            "overspent: {billed} {account:?}"
        );
        let mut outstanding = 0;
        for node in 0..harness.nodes.len() {
            let rows = harness.rows(&harness.nodes[node].id.clone());
            let share = last_shares(&rows).get(&id).copied().unwrap_or_default();
            outstanding += share.allocated - share.spent;
            if !is_lost(&rows) {
                let unwritten = unwritten(harness, node, &id);
                assert!(
                    unwritten <= share.mark - share.spent,
                    "above the mark: {unwritten} {share:?}"
                );
            }
        }
        assert_eq!(
            account.allocated,
            billed + outstanding,
            "conserved: {account:?}"
        );
    }
    let mut requests = BTreeMap::new();
    for node in 0..harness.nodes.len() {
        for row in harness.rows(&harness.nodes[node].id.clone()) {
            for bill in row.entry.bills() {
                let record = &harness.records[&bill.request].bill;
                let total = record.charged + record.uncovered;
                assert_eq!(bill.charged + bill.uncovered, total, "usage of {bill:?}");
                let earlier = requests.insert(bill.request.clone(), bill.clone());
                assert_eq!(earlier, None, "billed twice");
            }
        }
    }
}

fn billed(harness: &mut Harness, budget: &str) -> Tokens {
    let mut sum = 0;
    for node in 0..harness.nodes.len() {
        let rows = harness.rows(&harness.nodes[node].id.clone());
        let bills = rows.iter().flat_map(|row| row.entry.bills());
        sum += bills
            .filter(|bill| *bill.budget == *budget)
            .map(|bill| bill.charged)
            .sum::<Tokens>();
    }
    sum
}

/// Returns the tokens that a node's requests have used or reserved and that are in no journal row.
fn unwritten(harness: &mut Harness, node: usize, budget: &str) -> Tokens {
    let bills = harness.unbilled(node);
    let used = bills.iter().filter(|bill| *bill.budget == *budget);
    let used: Tokens = used.map(|bill| bill.charged).sum();
    let open = harness.nodes[node].open.values();
    let open: Tokens = open
        .filter(|(id, _)| **id == *budget)
        .map(|(_, amount)| amount)
        .sum();
    used + open
}

/// Settles all requests and closes all journals on a store without faults.
fn finish(harness: &mut Harness) {
    for node in 0..harness.nodes.len() {
        while !harness.nodes[node].open.is_empty() {
            harness.settle(node, 0, 50);
        }
        harness.nodes[node]
            .holder
            .iter_mut()
            .for_each(|holder| holder.stop());
    }
    for _ in 0..40 {
        harness.now += Duration::from_secs(5);
        for node in 0..harness.nodes.len() {
            match harness.nodes[node].holder {
                Some(_) => harness.flush(node, StoreBehaviour::Up),
                None => harness.reclaim(node, StoreBehaviour::Up),
            }
        }
    }
}

/// Runs the case of a seed.
///
/// # Errors
/// The seed, the step and the message of a failed check.
fn run(defect: Defect, seed: u64) -> Result<(), String> {
    let config = Config::default();
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = OperatorModel::sequential_strategy(40..160);
    let tree = strategy.new_tree(&mut runner).unwrap();
    let (model, steps, seen) = tree.current();
    let model = OperatorModel { defect, ..model };
    let counter = seen.clone();
    let test = || Machine::test_sequential(config, model, steps, seen);
    catch_unwind(AssertUnwindSafe(test)).map_err(|panic| {
        let steps = counter.map_or(0, |counter| counter.load(Ordering::SeqCst));
        let text = panic.downcast_ref::<String>().cloned();
        format!("seed {seed}, step {steps}: {}", text.unwrap_or_default())
    })
}

thread_local! {
    /// Number of rows and states by name that the cases of this thread have reached.
    static REACHED: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts the rows and states that a finished case has reached.
fn count(harness: &mut Harness) {
    let mut reached = Vec::new();
    for node in 0..harness.nodes.len() {
        for row in harness.rows(&harness.nodes[node].id.clone()) {
            reached.push(match row.entry {
                Entry::Flush { bills, .. } if bills.is_empty() => "flush",
                Entry::Flush { .. } => "flush with bills",
                Entry::Fence { .. } => "fence",
                Entry::Close { .. } => "close",
                Entry::Lost { bills, .. } if bills.is_empty() => "lost",
                Entry::Lost { .. } => "lost with bills",
                Entry::Late { .. } => "late",
            });
        }
        let holder = harness.nodes[node].holder.as_ref();
        reached.extend(
            holder
                .filter(|h| h.is_fenced())
                .map(|_| "holder fenced at the end"),
        );
    }
    for b in 0..BUDGETS {
        let account = harness.account(&budget(b));
        reached.extend((account.cut > 0).then_some("cut pending"));
        reached.extend(account.wanted.map(|_| "wanted"));
    }
    REACHED.with_borrow_mut(|counts| {
        for name in reached {
            *counts.entry(name).or_default() += 1;
        }
    });
}

/// Guards against overspend, lost tokens and double billing under any order of steps and faults.
#[test]
fn tokens_are_conserved_under_faults() {
    let failed: Vec<_> = (0..CASES)
        .filter_map(|seed| run(Defect::None, seed).err())
        .collect();
    let first = failed.first();
    assert!(
        first.is_none(),
        "{} of {CASES} seeds failed: {first:?}",
        failed.len()
    );
    let reached = REACHED.take();
    println!("{reached:?}");
    // The checks are meaningless if no case fences or loses a holder, cuts a budget or runs short.
    for name in [
        "fence",
        "close",
        "lost",
        "lost with bills",
        "late",
        "cut pending",
        "wanted",
    ] {
        assert!(reached.contains_key(name), "no case reached {name}");
    }
}

/// Guards against an oracle that accepts faulty code: it has to find each deliberate defect.
#[test]
fn oracle_finds_each_defect() {
    for defect in [
        Defect::ReserveAboveMark,
        Defect::ReclaimMarked,
        Defect::ApplyTwice,
        Defect::BillTwice,
        Defect::ForgetAnswer,
        Defect::IgnoreVersion,
        Defect::KeepAfterLoss,
    ] {
        let found = (0..SEED_LIMIT).find(|seed| run(defect, *seed).is_err());
        println!("{defect:?}: found by seed {found:?}");
        assert!(
            found.is_some(),
            "{defect:?} was not found by {SEED_LIMIT} seeds"
        );
    }
}
