//! The state of hosts, upstreams and configuration that the request path uses.

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

/// Immutable state of the fleet; a change replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) catalog: Arc<Catalog>,
    /// Why this host takes no new work; absent if it does.
    pub(crate) not_ready: Option<NotReady>,
    /// Upstreams that get no new work, although in service by configuration, because they fail or
    /// are leaving.
    pub(crate) unavailable: BTreeMap<UpstreamId, Status>,
    /// Model that each upstream holds; empty for none, absent if the upstream does not report it.
    held: BTreeMap<UpstreamId, ModelId>,
    /// Ready hosts by region.
    regions: BTreeMap<Region, Vec<ZonedHost>>,
    addresses: BTreeMap<HostId, SocketAddr>,
    /// Ready hosts.
    pub(crate) hosts: Vec<HostId>,
    /// Processes of live hosts, as `{host}.{incarnation}`.
    pub(crate) processes: BTreeSet<HolderId>,
}

/// A host that holds a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder<'a> {
    pub(crate) host: &'a HostId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: &'a Zone,
    /// Whether the host is in the region passed to [`Snapshot::holders`].
    pub(crate) is_near: bool,
    /// Rank for the budget among the hosts of its region, from 0.
    pub(crate) rank: usize,
}

/// Returns the id of a process, `{host}.{incarnation}`.
pub(crate) fn process(host: &Host) -> HolderId {
    format!("{}.{:016x}", host.id, host.incarnation).into()
}

/// How likely a holder is lost together with a host; smaller variants are safer for the host's
/// bills.
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
    /// Returns how near the holder is to `host`, which is in `zone` of the region passed to
    /// [`Snapshot::holders`].
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

    /// Returns whether two snapshots are equal. Catalogs are compared by pointer because they are
    /// large.
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

    /// Returns `count` holders of a budget per region, those of `region` first. Within a region
    /// they are spread over as many availability zones as possible.
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

    /// Returns the number of hosts per region that hold a budget; `otherwise` if the settings tree
    /// has no value.
    pub(crate) fn holders_per_region(&self, otherwise: usize) -> usize {
        let count = self.catalog.limits.holders;
        count.map_or(otherwise, |count| count as usize)
    }

    /// Returns the drain limit of a stopping host; `otherwise` if the settings tree has no value.
    pub(crate) fn drain_limit(&self, otherwise: Duration) -> Duration {
        self.catalog.limits.drain.unwrap_or(otherwise)
    }

    /// Returns the address of a live host, whether it is ready or not.
    pub(crate) fn address(&self, host: &str) -> Option<SocketAddr> {
        self.addresses.get(host).copied()
    }

    /// Returns whether an upstream holds the requested model. Always true for a target without
    /// placement, and for an upstream that does not report what it holds: their settings decide.
    pub(crate) fn holds_model(&self, upstream: &str, target: &str) -> bool {
        let is_placed = self.catalog.placement.contains_key(target);
        let held = self.held.get(upstream).filter(|_| is_placed);
        held.is_none_or(|model| **model == *target)
    }

    /// Returns whether an upstream accepts new work for a model or service.
    ///
    /// While every upstream for the target is unavailable, those that fail still get work: failures
    /// with another cause, such as requests that crash every upstream, must not make all of them
    /// unavailable. An upstream that is leaving gets no work.
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

    /// Returns whether an upstream is neither failing nor leaving.
    pub(crate) fn is_up(&self, upstream: &str) -> bool {
        !self.unavailable.contains_key(upstream)
    }
}
