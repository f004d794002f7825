//! Changes of claim rows that are not yet in the store.

use {
    super::row::{Body, Claim, Response, State},
    crate::{
        id::RequestId,
        table::{Row, Transaction},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Time between two attempts of an update; an update lingers for 60 s, so it costs up to 60 reads.
const PAUSE: Duration = Duration::from_secs(1);

/// A change of a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Delete the row; the request was not and will not be sent.
    Release,
    /// Mark the execution as unknown.
    Unresolve,
    /// Record the result.
    Record(Response),
}

/// A change that waits for the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Key of the claim row.
    pub key: Arc<str>,
    /// The row is changed only while it names this request.
    pub request: RequestId,
    /// The change.
    pub action: Action,
    /// The row may still appear until then, because the transaction that creates it may be on
    /// its way to the store.
    pub until: Option<Duration>,
}

impl Update {
    fn bytes(&self) -> usize {
        let body = match &self.action {
            Action::Record(Response {
                body: Body::Text(text) | Body::Hex(text),
                ..
            }) => text.len(),
            Action::Record(_) | Action::Release | Action::Unresolve => 0,
        };
        size_of::<Entry>() + self.key.len() + self.request.len() + body
    }

    /// Returns the transaction for the row as read, or `None` when nothing is left to change.
    fn advance(&self, row: Option<&Row>) -> Option<Transaction> {
        let row = row?;
        let claim = Claim::decode(row).ok()?;
        if claim.request != self.request {
            return None;
        }
        let mut transaction = Transaction::default();
        transaction.require(row.key.clone(), row.version);
        match (&self.action, &claim.state) {
            (Action::Release, State::Running) => transaction.delete(row.key.clone()),
            (Action::Record(recorded), state) if is_open(state, recorded) => {
                let state = State::Done(recorded.clone());
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

/// A recorded result never replaces another, except that a body may replace a missing one.
fn is_open(state: &State, recorded: &Response) -> bool {
    match state {
        State::Running | State::Unresolved => true,
        State::Done(earlier) => earlier.body == Body::Missing && recorded.body != Body::Missing,
    }
}

/// An update and the process time before which it is not worked on again.
#[derive(Debug)]
struct Entry {
    update: Update,
    due: Duration,
}

/// Tasks in order of arrival, bounded by bytes.
#[derive(Debug)]
pub struct Backlog {
    entries: VecDeque<Entry>,
    /// At most `limit`.
    bytes: usize,
    limit: usize,
    dropped: u64,
}

impl Backlog {
    /// Creates a backlog that takes at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            limit,
            dropped: 0,
        }
    }

    /// Adds an update. When the bytes do not suffice the update is dropped and counted; its row then
    /// stays running until it expires, which refuses retries but runs nothing twice.
    pub fn push(&mut self, update: Update) {
        if self.bytes + update.bytes() > self.limit {
            self.dropped += 1;
            return;
        }
        self.bytes += update.bytes();
        let due = Duration::ZERO;
        self.entries.push_back(Entry { update, due });
    }

    /// Returns the update to work on next; the driver reads its row and calls [`Self::transaction_for`].
    pub fn next_due(&self, now: Duration) -> Option<&Update> {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.due <= now).map(|e| &e.update)
    }

    /// Returns the transaction for the update of a request, given its row as read from the store.
    ///
    /// The update is due again after a pause and stays until a later read shows that nothing is
    /// left to do, so a verdict that is lost is not needed.
    pub fn transaction_for(
        &mut self,
        now: Duration,
        request: &str,
        row: Option<&Row>,
    ) -> Option<Transaction> {
        let mut entries = self.entries.iter();
        let at = entries.position(|entry| *entry.update.request == *request)?;
        let Entry { update, .. } = self.entries.remove(at)?;
        let transaction = update.advance(row);
        let lingers = update.until.is_some_and(|until| now < until);
        if transaction.is_some() || lingers {
            let due = now + PAUSE;
            self.entries.push_back(Entry { update, due });
        } else {
            self.bytes -= update.bytes();
        }
        transaction
    }

    /// Ends an update whose transaction was committed, which saves the read that would show it.
    pub fn complete(&mut self, now: Duration, request: &str) {
        let mut entries = self.entries.iter();
        let is_done = |update: &Update| {
            let lingers = update.until.is_some_and(|until| now < until);
            *update.request == *request && !lingers
        };
        if let Some(at) = entries.position(|entry| is_done(&entry.update))
            && let Some(entry) = self.entries.remove(at)
        {
            self.bytes -= entry.update.bytes();
        }
    }

    /// Returns whether this process has given up the request without sending it.
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

    /// Returns how many updates were dropped for lack of space.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
