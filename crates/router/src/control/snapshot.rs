//! What the request path knows of hosts, upstreams and configuration.

use {
    marigoldroute_core::{
        config::{Catalog, NotReady},
        fleet::{Host, Member, Phase, Status, WeightedHost, ZonedHost, rank_across_zones},
        id::{HolderId, HostId, ModelId, Region, UpstreamId, Zone},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// A consistent state, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) catalog: Arc<Catalog>,
    /// Why this host takes no new work.
    pub(crate) not_ready: Option<NotReady>,
    /// Upstreams that get no new work although they are in service by configuration.
    pub(crate) unavailable: BTreeMap<UpstreamId, Status>,
    /// Model that each upstream holds, an empty name for none; absent when it does not say.
    held: BTreeMap<UpstreamId, ModelId>,
    /// Hosts that take work, by region.
    regions: BTreeMap<Region, Vec<ZonedHost>>,
    addresses: BTreeMap<HostId, SocketAddr>,
    /// Hosts that take work.
    pub(crate) hosts: Vec<HostId>,
    /// Processes that are heard, `{host}.{incarnation}`.
    pub(crate) processes: BTreeSet<HolderId>,
}

/// A holder of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder<'a> {
    pub(crate) host: &'a HostId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: &'a Zone,
    /// Whether it is in the region that was asked for.
    pub(crate) is_near: bool,
    /// Position in its region, from 0.
    pub(crate) rank: usize,
}

/// Returns the name of a process.
pub(crate) fn process(host: &Host) -> HolderId {
    format!("{}.{:016x}", host.id, host.incarnation).into()
}

/// How much is lost together with a host: the smaller, the better for its bills.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Nearness {
    /// In another availability zone.
    OtherZone,
    /// In the same availability zone.
    OtherHost,
    /// The host itself.
    Same,
}

impl Holder<'_> {
    /// Returns how near the holder is to a host of the region that was asked for.
    pub(crate) fn nearness(&self, host: &HostId, zone: &Zone) -> Nearness {
        match (self.host == host, self.is_near && self.zone == zone) {
            (true, _) => Nearness::Same,
            (false, true) => Nearness::OtherHost,
            (false, false) => Nearness::OtherZone,
        }
    }
}

impl Snapshot {
    pub(super) fn new(
        catalog: Arc<Catalog>,
        not_ready: Option<NotReady>,
        unavailable: BTreeMap<UpstreamId, Status>,
        members: &[Member],
    ) -> Self {
        let mut snapshot = Self {
            catalog,
            not_ready,
            unavailable,
            ..Self::default()
        };
        for member in members.iter().filter(|member| member.is_alive) {
            let host = &member.host;
            snapshot.processes.insert(process(host));
            if let Ok(address) = host.address.parse() {
                snapshot.addresses.insert(host.id.clone(), address);
            }
            if member.phase == Phase::Ready {
                snapshot.hosts.push(host.id.clone());
                let region = snapshot.regions.entry(host.region.clone()).or_default();
                let weighted = WeightedHost {
                    host: host.id.clone(),
                    weight: host.weight,
                };
                region.push(ZonedHost {
                    weighted,
                    zone: host.zone.clone(),
                });
            }
        }
        snapshot
    }

    pub(super) fn with_held(self, held: BTreeMap<UpstreamId, ModelId>) -> Self {
        Self { held, ..self }
    }

    /// Returns whether nothing changed; catalogs are compared by identity because they are large.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.catalog, &other.catalog)
            && self.not_ready == other.not_ready
            && self.unavailable == other.unavailable
            && self.held == other.held
            && self.regions == other.regions
            && self.addresses == other.addresses
            && self.hosts == other.hosts
            && self.processes == other.processes
    }

    /// Returns the holders of a budget: those of `region`, then those of the others. Within a
    /// region they are in different availability zones as far as there are any.
    pub(crate) fn holders(&self, budget: &str, region: &str, count: usize) -> Vec<Holder<'_>> {
        let own = self.regions.get_key_value(region).into_iter();
        let others = self.regions.iter().filter(|(name, _)| ***name != *region);
        let mut holders = Vec::new();
        for (name, hosts) in own.chain(others) {
            for (rank, host) in rank_across_zones(budget, hosts)
                .into_iter()
                .take(count)
                .enumerate()
            {
                let (host, zone) = (&host.weighted.host, &host.zone);
                holders.extend(self.addresses.get(host).map(|address| Holder {
                    host,
                    address: *address,
                    zone,
                    is_near: **name == *region,
                    rank,
                }));
            }
        }
        holders
    }

    /// Returns the hosts per region that hold a budget; `otherwise` when the tree sets none.
    pub(crate) fn holders_per_region(&self, otherwise: usize) -> usize {
        let count = self.catalog.limits.holders;
        count.map_or(otherwise, |count| count as usize)
    }

    /// Returns how long a stopping host waits; `otherwise` when the tree sets nothing.
    pub(crate) fn drain_limit(&self, otherwise: Duration) -> Duration {
        self.catalog.limits.drain.unwrap_or(otherwise)
    }

    /// Returns the address of a host that answers, also one that takes no new work.
    pub(crate) fn address(&self, host: &str) -> Option<SocketAddr> {
        self.addresses.get(host).copied()
    }

    /// Returns whether an upstream holds what a request is for. Without placement, and for an
    /// upstream that does not report what it holds, its settings decide alone.
    pub(crate) fn holds_model(&self, upstream: &str, target: &str) -> bool {
        let is_placed = self.catalog.placement.contains_key(target);
        let held = self.held.get(upstream).filter(|_| is_placed);
        held.is_none_or(|model| **model == *target)
    }

    /// Returns whether an upstream gets new work for a model or service.
    ///
    /// While every upstream for it is out, those that failed are tried: failures with another
    /// cause, such as requests that no upstream survives, must not take all of them out. One that
    /// is leaving gets nothing.
    pub(crate) fn accepts_work(&self, upstream: &str, target: &str) -> bool {
        if !self.holds_model(upstream, target)
            || self.unavailable.get(upstream) == Some(&Status::Leaving)
        {
            return false;
        }
        let mut candidates = self.catalog.candidates(target);
        self.is_up(upstream)
            || !candidates.any(|(id, _)| self.is_up(id) && self.holds_model(id, target))
    }

    /// Returns whether an upstream gets new work as far as its health goes.
    pub(crate) fn is_up(&self, upstream: &str) -> bool {
        !self.unavailable.contains_key(upstream)
    }
}
