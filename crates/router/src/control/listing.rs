//! The platform's list of hosts, kept as rows of the table service.

use {
    marigoldroute_core::{
        fleet::{Host, ListedHost, Listing},
        id::{HolderId, Region, Version, Zone},
        table::Transaction,
    },
    marigoldroute_store::{Client, Fault},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Prefix of the rows of router processes. A process writes its row when it starts and renews it
/// periodically. The row is removed only once the journals of the process are closed, so that the
/// journals of a lost process are found by it.
pub(crate) const HOST_PREFIX: &str = "host/";
/// Prefix of the rows that the platform writes for upstreams that are about to leave.
const LEAVING_PREFIX: &str = "leaving/";

/// Row `host/{holder}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) host: Arc<str>,
    pub(crate) address: Arc<str>,
    pub(crate) region: Region,
    pub(crate) zone: Zone,
}

/// Writes or renews the row of a process.
pub(super) async fn register(platform: &Client, process: &str, host: &Host) -> Result<(), Fault> {
    let entry = Entry {
        host: host.id.clone(),
        address: host.address.clone(),
        region: host.region.clone(),
        zone: host.zone.clone(),
    };
    let mut transaction = Transaction::default();
    let value = serde_json::to_string(&entry).unwrap_or_default();
    transaction.put(format!("{HOST_PREFIX}{process}"), value);
    platform.commit(&transaction).await.map(drop)
}

/// Removes the row of a process whose journals are closed or were reclaimed.
pub(crate) async fn remove(platform: &Client, process: &str) -> Result<(), Fault> {
    let mut transaction = Transaction::default();
    transaction.delete(format!("{HOST_PREFIX}{process}"));
    platform.commit(&transaction).await.map(drop)
}

/// A registered process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    /// `{host}.{incarnation}`, the prefix of the ids of its holders.
    pub(crate) id: HolderId,
    /// Version of its row, which changes with each renewal.
    pub(crate) version: Version,
    pub(crate) entry: Entry,
}

/// The list of hosts and leaving upstreams, and the registered processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    pub(crate) listing: Listing,
    pub(crate) processes: Vec<Process>,
}

/// Reads the list; leaves out rows that are malformed.
pub(super) async fn read(platform: &Client) -> Result<Registry, Fault> {
    let rows = platform.scan_all(HOST_PREFIX).await?;
    let processes: Vec<Process> = rows
        .iter()
        .filter_map(|row| {
            let id = row.key.strip_prefix(HOST_PREFIX)?.into();
            let entry = serde_json::from_str(&row.value).ok()?;
            let version = row.version;
            Some(Process { id, version, entry })
        })
        .collect();
    let hosts = processes.iter().map(|process| ListedHost {
        id: process.entry.host.clone(),
        zone: process.entry.zone.clone(),
        address: process.entry.address.clone(),
    });
    let leaving = platform.scan_all(LEAVING_PREFIX).await?;
    let leaving = leaving
        .iter()
        .filter_map(|row| row.key.strip_prefix(LEAVING_PREFIX));
    let listing = Listing {
        hosts: hosts.collect(),
        leaving: leaving.map(Into::into).collect(),
    };
    Ok(Registry { listing, processes })
}
