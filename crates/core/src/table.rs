//! The platform's table service as data, and a model of it in memory.

use {
    crate::id::Version,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Slash-separated key.
    pub key: Arc<str>,
    /// Greater than every earlier version of the same key, also across a deletion.
    pub version: Version,
    /// JSON text.
    pub value: Arc<str>,
}

/// A precondition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: Arc<str>,
    /// The version that the row must have; 0 requires that it is absent.
    pub version: Version,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Creates or replaces a row.
    Put {
        /// Key of the row.
        key: Arc<str>,
        /// New value.
        value: Arc<str>,
    },
    /// Removes a row; absent rows are ignored.
    Delete {
        /// Key of the row.
        key: Arc<str>,
    },
}

/// A set of writes that takes effect as a whole, if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions.
    pub conditions: Vec<Condition>,
    /// Writes; each row counts as one write against the service's limits.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
    pub fn require(&mut self, key: impl Into<Arc<str>>, version: Version) {
        let key = key.into();
        self.conditions.push(Condition { key, version });
    }

    /// Adds a write of a row.
    pub fn put(&mut self, key: impl Into<Arc<str>>, value: impl Into<Arc<str>>) {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
    }

    /// Adds the removal of a row.
    pub fn delete(&mut self, key: impl Into<Arc<str>>) {
        self.writes.push(Write::Delete { key: key.into() });
    }
}

/// The table service's answer to a [`Transaction`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All writes took effect.
    Committed,
    /// Nothing took effect. Holds the current rows of the failed conditions; an absent row is
    /// left out.
    Conflict(Vec<Row>),
}

/// The table service held in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    rows: BTreeMap<Arc<str>, Row>,
    /// Number of committed transactions, used as the version of written rows.
    commits: Version,
}

impl Memory {
    /// Returns a row.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns up to `limit` rows whose key starts with `prefix` and is greater than `after`.
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

    /// Applies a transaction as a whole, or not at all.
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
