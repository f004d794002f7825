//! The platform's list of hosts, kept as rows of the table service.

use {
    super::store,
    marigoldroute_core::{
        fleet::{Host, Listed, Listing},
        id::{HolderId, Region, Zone},
        table::Transaction,
    },
    marigoldroute_platform::{Client, Fault},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Prefix of the rows of router processes. A row is created when the process starts and removed
/// when its journal is closed, so that the journal of a lost process is found.
pub(crate) const HOST_PREFIX: &str = "host/";
/// Prefix of the rows that the platform writes for upstreams that are leaving.
const LEAVING_PREFIX: &str = "leaving/";

/// Row `host/{holder}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) host: Arc<str>,
    pub(crate) address: Arc<str>,
    pub(crate) region: Region,
    pub(crate) zone: Zone,
}

/// Registers a process.
pub(super) async fn register(platform: &Client, holder: &str, host: &Host) -> Result<(), Fault> {
    let entry = Entry {
        host: host.id.clone(),
        address: host.address.clone(),
        region: host.region.clone(),
        zone: host.zone.clone(),
    };
    let mut transaction = Transaction::default();
    let value = serde_json::to_string(&entry).unwrap_or_default();
    transaction.put(format!("{HOST_PREFIX}{holder}"), value);
    platform.commit(&transaction).await.map(drop)
}

/// Removes the row of a process whose journal is closed or was reclaimed.
pub(crate) async fn remove(platform: &Client, holder: &str) -> Result<(), Fault> {
    let mut transaction = Transaction::default();
    transaction.delete(format!("{HOST_PREFIX}{holder}"));
    platform.commit(&transaction).await.map(drop)
}

/// The list, with the processes that have a row.
#[derive(Clone, Debug, Default)]
pub(crate) struct Register {
    pub(crate) listing: Listing,
    pub(crate) holders: Vec<(HolderId, Entry)>,
}

/// Reads the list.
pub(super) async fn read(platform: &Client) -> Result<Register, Fault> {
    let rows = store::all(platform, HOST_PREFIX).await?;
    let holders: Vec<(HolderId, Entry)> = rows
        .iter()
        .filter_map(|row| {
            let holder = row.key.strip_prefix(HOST_PREFIX)?;
            Some((holder.into(), serde_json::from_str(&row.value).ok()?))
        })
        .collect();
    let hosts = holders.iter().map(|(_, entry)| Listed {
        id: entry.host.clone(),
        zone: entry.zone.clone(),
        address: entry.address.clone(),
    });
    let leaving = store::all(platform, LEAVING_PREFIX).await?;
    let leaving = leaving
        .iter()
        .filter_map(|row| row.key.strip_prefix(LEAVING_PREFIX));
    let listing = Listing {
        hosts: hosts.collect(),
        leaving: leaving.map(Into::into).collect(),
    };
    Ok(Register { listing, holders })
}
