//! Actions of routers, the store and the upstream, and deliberate defects.

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
    /// Sends a request after the time within which it may be sent.
    SendLate,
    /// Reports an upstream as fenced that does not refuse the request.
    NoFence,
    /// Releases the claim of a request whose response was lost, as if it had been refused.
    ReleaseSent,
    /// Replays the last response that the router replayed, whatever its key.
    ReplayOfOtherKey,
}

/// An action of one router, the store or the upstream.
#[derive(Clone, Debug)]
pub enum Action {
    /// A request is submitted: key and body.
    Submit(u8, u8),
    /// The next batch is committed.
    Flush(Fault),
    /// The reply to a batch is handled: whether rows can be read back, and whether all routers are
    /// suspected to be gone.
    HandleReply(bool, bool),
    /// A query is answered: whether the upstream can be reached.
    AnswerQuery(bool),
    /// The result of a query is applied.
    Resolve,
    /// A request with a claim is sent.
    Send(Fault),
    /// The response of a sent request is recorded, or its claim is marked as unresolved.
    Finish,
    /// The claim of an unsent request is released.
    Release,
    /// An update of the backlog is written.
    WriteBacklog(Fault),
    /// All actions from the flush to the recorded response, without faults except for a suspicion
    /// of all routers.
    Run(bool),
    /// The router is replaced by one with a new id and without state.
    Restart,
    /// The time advances by a number of seconds.
    Advance(u64),
    /// Expired claims are deleted.
    Sweep,
    /// A delayed transaction reaches the store and a delayed request the upstream.
    Deliver,
    /// Whether the store is down from now on.
    SetDown(bool),
}

pub fn actions() -> impl Strategy<Value = Action> {
    let key = prop::sample::select(vec![0, 1, 2, 2]);
    let rare = prop::bool::weighted(0.2);
    let usual = prop::bool::weighted(0.8);
    prop_oneof![
        10 => (key, prop::bool::weighted(0.05)).prop_map(|(key, b)| Action::Submit(key, b.into())),
        8 => fault().prop_map(Action::Flush),
        8 => (usual, rare).prop_map(|(readable, suspect)| Action::HandleReply(readable, suspect)),
        3 => usual.prop_map(Action::AnswerQuery),
        3 => Just(Action::Resolve),
        6 => fault().prop_map(Action::Send),
        4 => Just(Action::Finish),
        1 => Just(Action::Release),
        5 => fault().prop_map(Action::WriteBacklog),
        8 => rare.prop_map(Action::Run),
        4 => Just(Action::Restart),
        1 => prop::sample::select(vec![10, 40, 70, 90_000]).prop_map(Action::Advance),
        1 => Just(Action::Sweep),
        2 => Just(Action::Deliver),
        1 => rare.prop_map(Action::SetDown),
    ]
}
