//! State of the test: routers, the store and the upstream, with the checks of the oracle.

use {
    crate::{
        action::{Action, Defect, actions},
        coverage::count,
        fuzz::{Fault, Store, World},
        router::{Router, Upstream},
    },
    marigoldroute_core::{
        claim::{
            Attempt, Body, Capability, Decision, Finding, Permit, Presence, Response, Settings,
            Timestamp, Unsent, Update, sweep,
        },
        id::{HolderId, RequestId},
        table::{Row, Verdict},
    },
    proptest::prelude::*,
    std::{
        collections::{HashMap, HashSet, VecDeque},
        time::Duration,
    },
};

const ROUTERS: usize = 3;
/// Difference between the wall clocks of routers with consecutive numbers.
const SKEW: Duration = Duration::from_secs(2);
const EPOCH: Duration = Duration::from_secs(1_800_000_000);

pub struct Fleet {
    defect: Option<Defect>,
    store: Store,
    now: Duration,
    routers: Vec<Router>,
    upstream: Upstream,
    /// Requests on their way to the upstream.
    in_transit: VecDeque<(RequestId, u8)>,
    /// Idempotency key of each attempt.
    keys: HashMap<RequestId, u8>,
    /// Attempts whose caller got a final answer that excludes an execution under this id.
    not_run: HashSet<RequestId>,
    submitted: u32,
    incarnations: u32,
}

