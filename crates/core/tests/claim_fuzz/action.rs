//! What routers and their surroundings do, and deliberate defects.

use {
    crate::fuzz::{Fault, fault},
    proptest::prelude::*,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Sends a request whose claim could not be confirmed.
    SendUnconfirmed,
    /// Commits claims without their conditions.
    Unconditional,
    /// Sends after the window has passed.
    SendLate,
    /// Reports upstreams as fenced that are not.
    NoFence,
    /// Releases a request whose response was lost as refused.
    ReleaseSent,
    /// Replays the last result that the router saw, whatever its key.
    CrossedReplay,
}

/// What one router or its surroundings do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Key and body.
    Submit(u8, u8),
    Flush(Fault),
    /// Whether rows can be read back, and whether all other routers are suspected to be gone.
    Answer(bool, bool),
    /// Whether the upstream can be reached.
    Ask(bool),
    Resolve,
    Send(Fault),
    Finish,
    Release,
    Backlog(Fault),
    /// From the flush to the recorded result without faults, except for a false suspicion.
    Run(bool),
    Kill,
    /// Seconds.
    Advance(u64),
    Sweep,
    Deliver,
    Down(bool),
}

pub fn actions() -> impl Strategy<Value = Action> {
    let key = prop::sample::select(vec![0, 1, 2, 2]);
    let rare = prop::bool::weighted(0.2);
    let usual = prop::bool::weighted(0.8);
    prop_oneof![
        10 => (key, prop::bool::weighted(0.05)).prop_map(|(key, b)| Action::Submit(key, b.into())),
        8 => fault().prop_map(Action::Flush),
        8 => (usual, rare).prop_map(|(readable, suspect)| Action::Answer(readable, suspect)),
        3 => usual.prop_map(Action::Ask),
        3 => Just(Action::Resolve),
        6 => fault().prop_map(Action::Send),
        4 => Just(Action::Finish),
        1 => Just(Action::Release),
        5 => fault().prop_map(Action::Backlog),
        8 => rare.prop_map(Action::Run),
        4 => Just(Action::Kill),
        1 => prop::sample::select(vec![10, 40, 70, 90_000]).prop_map(Action::Advance),
        1 => Just(Action::Sweep),
        2 => Just(Action::Deliver),
        1 => rare.prop_map(Action::Down),
    ]
}
