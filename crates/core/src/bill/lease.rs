//! Lease rows of background duties.

use {
    crate::{
        fault::{Fault, Kind},
        id::HolderId,
        table::{Row, Transaction},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Row `lease/{name}`.
///
/// The expiry only keeps two processes from doing the same work. Safety comes from the version of
/// the row: each transaction of the duty requires it, so none commits after another process has
/// taken the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Process that holds the lease.
    pub holder: HolderId,
    /// Fencing number. It grows each time the lease passes to another process.
    pub fencing: u64,
    /// Expiry, in seconds since the Unix epoch.
    pub until: u64,
}

impl Lease {
    /// Decodes a lease row.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the value is not a lease.
    pub fn decode(row: &Row) -> Result<Self, Fault> {
        serde_json::from_str(&row.value).map_err(|error| {
            let message = format!("row {} is not a lease: {error}", row.key);
            Fault::new(Kind::Internal, message)
        })
    }

    /// Returns the transaction that acquires or renews the lease `name` for `term`, or `None` while
    /// another process holds it. `wall` is the time since the Unix epoch.
    ///
    /// After the commit, even if its reply was lost, read the row back and pass it to
    /// [`Self::confirm`].
    ///
    /// # Errors
    /// [`Kind::Internal`] when the row is not a lease.
    pub fn acquire(
        name: &str,
        row: Option<&Row>,
        holder: &HolderId,
        wall: Duration,
        term: Duration,
    ) -> Result<Option<Transaction>, Fault> {
        let current = row.map(Self::decode).transpose()?;
        let fencing = match &current {
            None => 1,
            Some(lease) if lease.holder == *holder => lease.fencing,
            Some(lease) if lease.until <= wall.as_secs() => lease.fencing + 1,
            Some(_) => return Ok(None),
        };
        let lease = Self {
            holder: holder.clone(),
            fencing,
            until: (wall + term).as_secs(),
        };
        let key = format!("lease/{name}");
        let mut transaction = Transaction::default();
        transaction.require(key.as_str(), row.map_or(0, |row| row.version));
        transaction.put(key, serde_json::to_string(&lease).unwrap_or_default());
        Ok(Some(transaction))
    }

    /// Returns the row as read back after a transaction of [`Self::acquire`] if the transaction
    /// took effect, otherwise `None`.
    ///
    /// The version must have changed; it is not enough that the row names this process. Under an
    /// unchanged version, earlier transactions of the duty whose replies were lost could still
    /// commit after the duty has been restarted.
    pub fn confirm(transaction: &Transaction, row: Option<Row>, holder: &HolderId) -> Option<Row> {
        let row = row?;
        let is_own = Self::decode(&row).is_ok_and(|lease| lease.holder == *holder);
        let mut conditions = transaction.conditions.iter();
        let is_new = conditions.all(|condition| condition.version != row.version);
        (is_own && is_new).then_some(row)
    }
}
