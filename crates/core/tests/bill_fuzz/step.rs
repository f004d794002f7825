//! Steps of the test, and deliberate defects.

use {crate::fuzz::Fault, marigoldroute_core::id::Tokens};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Ledger transactions without the condition on the lease.
    NoLease,
    /// Ledger transactions without the condition on the cursor.
    NoCursor,
    /// A ledger that forgets after a lost reply that its last batch may be open.
    ForgetOpenBatch,
    /// A lease that counts as acquired whenever the row names the process, even if the row is from
    /// an earlier transaction.
    UnconfirmedLease,
    /// Slots that are loaded as empty, without their index objects.
    NoIndex,
    /// A batch that is closed although its objects were not stored.
    CloseEarly,
    /// Dropped bills whose tokens are not returned.
    NoRefund,
    /// A lost holder whose usage records are not billed.
    NoRecovery,
}

#[derive(Clone, Debug)]
pub enum Step {
    /// A request is executed and settled at one or two holders: first holder, second holder, budget
    /// and tokens.
    Execute(usize, Option<usize>, usize, Tokens),
    /// A holder appends its bills.
    Flush(usize),
    /// A holder is declared lost; its unwritten bills are recovered from the engines' records.
    DeclareLost(usize),
    /// The holder that was declared lost first returns and appends its unwritten bills.
    Return,
    /// A ledger acquires or renews the lease.
    Acquire(usize, Fault),
    /// A ledger takes the next step for a journal: ledger, journal, fault of the transaction, and
    /// the number of objects that are stored.
    Visit(usize, usize, Fault, usize),
    /// A ledger process is replaced.
    Restart(usize),
    /// The time advances by a number of seconds.
    Advance(u64),
    /// One delayed transaction and one delayed object reach the stores.
    Deliver,
}
