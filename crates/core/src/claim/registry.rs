//! Groups attempts into transactions and turns the replies of the store into decisions.

use {
    super::{
        attempt::{Attempt, Batch, Pending, Timestamp},
        backlog::{Action, Backlog, Update},
        decision::{Capability, Decision, Finding, Presence, Query},
        permit::Permit,
        row::{Body, Claim, Response, State},
    },
    crate::{
        fault::{Fault, Kind},
        id::{HolderId, RequestId, Version},
        table::{Row, Transaction, Verdict},
    },
    std::{
        collections::{HashSet, VecDeque},
        time::Duration,
    },
};

/// Settings of a [`Registry`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which the use of a key is remembered, from the creation of its claim row.
    pub retention: Duration,
    /// Time after its first submission within which a claimed request may be sent. The difference
    /// to `retention` is the tolerance for clock differences and for a pause of the process between
    /// the check and the first byte.
    pub send_within: Duration,
    /// Maximum number of claims in a transaction.
    pub batch_claims: usize,
    /// Maximum number of attempts that wait for a transaction; further ones are refused.
    pub queue_limit: usize,
    /// Maximum number of submissions of an attempt; after them it is refused.
    pub submission_limit: u8,
    /// Maximum memory taken by the updates that are not in the store yet.
    pub backlog_limit_bytes: usize,
    /// Maximum time for which a transaction may still be on its way to the store after the wait for
    /// its reply has ended.
    pub late_commit_limit: Duration,
    /// Time after which a caller may retry while the request is running.
    pub retry_after: Duration,
    /// Time, from the first query that finds a request executed, within which an author that seems
    /// to be gone may still record the response. Longer than it takes to refute a false suspicion.
    pub record_grace: Duration,
    /// Maximum size of a body that is recorded in the row itself.
    pub inline_limit_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3_600),
            send_within: Duration::from_secs(30),
            batch_claims: 32,
            queue_limit: 1_024,
            submission_limit: 3,
            backlog_limit_bytes: 4 << 20,
            late_commit_limit: Duration::from_secs(60),
            retry_after: Duration::from_secs(2),
            record_grace: Duration::from_secs(5),
            inline_limit_bytes: 16 << 10,
        }
    }
}

/// The claims of one process that are not decided or not recorded yet.
#[derive(Debug)]
pub struct Registry {
    author: HolderId,
    settings: Settings,
    /// Attempts that wait for a transaction: at most `settings.queue_limit`, plus the members of
    /// batches that are submitted again.
    queue: VecDeque<Pending>,
    /// Executed requests without a recorded response, with the process time at which this was
    /// found, the oldest first. At most `settings.queue_limit`.
    unrecorded: VecDeque<(RequestId, Duration)>,
    /// Updates that are not in the store yet.
    pub backlog: Backlog,
}

/// Decisions by attempt.
type Decisions = Vec<(RequestId, Decision)>;

impl Registry {
    /// Creates the registry of a process. `author` must be unique to the process: a restarted
    /// process needs a new one.
    pub fn new(author: HolderId, settings: Settings) -> Self {
        let backlog = Backlog::new(settings.backlog_limit_bytes);
        Self {
            author,
            settings,
            queue: VecDeque::new(),
            unrecorded: VecDeque::new(),
            backlog,
        }
    }

    /// Returns the settings that the registry was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Queues an attempt for one of the next transactions.
    ///
    /// # Errors
    /// [`Kind::ClaimUnavailable`] when the queue is full.
    pub fn submit(&mut self, attempt: Attempt) -> Result<(), Fault> {
        if self.queue.len() >= self.settings.queue_limit {
            let message = "too many claims wait for the store";
            return Err(Fault::new(Kind::ClaimUnavailable, message));
        }
        let pending = Pending::new(self.author.clone(), attempt);
        self.queue.push_back(pending);
        Ok(())
    }

    /// Returns the next transaction, with up to `batch_claims` claims of different keys, or `None`
    /// when the queue is empty.
    pub fn next_batch(&mut self, now: Timestamp) -> Option<Batch> {
        let mut members = vec![self.queue.pop_front()?];
        if !members[0].is_alone {
            self.fill_batch(&mut members);
        }
        let mut transaction = Transaction::default();
        for member in &mut members {
            member.mark_submitted(now);
            transaction.require(member.key.clone(), member.expected);
            transaction.put(member.key.clone(), member.claim.encode());
        }
        Some(Batch {
            transaction,
            members,
        })
    }

