//! Stateful fuzzing of the escrow against an oracle that only counts tokens.

use {
    super::{
        super::{Change, Entry, Request},
        view::{is_lost, last_shares},
        world::{Defect, Store, World, budget},
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
/// A defect has to be found within this number of seeds.
const SEEDS: u64 = 100;

#[derive(Clone, Debug)]
enum Step {
    Reserve(u8, u8, Tokens),
    Settle(u8, u8, Tokens),
    Release(u8, u8),
    Lower(u8, u8, Tokens),
    Flush(u8, Store),
    FlushAll,
    Replay(u8),
    Tick(u64),
    RememberPast,
    Kill(u8),
    Stop(u8),
    Reclaim(u8, Store),
    /// The budget, the operator's request id, the change, and how the answer arrives.
    Operate(u8, u8, Change, Store),
}

/// What operators bought and cut, by the rule that a request id counts once.
#[derive(Clone, Debug)]
struct Books {
    defect: Defect,
    receipts: BTreeMap<(u8, u8), Change>,
    /// Tokens bought and cut per budget.
    totals: BTreeMap<u8, (Tokens, Tokens)>,
    /// Whether the last step was accepted, when it was an operator's.
    accepted: bool,
}

impl ReferenceStateMachine for Books {
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
                5 => Just(Store::Up),
                1 => Just(Store::Down),
                2 => Just(Store::Lost),
                2 => Just(Store::Stale),
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
            1 => Just(Step::RememberPast),
            1 => node().prop_map(Step::Kill),
            1 => node().prop_map(Step::Stop),
            2 => (node(), store()).prop_map(|(n, s)| Step::Reclaim(n, s)),
            4 => (0..BUDGETS, 0..8_u8, change, store())
                .prop_map(|(b, id, c, s)| Step::Operate(b, id, c, s)),
        ]
        .boxed()
    }

    fn apply(mut books: Self, step: &Step) -> Self {
        let Step::Operate(budget, id, change, _) = step else {
            return books;
        };
        let (bought, cut) = books.totals.entry(*budget).or_default();
        if let Some(earlier) = books.receipts.get(&(*budget, *id)) {
            books.accepted = earlier == change;
            return books;
        }
        books.accepted = match change {
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
        if books.accepted {
            books.receipts.insert((*budget, *id), *change);
        }
        books
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Books;

    fn init_test(books: &Books) -> World {
        World::new(books.defect)
    }

    fn apply(mut world: World, books: &Books, step: Step) -> World {
        match step {
            Step::Reserve(n, b, tokens) => world.reserve(world.live(n), &budget(b), tokens),
            Step::Settle(n, pick, tokens) => world.settle(world.live(n), pick, tokens),
            Step::Release(n, pick) => world.release(world.live(n), pick),
            Step::Lower(n, pick, tokens) => world.lower(world.live(n), pick, tokens),
            Step::Flush(n, store) => world.flush(world.live(n), store),
            Step::FlushAll => (0..world.nodes.len()).for_each(|n| world.flush(n, Store::Up)),
            Step::Replay(index) => world.replay(index),
            Step::Tick(seconds) => world.now += Duration::from_secs(seconds),
            Step::RememberPast => world.remember_past(),
            Step::Kill(n) => world.kill(world.live(n)),
            Step::Stop(n) => {
                let n = world.live(n);
                world.nodes[n]
                    .holder
                    .iter_mut()
                    .for_each(|holder| holder.stop());
            }
            Step::Reclaim(n, store) => world.reclaim(world.index(n), store),
            Step::Operate(b, id, change, store) => {
                let request = Request {
                    budget: budget(b),
                    id: id.to_string(),
                    change,
                    operator: "operator".into(),
                };
                assert_eq!(
                    world.operate(&request, store),
                    books.accepted,
                    "{request:?}"
                );
            }
        }
        world.spawn();
        check(&mut world, books);
        world
    }

    fn teardown(mut world: World, books: Books) {
        count(&mut world);
        finish(&mut world);
        check(&mut world, &books);
        for b in 0..BUDGETS {
            let billed = billed(&mut world, &budget(b));
            let account = world.account(&budget(b));
            assert_eq!(
                account.allocated, billed,
                "tokens are not back: {account:?}"
            );
        }
        for node in 0..world.nodes.len() {
            assert_eq!(world.unbilled(node), [], "bills are missing");
        }
    }
}

/// Checks that tokens are conserved, that spend stays within what was bought, that what holders
/// may still spend is allocated to them, and that no request is billed twice.
fn check(world: &mut World, books: &Books) {
    for b in 0..BUDGETS {
        let id = budget(b);
        let account = world.account(&id);
        let (bought, cut) = books.totals.get(&b).copied().unwrap_or_default();
        assert_eq!(account.purchased + cut, bought + account.cut, "purchased");
        let billed = billed(world, &id);
        assert!(
            billed <= account.purchased,
            "overspent: {billed} {account:?}"
        );
        let mut outstanding = 0;
        for node in 0..world.nodes.len() {
            let rows = world.rows(&world.nodes[node].id.clone());
            let share = last_shares(&rows).get(&id).copied().unwrap_or_default();
            outstanding += share.allocated - share.spent;
            if !is_lost(&rows) {
                let unwritten = unwritten(world, node, &id);
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
    for node in 0..world.nodes.len() {
        for row in world.rows(&world.nodes[node].id.clone()) {
            for bill in row.entry.bills() {
                let record = &world.records[&bill.request].bill;
                let total = record.charged + record.uncovered;
                assert_eq!(bill.charged + bill.uncovered, total, "usage of {bill:?}");
                let earlier = requests.insert(bill.request.clone(), bill.clone());
                assert_eq!(earlier, None, "billed twice");
            }
        }
    }
}

fn billed(world: &mut World, budget: &str) -> Tokens {
    let mut sum = 0;
    for node in 0..world.nodes.len() {
        let rows = world.rows(&world.nodes[node].id.clone());
        let bills = rows.iter().flat_map(|row| row.entry.bills());
        sum += bills
            .filter(|bill| *bill.budget == *budget)
            .map(|bill| bill.charged)
            .sum::<Tokens>();
    }
    sum
}

/// Returns the tokens that a node's requests have used or reserved and no row holds.
fn unwritten(world: &mut World, node: usize, budget: &str) -> Tokens {
    let bills = world.unbilled(node);
    let used = bills.iter().filter(|bill| *bill.budget == *budget);
    let used: Tokens = used.map(|bill| bill.charged).sum();
    let open = world.nodes[node].open.values();
    let open: Tokens = open
        .filter(|(id, _)| **id == *budget)
        .map(|(_, amount)| amount)
        .sum();
    used + open
}

/// Ends all faults and requests, and closes every journal.
fn finish(world: &mut World) {
    for node in 0..world.nodes.len() {
        while !world.nodes[node].open.is_empty() {
            world.settle(node, 0, 50);
        }
        world.nodes[node]
            .holder
            .iter_mut()
            .for_each(|holder| holder.stop());
    }
    for _ in 0..40 {
        world.now += Duration::from_secs(5);
        for node in 0..world.nodes.len() {
            match world.nodes[node].holder {
                Some(_) => world.flush(node, Store::Up),
                None => world.reclaim(node, Store::Up),
            }
        }
    }
}

/// Runs the case of a seed and returns the failure.
fn run(defect: Defect, seed: u64) -> Result<(), String> {
    let config = Config::default();
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Books::sequential_strategy(40..160);
    let tree = strategy.new_tree(&mut runner).unwrap();
    let (books, steps, seen) = tree.current();
    let books = Books { defect, ..books };
    let counter = seen.clone();
    let test = || Machine::test_sequential(config, books, steps, seen);
    catch_unwind(AssertUnwindSafe(test)).map_err(|panic| {
        let steps = counter.map_or(0, |counter| counter.load(Ordering::SeqCst));
        let text = panic.downcast_ref::<String>().cloned();
        format!("seed {seed}, step {steps}: {}", text.unwrap_or_default())
    })
}

thread_local! {
    /// Rows and states that the cases of this thread reached, by name.
    static REACHED: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts what a finished case reached.
fn count(world: &mut World) {
    let mut reached = Vec::new();
    for node in 0..world.nodes.len() {
        for row in world.rows(&world.nodes[node].id.clone()) {
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
        let holder = world.nodes[node].holder.as_ref();
        reached.extend(
            holder
                .filter(|h| h.is_fenced())
                .map(|_| "holder fenced at the end"),
        );
    }
    for b in 0..BUDGETS {
        let account = world.account(&budget(b));
        reached.extend((account.cut > 0).then_some("cut pending"));
        reached.extend(account.wanted.map(|_| "wanted"));
    }
    REACHED.with_borrow_mut(|counts| {
        for name in reached {
            *counts.entry(name).or_default() += 1;
        }
    });
}

/// Guards against overspend, lost tokens and double bills in any order of steps and faults.
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
    // Cases that never fence, lose, cut or starve would check nothing.
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

/// Guards against an oracle that passes faulty code: each deliberate defect has to be found.
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
        let found = (0..SEEDS).find(|seed| run(defect, *seed).is_err());
        println!("{defect:?}: found by seed {found:?}");
        assert!(found.is_some(), "{defect:?} was not found by {SEEDS} seeds");
    }
}
