//! The statement that a host is permanently lost.

use {
    super::{
        Admin,
        answer::{Refused, Result},
        write::{Effect, Step, Ticket, Write},
    },
    crate::control::HOST_PREFIX,
    marigoldroute_core::{
        budget::{
            Entry, Reason, journal,
            reclaim::{self, JournalState},
        },
        fault::Kind,
        id::{HolderId, Tokens},
        table::{Row, Transaction},
    },
    marigoldroute_store::Fault,
    poem_openapi::Object,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Journal rows read per call.
const PAGE_ROWS: usize = 500;

/// A journal of a process.
#[derive(Clone, Debug, Object)]
pub(super) struct Journal {
    /// Journal, `{host}.{incarnation}.{generation}`.
    holder: String,
    /// `open`, `fenced`, `lost` or `closed`.
    state: String,
    /// Tokens that the journal was allocated and has neither billed nor returned.
    stranded: Tokens,
    /// Sequence of the last row.
    sequence: u64,
}

/// What a statement has released.
#[derive(Clone, Debug, Object, Serialize, Deserialize)]
pub(super) struct Released {
    /// Journals that are released.
    holders: Vec<String>,
}

/// An operator's statement.
pub(super) struct Statement {
    pub(super) host: String,
    /// Start of the lost process; every process of the host when absent.
    pub(super) incarnation: Option<String>,
    pub(super) operator: String,
}

impl Journal {
    pub(super) fn new((holder, row): (&HolderId, &Row)) -> Option<Self> {
        let journal: marigoldroute_core::budget::Journal = serde_json::from_str(&row.value).ok()?;
        let state = match &journal.entry {
            Entry::Flush { .. } => "open",
            Entry::Fence { .. } => "fenced",
            Entry::Lost { .. } | Entry::Late { .. } => "lost",
            Entry::Close { .. } => "closed",
        };
        let shares = journal
            .entry
            .shares()
            .into_iter()
            .flat_map(BTreeMap::values);
        Some(Self {
            holder: holder.to_string(),
            state: state.to_owned(),
            stranded: shares.map(|share| share.allocated - share.spent).sum(),
            sequence: journal::sequence_of_key(&row.key)?,
        })
    }
}

/// Returns the start of the names of a host's processes and of their journals,
/// `{host}.{incarnation}.{generation}`.
fn processes(host: &str, incarnation: Option<&str>) -> String {
    match incarnation {
        Some(incarnation) => format!("{host}.{incarnation}."),
        None => format!("{host}."),
    }
}

/// Returns the last row of each journal of a host.
pub(super) async fn tails(
    admin: &Admin,
    host: &str,
    incarnation: Option<&str>,
) -> Result<BTreeMap<HolderId, Row>> {
    let prefix = format!("journal/{}", processes(host, incarnation));
    let mut tails = BTreeMap::new();
    let mut after = String::new();
    loop {
        let rows = admin.platform.scan(&prefix, &after, PAGE_ROWS).await?;
        let is_last = rows.len() < PAGE_ROWS;
        for row in rows {
            after = row.key.to_string();
            let holder = row.key.split('/').nth(1);
            let holder: HolderId = holder.unwrap_or_default().into();
            tails.insert(holder, row);
        }
        if is_last {
            return Ok(tails);
        }
    }
}

impl Write for Statement {
    /// Fences and then releases one journal after the other, and completes when none is left.
    async fn step(&self, admin: &Admin, _: &Ticket) -> Result<Step> {
        let tails = tails(admin, &self.host, self.incarnation.as_deref()).await?;
        for (holder, row) in &tails {
            let opening = admin.platform.get(&journal::opening_key(holder)).await?;
            let found = reclaim::read(holder, Some(row), opening.as_ref());
            let found = found.ok_or(Fault::Malformed)?;
            if let Some(transaction) = self.release(admin, found).await? {
                return Ok(Step::Advance(transaction));
            }
        }
        let listed = self.listed(admin).await?;
        if tails.is_empty() && listed.is_empty() {
            let message = format!("no process of host {} is listed", self.host);
            return Err(Refused::new(Kind::NotFound, message));
        }
        let mut transaction = Transaction::default();
        listed.into_iter().for_each(|key| transaction.delete(key));
        let released = Released {
            holders: tails.keys().map(ToString::to_string).collect(),
        };
        let effect = Effect {
            from: "listed".into(),
            to: format!("lost: {}", released.holders.join(", ")),
            answer: serde_json::to_value(released).unwrap_or_default(),
        };
        Ok(Step::Finish(transaction, effect))
    }
}

impl Statement {
    /// Returns the keys of the rows of the lost processes.
    async fn listed(&self, admin: &Admin) -> Result<Vec<Arc<str>>> {
        let prefix = format!("{HOST_PREFIX}{}.", self.host);
        let rows = admin.platform.scan(&prefix, "", PAGE_ROWS).await?;
        let is_meant = |row: &Row| match &self.incarnation {
            Some(incarnation) => row.key.strip_prefix(&*prefix) == Some(incarnation),
            None => true,
        };
        let meant = rows.into_iter().filter(is_meant);
        Ok(meant.map(|row| row.key).collect())
    }

    /// Returns the transaction that brings a journal one step closer to its release.
    async fn release(&self, admin: &Admin, state: JournalState) -> Result<Option<Transaction>> {
        let author: HolderId = admin.host.clone();
        let transaction = match state {
            JournalState::Live(tail) => {
                let rows = budgets(admin, tail.keys(&[])).await?;
                tail.fence(&author, &rows)
            }
            JournalState::Fenced(tail) => {
                let rows = budgets(admin, tail.keys(&[])).await?;
                let operator = self.operator.clone();
                let reason = Reason::Statement { operator };
                tail.declare_lost(&author, reason, Vec::new(), &rows)
            }
            JournalState::Lost(_) | JournalState::Closed => return Ok(None),
        };
        let missing = || Refused::new(Kind::Internal, "a budget row of the journal is missing");
        transaction.ok_or_else(missing).map(Some)
    }
}

async fn budgets(admin: &Admin, keys: Vec<String>) -> Result<Vec<Row>> {
    let mut rows = Vec::with_capacity(keys.len());
    for key in keys {
        rows.extend(admin.platform.get(&key).await?);
    }
    Ok(rows)
}
