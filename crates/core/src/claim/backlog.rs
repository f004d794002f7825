//! Changes of claim rows that are not yet in the store.

use {
    super::row::{Body, Claim, Recorded, State},
    crate::{
        id::RequestId,
        table::{Row, Transaction},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Time between two attempts of a task; a task lingers for 60 s, so it costs up to 60 reads.
const PAUSE: Duration = Duration::from_secs(1);

/// A change of a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Delete the row; the request was not and will not be sent.
    Release,
    /// Mark the execution as unknown.
    Doubt,
    /// Record the result.
    Record(Recorded),
}

/// A change that waits for the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
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

impl Task {
    fn bytes(&self) -> usize {
        let body = match &self.action {
            Action::Record(Recorded {
                body: Body::Text(text) | Body::Hex(text),
                ..
            }) => text.len(),
            Action::Record(_) | Action::Release | Action::Doubt => 0,
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
            (Action::Doubt, State::Running) => {
                let state = State::Unresolved;
                transaction.put(row.key.clone(), Claim { state, ..claim }.encode());
            }
            (Action::Release | Action::Doubt | Action::Record(_), _) => return None,
        }
        Some(transaction)
    }
}

/// A recorded result never replaces another, except that a body may replace a missing one.
fn is_open(state: &State, recorded: &Recorded) -> bool {
    match state {
        State::Running | State::Unresolved => true,
        State::Done(earlier) => earlier.body == Body::Missing && recorded.body != Body::Missing,
    }
}

/// A task and the process time before which it is not worked on again.
#[derive(Debug)]
struct Entry {
    task: Task,
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

    /// Adds a task. When the bytes do not suffice the task is dropped and counted; its row then
    /// stays running until it expires, which refuses retries but runs nothing twice.
    pub fn push(&mut self, task: Task) {
        if self.bytes + task.bytes() > self.limit {
            self.dropped += 1;
            return;
        }
        self.bytes += task.bytes();
        let due = Duration::ZERO;
        self.entries.push_back(Entry { task, due });
    }

    /// Returns the task to work on next; the driver reads its row and calls [`Self::advance`].
    pub fn next(&self, now: Duration) -> Option<&Task> {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.due <= now).map(|e| &e.task)
    }

    /// Returns the transaction for the task of a request, given its row as read from the store.
    ///
    /// The task is due again after a pause and stays until a later read shows that nothing is
    /// left to do, so a verdict that is lost is not needed.
    pub fn advance(
        &mut self,
        now: Duration,
        request: &str,
        row: Option<&Row>,
    ) -> Option<Transaction> {
        let mut entries = self.entries.iter();
        let at = entries.position(|entry| *entry.task.request == *request)?;
        let Entry { task, .. } = self.entries.remove(at)?;
        let transaction = task.advance(row);
        let lingers = task.until.is_some_and(|until| now < until);
        if transaction.is_some() || lingers {
            let due = now + PAUSE;
            self.entries.push_back(Entry { task, due });
        } else {
            self.bytes -= task.bytes();
        }
        transaction
    }

    /// Ends a task whose transaction was committed, which saves the read that would show it.
    pub fn finish(&mut self, now: Duration, request: &str) {
        let mut entries = self.entries.iter();
        let is_done = |task: &Task| {
            let lingers = task.until.is_some_and(|until| now < until);
            *task.request == *request && !lingers
        };
        if let Some(at) = entries.position(|entry| is_done(&entry.task))
            && let Some(entry) = self.entries.remove(at)
        {
            self.bytes -= entry.task.bytes();
        }
    }

    /// Returns whether this process has given up the request without sending it.
    pub fn is_released(&self, request: &str) -> bool {
        let mut tasks = self.entries.iter().map(|entry| &entry.task);
        tasks.any(|task| *task.request == *request && task.action == Action::Release)
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no tasks.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many tasks were dropped for lack of space.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
