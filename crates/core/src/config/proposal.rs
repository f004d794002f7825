//! Acceptance of a change as the next version.

use {
    super::{
        Change, Log, Record, Rejection, Tree,
        record::{HEAD_KEY, Head, Receipt, decode, encode, log_key, request_key},
    },
    crate::{
        id::Version,
        table::{Row, Transaction},
    },
    derive_more::{Display, Error, From},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Versions that a [`Conflict`] lists at most.
const LISTED_VERSIONS: usize = 64;

/// What happens when others made versions after the one that the operator saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rebase {
    /// The change is refused.
    #[default]
    Never,
    /// The change is validated and made on the newest version, if no version in between touched
    /// a node that it touches, or an ancestor or descendant of one.
    Disjoint,
}

/// A change that an operator submits.
///
/// The driver reads the rows of [`keys`](Self::keys), calls [`decide`](Self::decide), does the
/// [`Step`] and starts again after a conflict or a lost answer. However often it starts again,
/// the change is accepted at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Change.
    pub change: Change,
    /// Operator.
    pub author: Arc<str>,
    /// The operator's request id; the same one is accepted once.
    pub request: Arc<str>,
    /// Time of submission in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Version that the operator saw.
    pub base: Version,
    /// What happens when the newest version is another one.
    pub rebase: Rebase,
}

/// What to do next for a [`Proposal`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The change is this version; nothing is left to do.
    Accepted(Version),
    /// Commit this, then read the keys and decide again.
    Commit(Transaction),
    /// This host has to apply this version first; then read the keys and decide again.
    CatchUp(Version),
    /// The store answered with an old state; read the keys and decide again.
    Reread,
}

/// Versions that others made in the meantime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Newest version.
    pub current: Version,
    /// The newest of the versions that the operator did not see, oldest first.
    pub unseen: Vec<Arc<Record>>,
}

/// Why a proposal is not accepted.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum Refusal {
    /// The change has mistakes.
    #[display("{_0}")]
    Rejected(#[error(not(source))] Rejection),
    /// Others changed the configuration since the operator looked.
    #[display("the newest version is {}", _0.current)]
    Conflict(#[error(not(source))] Conflict),
    /// The request id was used for another change, which is this version.
    #[display("the request id was used for another change, version {_0}")]
    #[from(skip)]
    Reused(#[error(not(source))] Version),
}

impl Proposal {
    /// Returns the keys of the rows that [`decide`](Self::decide) needs.
    pub fn keys(&self) -> [Arc<str>; 2] {
        [HEAD_KEY.into(), request_key(&self.request).into()]
    }

    /// Decides on the next step by the rows of [`keys`](Self::keys) as just read.
    ///
    /// # Errors
    /// Why the change is not accepted. This is final.
    pub fn decide(&self, rows: &[Row], log: &Log) -> Result<Step, Refusal> {
        let [head_key, request_key] = self.keys();
        let row = |key: &Arc<str>| rows.iter().find(|row| row.key == *key);
        if let Some(receipt) = decode::<Receipt>(row(&request_key)) {
            return self.recognise(receipt);
        }
        // The row of the request may have been read from an old state of the store.
        if let Some(record) = log.find(&self.request) {
            return self.recognise(Receipt {
                version: record.version,
                digest: record.change.digest(),
            });
        }
        let head: Head = decode(row(&head_key)).unwrap_or_default();
        if head.version > log.version() {
            return Ok(Step::CatchUp(head.version));
        }
        if head.version < log.version() {
            return Ok(Step::Reread);
        }
        self.check_base(log)?;
        self.change.validate(log.tree())?;
        let head_version = row(&head_key).map_or(0, |row| row.version);
        Ok(Step::Commit(self.transaction(head.version, head_version)))
    }

    /// Returns the tree that the change would make, without accepting it.
    ///
    /// # Errors
    /// Every mistake of the change.
    pub fn preview(&self, log: &Log) -> Result<Tree, Rejection> {
        self.change.validate(log.tree())
    }

    fn recognise(&self, receipt: Receipt) -> Result<Step, Refusal> {
        if receipt.digest == self.change.digest() {
            Ok(Step::Accepted(receipt.version))
        } else {
            Err(Refusal::Reused(receipt.version))
        }
    }

    fn check_base(&self, log: &Log) -> Result<(), Refusal> {
        if self.base == log.version() {
            return Ok(());
        }
        let unseen = log.since(self.base);
        let is_disjoint = |unseen: &Vec<&Arc<Record>>| {
            let mut changes = unseen.iter().map(|record| &record.change);
            !changes.any(|change| change.overlaps(&self.change))
        };
        if self.rebase == Rebase::Disjoint && unseen.as_ref().is_some_and(is_disjoint) {
            return Ok(());
        }
        let unseen = unseen.unwrap_or_default();
        let skipped = unseen.len().saturating_sub(LISTED_VERSIONS);
        let unseen = unseen.into_iter().skip(skipped).cloned().collect();
        let current = log.version();
        Err(Conflict { current, unseen }.into())
    }

    fn transaction(&self, current: Version, head_version: Version) -> Transaction {
        let version = current + 1;
        let record = Record {
            version,
            base: self.base,
            author: self.author.clone(),
            time_ms: self.time_ms,
            request: self.request.clone(),
            change: self.change.clone(),
        };
        let receipt = Receipt {
            version,
            digest: self.change.digest(),
        };
        let mut transaction = Transaction::default();
        transaction.require(HEAD_KEY, head_version);
        transaction.require(log_key(version), 0);
        transaction.require(request_key(&self.request), 0);
        transaction.put(HEAD_KEY, encode(&Head { version }));
        transaction.put(log_key(version), encode(&record));
        transaction.put(request_key(&self.request), encode(&receipt));
        transaction
    }
}
