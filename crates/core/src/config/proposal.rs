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

/// Greatest number of versions that a [`Conflict`] lists.
const LISTED_VERSIONS_LIMIT: usize = 64;

/// What happens to a change when there are newer versions than the operator saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rebase {
    /// The change is refused.
    #[default]
    Never,
    /// The change is validated against the newest version and applied to it, if no version in
    /// between [overlaps](Change::overlaps) with it.
    Disjoint,
}

/// A change as an operator submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Edits to be accepted together.
    pub change: Change,
    /// Name of the operator.
    pub author: Arc<str>,
    /// The operator's request id; the same one is accepted once.
    pub request: Arc<str>,
    /// Time of submission in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Version that the operator saw.
    pub base: Version,
    /// What happens when the newest version is not `base`.
    #[serde(default)]
    pub rebase: Rebase,
}

/// The acceptance of a [`Submission`].
///
/// The driver reads the rows of [`required_keys`](Self::required_keys) and calls
/// [`decide`](Self::decide). It passes the verdict on a commit to
/// [`apply_verdict`](Self::apply_verdict), and after a lost answer decides again without it.
/// However often this is repeated, the change is accepted at most once, and it is not refused after
/// it was accepted.
#[derive(Clone, Debug)]
pub struct Proposal {
    submission: Submission,
    /// A commit whose verdict is unknown, and the version that it creates. It is repeated until
    /// there is a verdict: a read might return an old state, without the effect of the commit.
    pending: Option<(Version, Transaction)>,
}

/// What to do next for a [`Proposal`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The change was accepted as this version; nothing is left to do.
    Accepted(Version),
    /// Commit this transaction and apply the verdict.
    Commit(Transaction),
    /// This host has to apply this version first; then read the keys and decide again.
    CatchUp(Version),
    /// The store answered with an old state; read the keys and decide again.
    Reread,
}

/// Versions that were accepted since the one that the operator saw.
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
    /// Others changed the configuration since the version that the operator saw.
    #[display("the newest version is {}", _0.current)]
    Conflict(#[error(not(source))] Conflict),
    /// The request id was used for another change, which is this version.
    #[display("the request id was used for another change, version {_0}")]
    #[from(skip)]
    Reused(#[error(not(source))] Version),
}

impl Proposal {
    /// Creates the proposal of a submission.
    pub fn new(submission: Submission) -> Self {
        Self {
            submission,
            pending: None,
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

    /// Decides the next step from the rows of [`required_keys`](Self::required_keys) as just read.
    ///
    /// # Errors
    /// Why the change is not accepted. This is final.
    pub fn decide(&mut self, rows: &[Row], log: &Log) -> Result<Step, Refusal> {
        if let Some((_, transaction)) = &self.pending {
            return Ok(Step::Commit(transaction.clone()));
        }
        if let Some(version) = self.find_accepted(rows)? {
            return Ok(Step::Accepted(version));
        }
        // The row of the request may have been read from an old state of the store.
        if let Some(record) = log.find_request(&self.submission.request) {
            let version = self.check_digest(record.version, record.change.digest())?;
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
        self.pending = Some((head.version + 1, transaction.clone()));
        Ok(Step::Commit(transaction))
    }

    /// Applies the verdict on the commit; returns the version when the change is accepted.
    /// Otherwise the driver reads the keys and decides again.
    ///
    /// # Errors
    /// When the request id was used for another change. This is final.
    pub fn apply_verdict(&mut self, verdict: &Verdict) -> Result<Option<Version>, Refusal> {
        let pending = self.pending.take();
        match verdict {
            Verdict::Committed => Ok(pending.map(|(version, _)| version)),
            // An earlier attempt may have taken effect; then the row of the request exists.
            Verdict::Conflict(rows) => self.find_accepted(rows),
        }
    }

    fn find_accepted(&self, rows: &[Row]) -> Result<Option<Version>, Refusal> {
        let key = request_key(&self.submission.request);
        let row = rows.iter().find(|row| *row.key == *key);
        let receipt: Option<Receipt> = decode(row);
        receipt
            .map(|receipt| self.check_digest(receipt.version, receipt.digest))
            .transpose()
    }

    fn check_digest(&self, version: Version, digest: u64) -> Result<Version, Refusal> {
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
        let skipped = unseen.len().saturating_sub(LISTED_VERSIONS_LIMIT);
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
