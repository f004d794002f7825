//! Harness that runs random steps from a fixed seed against a table service with faults.

use {
    marigoldroute_core::table::{Memory, Transaction, Verdict},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestError, TestRunner},
    },
    proptest_state_machine::ReferenceStateMachine,
    std::{
        cell::Cell, collections::VecDeque, fmt::Debug, marker::PhantomData, sync::atomic::Ordering,
    },
};

/// Number of steps in a case.
const STEPS: std::ops::Range<usize> = 20..120;

/// Fault that one message meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The message is lost and has no effect.
    LostBefore,
    /// The message takes effect, but its reply is lost.
    LostAfter,
    /// The message takes effect at a later step, and its reply is lost.
    Delayed,
    /// An upstream refuses the request. The store treats this as [`Self::None`].
    Refused,
}

/// Generates faults, [`Fault::None`] for two messages in three.
pub fn fault() -> impl Strategy<Value = Fault> + Clone {
    prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        2 => Just(Fault::Delayed),
        1 => Just(Fault::Refused),
    ]
}

/// A table service that can be unavailable and can lose or delay transactions.
#[derive(Default)]
pub struct Store {
    pub table: Memory,
    pub is_down: bool,
    delayed: VecDeque<Transaction>,
}

impl Store {
    /// Commits a transaction subject to a fault. Returns the verdict, or `None` when no reply
    /// arrives.
    pub fn commit(&mut self, transaction: Transaction, fault: Fault) -> Option<Verdict> {
        match fault {
            _ if self.is_down => None,
            Fault::None | Fault::Refused => Some(self.table.commit(&transaction)),
            Fault::LostBefore => None,
            Fault::LostAfter => {
                self.table.commit(&transaction);
                None
            }
            Fault::Delayed => {
                self.delayed.push_back(transaction);
                None
            }
        }
    }

    /// Commits the oldest delayed transaction and returns whether there was one.
    pub fn deliver(&mut self) -> bool {
        let transaction = self.delayed.pop_front();
        transaction.map(|t| self.table.commit(&t)).is_some()
    }
}

/// The system under test, a simulation of its environment, and the oracle that checks it.
pub trait World: Sized + 'static {
    type Step: Clone + Debug + 'static;
    /// Deliberate defects of the code that drives the system under test. Each violates one
    /// property, which the oracle must detect.
    type Defect: Copy + Debug;

    /// Generates one step.
    fn steps() -> BoxedStrategy<Self::Step>;
    fn new(defect: Option<Self::Defect>) -> Self;
    fn apply(&mut self, step: Self::Step);
    /// Checks the invariants that hold after every step.
    fn check(&self);
    /// Ends the case and checks the invariants of the final state.
    fn finish(&mut self);
}

/// Strategy for a step. It is built only once, because building it costs more than a step.
#[derive(Clone, Debug)]
struct StepStrategy<S: Debug>(BoxedStrategy<S>);

/// State machine whose transitions are the steps of a world; the world itself holds the state.
struct StepMachine<W>(PhantomData<W>);

impl<W: World> ReferenceStateMachine for StepMachine<W> {
    type State = StepStrategy<W::Step>;
    type Transition = W::Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(StepStrategy(W::steps())).boxed()
    }

    fn transitions(state: &Self::State) -> BoxedStrategy<W::Step> {
        state.0.clone()
    }

    fn apply(state: Self::State, _: &W::Step) -> Self::State {
        state
    }
}

/// Runs up to `cases` cases and returns the number of the first case that failed, with the reason
/// and the shortest failing sequence of steps found within `shrink` shrinking iterations.
pub fn first_failure<W: World>(
    defect: Option<W::Defect>,
    seed: u64,
    cases: u32,
    shrink: u32,
) -> Option<(u32, String)> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: shrink,
        ..Config::default()
    };
    let (count, is_failed) = (Cell::new(0), Cell::new(false));
    let strategy = StepMachine::<W>::sequential_strategy(STEPS);
    let result = TestRunner::new(config).run(&strategy, |(_, steps, seen)| {
        if !is_failed.replace(true) {
            count.set(count.get() + 1);
        }
        let mut world = W::new(defect);
        for step in steps {
            if let Some(seen) = &seen {
                seen.fetch_add(1, Ordering::SeqCst);
            }
            world.apply(step);
            world.check();
        }
        world.finish();
        is_failed.set(false);
        Ok(())
    });
    let reason = match result {
        Ok(()) => return None,
        Err(TestError::Fail(reason, (_, steps, _))) => format!("{reason}: {steps:?}"),
        Err(TestError::Abort(reason)) => reason.to_string(),
    };
    Some((count.get(), reason))
}

/// Asserts that a defect is detected within `cases` cases, for one of the expected reasons.
pub fn detect<W: World>(defect: W::Defect, seed: u64, cases: u32, reasons: &[&str]) {
    let failure = first_failure::<W>(Some(defect), seed, cases, 1);
    let (case, found) = failure.expect("the defect was not detected");
    println!("{defect:?}: detected in case {case}");
    let is_expected = reasons.iter().any(|reason| found.contains(reason));
    assert!(is_expected, "{defect:?}: {found}");
}
