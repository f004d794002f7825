//! The table service with faults.

use {
    marigoldroute_core::{
        config::Read,
        table::{Memory, Row, Transaction, Verdict},
    },
    std::{collections::VecDeque, time::Duration},
};

const PAST_STATES: usize = 32;

/// Faults of the table service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub is_down: bool,
    /// Age of the state that reads return.
    pub stale: Duration,
    /// Commits whose answer is lost after they took effect.
    pub lost_after: u32,
    /// Commits that take effect only later, although the answer was lost.
    pub lost_before: u32,
}

/// Outcome of a commit for the operator.
pub enum Outcome {
    Answered(Verdict),
    Lost,
    /// No answer; the transaction takes effect later.
    Late,
}

#[derive(Default)]
pub struct Store {
    pub faults: Faults,
    now: Memory,
    past: VecDeque<(Duration, Memory)>,
    is_changed: bool,
}

impl Store {
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.now.scan(prefix, "", usize::MAX)
    }

    /// Returns whether anything was written since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    fn visible(&self, now: Duration) -> &Memory {
        let at = now.saturating_sub(self.faults.stale);
        let mut past = self.past.iter().rev();
        let state = past.find(|(time, _)| *time <= at);
        let oldest = || self.past.front();
        match state.or_else(oldest) {
            Some((_, state)) if !self.faults.stale.is_zero() => state,
            _ => &self.now,
        }
    }

    pub fn get(&self, now: Duration, key: &str) -> Option<Option<Row>> {
        (!self.faults.is_down).then(|| self.visible(now).get(key).cloned())
    }

    /// Returns the rows that a read asks for, or `None` while the service is down.
    pub fn read(&self, now: Duration, read: &Read) -> Option<Vec<Row>> {
        match read {
            Read::Head | Read::Pointer => {
                let row = self.get(now, read.key())?;
                Some(row.into_iter().collect())
            }
            Read::Rows { after, limit } | Read::Parts { after, limit, .. } => {
                let state = (!self.faults.is_down).then(|| self.visible(now))?;
                Some(state.scan(read.key(), after, *limit))
            }
        }
    }

    pub fn apply(&mut self, now: Duration, transaction: &Transaction) -> Verdict {
        let verdict = self.now.commit(transaction);
        self.is_changed = true;
        if self.past.len() == PAST_STATES {
            self.past.pop_front();
        }
        self.past.push_back((now, self.now.clone()));
        verdict
    }

    pub fn commit(&mut self, now: Duration, transaction: &Transaction) -> Outcome {
        if self.faults.is_down {
            return Outcome::Lost;
        }
        if self.faults.lost_before > 0 {
            self.faults.lost_before -= 1;
            return Outcome::Late;
        }
        let verdict = self.apply(now, transaction);
        if self.faults.lost_after > 0 {
            self.faults.lost_after -= 1;
            return Outcome::Lost;
        }
        Outcome::Answered(verdict)
    }
}