    fn fill_batch(&mut self, members: &mut Vec<Pending>) {
        let mut keys: HashSet<_> = [members[0].key.clone()].into();
        let mut rest = VecDeque::with_capacity(self.queue.len());
        while let Some(pending) = self.queue.pop_front() {
            let is_full = members.len() >= self.settings.batch_claims;
            if is_full || pending.is_alone || !keys.insert(pending.key.clone()) {
                rest.push_back(pending);
            } else {
                members.push(pending);
            }
        }
        self.queue = rest;
    }

    /// Decides the attempts of a batch by the verdict of the store. Attempts without a decision
    /// return to the queue, to be submitted in transactions of their own.
    pub fn decide(
        &mut self,
        now: Timestamp,
        batch: Batch,
        verdict: &Verdict,
        presence: &dyn Fn(&HolderId) -> Presence,
    ) -> Decisions {
        let Verdict::Conflict(rows) = verdict else {
            return self.grant(batch.members);
        };
        let mut decisions = Vec::new();
        for member in batch.members {
            let row = rows.iter().find(|row| row.key == member.key);
            let request = member.claim.request.clone();
            let decision = match row {
                Some(row) => self.decide_by_row(now, member, row, presence),
                None => self.retry(now.monotonic, member, 0),
            };
            decisions.extend(decision.map(|decision| (request, decision)));
        }
        decisions
    }

    /// Decides the attempts of a batch whose reply was lost. `read` returns a row as read back:
    /// `Some(None)` for an absent row and `None` if the store did not answer.
    pub fn decide_after_read(
        &mut self,
        now: Timestamp,
        batch: Batch,
        read: &dyn Fn(&str) -> Option<Option<Row>>,
        presence: &dyn Fn(&HolderId) -> Presence,
    ) -> Decisions {
        let rows: Vec<_> = batch.keys().map(|key| read(key)).collect();
        let mut members = batch.members.iter().zip(&rows);
        let is_own = |(member, row): (&Pending, &Option<Option<Row>>)| {
            let row = row.as_ref().and_then(Option::as_ref);
            row.is_some_and(|row| member.matches(row))
        };
        if members.any(is_own) {
            // The transaction is atomic, so one row of the batch proves that all were written.
            return self.grant(batch.members);
        }
        let mut decisions = Vec::new();
        for (mut member, row) in batch.members.into_iter().zip(rows) {
            member.has_lost_reply = true;
            let request = member.claim.request.clone();
            let decision = match row {
                None => Some(self.end_attempt(now.monotonic, &member, Decision::Unavailable)),
                Some(None) => self.retry(now.monotonic, member, 0),
                Some(Some(row)) => self.decide_by_row(now, member, &row, presence),
            };
            decisions.extend(decision.map(|decision| (request, decision)));
        }
        decisions
    }

    /// Decides an attempt by the result of its [`Query`]. `None` means that the attempt is queued
    /// again, to take the claim over.
    pub fn resolve(&mut self, now: Duration, query: Query, finding: Finding) -> Option<Decision> {
        let Query {
            request,
            is_fencing,
            can_author_record,
            pending,
        } = query;
        let decision = match finding {
            Finding::Ran if !can_author_record || self.is_record_overdue(now, &request) => {
                Decision::Replay(self.record_lost_response(&pending, request))
            }
            Finding::Ran | Finding::Running => Decision::Busy {
                retry_after: self.settings.retry_after,
            },
            Finding::Fenced if is_fencing => {
                let version = pending.expected;
                return self.retry(now, pending, version);
            }
            Finding::Fenced | Finding::Absent | Finding::Unreachable => Decision::Unresolved,
        };
        Some(self.end_attempt(now, &pending, decision))
    }

