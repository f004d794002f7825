//! Runs state machines with a fixed seed against a table service with faults.

use {
    marigoldroute_core::table::{Memory, Transaction, Verdict},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestError, TestRunner},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::{cell::Cell, collections::VecDeque, fmt::Debug},
};

/// Steps per case.
const STEPS: std::ops::Range<usize> = 20..120;

/// What happens to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    LostBefore,
    LostAfter,
    /// Takes effect at a later step.
    Delayed,
    /// An upstream refuses; the store takes it as [`Self::None`].
    Refused,
}

/// Returns faults for about one message in three.
pub fn fault() -> impl Strategy<Value = Fault> + Clone {
    prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        2 => Just(Fault::Delayed),
        1 => Just(Fault::Refused),
    ]
}

/// The table service.
#[derive(Default)]
pub struct Store {
    pub table: Memory,
    pub is_down: bool,
    delayed: VecDeque<Transaction>,
}

impl Store {
    /// Returns the verdict, or `None` when no reply arrives.
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

/// Runs up to `cases` cases and returns the number of the first case that failed, with the
/// reason and the shortest failing steps found in `shrink` attempts.
pub fn first_failure<M>(seed: u64, cases: u32, shrink: u32) -> Option<(u32, String)>
where
    M: StateMachineTest,
    <M::Reference as ReferenceStateMachine>::Transition: Debug,
    <M::Reference as ReferenceStateMachine>::State: Debug,
{
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: shrink,
        ..Config::default()
    };
    let (count, is_failed) = (Cell::new(0), Cell::new(false));
    let strategy = M::Reference::sequential_strategy(STEPS);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        if !is_failed.replace(true) {
            count.set(count.get() + 1);
        }
        M::test_sequential(config.clone(), state, steps, seen);
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

/// Checks that a machine with a deliberate defect fails for one of the expected reasons.
pub fn detect<M>(seed: u64, cases: u32, name: &str, reasons: &[&str])
where
    M: StateMachineTest,
    <M::Reference as ReferenceStateMachine>::Transition: Debug,
    <M::Reference as ReferenceStateMachine>::State: Debug,
{
    let failure = first_failure::<M>(seed, cases, 1);
    let (case, found) = failure.expect("the defect was not detected");
    println!("{name}: detected in case {case}");
    let is_expected = reasons.iter().any(|reason| found.contains(reason));
    assert!(is_expected, "{name}: {found}");
}
