//! Removal of operators' rows that nobody needs any more.
//!
//! Each accepted write leaves `admin/request/{request id}` and `audit/{time, 15 digits}/{request
//! id}`, each version `admin/version/{version}`. Only the audit entry's key tells the age of a
//! request id, so request ids are forgotten in the order of the audit entries, and a cursor row
//! states how far. Every transaction requires the lease of the ledger duty; one that was delayed
//! also fails on the cursor row, so that it never removes a request id that was used again.

use {
    crate::table::{Row, Transaction},
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
};

/// Key of the row with the key of the last audit entry whose request id was forgotten.
pub const CURSOR_KEY: &str = "retention/requests";
/// Prefix of the keys of audit entries.
pub const AUDIT_PREFIX: &str = "audit/";
/// Prefix of the keys of request ids.
pub const REQUEST_PREFIX: &str = "admin/request/";
/// Prefix of the keys of the changes of each version.
pub const VERSION_PREFIX: &str = "admin/version/";

/// How long operators' rows are kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a repeated write is recognised by its request id.
    pub requests: Duration,
    /// How long audit entries and the changes of each version are kept; an audit entry stays until
    /// its request id is forgotten.
    pub history: Duration,
    /// Rows of each kind that one transaction removes at most.
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

/// Returns the key of the audit entry after which [`expire_requests`] continues.
pub fn position(cursor: Option<&Row>) -> Arc<str> {
    let key = cursor.and_then(|row| serde_json::from_str(&row.value).ok());
    key.unwrap_or_default()
}

/// Returns the transaction that forgets old request ids, or `None` when there are none.
///
/// `audit` are the first audit entries after [`position`].
pub fn expire_requests(
    lease: &Row,
    cursor: Option<&Row>,
    audit: &[Row],
    wall: Duration,
    settings: &Settings,
) -> Option<Transaction> {
    let cutoff = wall.saturating_sub(settings.requests);
    let old = audit.iter().take(settings.row_limit);
    let old: Vec<_> = old
        .map_while(|row| Some((row, request(row, cutoff)?)))
        .collect();
    let (last, _) = old.last()?;
    let mut transaction = Transaction::default();
    transaction.require(lease.key.clone(), lease.version);
    transaction.require(CURSOR_KEY, cursor.map_or(0, |row| row.version));
    let value = serde_json::to_string(&last.key).unwrap_or_default();
    transaction.put(CURSOR_KEY, value);
    for (_, request) in &old {
        transaction.delete(format!("{REQUEST_PREFIX}{request}"));
    }
    Some(transaction)
}

/// Returns the transaction that removes old audit entries and changes of versions, or `None` when
/// there are none. `audit` and `versions` are the first rows of their prefixes.
pub fn expire_history(
    lease: &Row,
    cursor: Option<&Row>,
    audit: &[Row],
    versions: &[Row],
    wall: Duration,
    settings: &Settings,
) -> Option<Transaction> {
    let cutoff = wall.saturating_sub(settings.history);
    let forgotten = position(cursor);
    let is_old = |row: &&Row| row.key <= forgotten && request(row, cutoff).is_some();
    let audit = audit.iter().take(settings.row_limit).take_while(is_old);
    let versions = versions.iter().take(settings.row_limit);
    let versions = versions.take_while(|row| made(row).is_some_and(|time| time < cutoff));
    let mut transaction = Transaction::default();
    transaction.require(lease.key.clone(), lease.version);
    for row in audit.chain(versions) {
        transaction.delete(row.key.clone());
    }
    (!transaction.writes.is_empty()).then_some(transaction)
}

/// Returns the request id of an audit entry that is older than `cutoff`.
fn request(audit: &Row, cutoff: Duration) -> Option<&str> {
    let (time, request) = audit.key.strip_prefix(AUDIT_PREFIX)?.split_once('/')?;
    let time = Duration::from_millis(time.parse().ok()?);
    (time < cutoff).then_some(request)
}

/// Returns when a version was submitted.
fn made(row: &Row) -> Option<Duration> {
    #[derive(Deserialize)]
    struct Made {
        time_ms: u64,
    }
    let made: Made = serde_json::from_str(&row.value).ok()?;
    Some(Duration::from_millis(made.time_ms))
}