    /// Returns whether the author of an executed request has had `record_grace` to record the
    /// response. Without it, the response of an author that was falsely suspected would be lost.
    fn is_record_overdue(&mut self, now: Duration, request: &RequestId) -> bool {
        let known = self.unrecorded.iter().position(|(id, _)| id == request);
        if let Some(position) = known {
            let is_overdue = now >= self.unrecorded[position].1 + self.settings.record_grace;
            if is_overdue {
                self.unrecorded.remove(position);
            }
            return is_overdue;
        }
        if self.unrecorded.len() >= self.settings.queue_limit {
            self.unrecorded.pop_front();
        }
        self.unrecorded.push_back((request.clone(), now));
        false
    }

    /// Queues an update that records the request as executed with a lost response.
    fn record_lost_response(&mut self, pending: &Pending, request: RequestId) -> Response {
        let response = Response {
            status: 0,
            content_type: "".into(),
            body: Body::Missing,
        };
        self.backlog.push(Update {
            key: pending.key.clone(),
            request,
            action: Action::Record(response.clone()),
            keep_until: None,
        });
        response
    }

    /// Returns the number of attempts that wait for a transaction.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Decides that the attempts run, because their claims are in the store.
    fn grant(&self, members: Vec<Pending>) -> Decisions {
        let send_within = self.settings.send_within;
        let grants = members.into_iter().map(|member| {
            let request = member.claim.request;
            let permit = Permit::new(member.key, request.clone(), member.submitted, send_within);
            (request, Decision::Run(permit))
        });
        grants.collect()
    }

    /// Decides an attempt by the current row of its key; `None` if it is queued again.
    fn decide_by_row(
        &mut self,
        now: Timestamp,
        member: Pending,
        row: &Row,
        presence: &dyn Fn(&HolderId) -> Presence,
    ) -> Option<Decision> {
        let Ok(claim) = Claim::decode(row) else {
            return Some(self.end_attempt(now.monotonic, &member, Decision::Unresolved));
        };
        if claim == member.claim {
            return self.grant(vec![member]).pop().map(|(_, run)| run);
        }
        if claim.is_expired(now.wall, self.settings.retention) {
            return self.retry(now.monotonic, member, row.version);
        }
        if claim.body != member.claim.body {
            return Some(self.end_attempt(now.monotonic, &member, Decision::Mismatch));
        }
        let can_author_record = claim.state == State::Running;
        let is_running = match claim.state {
            State::Done(response) => {
                return Some(self.end_attempt(now.monotonic, &member, Decision::Replay(response)));
            }
            State::Running => presence(&claim.author) == Presence::Alive,
            State::Unresolved => false,
        };
        // This process releases the attempt that the row names without having sent it, so nobody
        // can send it any more.
        let is_released = claim.author == self.author && self.backlog.is_released(&claim.request);
        if is_released {
            return self.retry(now.monotonic, member, row.version);
        }
        if is_running {
            let retry_after = self.settings.retry_after;
            return Some(self.end_attempt(now.monotonic, &member, Decision::Busy { retry_after }));
        }
        if member.capability == Capability::None {
            return Some(self.end_attempt(now.monotonic, &member, Decision::Unresolved));
        }
        let expected = row.version;
        Some(Decision::Query(Box::new(Query {
            request: claim.request,
            is_fencing: member.capability == Capability::Fence,
            can_author_record,
            pending: Pending { expected, ..member },
        })))
    }

    /// Queues an attempt again, to be submitted in a transaction of its own, or refuses it once
    /// `submission_limit` is reached.
    fn retry(&mut self, now: Duration, member: Pending, expected: Version) -> Option<Decision> {
        if member.submissions >= self.settings.submission_limit {
            return Some(self.end_attempt(now, &member, Decision::Unavailable));
        }
        self.queue.push_back(Pending {
            expected,
            is_alone: true,
            ..member
        });
        None
    }

    /// Returns the decision on an attempt that will not run. If a transaction of the attempt may
    /// still be on its way, the row that it creates is released when it appears.
    fn end_attempt(&mut self, now: Duration, member: &Pending, decision: Decision) -> Decision {
        if member.has_lost_reply {
            self.backlog.push(Update {
                key: member.key.clone(),
                request: member.claim.request.clone(),
                action: Action::Release,
                keep_until: Some(now + self.settings.late_commit_limit),
            });
        }
        decision
    }
}