impl Fleet {
    fn has_defect(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    fn timestamp(&self, router: usize) -> Timestamp {
        Timestamp {
            monotonic: self.now,
            wall: EPOCH + self.now + SKEW * router as u32,
        }
    }

    fn submit(&mut self, router: usize, number: u8, body: u8) {
        self.submitted += 1;
        let request: RequestId = format!("r{}", self.submitted).into();
        self.keys.insert(request.clone(), number);
        let attempt = Attempt {
            workspace: "howrah".into(),
            key: number.to_string().into(),
            body: body.to_string().into(),
            request,
            capability: [Capability::None, Capability::Query, Capability::Fence][number as usize],
        };
        self.routers[router]
            .registry
            .submit(attempt)
            .expect("the queue has room");
    }

    fn flush(&mut self, router: usize, fault: Fault) {
        let now = self.timestamp(router);
        let Some(mut batch) = self.routers[router].registry.next_batch(now) else {
            return;
        };
        if self.has_defect(Defect::Unconditional) {
            batch.transaction.conditions.clear();
        }
        let verdict = self.store.commit(batch.transaction.clone(), fault);
        self.routers[router].replies.push_back((batch, verdict));
    }

    fn handle_reply(&mut self, router: usize, readable: bool, suspect: bool) {
        let now = self.timestamp(router);
        let Some((batch, verdict)) = self.routers[router].replies.pop_front() else {
            return;
        };
        let alive: HashSet<_> = self.routers.iter().map(|r| r.author.clone()).collect();
        let presence = |author: &HolderId| match !suspect && alive.contains(author) {
            true => Presence::Alive,
            false => Presence::Gone,
        };
        let is_readable = readable && !self.store.is_down;
        let read = |key: &str| is_readable.then(|| self.store.table.get(key).cloned());
        let registry = &mut self.routers[router].registry;
        let decisions = match &verdict {
            Some(verdict) => registry.decide(now, batch, verdict, &presence),
            None => registry.decide_after_read(now, batch, &read, &presence),
        };
        if verdict.is_none() && decisions.iter().any(|(_, d)| matches!(d, Decision::Run(_))) {
            count("run after a lost reply");
        }
        for (request, decision) in decisions {
            self.apply_decision(router, request, decision);
        }
    }

    fn apply_decision(&mut self, router: usize, request: RequestId, decision: Decision) {
        let number = self.keys[&request];
        match decision {
            Decision::Run(permit) => {
                count("run");
                return self.routers[router].unsent.push_back((permit, number));
            }
            Decision::Query(query) => {
                count("query");
                return self.routers[router].queries.push_back((*query, None));
            }
            Decision::Replay(recorded) => self.replay(router, number, recorded),
            Decision::Unavailable => {
                count("unavailable");
                if self.has_defect(Defect::SendUnconfirmed) {
                    self.upstream.execute(&request, number, self.now);
                }
            }
            Decision::Busy { .. } | Decision::Mismatch | Decision::Unresolved => {}
        }
        self.not_run.insert(request);
    }

    fn replay(&mut self, router: usize, number: u8, mut recorded: Response) {
        count("replay");
        let last = self.routers[router].last_replay.replace(recorded.clone());
        if let (true, Some(last)) = (self.has_defect(Defect::ReplayOfOtherKey), last) {
            recorded = last;
        }
        let mut executions = self.upstream.executions.iter();
        let is_known = executions.any(|(id, key, _)| {
            let first = Body::Text(format!("order of {id}").into());
            *key == number && (recorded.body == first || recorded.body == Body::Missing)
        });
        assert!(
            is_known,
            "replay of key {number} differs from its result: {recorded:?}"
        );
    }

    fn answer_query(&mut self, router: usize, reachable: bool) {
        let is_fenced = !self.has_defect(Defect::NoFence);
        let mut queries = self.routers[router].queries.iter_mut();
        let Some((query, finding)) = queries.find(|(_, finding)| finding.is_none()) else {
            return;
        };
        *finding = Some(match query.is_fencing {
            _ if !reachable => Finding::Unreachable,
            _ if self.upstream.has_run(&query.request) => Finding::Ran,
            true => {
                let fence = is_fenced.then(|| query.request.clone());
                self.upstream.fenced.extend(fence);
                Finding::Fenced
            }
            false => Finding::Absent,
        });
    }

    fn resolve(&mut self, router: usize) {
        let queries = &mut self.routers[router].queries;
        let Some(position) = queries.iter().position(|(_, finding)| finding.is_some()) else {
            return;
        };
        let (query, finding) = queries.remove(position).expect("found above");
        let request = query.attempt().clone();
        let registry = &mut self.routers[router].registry;
        match registry.resolve(self.now, query, finding.expect("found above")) {
            Some(decision) => self.apply_decision(router, request, decision),
            None => count("takeover"),
        }
    }

    fn send(&mut self, router: usize, fault: Fault) {
        let now = self.timestamp(router);
        let Some((permit, number)) = self.routers[router].unsent.pop_front() else {
            return;
        };
        let request = permit.request().clone();
        let permit = match permit.begin_send(now) {
            Ok(permit) => permit,
            Err(permit) => {
                count("send time passed");
                if self.has_defect(Defect::SendLate) {
                    self.upstream.execute(&request, number, self.now);
                    return;
                }
                return self.release_unsent(router, permit);
            }
        };
        let result = match fault {
            Fault::None | Fault::LostAfter => {
                let result = self.upstream.execute(&request, number, self.now);
                let Some(result) = result else {
                    return self.release_unsent(router, permit.into_unsent());
                };
                Some(result).filter(|_| matches!(fault, Fault::None))
            }
            Fault::Refused => return self.release_unsent(router, permit.into_unsent()),
            Fault::LostBefore => None,
            Fault::Delayed => {
                self.in_transit.push_back((request, number));
                None
            }
        };
        if self.has_defect(Defect::ReleaseSent) && result.is_none() {
            return self.release_unsent(router, permit.into_unsent());
        }
        self.routers[router].sent.push_back((permit, result));
    }

    fn release_unsent(&mut self, router: usize, permit: Permit<Unsent>) {
        self.not_run.insert(permit.request().clone());
        self.routers[router].registry.backlog.push(permit.release());
    }

    fn finish(&mut self, router: usize) {
        let router = &mut self.routers[router];
        let Some((permit, result)) = router.sent.pop_front() else {
            return;
        };
        let update: Update = match result {
            Some(result) => permit.record(result),
            None => permit.mark_unresolved(),
        };
        router.registry.backlog.push(update);
    }

    fn write_backlog(&mut self, router: usize, fault: Fault) {
        let backlog = &mut self.routers[router].registry.backlog;
        let (false, Some(update)) = (self.store.is_down, backlog.next_due(Duration::MAX)) else {
            return;
        };
        let row = self.store.table.get(&update.key).cloned();
        let request = update.request.clone();
        if let Some(transaction) = backlog.transaction_for(self.now, &request, row.as_ref()) {
            let verdict = self.store.commit(transaction, fault);
            if verdict == Some(Verdict::Committed) {
                let backlog = &mut self.routers[router].registry.backlog;
                backlog.complete(self.now, &request);
            }
        }
    }

    fn deliver(&mut self) -> bool {
        let is_delivered = self.store.deliver();
        let Some((request, number)) = self.in_transit.pop_front() else {
            return is_delivered;
        };
        self.upstream.execute(&request, number, self.now);
        true
    }

    fn advance(&mut self, seconds: u64) {
        // A request is in transit to an upstream for less time than the retention of claims minus
        // the time within which it may be sent.
        while seconds > 3_600 && !self.in_transit.is_empty() {
            self.deliver();
        }
        self.now += Duration::from_secs(seconds);
    }

    fn sweep(&mut self) {
        let rows: Vec<Row> = self.store.table.scan("claim/", "", 100);
        let sweep = sweep(&rows, EPOCH + self.now, Settings::default().retention, 2);
        if !sweep.transaction.writes.is_empty() {
            count("swept");
            self.store.commit(sweep.transaction, Fault::None);
        }
    }
}

impl World for Fleet {
    type Step = (usize, Action);
    type Defect = Defect;

