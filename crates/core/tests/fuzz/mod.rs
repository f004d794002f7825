//! Runs state machines with a fixed seed.

use {
    proptest::test_runner::{Config, RngSeed, TestError, TestRunner},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::cell::Cell,
};

/// Steps per case.
const STEPS: std::ops::Range<usize> = 20..120;

fn config(seed: u64, cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Runs up to `cases` cases and returns the number of the first case that failed, with the
/// reason and the shortest failing steps.
pub fn first_failure<M>(seed: u64, cases: u32, shrink: u32) -> Option<(u32, String)>
where
    M: StateMachineTest,
    <M::Reference as ReferenceStateMachine>::Transition: std::fmt::Debug,
    <M::Reference as ReferenceStateMachine>::State: std::fmt::Debug,
{
    let config = Config {
        max_shrink_iters: shrink,
        ..config(seed, cases)
    };
    let count = Cell::new(0);
    let is_failed = Cell::new(false);
    let mut runner = TestRunner::new(config.clone());
    let result = runner.run(
        &M::Reference::sequential_strategy(STEPS),
        |(state, steps, seen)| {
            if !is_failed.get() {
                count.set(count.get() + 1);
            }
            is_failed.set(true);
            M::test_sequential(config.clone(), state, steps, seen);
            is_failed.set(false);
            Ok(())
        },
    );
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, (_, steps, _))) => {
            Some((count.get(), format!("{reason}: {steps:?}")))
        }
        Err(TestError::Abort(reason)) => Some((count.get(), reason.to_string())),
    }
}
