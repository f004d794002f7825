//! Turns attempts into transactions and replies into decisions.

use {
    super::{
        attempt::{Attempt, Batch, Timestamp, Waiting},
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
    /// How long a key is remembered.
    pub retention: Duration,
    /// How long after its submission a claimed request may be sent. The difference to
    /// `retention` is what clocks may differ and a process may pause between the check and the
    /// first byte.
    pub send_within: Duration,
    /// Claims per transaction.
    pub batch_claims: usize,
    /// Attempts that wait for a transaction; more are refused.
    pub queue_limit: usize,
    /// How often an attempt is submitted before it is refused.
    pub submission_limit: u8,
    /// Bytes of updates that wait for the store.
    pub backlog_limit_bytes: usize,
    /// How long a transaction may be on its way after its response was given up.
    pub late_commit_limit: Duration,
    /// When a caller may ask again for a running request.
    pub retry_after: Duration,
    /// How long the author of an executed request, which seems to be lost, may still record its
    /// result. Longer than it takes to refute a suspicion.
    pub record_grace: Duration,
    /// Bytes of a body that are recorded in the row.
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

/// The claims of one process.
#[derive(Debug)]
pub struct Registry {
    author: HolderId,
    settings: Settings,
    /// At most `settings.queue_limit`, plus the members of batches that are returned to it.
    queue: VecDeque<Waiting>,
    /// Executed requests without a recorded result, with the time at which this was found, the
    /// oldest first. At most `settings.queue_limit`.
    unrecorded: VecDeque<(RequestId, Duration)>,
    /// Changes that are not yet in the store.
    pub backlog: Backlog,
}

/// Decisions by request.
type Decisions = Vec<(RequestId, Decision)>;

impl Registry {
    /// Creates the registry of a process; `author` must never have been used before.
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

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Queues an attempt for the next transaction.
    ///
    /// # Errors
    /// [`Kind::ClaimUnavailable`] when the queue is full.
    pub fn submit(&mut self, attempt: Attempt) -> Result<(), Fault> {
        if self.queue.len() >= self.settings.queue_limit {
            let message = "too many claims wait for the store";
            return Err(Fault::new(Kind::ClaimUnavailable, message));
        }
        let waiting = Waiting::new(self.author.clone(), attempt);
        self.queue.push_back(waiting);
        Ok(())
    }

    /// Returns the next transaction, with up to `group` claims of different keys.
    pub fn next_batch(&mut self, clock: Timestamp) -> Option<Batch> {
        let mut members = vec![self.queue.pop_front()?];
        if !members[0].alone {
            self.fill(&mut members);
        }
        let mut transaction = Transaction::default();
        for member in &mut members {
            member.stamp(clock);
            transaction.require(member.key.clone(), member.expected);
            transaction.put(member.key.clone(), member.claim.encode());
        }
        Some(Batch {
            transaction,
            members,
        })
    }

    fn fill(&mut self, members: &mut Vec<Waiting>) {
        let mut keys: HashSet<_> = [members[0].key.clone()].into();
        let mut rest = VecDeque::with_capacity(self.queue.len());
        while let Some(waiting) = self.queue.pop_front() {
            let is_full = members.len() >= self.settings.batch_claims;
            if is_full || waiting.alone || !keys.insert(waiting.key.clone()) {
                rest.push_back(waiting);
            } else {
                members.push(waiting);
            }
        }
        self.queue = rest;
    }

    /// Takes the verdict on a batch. Members without a decision return to the queue, each in a
    /// transaction of its own.
    pub fn decide(
        &mut self,
        clock: Timestamp,
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
                Some(row) => self.judge(clock, member, row, presence),
                None => self.repeat(clock.monotonic, member, 0),
            };
            decisions.extend(decision.map(|decision| (request, decision)));
        }
        decisions
    }

    /// Decides a batch whose reply was lost. `read` returns the row as read back, `Some(None)`
    /// for an absent row and `None` when the store did not answer.
    pub fn decide_after_read(
        &mut self,
        clock: Timestamp,
        batch: Batch,
        read: &dyn Fn(&str) -> Option<Option<Row>>,
        presence: &dyn Fn(&HolderId) -> Presence,
    ) -> Decisions {
        let rows: Vec<_> = batch.keys().map(|key| read(key)).collect();
        let mut members = batch.members.iter().zip(&rows);
        let is_own = |(member, row): (&Waiting, &Option<Option<Row>>)| {
            let row = row.as_ref().and_then(Option::as_ref);
            row.is_some_and(|row| member.owns(row))
        };
        if members.any(is_own) {
            // The transaction is atomic: one own row proves them all.
            return self.grant(batch.members);
        }
        let mut decisions = Vec::new();
        for (mut member, row) in batch.members.into_iter().zip(rows) {
            member.is_lost = true;
            let request = member.claim.request.clone();
            let decision = match row {
                None => Some(self.conclude(clock.monotonic, &member, Decision::Unavailable)),
                Some(None) => self.repeat(clock.monotonic, member, 0),
                Some(Some(row)) => self.judge(clock, member, &row, presence),
            };
            decisions.extend(decision.map(|decision| (request, decision)));
        }
        decisions
    }

    /// Takes the answer to a [`Query`]. `None` means that the takeover is queued.
    pub fn resolve(&mut self, now: Duration, query: Query, finding: Finding) -> Option<Decision> {
        let Query {
            request,
            is_fencing,
            is_awaited,
            waiting,
        } = query;
        let decision = match finding {
            Finding::Ran if !is_awaited || self.is_settled(now, &request) => {
                Decision::Replay(self.record_run(&waiting, request))
            }
            Finding::Ran | Finding::Running => Decision::Busy {
                retry_after: self.settings.retry_after,
            },
            Finding::Fenced if is_fencing => {
                let version = waiting.expected;
                return self.repeat(now, waiting, version);
            }
            Finding::Fenced | Finding::Absent | Finding::Unreachable => Decision::Unresolved,
        };
        Some(self.conclude(now, &waiting, decision))
    }

    /// Returns whether the author of an executed request had its time to record the result. An
    /// author that was suspected wrongly would otherwise lose it.
    fn is_settled(&mut self, now: Duration, request: &RequestId) -> bool {
        let known = self.unrecorded.iter().position(|(id, _)| id == request);
        if let Some(position) = known {
            let is_settled = now >= self.unrecorded[position].1 + self.settings.record_grace;
            if is_settled {
                self.unrecorded.remove(position);
            }
            return is_settled;
        }
        if self.unrecorded.len() >= self.settings.queue_limit {
            self.unrecorded.pop_front();
        }
        self.unrecorded.push_back((request.clone(), now));
        false
    }

    /// Records that the request was executed and its response is lost.
    fn record_run(&mut self, waiting: &Waiting, request: RequestId) -> Response {
        let recorded = Response {
            status: 0,
            content_type: "".into(),
            body: Body::Missing,
        };
        self.backlog.push(Update {
            key: waiting.key.clone(),
            request,
            action: Action::Record(recorded.clone()),
            until: None,
        });
        recorded
    }

    /// Returns how many attempts wait for a transaction.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    fn grant(&self, members: Vec<Waiting>) -> Decisions {
        let window = self.settings.send_within;
        let grants = members.into_iter().map(|member| {
            let request = member.claim.request;
            let held = Permit::new(member.key, request.clone(), member.since, window);
            (request, Decision::Run(held))
        });
        grants.collect()
    }

    fn judge(
        &mut self,
        clock: Timestamp,
        member: Waiting,
        row: &Row,
        presence: &dyn Fn(&HolderId) -> Presence,
    ) -> Option<Decision> {
        let Ok(claim) = Claim::decode(row) else {
            return Some(self.conclude(clock.monotonic, &member, Decision::Unresolved));
        };
        if claim == member.claim {
            return self.grant(vec![member]).pop().map(|(_, run)| run);
        }
        if claim.is_expired(clock.wall, self.settings.retention) {
            return self.repeat(clock.monotonic, member, row.version);
        }
        if claim.body != member.claim.body {
            return Some(self.conclude(clock.monotonic, &member, Decision::Mismatch));
        }
        let is_awaited = claim.state == State::Running;
        let is_open = match claim.state {
            State::Done(recorded) => {
                return Some(self.conclude(clock.monotonic, &member, Decision::Replay(recorded)));
            }
            State::Running => presence(&claim.author) == Presence::Alive,
            State::Unresolved => false,
        };
        // This process has given the named attempt up unsent, so nobody can send it any more.
        let is_given_up = claim.author == self.author && self.backlog.is_released(&claim.request);
        if is_given_up {
            return self.repeat(clock.monotonic, member, row.version);
        }
        if is_open {
            let retry_after = self.settings.retry_after;
            return Some(self.conclude(clock.monotonic, &member, Decision::Busy { retry_after }));
        }
        if member.capability == Capability::None {
            return Some(self.conclude(clock.monotonic, &member, Decision::Unresolved));
        }
        let expected = row.version;
        Some(Decision::Query(Box::new(Query {
            request: claim.request,
            is_fencing: member.capability == Capability::Fence,
            is_awaited,
            waiting: Waiting { expected, ..member },
        })))
    }

    /// Returns an attempt to the queue, to be submitted alone, or refuses it after too many.
    fn repeat(&mut self, now: Duration, member: Waiting, expected: Version) -> Option<Decision> {
        if member.tries >= self.settings.submission_limit {
            return Some(self.conclude(now, &member, Decision::Unavailable));
        }
        self.queue.push_back(Waiting {
            expected,
            alone: true,
            ..member
        });
        None
    }

    /// Ends an attempt that will not run. When a transaction may still be on its way, the row
    /// that it creates is released as soon as it appears.
    fn conclude(&mut self, now: Duration, member: &Waiting, decision: Decision) -> Decision {
        if member.is_lost {
            self.backlog.push(Update {
                key: member.key.clone(),
                request: member.claim.request.clone(),
                action: Action::Release,
                until: Some(now + self.settings.late_commit_limit),
            });
        }
        decision
    }
}
