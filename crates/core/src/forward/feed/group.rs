//! Selection of the host of a group that reads the list.

use {
    crate::{
        fleet::{WeightedHost, ZonedHost, rank},
        id::HostId,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Which fleets have readers, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Mean number of hosts in a group, the reader included; at least 1.
    pub group_hosts: usize,
    /// Number of hosts in a fleet from which on it has readers.
    pub smallest_fleet: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            group_hosts: 8,
            smallest_fleet: 100,
        }
    }
}

/// Returns the host that reads the list for the group of `own`; `None` when that is `own` itself or
/// the fleet has no readers.
///
/// Hosts are assigned to the groups of their availability zone, and a group to its reader, by
/// rendezvous hashing: a host that joins or leaves moves few others. Larger hosts are readers more
/// often.
pub fn reader(settings: &Settings, own: &str, hosts: &[ZonedHost]) -> Option<HostId> {
    if hosts.len() < settings.smallest_fleet {
        return None;
    }
    let me = hosts.iter().find(|host| *host.weighted.host == *own)?;
    let zone = hosts.iter().filter(|host| host.zone == me.zone);
    let zone: Vec<&WeightedHost> = zone.map(|host| &host.weighted).collect();
    let groups = zone.len().div_ceil(settings.group_hosts.max(1)) as u64;
    let group = group(own, groups);
    let members = zone
        .into_iter()
        .filter(|host| self::group(&host.host, groups) == group);
    let key = format!("list/{}/{group}", me.zone);
    let first = rank(&key, members).first().copied().cloned();
    first.filter(|first| **first != *own)
}

/// Returns the group of a host; when the number of groups changes by one, few hosts move.
fn group(host: &str, groups: u64) -> u64 {
    let hash = |group: &u64| xxh3_64_with_seed(host.as_bytes(), *group);
    (0..groups).max_by_key(hash).unwrap_or(0)
}
