//! Decides on proposals and commits them.

use {
    super::{
        ProposeError,
        task::{Event, Task},
    },
    marigoldroute_core::{
        config::{Proposal, Step},
        id::Version,
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_store::Fault,
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Largest number of retries of a proposal before it counts as unanswered.
pub(super) const PROPOSAL_RETRIES: u32 = 20;
/// Delay before a retry.
const PROPOSAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A proposal that is being decided.
pub(super) struct Attempt {
    pub(super) proposal: Box<Proposal>,
    pub(super) left: u32,
    pub(super) reply: oneshot::Sender<Result<Version, ProposeError>>,
}

impl Task {
    /// Reads the rows that the decision on a proposal needs.
    pub(super) fn start_attempt(&mut self, attempt: Attempt) {
        let platform = self.deps.platform.clone();
        self.calls.spawn(async move {
            let rows = platform.get_all(&attempt.proposal.required_keys()).await;
            Event::Decide(Box::new(attempt), rows)
        });
    }

    pub(super) fn decide(&mut self, mut attempt: Attempt, rows: Result<Vec<Row>, Fault>) {
        let rows = match rows {
            Ok(rows) => rows,
            Err(fault) => {
                self.record_platform_fault(fault);
                return self.retry(attempt);
            }
        };
        match attempt.proposal.decide(&rows, &self.log) {
            Err(refusal) => {
                let _ = attempt.reply.send(Err(ProposeError::Refused(refusal)));
            }
            Ok(Step::Accepted(version)) => accepted(attempt, version),
            Ok(Step::Commit(transaction)) => self.commit(attempt, transaction),
            Ok(Step::CatchUp(version)) => {
                let now = self.deps.clock.now();
                let own = self.deps.host.id.clone();
                // The store has a newer version; the log now reads it.
                self.log.observe(now, &own, version);
                self.retry(attempt);
            }
            Ok(Step::Reread) => self.retry(attempt),
        }
    }

    fn commit(&mut self, attempt: Attempt, transaction: Transaction) {
        let platform = self.deps.platform.clone();
        self.calls.spawn(async move {
            let verdict = platform.commit(&transaction).await;
            Event::Committed(Box::new(attempt), verdict)
        });
    }

    pub(super) fn committed(&mut self, mut attempt: Attempt, verdict: Result<Verdict, Fault>) {
        let verdict = match verdict {
            Ok(verdict) => verdict,
            Err(fault) => {
                self.record_platform_fault(fault);
                return self.retry(attempt);
            }
        };
        match attempt.proposal.apply_verdict(&verdict) {
            Ok(Some(version)) => accepted(attempt, version),
            Ok(None) => self.retry(attempt),
            Err(refusal) => {
                let _ = attempt.reply.send(Err(ProposeError::Refused(refusal)));
            }
        }
    }

    /// Reads the rows again after a delay, unless no retry is left.
    fn retry(&mut self, attempt: Attempt) {
        if attempt.left == 0 {
            let _ = attempt.reply.send(Err(ProposeError::Unanswered));
            return;
        }
        let left = attempt.left - 1;
        let attempt = Box::new(Attempt { left, ..attempt });
        let platform = self.deps.platform.clone();
        self.calls.spawn(async move {
            tokio::time::sleep(PROPOSAL_RETRY_DELAY).await;
            let rows = platform.get_all(&attempt.proposal.required_keys()).await;
            Event::Decide(attempt, rows)
        });
    }
}

fn accepted(attempt: Attempt, version: Version) {
    let author = &attempt.proposal.submission().author;
    log::info!(version, author:%; "configuration accepted");
    let _ = attempt.reply.send(Ok(version));
}
