//! Calls to the table service for configuration and membership.

use {
    marigoldroute_core::{config::Read, table::Row},
    marigoldroute_platform::{Client, Fault},
};

/// Rows read by one call where the question names no limit.
const PAGE_ROWS: usize = 1_000;

/// Returns the rows that a question asks for.
pub(super) async fn read(platform: &Client, read: &Read) -> Result<Vec<Row>, Fault> {
    match read {
        Read::Head | Read::Pointer => {
            let row = platform.get(read.key()).await?;
            Ok(row.into_iter().collect())
        }
        Read::Rows { after, limit } | Read::Parts { after, limit, .. } => {
            platform.scan(read.key(), after, *limit).await
        }
    }
}

/// Returns the rows of the given keys that exist.
pub(super) async fn get(platform: &Client, keys: &[impl AsRef<str>]) -> Result<Vec<Row>, Fault> {
    let mut rows = Vec::with_capacity(keys.len());
    for key in keys {
        rows.extend(platform.get(key.as_ref()).await?);
    }
    Ok(rows)
}

/// Returns every row of a prefix.
pub(super) async fn all(platform: &Client, prefix: &str) -> Result<Vec<Row>, Fault> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or("", |row| &row.key).to_owned();
        let page = platform.scan(prefix, &after, PAGE_ROWS).await?;
        let is_last = page.len() < PAGE_ROWS;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}
