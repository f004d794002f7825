//! Acceptance of a change as the next version.

use {
    super::{
        Change, Log, Record, Rejection,
        record::{HEAD_KEY, Head, Receipt, decode, encode, log_key, request_key},
    },
    crate::{
        id::Version,
        table::{Row, Transaction, Verdict},
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

/// A change as an operator submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
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
    #[serde(default)]
    pub rebase: Rebase,
}

/// The acceptance of a [`Submission`].
///
/// The driver reads the rows of [`required_keys`](Self::required_keys) and calls [`decide`](Self::decide). It gives
/// the verdict on a commit to [`apply_verdict`](Self::apply_verdict), and after a lost answer decides again
/// without it. However often this is repeated, the change is accepted at most once, and it is not
/// refused after it was accepted.
#[derive(Clone, Debug)]
pub struct Proposal {
    submission: Submission,
    /// A commit without a verdict, and its version. It is repeated until it has one: a read
    /// might show an old state, in which the commit has not yet taken effect.
    open: Option<(Version, Transaction)>,
}

/// What to do next for a [`Proposal`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The change is this version; nothing is left to do.
    Accepted(Version),
    /// Commit this.
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
    /// Starts the acceptance of a change.
    pub fn new(submission: Submission) -> Self {
        Self {
            submission,
            open: None,
        }
    }

    /// Returns what was submitted.
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns the keys of the rows that [`decide`](Self::decide) needs.
    pub fn required_keys(&self) -> [Arc<str>; 2] {
        [
            HEAD_KEY.into(),
            request_key(&self.submission.request).into(),
        ]
    }

    /// Decides on the next step by the rows of [`required_keys`](Self::required_keys) as just read.
    ///
    /// # Errors
    /// Why the change is not accepted. This is final.
    pub fn decide(&mut self, rows: &[Row], log: &Log) -> Result<Step, Refusal> {
        if let Some((_, transaction)) = &self.open {
            return Ok(Step::Commit(transaction.clone()));
        }
        if let Some(version) = self.recognise(rows)? {
            return Ok(Step::Accepted(version));
        }
        // The row of the request may have been read from an old state of the store.
        if let Some(record) = log.find_request(&self.submission.request) {
            let version = self.same(record.version, record.change.digest())?;
            return Ok(Step::Accepted(version));
        }
        let row = rows.iter().find(|row| *row.key == *HEAD_KEY);
        let head: Head = decode(row).unwrap_or_default();
        if head.version > log.version() {
            return Ok(Step::CatchUp(head.version));
        }
        if head.version < log.version() {
            return Ok(Step::Reread);
        }
        self.check_base(log)?;
        self.submission.change.validate(log.tree())?;
        let transaction = self.transaction(head.version, row.map_or(0, |row| row.version));
        self.open = Some((head.version + 1, transaction.clone()));
        Ok(Step::Commit(transaction))
    }

    /// Takes the verdict on the commit; returns the version when the change is accepted. Otherwise
    /// the driver reads the keys and decides again.
    ///
    /// # Errors
    /// When the request id was used for another change. This is final.
    pub fn apply_verdict(&mut self, verdict: &Verdict) -> Result<Option<Version>, Refusal> {
        let open = self.open.take();
        match verdict {
            Verdict::Committed => Ok(open.map(|(version, _)| version)),
            // An earlier attempt may have taken effect; then the row of the request exists.
            Verdict::Conflict(rows) => self.recognise(rows),
        }
    }

    fn recognise(&self, rows: &[Row]) -> Result<Option<Version>, Refusal> {
        let key = request_key(&self.submission.request);
        let row = rows.iter().find(|row| *row.key == *key);
        let receipt: Option<Receipt> = decode(row);
        receipt
            .map(|receipt| self.same(receipt.version, receipt.digest))
            .transpose()
    }

    fn same(&self, version: Version, digest: u64) -> Result<Version, Refusal> {
        if digest == self.submission.change.digest() {
            Ok(version)
        } else {
            Err(Refusal::Reused(version))
        }
    }

    fn check_base(&self, log: &Log) -> Result<(), Refusal> {
        let Submission {
            base,
            rebase,
            change,
            ..
        } = &self.submission;
        if *base == log.version() {
            return Ok(());
        }
        let unseen = log.records_after(*base);
        let is_disjoint = |unseen: &Vec<&Arc<Record>>| {
            let mut changes = unseen.iter().map(|record| &record.change);
            !changes.any(|other| other.overlaps(change))
        };
        if *rebase == Rebase::Disjoint && unseen.as_ref().is_some_and(is_disjoint) {
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
        let submission = &self.submission;
        let record = Record {
            version,
            base: submission.base,
            author: submission.author.clone(),
            time_ms: submission.time_ms,
            request: submission.request.clone(),
            change: submission.change.clone(),
        };
        let receipt = Receipt {
            version,
            digest: submission.change.digest(),
        };
        let mut transaction = Transaction::default();
        transaction.require(HEAD_KEY, head_version);
        transaction.require(log_key(version), 0);
        transaction.require(request_key(&submission.request), 0);
        transaction.put(HEAD_KEY, encode(&Head { version }));
        transaction.put(log_key(version), encode(&record));
        transaction.put(request_key(&submission.request), encode(&receipt));
        transaction
    }
}
