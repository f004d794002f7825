//! Removal of expired rows of operators' writes.
//!
//! Each accepted write leaves the rows `admin/request/{request id}` and `audit/{time in ms, 15
//! digits}/{request id}`, and each configuration version leaves `admin/version/{version}`. Only the
//! key of the audit entry contains the age of a request id. Request ids are therefore removed in
//! the order of the audit entries, and a cursor row holds the last entry that was processed. Every
//! transaction is conditional on the lease of the ledger duty. The removal of request ids is also
//! conditional on the cursor row: a delayed transaction then fails instead of removing a request
//! id that has been used again since.

use {
    crate::table::{Row, Transaction},
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
};

/// Key of the cursor row. Its value is the key of the last audit entry whose request id was
/// removed.
pub const CURSOR_KEY: &str = "retention/requests";
/// Key prefix of audit entries; a timestamp and the request id follow.
pub const AUDIT_PREFIX: &str = "audit/";
/// Key prefix of the rows that detect a repeated request id; the request id follows.
pub const REQUEST_PREFIX: &str = "admin/request/";
/// Key prefix of the rows with the changes of a configuration version; the version follows.
pub const VERSION_PREFIX: &str = "admin/version/";

/// How long rows of operators' writes are kept, and how many are removed at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a repeated write is detected by its request id.
    pub requests: Duration,
    /// How long audit entries and the changes of each version are kept. An audit entry stays at
    /// least until its request id is removed.
    pub history: Duration,
    /// Maximum number of rows of each kind that one transaction removes.
    pub row_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        const DAY: Duration = Duration::from_secs(86_400);
        Self {
            requests: DAY,
            history: DAY * 400,
            row_limit: 100,
        }
    }
}

/// Returns the key of the audit entry after which [`expire_requests`] continues; empty before the
/// first removal.
pub fn position(cursor: Option<&Row>) -> Arc<str> {
    let key = cursor.and_then(|row| serde_json::from_str(&row.value).ok());
    key.unwrap_or_default()
}

/// Returns the transaction that removes expired request ids and advances the cursor, or `None` when
/// none has expired.
///
/// `audit` holds the first audit entries after [`position`], in key order. `wall` is the time since
/// the Unix epoch.
pub fn expire_requests(
    lease: &Row,
    cursor: Option<&Row>,
    audit: &[Row],
    wall: Duration,
    settings: &Settings,
) -> Option<Transaction> {
    let cutoff = wall.saturating_sub(settings.requests);
    let expired = audit.iter().take(settings.row_limit);
    let expired: Vec<_> = expired
        .map_while(|row| Some((row, expired_request(row, cutoff)?)))
        .collect();
    let (last, _) = expired.last()?;
    let mut transaction = Transaction::default();
    transaction.require(lease.key.clone(), lease.version);
    transaction.require(CURSOR_KEY, cursor.map_or(0, |row| row.version));
    let value = serde_json::to_string(&last.key).unwrap_or_default();
    transaction.put(CURSOR_KEY, value);
    for (_, request) in &expired {
        transaction.delete(format!("{REQUEST_PREFIX}{request}"));
    }
    Some(transaction)
}

/// Returns the transaction that removes expired audit entries and changes of versions, or `None`
/// when none has expired.
///
/// `audit` and `versions` hold the first rows of their prefixes, in key order. `wall` is the time
/// since the Unix epoch.
pub fn expire_history(
    lease: &Row,
    cursor: Option<&Row>,
    audit: &[Row],
    versions: &[Row],
    wall: Duration,
    settings: &Settings,
) -> Option<Transaction> {
    let cutoff = wall.saturating_sub(settings.history);
    let position = position(cursor);
    let is_expired = |row: &&Row| row.key <= position && expired_request(row, cutoff).is_some();
    let audit = audit.iter().take(settings.row_limit).take_while(is_expired);
    let versions = versions.iter().take(settings.row_limit);
    let versions = versions.take_while(|row| submitted_at(row).is_some_and(|time| time < cutoff));
    let mut transaction = Transaction::default();
    transaction.require(lease.key.clone(), lease.version);
    for row in audit.chain(versions) {
        transaction.delete(row.key.clone());
    }
    (!transaction.writes.is_empty()).then_some(transaction)
}

/// Returns the request id of an audit entry that is older than `cutoff`.
fn expired_request(audit: &Row, cutoff: Duration) -> Option<&str> {
    let (time, request) = audit.key.strip_prefix(AUDIT_PREFIX)?.split_once('/')?;
    let time = Duration::from_millis(time.parse().ok()?);
    (time < cutoff).then_some(request)
}

/// Returns when a version was submitted, as time since the Unix epoch.
fn submitted_at(row: &Row) -> Option<Duration> {
    #[derive(Deserialize)]
    struct Submission {
        time_ms: u64,
    }
    let submission: Submission = serde_json::from_str(&row.value).ok()?;
    Some(Duration::from_millis(submission.time_ms))
}
