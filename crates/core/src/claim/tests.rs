//! Tests of claims.

use {
    super::{
        Action, Attempt, Batch, Body, Capability, Claim, Decision, Finding, Presence, Registry,
        Response, Settings, Timestamp, key,
    },
    crate::{
        fault::Kind,
        id::HolderId,
        table::{Memory, Row, Verdict},
    },
    std::time::Duration,
};

const RETRY_INTERVAL: Duration = Duration::from_secs(1);
const ALIVE: &dyn Fn(&HolderId) -> Presence = &|_| Presence::Alive;
const NO_ANSWER: &dyn Fn(&str) -> Option<Option<Row>> = &|_| None;

fn at(seconds: u64) -> Timestamp {
    let now = Duration::from_secs(seconds);
    Timestamp {
        monotonic: now,
        wall: now,
    }
}

fn registry(author: &str) -> Registry {
    Registry::new(author.into(), Settings::default())
}

fn attempt(key: &str, request: &str) -> Attempt {
    Attempt {
        workspace: "trapani".into(),
        key: key.into(),
        body: "b".into(),
        request: request.into(),
        capability: Capability::None,
    }
}

fn submit(registry: &mut Registry, key: &str, request: &str, seconds: u64) -> Batch {
    registry.submit(attempt(key, request)).unwrap();
    registry.next_batch(at(seconds)).unwrap()
}

fn decide(registry: &mut Registry, batch: Batch, table: &mut Memory, seconds: u64) -> Decision {
    let verdict = table.commit(&batch.transaction);
    let mut decisions = registry.decide(at(seconds), batch, &verdict, ALIVE);
    decisions.pop().unwrap().1
}

/// Guards against attempts that are refused because another attempt in their batch has a conflict.
#[test]
fn attempts_of_a_batch_with_a_conflict_are_submitted_one_by_one() {
    let mut table = Memory::default();
    let mut first = registry("h1.1");
    let taken = submit(&mut first, "a", "r1", 1);
    assert!(matches!(
        decide(&mut first, taken, &mut table, 1),
        Decision::Run(_)
    ));

    let mut second = registry("h2.1");
    for (key, request) in [("a", "r2"), ("b", "r3"), ("c", "r4")] {
        second.submit(attempt(key, request)).unwrap();
    }
    let batch = second.next_batch(at(1)).unwrap();
    assert_eq!(batch.keys().count(), 3);
    let verdict = table.commit(&batch.transaction);
    let decisions = second.decide(at(1), batch, &verdict, ALIVE);
    assert!(matches!(&decisions[..], [(id, Decision::Busy { .. })] if &**id == "r2"));
    for _ in 0..2 {
        let batch = second.next_batch(at(1)).unwrap();
        assert_eq!(batch.keys().count(), 1);
        assert!(matches!(
            decide(&mut second, batch, &mut table, 1),
            Decision::Run(_)
        ));
    }
}

/// Guards against a row that is deleted while its request runs, because a release was queued after
/// a lost reply although the attempt was submitted again and granted.
#[test]
fn lost_reply_queues_no_release_while_the_attempt_is_retried() {
    let mut table = Memory::default();
    let mut registry = registry("h1.1");
    let batch = submit(&mut registry, "a", "r1", 1);
    let read = |_: &str| Some(None);
    let decisions = registry.decide_after_read(at(1), batch, &read, ALIVE);
    assert!(decisions.is_empty());
    let batch = registry.next_batch(at(1)).unwrap();
    let decision = decide(&mut registry, batch, &mut table, 1);
    assert!(matches!(decision, Decision::Run(_)));
    assert!(registry.backlog.is_empty());
}

/// Guards against a claim that is expired when it is created, because its time is set before the
/// attempt waits in the queue.
#[test]
fn creation_is_the_time_of_the_first_submission() {
    let mut registry = registry("h1.1");
    let batch = submit(&mut registry, "a", "r1", 90_000);
    let mut table = Memory::default();
    table.commit(&batch.transaction);
    let row = table.get(&key("trapani", "a")).unwrap();
    assert_eq!(Claim::decode(row).unwrap().created, 90_000);
}

/// Guards against a key that stays in use after its attempt was refused as not run, because the
/// transaction with the claim reached the store later.
#[test]
fn refused_claim_is_released_when_it_appears_late() {
    let mut table = Memory::default();
    let mut registry = registry("h1.1");
    let batch = submit(&mut registry, "a", "r1", 1);
    let late = batch.transaction.clone();
    let decisions = registry.decide_after_read(at(1), batch, NO_ANSWER, ALIVE);
    let fault = decisions[0].1.fault().unwrap();
    assert_eq!(fault.kind, Kind::ClaimUnavailable);

    let now = Duration::from_secs(2);
    assert_eq!(registry.backlog.transaction_for(now, "r1", None), None);
    assert_eq!(registry.backlog.next_due(now), None);
    assert_eq!(table.commit(&late), Verdict::Committed);
    let key = registry
        .backlog
        .next_due(now + RETRY_INTERVAL)
        .unwrap()
        .key
        .clone();
    let release = registry
        .backlog
        .transaction_for(now, "r1", table.get(&key))
        .unwrap();
    table.commit(&release);
    assert_eq!(table.get(&key), None);
    let later = now + Settings::default().late_commit_limit;
    assert_eq!(registry.backlog.transaction_for(later, "r1", None), None);
    assert!(registry.backlog.is_empty());
}

