//! Reads of the table as another process would make them.

use {
    super::{
        super::{Account, Entry, Journal, Shares, journal},
        harness::Harness,
    },
    crate::{bill::Bill, table::Row},
};

impl Harness {
    /// Returns the bills of a node's requests that are in none of its journal rows.
    pub fn unbilled(&mut self, node: usize) -> Vec<Bill> {
        let rows = self.rows(&self.nodes[node].id.clone());
        let known = |bill: &Bill| {
            let mut bills = rows.iter().flat_map(|row| row.entry.bills());
            bills.any(|other| other.request == bill.request)
        };
        let records = self.records.values().filter(|record| record.node == node);
        let bills = records.map(|record| &record.bill);
        bills.filter(|bill| !known(bill)).cloned().collect()
    }

    /// Returns a holder's journal.
    pub fn rows(&mut self, holder: &str) -> Vec<Journal> {
        let rows = self.table.scan(&journal::prefix(holder), "", usize::MAX);
        let parsed = &mut self.parsed;
        let parse = |row: Row| {
            let journal = parsed.entry(row.key.to_string());
            let value = || serde_json::from_str(&row.value).unwrap();
            journal.or_insert_with(value).clone()
        };
        rows.into_iter().map(parse).collect()
    }

    pub fn account(&self, budget: &str) -> Account {
        let row = self.table.get(&format!("budget/{budget}"));
        row.map_or_else(Account::default, |row| {
            serde_json::from_str(&row.value).unwrap()
        })
    }
}

/// Returns the shares after the last journal row.
pub fn last_shares(rows: &[Journal]) -> Shares {
    let shares = rows.last().and_then(|row| row.entry.shares());
    shares.cloned().unwrap_or_default()
}

/// Returns whether a holder was declared lost.
pub fn is_lost(rows: &[Journal]) -> bool {
    rows.iter()
        .any(|row| matches!(row.entry, Entry::Lost { .. }))
}
