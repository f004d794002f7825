//! Calls to the table service for configuration and membership.

use {
    marigoldroute_core::{config::Read, table::Row},
    marigoldroute_store::{Client, Fault},
};

/// Performs a read that the configuration log asked for.
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
