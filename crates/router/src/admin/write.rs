//! Writes that take effect once, however often they are repeated.
//!
//! Each write commits, together with its effect, the row `admin/request/{request id}` with its
//! answer and a row `audit/{time}/{request id}`. A repeated call finds the first row. The same
//! holds after a lost answer of the store: the rows are read again before anything else is done.

use {
    super::{
        Admin,
        answer::{Mistake, Refused, Result},
        key::Operator,
    },
    marigoldroute_core::{
        fault::Kind,
        retention::{AUDIT_PREFIX, REQUEST_PREFIX},
        table::{Row, Transaction, Verdict},
    },
    marigoldroute_store::Fault as Lost,
    poem_openapi::Object,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    sha2::{Digest, Sha256},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Steps of a write before it is given up; each lost race with another write costs one.
const STEPS: u32 = 64;
/// Attempts to commit a transaction before its outcome counts as unknown.
const COMMITS: u32 = 4;
/// Longest request id in bytes.
const REQUEST_LIMIT_BYTES: usize = 64;

/// Who makes a write, when and under which request id.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub(super) operator: String,
    pub(super) request: String,
    /// Milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    operation: &'static str,
    target: String,
    digest: String,
}

/// What a write has done.
#[derive(Clone, Debug)]
pub(super) struct Effect {
    /// State before, for the audit entry.
    pub(super) from: String,
    /// State after, for the audit entry.
    pub(super) to: String,
    /// Answer to the operator, repeated for each repeated call.
    pub(super) answer: Value,
}

/// What to do next for a write.
#[derive(Debug)]
pub(super) enum Step {
    /// Commit this and look again.
    Advance(Transaction),
    /// Commit this, which completes the write.
    Finish(Transaction, Effect),
    /// The state was about to change; look again.
    Again,
}

/// A write in steps; each looks at the current state.
pub(super) trait Write: Sync {
    /// Returns the next step.
    fn step(&self, admin: &Admin, ticket: &Ticket) -> impl Future<Output = Result<Step>> + Send;
}

/// Row `admin/request/{request id}`.
#[derive(Debug, Serialize, Deserialize)]
struct Receipt {
    /// Tells writes apart that use the same request id.
    digest: String,
    answer: Value,
}

/// Row `audit/{time, 15 digits}/{request id}`.
#[derive(Clone, Debug, Object, Serialize, Deserialize)]
#[oai(rename = "AuditEntry")]
pub(super) struct Entry {
    /// Milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    /// Name of the operator's key.
    pub(super) operator: String,
    /// The operator's request id.
    pub(super) request: String,
    /// Operation.
    pub(super) operation: String,
    /// What it was done to.
    pub(super) target: String,
    /// State or version before.
    pub(super) from: String,
    /// State or version after.
    pub(super) to: String,
}

impl Ticket {
    /// Prepares a write; `content` is what tells it from other writes.
    pub(super) fn new(
        operator: &Operator,
        request: &str,
        operation: &'static str,
        target: impl Into<String>,
        content: &impl Serialize,
    ) -> Result<Self> {
        check_request(request)?;
        let operator = operator.0.name.to_string();
        let target = target.into();
        let content = serde_json::to_string(content).unwrap_or_default();
        let mut hash = Sha256::new();
        for part in [operator.as_str(), operation, &target, &content] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Self {
            operator,
            request: request.to_owned(),
            time_ms: since.unwrap_or_default().as_millis() as u64,
            operation,
            target,
            digest: hex::encode(hash.finalize()),
        })
    }

    fn key(&self) -> String {
        format!("{REQUEST_PREFIX}{}", self.request)
    }

    /// Adds the receipt and the audit entry to the transaction that completes the write.
    fn sign(&self, transaction: &mut Transaction, effect: Effect) {
        let receipt = Receipt {
            digest: self.digest.clone(),
            answer: effect.answer,
        };
        let entry = Entry {
            time_ms: self.time_ms,
            operator: self.operator.clone(),
            request: self.request.clone(),
            operation: self.operation.to_owned(),
            target: self.target.clone(),
            from: effect.from,
            to: effect.to,
        };
        let audit = format!("{AUDIT_PREFIX}{:015}/{}", self.time_ms, self.request);
        transaction.require(self.key(), 0);
        transaction.put(self.key(), json(&receipt));
        transaction.put(audit, json(&entry));
    }

    fn recognise(&self, row: &Row) -> Result<Value> {
        let receipt: Receipt = serde_json::from_str(&row.value).map_err(|_| Lost::Malformed)?;
        if receipt.digest == self.digest {
            return Ok(receipt.answer);
        }
        let message = format!("request id {} was used for another write", self.request);
        Err(Refused::new(Kind::Conflict, message))
    }
}

