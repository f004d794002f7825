//! Queue of updates of claim rows that are not in the store yet.

use {
    super::row::{Body, Claim, Response, State},
    crate::{
        id::RequestId,
        table::{Row, Transaction},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Time between two attempts at an update. An update whose row may still appear is kept for 60 s,
/// so it costs up to 60 reads.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How a claim row is changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Delete the row, because the request was not sent and will not be.
    Release,
    /// Set the state to unresolved: it is unknown whether the request was executed.
    Unresolve,
    /// Record the response.
    Record(Response),
}

/// An update of a claim row that is not in the store yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Key of the claim row.
    pub key: Arc<str>,
    /// Id of the attempt that the row must name; a row that names another is left unchanged.
    pub request: RequestId,
    /// How the row is changed.
    pub action: Action,
    /// Process time until which the update is kept even if the row is absent, because the
    /// transaction that creates the row may still be on its way to the store.
    pub keep_until: Option<Duration>,
}

impl Update {
    /// Returns the memory that the update takes.
    fn size_bytes(&self) -> usize {
        let body = match &self.action {
            Action::Record(Response {
                body: Body::Text(text) | Body::Hex(text),
                ..
            }) => text.len(),
            Action::Record(_) | Action::Release | Action::Unresolve => 0,
        };
        size_of::<Entry>() + self.key.len() + self.request.len() + body
    }

    /// Returns the transaction for the row as read, or `None` when there is nothing to change.
    fn transaction(&self, row: Option<&Row>) -> Option<Transaction> {
        let row = row?;
        let claim = Claim::decode(row).ok()?;
        if claim.request != self.request {
            return None;
        }
        let mut transaction = Transaction::default();
        transaction.require(row.key.clone(), row.version);
        match (&self.action, &claim.state) {
            (Action::Release, State::Running) => transaction.delete(row.key.clone()),
            (Action::Record(response), state) if is_recordable(state, response) => {
                let state = State::Done(response.clone());
                transaction.put(row.key.clone(), Claim { state, ..claim }.encode());
            }
            (Action::Unresolve, State::Running) => {
                let state = State::Unresolved;
                transaction.put(row.key.clone(), Claim { state, ..claim }.encode());
            }
            (Action::Release | Action::Unresolve | Action::Record(_), _) => return None,
        }
        Some(transaction)
    }
}

/// Returns whether a response may be recorded in a state. It never replaces a recorded response,
/// unless that one has no body because it was lost.
fn is_recordable(state: &State, response: &Response) -> bool {
    match state {
        State::Running | State::Unresolved => true,
        State::Done(earlier) => earlier.body == Body::Missing && response.body != Body::Missing,
    }
}

/// An update and the process time from which it is due.
#[derive(Debug)]
struct Entry {
    update: Update,
    due: Duration,
}

/// Queue of updates, limited by bytes.
#[derive(Debug)]
pub struct Backlog {
    entries: VecDeque<Entry>,
    /// Memory taken by the updates, at most `limit_bytes`.
    used_bytes: usize,
    limit_bytes: usize,
    dropped: u64,
}

impl Backlog {
    /// Creates a backlog whose updates take at most `limit_bytes` of memory.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            used_bytes: 0,
            limit_bytes,
            dropped: 0,
        }
    }

    /// Adds an update, or drops and counts it when it would exceed the limit. The row of a dropped
    /// update stays running until it expires: retries are then refused, but nothing runs twice.
    pub fn push(&mut self, update: Update) {
        if self.used_bytes + update.size_bytes() > self.limit_bytes {
            self.dropped += 1;
            return;
        }
        self.used_bytes += update.size_bytes();
        let due = Duration::ZERO;
        self.entries.push_back(Entry { update, due });
    }

    /// Returns the first update that is due. The driver reads its row and calls
    /// [`Self::transaction_for`].
    pub fn next_due(&self, now: Duration) -> Option<&Update> {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.due <= now).map(|e| &e.update)
    }

    /// Returns the transaction for the update of a request, given its row as read from the store.
    ///
    /// The update becomes due again after a pause. It stays in the backlog until a later read
    /// shows that there is nothing left to change, so the verdict on the transaction may get lost.
    pub fn transaction_for(
        &mut self,
        now: Duration,
        request: &str,
        row: Option<&Row>,
    ) -> Option<Transaction> {
        let mut entries = self.entries.iter();
        let position = entries.position(|entry| *entry.update.request == *request)?;
        let Entry { update, .. } = self.entries.remove(position)?;
        let transaction = update.transaction(row);
        let is_row_expected = update.keep_until.is_some_and(|until| now < until);
        if transaction.is_some() || is_row_expected {
            let due = now + RETRY_INTERVAL;
            self.entries.push_back(Entry { update, due });
        } else {
            self.used_bytes -= update.size_bytes();
        }
        transaction
    }

    /// Removes an update whose transaction was committed. This saves the read that would show it.
    pub fn complete(&mut self, now: Duration, request: &str) {
        let mut entries = self.entries.iter();
        let is_done = |update: &Update| {
            let is_row_expected = update.keep_until.is_some_and(|until| now < until);
            *update.request == *request && !is_row_expected
        };
        if let Some(position) = entries.position(|entry| is_done(&entry.update))
            && let Some(entry) = self.entries.remove(position)
        {
            self.used_bytes -= entry.update.size_bytes();
        }
    }

    /// Returns whether the backlog releases the claim of the request, because this process did not
    /// send it and will not.
    pub fn is_released(&self, request: &str) -> bool {
        let mut updates = self.entries.iter().map(|entry| &entry.update);
        updates.any(|update| *update.request == *request && update.action == Action::Release)
    }

    /// Returns the number of updates.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no updates.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of updates that were dropped because of the limit.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