    fn steps() -> BoxedStrategy<Self::Step> {
        (0..ROUTERS, actions()).boxed()
    }

    fn new(defect: Option<Defect>) -> Self {
        Self {
            defect,
            store: Store::default(),
            now: Duration::ZERO,
            routers: (0..ROUTERS).map(|number| Router::new(number, 0)).collect(),
            upstream: Upstream::default(),
            in_transit: VecDeque::new(),
            keys: HashMap::new(),
            not_run: HashSet::new(),
            submitted: 0,
            incarnations: 0,
        }
    }

    fn apply(&mut self, (router, action): Self::Step) {
        match action {
            Action::Submit(key, body) => self.submit(router, key, body),
            Action::Flush(fault) => self.flush(router, fault),
            Action::HandleReply(readable, suspect) => self.handle_reply(router, readable, suspect),
            Action::AnswerQuery(reachable) => self.answer_query(router, reachable),
            Action::Resolve => self.resolve(router),
            Action::Send(fault) => self.send(router, fault),
            Action::Finish => self.finish(router),
            Action::Release => self.release(router),
            Action::WriteBacklog(fault) => self.write_backlog(router, fault),
            Action::Run(suspect) => self.run(router, suspect),
            Action::Restart => self.restart(router),
            Action::Advance(seconds) => self.advance(seconds),
            Action::Sweep => self.sweep(),
            Action::Deliver => drop(self.deliver()),
            Action::SetDown(is_down) => self.store.is_down = is_down,
        }
    }

    fn check(&self) {
        let settings = Settings::default();
        let min_distance = settings.retention - settings.send_within - SKEW * ROUTERS as u32;
        let mut last: HashMap<u8, Duration> = HashMap::new();
        for (request, number, at) in &self.upstream.executions {
            let is_not_run = self.not_run.contains(request);
            assert!(
                !is_not_run,
                "{request} ran after the answer that it did not"
            );
            if let Some(before) = last.insert(*number, *at) {
                assert!(*at - before >= min_distance, "key {number} executed twice");
            }
        }
    }

    fn finish(&mut self) {
        while self.deliver() {}
        self.check();
    }
}

impl Fleet {
    fn release(&mut self, router: usize) {
        if let Some((permit, _)) = self.routers[router].unsent.pop_front() {
            self.release_unsent(router, permit);
        }
    }

    fn run(&mut self, router: usize, suspect: bool) {
        for _ in 0..2 {
            self.flush(router, Fault::None);
            self.handle_reply(router, true, suspect);
            self.answer_query(router, true);
            self.resolve(router);
        }
        self.send(router, Fault::None);
        self.finish(router);
        self.write_backlog(router, Fault::None);
    }

    fn restart(&mut self, router: usize) {
        self.incarnations += 1;
        self.routers[router] = Router::new(router, self.incarnations);
    }
}
