//! Reads of several rows in more than one call.

use {
    crate::client::{Client, Fault},
    marigoldroute_core::table::Row,
};

/// Rows per page of a scan; a shorter page is the last.
const PAGE_ROWS: usize = 1_000;

impl Client {
    /// Returns the rows of the given keys that exist, read one by one and not as a snapshot.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn get_all(&self, keys: &[impl AsRef<str>]) -> Result<Vec<Row>, Fault> {
        let mut rows = Vec::with_capacity(keys.len());
        for key in keys {
            rows.extend(self.get(key.as_ref()).await?);
        }
        Ok(rows)
    }

    /// Returns every row whose key starts with `prefix`, sorted by key. The pages are not one
    /// snapshot.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn scan_all(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map_or("", |row| &row.key).to_owned();
            let page = self.scan(prefix, &after, PAGE_ROWS).await?;
            let is_last = page.len() < PAGE_ROWS;
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }
}
