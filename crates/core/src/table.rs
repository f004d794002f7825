//! Rows and transactions of the platform's table service, and an in-memory implementation of it.

use {
    crate::id::Version,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Segments separated by slashes.
    pub key: Arc<str>,
    /// Greater than every earlier version of the same key, even after a deletion.
    pub version: Version,
    /// JSON document.
    pub value: Arc<str>,
}

/// A condition on the version of one row, checked before a transaction takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version that the row must have; 0 requires that the row is absent.
    pub version: Version,
}

/// A write of one row, without a condition on its previous content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// Key of the row.
        key: Arc<str>,
        /// New value, a JSON document.
        value: Arc<str>,
    },
    /// Removes a row; has no effect when it is absent.
    Delete {
        /// Key of the row.
        key: Arc<str>,
    },
}

/// A set of writes that is applied atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes in order. Each counts as one against the service's limits.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that a row has a version; 0 requires that it is absent.
    pub fn require(&mut self, key: impl Into<Arc<str>>, version: Version) {
        let key = key.into();
        self.conditions.push(Condition { key, version });
    }

    /// Adds a write that creates or replaces a row.
    pub fn put(&mut self, key: impl Into<Arc<str>>, value: impl Into<Arc<str>>) {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
    }

    /// Adds a write that removes a row.
    pub fn delete(&mut self, key: impl Into<Arc<str>>) {
        self.writes.push(Write::Delete { key: key.into() });
    }
}

/// Result of a [`Transaction`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All writes took effect.
    Committed,
    /// A condition failed and nothing took effect. Holds the current rows of the failed
    /// conditions; absent rows are left out.
    Conflict(Vec<Row>),
}

/// An in-memory table service.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    rows: BTreeMap<Arc<str>, Row>,
    /// Number of committed transactions, used as the version of written rows.
    commits: Version,
}

impl Memory {
    /// Returns the row with a key.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns up to `limit` rows, in key order, whose key starts with `prefix` and is greater than
    /// `after`.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies a transaction atomically.
    pub fn commit(&mut self, transaction: &Transaction) -> Verdict {
        let failed: Vec<_> = transaction
            .conditions
            .iter()
            .filter(|condition| self.version(&condition.key) != condition.version)
            .collect();
        if !failed.is_empty() {
            let rows = failed
                .iter()
                .filter_map(|condition| self.get(&condition.key).cloned());
            return Verdict::Conflict(rows.collect());
        }
        self.commits += 1;
        for write in &transaction.writes {
            self.apply(write);
        }
        Verdict::Committed
    }

    fn version(&self, key: &str) -> Version {
        self.get(key).map_or(0, |row| row.version)
    }

    fn apply(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row {
                    key: key.clone(),
                    version: self.commits,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}
