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
/// The time only keeps two processes from doing the same work. What makes a lease safe is that
/// each transaction of the duty requires the version of the lease row, so that none commits after
/// another process has taken the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The process that has the lease.
    pub holder: HolderId,
    /// Greater than in every earlier lease of this name.
    pub fencing: u64,
    /// Seconds since the Unix epoch.
    pub until: u64,
}

impl Lease {
    /// Decodes a row.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the value is not a lease.
    pub fn decode(row: &Row) -> Result<Self, Fault> {
        serde_json::from_str(&row.value).map_err(|error| {
            let message = format!("row {} is not a lease: {error}", row.key);
            Fault::new(Kind::Internal, message)
        })
    }

    /// Returns the transaction that takes or renews a lease for `term`, or `None` while another
    /// process has it. After the commit, also one whose reply was lost, the row is read back and
    /// passed to [`Self::confirm`].
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

    /// Returns the row read back after a transaction of [`Self::acquire`], if that took effect.
    ///
    /// It is not enough that the row names this process. Under an unchanged version, transactions
    /// of the duty whose replies were lost may still commit after the duty started anew.
    pub fn confirm(transaction: &Transaction, row: Option<Row>, holder: &HolderId) -> Option<Row> {
        let row = row?;
        let is_own = Self::decode(&row).is_ok_and(|lease| lease.holder == *holder);
        let mut conditions = transaction.conditions.iter();
        let is_new = conditions.all(|condition| condition.version != row.version);
        (is_own && is_new).then_some(row)
    }
}
