//! The reference model that the hosts are compared with.

use {
    super::store::Store,
    marigoldroute_core::{
        config::{Edit, LOG_PREFIX, Record, Value, log_key},
        id::Version,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Shares by workspace.
pub type Shares = BTreeMap<Arc<str>, u64>;

/// Every version that was ever accepted, in order.
#[derive(Default)]
pub struct Oracle {
    records: Vec<Record>,
    shares: Vec<Shares>,
}

impl Oracle {
    pub fn newest(&self) -> Version {
        self.records.len() as Version
    }

    /// Checks that the store's log still has the versions accepted before, and records new ones.
    pub fn update(&mut self, store: &mut Store) {
        if !store.take_changed() {
            return;
        }
        let rows = store.rows(LOG_PREFIX);
        let newest = rows.last().map(|row| row.key.to_string());
        for row in rows {
            let record: Record = serde_json::from_str(&row.value).unwrap();
            let index = record.version as usize - 1;
            assert!(
                index <= self.records.len(),
                "gap in the log before {}",
                row.key
            );
            match self.records.get(index) {
                Some(known) => assert_eq!(*known, record, "an accepted version was replaced"),
                None => self.accept(record),
            }
        }
        let expected = log_key(self.newest());
        assert_eq!(newest, Some(expected), "an accepted version is missing");
    }

    fn accept(&mut self, record: Record) {
        let is_new = self
            .records
            .iter()
            .all(|known| known.request != record.request);
        assert!(is_new, "request {} was accepted twice", record.request);
        let mut shares = self.shares.last().cloned().unwrap_or_default();
        for edit in &record.change.edits {
            if let Edit::Set { path, value, .. } = edit
                && let Value::Weight(weight) = value
            {
                shares.insert(path.clone(), *weight);
            }
        }
        self.shares.push(shares);
        self.records.push(record);
    }

    pub fn shares(&self, version: Version) -> Shares {
        let index = version.checked_sub(1).map(|index| index as usize);
        index.map_or_else(Shares::new, |index| self.shares[index].clone())
    }

    /// Returns the version of a request.
    pub fn find(&self, request: &str) -> Option<Version> {
        let found = self
            .records
            .iter()
            .find(|record| *record.request == *request);
        found.map(|record| record.version)
    }
}
