//! What the request path knows of hosts, upstreams and configuration.

use {
    marigoldroute_core::{
        config::{Catalog, Hold},
        fleet::{Host, Member, Phase, Status, Weighted, rank},
        id::{HolderId, HostId, Region, UpstreamId},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// A consistent state, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scene {
    pub(crate) catalog: Arc<Catalog>,
    /// Why this host takes no new work.
    pub(crate) hold: Option<Hold>,
    /// Upstreams that get no new work although they are in service by configuration.
    pub(crate) out: BTreeMap<UpstreamId, Status>,
    /// Hosts that take work, by region.
    regions: BTreeMap<Region, Vec<Weighted>>,
    addresses: BTreeMap<HostId, SocketAddr>,
    /// Processes that are heard, `{host}.{incarnation}`.
    pub(crate) processes: BTreeSet<HolderId>,
}

/// Returns the name of a process.
pub(crate) fn process(host: &Host) -> HolderId {
    format!("{}.{:016x}", host.id, host.incarnation).into()
}

impl Scene {
    pub(super) fn new(
        catalog: Arc<Catalog>,
        hold: Option<Hold>,
        out: BTreeMap<UpstreamId, Status>,
        members: &[Member],
    ) -> Self {
        let mut scene = Self {
            catalog,
            hold,
            out,
            ..Self::default()
        };
        let alive = members.iter().filter(|member| member.is_alive);
        scene.processes = alive.map(|member| process(&member.host)).collect();
        let is_ready = |member: &&Member| member.is_alive && member.phase == Phase::Ready;
        for member in members.iter().filter(is_ready) {
            let host = &member.host;
            if let Ok(address) = host.address.parse() {
                scene.addresses.insert(host.id.clone(), address);
                let region = scene.regions.entry(host.region.clone()).or_default();
                region.push(Weighted {
                    host: host.id.clone(),
                    weight: host.weight,
                });
            }
        }
        scene
    }

    /// Returns whether nothing changed; catalogs are compared by identity because they are large.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.catalog, &other.catalog)
            && self.hold == other.hold
            && self.out == other.out
            && self.regions == other.regions
            && self.addresses == other.addresses
            && self.processes == other.processes
    }

    /// Returns the holders of a budget: the best ranked of `region`, then those of the others.
    pub(crate) fn holders(
        &self,
        budget: &str,
        region: &str,
        count: usize,
    ) -> Vec<(&HostId, SocketAddr)> {
        let own = self.regions.get(region).into_iter();
        let others = self.regions.iter().filter(|(name, _)| ***name != *region);
        own.chain(others.map(|(_, hosts)| hosts))
            .flat_map(|hosts| rank(budget, hosts).into_iter().take(count))
            .filter_map(|host| Some((host, *self.addresses.get(host)?)))
            .collect()
    }

    /// Returns whether an upstream gets new work as far as its health goes.
    pub(crate) fn is_up(&self, upstream: &str) -> bool {
        !self.out.contains_key(upstream)
    }
}
