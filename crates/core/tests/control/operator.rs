//! Operators who submit changes, and try again after lost answers.

use {
    super::{
        host::Process,
        oracle::Oracle,
        store::{Outcome, Store},
        world::Defect,
    },
    marigoldroute_core::{
        config::{Proposal, Refusal, Step},
        table::Transaction,
    },
    std::time::Duration,
};

const TRY_LIMIT: u32 = 60;

/// What an operator was told.
#[derive(Clone, Debug)]
enum Told {
    Accepted(u64),
    Refused,
}

pub struct Operator {
    pub proposal: Proposal,
    told: Option<Told>,
    tries: u32,
}

impl Operator {
    pub fn new(proposal: Proposal) -> Self {
        Self {
            proposal,
            told: None,
            tries: 0,
        }
    }

    pub fn is_open(&self) -> bool {
        self.told.is_none() && self.tries < TRY_LIMIT
    }

    /// Makes one attempt; returns a transaction that arrives late.
    pub fn attempt(
        &mut self,
        now: Duration,
        host: &Process,
        store: &mut Store,
        defect: Option<Defect>,
    ) -> Option<Transaction> {
        if !self.is_open() {
            return None;
        }
        self.tries += 1;
        if self.proposal.request.ends_with('\'') {
            self.proposal.base = host.log.version();
        }
        let keys = self.proposal.keys();
        let rows: Option<Vec<_>> = keys.iter().map(|key| store.get(now, key)).collect();
        let rows: Vec<_> = rows?.into_iter().flatten().collect();
        match self.proposal.decide(&rows, &host.log) {
            Ok(Step::Accepted(version)) => self.told = Some(Told::Accepted(version)),
            Ok(Step::CatchUp(_) | Step::Reread) => {}
            Ok(Step::Commit(transaction)) => match store.commit(now, &transaction) {
                Outcome::Answered => {}
                Outcome::Late => return Some(transaction),
                Outcome::Lost if defect == Some(Defect::LostAnswerIsNewRequest) => {
                    self.proposal.request = format!("{}'", self.proposal.request).into();
                    self.tries = 0;
                }
                Outcome::Lost => {}
            },
            Err(Refusal::Conflict(_) | Refusal::Rejected(_) | Refusal::Reused(_)) => {
                self.told = Some(Told::Refused);
            }
        }
        None
    }

    pub fn check(&self, oracle: &Oracle) {
        let request = self.proposal.request.trim_end_matches('\'');
        let found = oracle.find(request);
        match self.told {
            Some(Told::Accepted(version)) => {
                assert_eq!(
                    found,
                    Some(version),
                    "an accepted change was lost: {request}"
                );
                let again = oracle.find(&format!("{request}'"));
                assert_eq!(again, None, "change {request} was accepted twice");
            }
            Some(Told::Refused) => assert_eq!(found, None, "a refused change took effect"),
            None => {}
        }
    }
}
