//! Table-driven cases of claims and of the rows that the ledger reads.

use {
    datatest_stable::Result,
    marigoldroute_core::{
        bill::Page,
        claim::{
            Attempt, Capability, Claim, Decision, Finding, Presence, Registry, Settings, State,
            Timestamp, key,
        },
        fault::{Kind, Outcome},
        table::{Memory, Row, Transaction, Verdict},
    },
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::Value,
    std::{path::Path, time::Duration},
};

const DAY: Duration = Duration::from_secs(86_400);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClaimCase {
    case: String,
    /// State of the claim row in the store; `None` when there is no row.
    state: Option<State>,
    /// Value of the row, if it is not a claim.
    raw: Option<String>,
    body: Option<String>,
    author: Option<String>,
    /// Age of the row in seconds.
    #[serde(default)]
    age: u64,
    reply: Option<String>,
    #[serde(default)]
    written: bool,
    #[serde(default)]
    unreadable: bool,
    capability: Option<String>,
    finding: Option<String>,
    decision: String,
    kind: Option<Kind>,
    outcome: Option<Outcome>,
    /// Number of updates in the backlog at the end, each of which releases a row.
    #[serde(default)]
    releases: usize,
}

impl ClaimCase {
    fn row_value(&self) -> Option<String> {
        let claim = |state| Claim {
            author: "h9.1".into(),
            request: "r9".into(),
            body: self.body.as_deref().unwrap_or("b").into(),
            created: (DAY * 2).as_secs() - self.age,
            state,
        };
        let state = self.state.clone();
        self.raw
            .clone()
            .or(state.map(|state| claim(state).encode()))
    }

    fn capability(&self) -> Capability {
        match self.capability.as_deref() {
            Some("fence") => Capability::Fence,
            Some("query") => Capability::Query,
            _ => Capability::None,
        }
    }

    fn finding(&self) -> Finding {
        match self.finding.as_deref().expect("a finding") {
            "ran" => Finding::Ran,
            "running" => Finding::Running,
            "absent" => Finding::Absent,
            "fenced" => Finding::Fenced,
            _ => Finding::Unreachable,
        }
    }

    fn decide(&self, registry: &mut Registry) -> Decision {
        let now = Timestamp {
            monotonic: DAY,
            wall: DAY * 2,
        };
        let key = key("trapani", "k");
        let mut table = Memory::default();
        if let Some(value) = self.row_value() {
            let mut transaction = Transaction::default();
            transaction.put(key.clone(), value);
            table.commit(&transaction);
        }
        let presence = |_: &_| match self.author.as_deref() {
            Some("gone") => Presence::Gone,
            _ => Presence::Alive,
        };
        let mut is_reply_lost = self.reply.is_some();
        loop {
            let batch = registry.next_batch(now).expect("an open attempt");
            let mut decisions = if std::mem::take(&mut is_reply_lost) {
                if self.written {
                    table.commit(&batch.transaction);
                }
                let read = |key: &str| (!self.unreadable).then(|| table.get(key).cloned());
                registry.decide_after_read(now, batch, &read, &presence)
            } else {
                let verdict: Verdict = table.commit(&batch.transaction);
                registry.decide(now, batch, &verdict, &presence)
            };
            let decision = match decisions.pop() {
                Some((_, Decision::Query(query))) => {
                    registry.resolve(now.monotonic, *query, self.finding())
                }
                decision => decision.map(|(_, decision)| decision),
            };
            if let Some(decision) = decision {
                return decision;
            }
        }
    }
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    Ok(serde_json::from_str(&std::fs::read_to_string(path)?)?)
}

fn decision_name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Run(_) => "run",
        Decision::Replay(_) => "replay",
        Decision::Busy { .. } => "busy",
        Decision::Mismatch => "mismatch",
        Decision::Unresolved => "unresolved",
        Decision::Query(_) => "query",
        Decision::Unavailable => "unavailable",
    }
}

/// Guards against a claim that is run, replayed or refused in the wrong case, and against an error
/// whose outcome claims more than is known.
fn claims(path: &Path) -> Result<()> {
    for case in read::<ClaimCase>(path)? {
        let mut registry = Registry::new("h1.1".into(), Settings::default());
        registry.submit(Attempt {
            workspace: "trapani".into(),
            key: "k".into(),
            body: "b".into(),
            request: "r1".into(),
            capability: case.capability(),
        })?;
        let decision = case.decide(&mut registry);
        let fault = decision.fault();
        let outcome = fault.as_ref().map(|fault| fault.answer().outcome);
        let found = (
            decision_name(&decision),
            fault.map(|fault| fault.kind),
            outcome,
        );
        let expected = (case.decision.as_str(), case.kind, case.outcome);
        assert_eq!(found, expected, "{}", case.case);
        if case.finding.as_deref() != Some("ran") {
            assert_eq!(registry.backlog.len(), case.releases, "{}", case.case);
        }
    }
    Ok(())
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PageCase {
    case: String,
    cursor: Value,
    #[serde(default)]
    sequences: Vec<u64>,
    journal: Option<String>,
    next: Option<u64>,
    error: Option<String>,
}

/// Guards against billing from rows that are damaged or missing.
fn pages(path: &Path) -> Result<()> {
    const EMPTY: &str = r#"{"author":"h.1","entry":{"flush":{"shares":{},"bills":[]}}}"#;
    let row = |key: String, value: &str| Row {
        key: key.into(),
        version: 1,
        value: value.into(),
    };
    for case in read::<PageCase>(path)? {
        let value = case.cursor.to_string();
        let cursor = (!case.cursor.is_null()).then(|| row("ledger/h.1".into(), &value));
        let journal = case.journal.as_deref().unwrap_or(EMPTY);
        let sequences = case.sequences.iter();
        let rows = sequences.map(|n| row(format!("journal/h.1/{n:012}"), journal));
        let rows: Vec<_> = rows.collect();
        match Page::decode("h.1".into(), cursor.as_ref(), &rows) {
            Ok(_) => {
                let next = Page::decode_cursor(cursor.as_ref())?.next;
                assert_eq!((Some(next), None), (case.next, case.error), "{}", case.case);
            }
            Err(fault) => {
                assert_eq!(fault.kind, Kind::Internal, "{}", case.case);
                let expected = case.error.unwrap_or_default();
                let is_found = !expected.is_empty() && fault.message.contains(&expected);
                assert!(is_found, "{}: {fault}", case.case);
            }
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = claims, root = "tests/cases/claim", pattern = r"\.json$" },
    { test = pages, root = "tests/cases/billing", pattern = r"\.json$" },
}
