//! What happens to holders and ledgers, and deliberate defects.

use {crate::fuzz::Fault, marigoldroute_core::id::Tokens};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Ledger transactions without the condition on the lease.
    NoLease,
    /// Ledger transactions without the condition on the cursor.
    NoCursor,
    /// A ledger that forgets after a lost reply that a batch is in doubt.
    ForgetDoubt,
    /// A lease that counts as taken when the row names the process, whoever wrote it.
    UnconfirmedLease,
    /// Slots that are taken as empty without reading their index.
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
    /// A request is executed and settled at a holder, sometimes at a second one too: holders,
    /// budget and tokens.
    Execute(usize, Option<usize>, usize, Tokens),
    /// A holder appends its bills.
    Flush(usize),
    /// A holder is gone; its unwritten bills are rebuilt from usage records.
    Lose(usize),
    /// A holder that was taken as lost returns and appends what it has.
    Return,
    /// A ledger takes or renews the lease.
    Acquire(usize, Fault),
    /// A ledger visits a journal: one transaction, or an attempt to store the objects, of which
    /// the given number succeeds.
    Visit(usize, usize, Fault, usize),
    /// A ledger process is replaced.
    Restart(usize),
    /// Seconds.
    Advance(u64),
    Deliver,
}