/// Returns the decision on a retry for which the upstreams report that the request was executed.
fn retry_executed(registry: &mut Registry, table: &mut Memory, seconds: u64) -> Decision {
    let retry = Attempt {
        capability: Capability::Query,
        ..attempt("a", &format!("r{seconds}"))
    };
    registry.submit(retry).unwrap();
    let batch = registry.next_batch(at(seconds)).unwrap();
    let verdict = table.commit(&batch.transaction);
    let gone = &|_: &HolderId| Presence::Gone;
    let decisions = registry.decide(at(seconds), batch, &verdict, gone);
    match decisions.into_iter().next().unwrap().1 {
        Decision::Query(query) => {
            let now = Duration::from_secs(seconds);
            registry.resolve(now, *query, Finding::Ran).unwrap()
        }
        decision => decision,
    }
}

/// Guards against a response that is lost because its author was falsely suspected before it had
/// recorded it, and against a key that stays in use when the author is really gone.
#[test]
fn executed_request_is_recorded_as_lost_after_the_grace() {
    let mut table = Memory::default();
    let mut author = registry("h1.1");
    let batch = submit(&mut author, "a", "r1", 1);
    assert!(matches!(
        decide(&mut author, batch, &mut table, 1),
        Decision::Run(_)
    ));
    let mut other = registry("h2.1");
    for seconds in [2, 4, 6] {
        let decision = retry_executed(&mut other, &mut table, seconds);
        assert!(matches!(decision, Decision::Busy { .. }), "{decision:?}");
        assert!(other.backlog.is_empty());
    }
    let lost = retry_executed(&mut other, &mut table, 7);
    let is_lost = |recorded: &Response| recorded.body == Body::Missing;
    assert!(
        matches!(&lost, Decision::Replay(recorded) if is_lost(recorded)),
        "{lost:?}"
    );
    assert_eq!(other.backlog.len(), 1);
}

/// Guards against a key that stays in use until its claim expires, although the process that holds
/// the claim knows that the request was not sent.
#[test]
fn own_released_attempt_is_replaced_by_the_next() {
    let mut table = Memory::default();
    let mut registry = registry("h1.1");
    let batch = submit(&mut registry, "a", "r1", 1);
    table.commit(&batch.transaction);
    registry.decide_after_read(at(1), batch, NO_ANSWER, ALIVE);
    let batch = submit(&mut registry, "a", "r2", 1);
    let verdict = table.commit(&batch.transaction);
    assert!(registry.decide(at(1), batch, &verdict, ALIVE).is_empty());
    let batch = registry.next_batch(at(1)).unwrap();
    let decision = decide(&mut registry, batch, &mut table, 1);
    assert!(matches!(decision, Decision::Run(permit) if &**permit.request() == "r2"));
}

/// Guards against unbounded memory use while the store is down.
#[test]
fn queue_and_backlog_are_bounded() {
    let settings = Settings {
        queue_limit: 1,
        backlog_limit_bytes: 500,
        ..Settings::default()
    };
    let mut registry = Registry::new("h1.1".into(), settings);
    for (request, expected) in [("r1", None), ("r2", Some(Kind::ClaimUnavailable))] {
        let result = registry.submit(attempt("a", request));
        assert_eq!(result.err().map(|fault| fault.kind), expected);
    }
    let mut table = Memory::default();
    let batch = registry.next_batch(at(1)).unwrap();
    let Decision::Run(permit) = decide(&mut registry, batch, &mut table, 1) else {
        panic!("the first claim of a key was not granted");
    };
    let body = Body::inline(&[b'x'; 300], 400);
    let recorded = Response {
        status: 200,
        content_type: "text/plain".into(),
        body,
    };
    let mut update = permit.begin_send(at(1)).unwrap().record(recorded);
    registry.backlog.push(update.clone());
    update.action = Action::Release;
    registry.backlog.push(update.clone());
    registry.backlog.push(update);
    assert_eq!((registry.backlog.len(), registry.backlog.dropped()), (1, 2));
}

/// Guards against bodies that change when they are encoded in a row and decoded.
#[test]
fn inline_bodies_keep_their_bytes() {
    for bytes in [&b"{}"[..], &[0, 255, 128], b""] {
        assert_eq!(Body::inline(bytes, 16).bytes().as_deref(), Some(bytes));
    }
    assert_eq!(Body::inline(&[0; 17], 16), Body::TooLarge { bytes: 17 });
}