fn check_request(request: &str) -> Result<()> {
    let is_good = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let is_long = request.len() > REQUEST_LIMIT_BYTES;
    if request.is_empty() || is_long || !request.bytes().all(is_good) {
        let message = "must be 1 to 64 letters, digits, '.', '_' or '-'";
        return Err(Refused::mistakes(vec![Mistake::new(
            "x-request-id",
            message,
        )]));
    }
    Ok(())
}

/// Makes a write once and returns its answer.
pub(super) async fn execute<T: DeserializeOwned>(
    admin: &Admin,
    ticket: &Ticket,
    write: &impl Write,
) -> Result<T> {
    let answer = complete(admin, ticket, write).await?;
    serde_json::from_value(answer)
        .map_err(|error| Refused::new(Kind::Internal, format!("stored answer: {error}")))
}

async fn complete(admin: &Admin, ticket: &Ticket, write: &impl Write) -> Result<Value> {
    let mut has_begun = false;
    for _ in 0..STEPS {
        let step = match look(admin, ticket, write).await {
            Ok(Look::Done(answer)) => return Ok(answer),
            Ok(Look::Step(step)) => step,
            Err(refused) if has_begun => return Err(refused.with_unknown_outcome()),
            Err(refused) => return Err(refused),
        };
        let (transaction, answer) = match step {
            Step::Again => continue,
            Step::Advance(transaction) => (transaction, None),
            Step::Finish(mut transaction, effect) => {
                let answer = effect.answer.clone();
                ticket.sign(&mut transaction, effect);
                (transaction, Some(answer))
            }
        };
        match (commit(admin, &transaction).await?, answer) {
            (Verdict::Committed, Some(answer)) => return Ok(answer),
            (Verdict::Committed, None) => has_begun = true,
            (Verdict::Conflict(rows), _) => {
                // An earlier attempt may have taken effect; a read could still show an old state.
                let key = ticket.key();
                if let Some(row) = rows.iter().find(|row| *row.key == *key) {
                    return ticket.recognise(row);
                }
            }
        }
    }
    let message = "other writes were faster each time";
    Err(Refused::new(Kind::Overloaded, message))
}

/// Commits a transaction. After a lost answer the same transaction is repeated until the store
/// has decided on it: a read might show a state in which it has not yet taken effect.
async fn commit(admin: &Admin, transaction: &Transaction) -> Result<Verdict> {
    let mut last = Lost::Unanswered;
    for attempt in 0..COMMITS {
        match admin.platform.commit(transaction).await {
            Ok(verdict) => return Ok(verdict),
            Err(Lost::Unavailable) if attempt == 0 => return Err(Lost::Unavailable.into()),
            Err(fault) => last = fault,
        }
    }
    Err(Refused::from(last).with_unknown_outcome())
}

enum Look {
    Done(Value),
    Step(Step),
}

async fn look(admin: &Admin, ticket: &Ticket, write: &impl Write) -> Result<Look> {
    if let Some(row) = admin.platform.get(&ticket.key()).await? {
        return ticket.recognise(&row).map(Look::Done);
    }
    write.step(admin, ticket).await.map(Look::Step)
}

/// Returns the text of a row.
pub(super) fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
